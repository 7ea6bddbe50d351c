import { expect } from 'chai'
import type { ModelTask } from '@cranberryyard/fakes'
import type { InstanceId } from '@cranberryyard/protocol'
import { ShardFleet } from './shardFleet.js'

const SEEDS = [1, 2, 3, 4] as const
const FRONT = 'a-0' as InstanceId
const WARM_UP_MS = 8000
const PATIENCE_MS = 30_000
/** Time within which endpoints that answer again must be used again. */
const RETURN_MS = 6000
const LONG: ModelTask = { cpuMilli: 14_000, workMs: 2500, fails: false }
/** Silent endpoints after which a task no longer starts. */
const SILENT_ENDPOINTS = 3

/** Cuts off each endpoint that runs the job's task, one after the other, and heals all of them. @returns the time of the job's answer after that */
function loseEndpointsInTurn (seed: number, whileSilent: (fleet: ShardFleet) => void): number | undefined {
  const fleet = new ShardFleet({ domains: ['a'], instancesPerDomain: 3, endpointsPerDomain: 6, seed })
  fleet.run(WARM_UP_MS)
  const job = fleet.submitTasks(FRONT, [LONG], PATIENCE_MS)
  const cut = new Set<string>()
  for (let at = 0; at < 8000 && cut.size < SILENT_ENDPOINTS; at += 20) {
    fleet.run(20)
    const endpoint = [...fleet.endpoints.values()].find(({ id, runs }) => !cut.has(id) && runs.has(`${job.id}.0.0.0`))
    if (endpoint === undefined) continue
    cut.add(endpoint.id)
    for (const name of fleet.processes.keys()) for (const pair of [`${name}>${endpoint.id}`, `${endpoint.id}>${name}`]) fleet.cutLinks.add(pair)
  }
  expect(cut.size, `seed ${seed}`).to.equal(SILENT_ENDPOINTS)
  fleet.run(2000)
  whileSilent(fleet)
  const healedAt = fleet.time.now
  fleet.cutLinks.clear()
  fleet.run(PATIENCE_MS)
  expect(fleet.oracle.violations, `seed ${seed}`).to.deep.equal([])
  expect(job.reply, `seed ${seed}`).to.equal('completed')
  return job.latencyMs === undefined ? undefined : job.sentAt + job.latencyMs - healedAt
}

describe('a task whose endpoints fell silent', () => {
  it('starts again soon after they answer', () => {
    for (const seed of SEEDS) expect(loseEndpointsInTurn(seed, () => {}), `seed ${seed}`).to.be.lessThan(RETURN_MS)
  })

  it('starts again soon after they answer a new owner, which has not waited for them itself', () => {
    for (const seed of SEEDS) {
      const answeredMs = loseEndpointsInTurn(seed, (fleet) => {
        for (const name of fleet.owners()) if (name !== FRONT) fleet.kill(name, 500)
        fleet.run(1500)
      })
      expect(answeredMs, `seed ${seed}`).to.be.lessThan(RETURN_MS)
    }
  })
})
