import { expect } from 'chai'
import type { InstanceId } from '@cranberryyard/protocol'
import { ShardFleet } from './shardFleet.js'
import { SHARD_MUTATIONS } from './shardMutations.js'
import { runShardScenario } from './shardScenario.js'

const FAULT_PHASE_MS = 15_000
const JOBS_PER_SECOND = 30
const SEED_COUNT = 20
/** Seeds that once violated an invariant, with the cause. */
const REGRESSION_SEEDS = [
  { seed: 9314, cause: 'an instance took over that had read the endpoint list only once, while entries were missing' },
  { seed: 9423, cause: 'runs at an endpoint that still answered were abandoned because its entry was missing' },
  { seed: 9429, cause: 'an earlier owner had runs at endpoints that the new owner did not know' }
] as const
/** Exceeds the capacity of the fleet, so that instances decline jobs too. */
const OVERLOAD_JOBS_PER_SECOND = 60

describe('a fleet of shard instances under random faults', function () {
  this.timeout(120_000)

  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    it(`violates no invariant with seed ${seed}`, () => {
      expect(runShardScenario(seed, FAULT_PHASE_MS, JOBS_PER_SECOND).violations).to.deep.equal([])
    })
  }

  for (const { seed, cause } of REGRESSION_SEEDS) {
    it(`violates no invariant with seed ${seed}, which failed once: ${cause}`, () => {
      expect(runShardScenario(seed, FAULT_PHASE_MS, JOBS_PER_SECOND).violations).to.deep.equal([])
    })
  }

  it('violates no invariant when an instance that knows only some of the endpoints takes over a shard', () => {
    const violations = [1, 2, 3, 4].flatMap((seed) => {
      const fleet = new ShardFleet({ domains: ['a', 'b'], instancesPerDomain: 3, endpointsPerDomain: 5, seed })
      fleet.run(5000)
      // Instance a-2 restarts and reads the endpoint list once, without the lapsed entries. Later it is the only one left in its domain.
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
    it(`detects a violation when ${mutation.name}`, () => {
      const undo = mutation.apply()
      try {
        const rules = new Set(mutation.seeds.flatMap(seed => runShardScenario(seed, FAULT_PHASE_MS, OVERLOAD_JOBS_PER_SECOND).violations.map(v => v.rule)))
        expect(mutation.breaks.some(rule => rules.has(rule)), `violated rules: ${[...rules].join()}`).to.equal(true)
      } finally {
        undo()
      }
    })
  }
})
