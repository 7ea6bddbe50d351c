import { TRACES } from './traces.js'

describe('traces end without a broken promise', function () {
  this.timeout(60_000)

  for (const trace of TRACES) it(trace.name, () => trace.run())
})
