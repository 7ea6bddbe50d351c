import { expect } from 'chai'
import type { ModelTask } from '@cranberryyard/fakes'
import type { InstanceId } from '@cranberryyard/protocol'
import { ShardFleet } from './shardFleet.js'

const SEEDS = [1, 2, 3, 4, 5, 6] as const
const FRONT = 'a-0' as InstanceId
const WARM_UP_MS = 8000
const PATIENCE_MS = 20_000
const LONG: ModelTask = { cpuMilli: 14_000, workMs: 900, fails: false }
/** When the endpoint is cut off, shortly before the end of the run there, and for how long. */
const CUT_AFTER_MS = 850
const CUT_MS = 250
/** When the endpoint restarts after that, with the end of the run behind it. */
const RESTART_AFTER_MS = 200
const RESTARTS = 2

describe('a sound task whose endpoints restart after its runs have ended', () => {
  it('does not make its job fail, though its owner has not seen the ends', () => {
    for (const seed of SEEDS) {
      const fleet = new ShardFleet({ domains: ['a', 'b'], instancesPerDomain: 3, endpointsPerDomain: 6, seed })
      fleet.run(WARM_UP_MS)
      const job = fleet.submitTasks(FRONT, [LONG], PATIENCE_MS)
      const seen = new Set<string>()
      for (let at = 0; at < PATIENCE_MS && seen.size < RESTARTS; at += 20) {
        fleet.run(20)
        const endpoint = [...fleet.endpoints.values()].find(({ id, bornAt, runs }) => !seen.has(`${id}@${bornAt}`) && runs.has(`${job.id}.0.0.0`))
        if (endpoint === undefined) continue
        seen.add(`${endpoint.id}@${endpoint.bornAt}`)
        fleet.run(CUT_AFTER_MS)
        fleet.cutPairs([...fleet.processes.keys()].flatMap(name => [`${name}>${endpoint.id}`, `${endpoint.id}>${name}`]), CUT_MS)
        fleet.run(RESTART_AFTER_MS)
        expect(endpoint.runs.has(`${job.id}.0.0.0`), `seed ${seed}`).to.equal(false)
        fleet.restartEndpoint(endpoint.id)
      }
      fleet.run(PATIENCE_MS)
      expect(fleet.oracle.violations, `seed ${seed}`).to.deep.equal([])
      expect(job.reply, `seed ${seed}`).to.equal('completed')
    }
  })
})
