import { expect } from 'chai'
import type { InstanceId } from '@cranberryyard/protocol'
import { ShardFleet } from './shardFleet.js'
import { SHARD_MUTATIONS } from './shardMutations.js'
import { runShardScenario } from './shardScenario.js'

const FAULT_PHASE_MS = 15_000
const JOBS_PER_SECOND = 30
const SEED_COUNT = 20
/** Seeds that broke a promise once, with the cause. */
const REGRESSION_SEEDS = [
  { seed: 9314, cause: 'an instance that had read the list once, while entries were missing, took over' },
  { seed: 9423, cause: 'runs at an endpoint that answered were given up when its entry was missing' },
  { seed: 9429, cause: 'an earlier owner was at work on endpoints that the new one did not know' }
] as const
/** Above the fleet's room, so that jobs are declined too. */
const OVERLOAD_JOBS_PER_SECOND = 60

describe('shards under faults', function () {
  this.timeout(120_000)

  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    it(`keep every promise with seed ${seed}`, () => {
      expect(runShardScenario(seed, FAULT_PHASE_MS, JOBS_PER_SECOND).violations).to.deep.equal([])
    })
  }

  for (const { seed, cause } of REGRESSION_SEEDS) {
    it(`keep every promise with seed ${seed}, which failed once: ${cause}`, () => {
      expect(runShardScenario(seed, FAULT_PHASE_MS, JOBS_PER_SECOND).violations).to.deep.equal([])
    })
  }

  it('keep every promise when a shard goes to an instance that knows only part of its endpoints', () => {
    const violations = [1, 2, 3, 4].flatMap((seed) => {
      const fleet = new ShardFleet({ domains: ['a', 'b'], instancesPerDomain: 3, endpointsPerDomain: 5, seed })
      fleet.run(5000)
      // Instance 2 starts again and reads the list once, without the entries that lapsed; later it is the last one left.
      fleet.kill('a-2' as InstanceId, 900)
      fleet.lapseEntries('a')
      fleet.time.after(950, () => {
        fleet.storeFaults.down = true
      })
      for (let at = 1500; at < 5500; at += 150) {
        fleet.time.after(at, () => fleet.submit('a-2' as InstanceId, 2, { cpuMilli: 14_000, workMs: 700, fails: false }))
      }
      fleet.time.after(4000, () => {
        for (const name of ['a-0', 'a-1']) fleet.kill(name as InstanceId, 2000)
      })
      fleet.run(7000)
      return fleet.oracle.violations
    })
    expect(violations).to.deep.equal([])
  })

  for (const mutation of SHARD_MUTATIONS) {
    it(`shows when ${mutation.name}`, () => {
      const undo = mutation.apply()
      try {
        const rules = new Set(mutation.seeds.flatMap(seed => runShardScenario(seed, FAULT_PHASE_MS, OVERLOAD_JOBS_PER_SECOND).violations.map(v => v.rule)))
        expect(mutation.breaks.some(rule => rules.has(rule)), `only ${[...rules].join()} seen`).to.equal(true)
      } finally {
        undo()
      }
    })
  }
})
