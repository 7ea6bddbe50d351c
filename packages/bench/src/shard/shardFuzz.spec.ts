import { expect } from 'chai'
import { SHARD_MUTATIONS } from './shardMutations.js'
import { runShardScenario } from './shardScenario.js'

const FAULTY_MS = 15_000
const JOBS_PER_SECOND = 30
const SEEDS = 20
/** Above the fleet's room, so that jobs are declined too. */
const OVERLOAD_PER_SECOND = 60

describe('shards under faults', function () {
  this.timeout(120_000)

  for (let seed = 1; seed <= SEEDS; seed++) {
    it(`keep every promise with seed ${seed}`, () => {
      expect(runShardScenario(seed, FAULTY_MS, JOBS_PER_SECOND).violations).to.deep.equal([])
    })
  }

  for (const mutation of SHARD_MUTATIONS) {
    it(`shows when ${mutation.name}`, () => {
      const undo = mutation.apply()
      try {
        const rules = new Set(mutation.seeds.flatMap(seed => runShardScenario(seed, FAULTY_MS, OVERLOAD_PER_SECOND).violations.map(v => v.rule)))
        expect(mutation.breaks.some(rule => rules.has(rule)), `only ${[...rules].join()} seen`).to.equal(true)
      } finally {
        undo()
      }
    })
  }
})
