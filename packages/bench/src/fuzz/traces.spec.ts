import { TRACES } from './traces.js'

describe('no invariant is violated when', function () {
  this.timeout(60_000)

  for (const trace of TRACES) it(trace.name, () => trace.run())
})
