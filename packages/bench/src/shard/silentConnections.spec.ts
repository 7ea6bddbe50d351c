import { expect } from 'chai'
import type { InstanceId } from '@cranberryyard/protocol'
import { replaceMethod, sampleInstance as sample } from './patches.js'
import { ShardFleet } from './shardFleet.js'

const SEEDS = [1, 2, 3, 4, 5] as const
const OWNER = 'a-1' as InstanceId
/** Longest time in which a peer notices the silence and both connections are replaced. */
const RECOVERY_MS = 500
const OBSERVED_MS = 4000

/** Silences the connections from the owner to the fronts of its domain. @returns how many peers were lost, and the jobs that were submitted after the recovery */
function silenceOwner (seed: number, alsoToOwner: boolean): { readonly lost: number, readonly completed: number, readonly submitted: number } {
  const fleet = new ShardFleet({ domains: ['a', 'b'], instancesPerDomain: 3, endpointsPerDomain: 5, seed })
  fleet.run(6000)
  expect(fleet.owners(), `seed ${seed}`).to.include(OWNER)
  const before = fleet.logs.length
  const fronts = ['a-0', 'a-2'] as InstanceId[]
  fleet.silenceConnections(fronts.flatMap(front => [`${OWNER}>${front}`, ...alsoToOwner ? [`${front}>${OWNER}`] : []]))
  for (let at = 0; at < OBSERVED_MS; at += 100) {
    for (const front of fronts) fleet.time.after(at, () => fleet.submit(front, 2, { cpuMilli: 4000, workMs: 60, fails: false }))
  }
  fleet.run(RECOVERY_MS)
  const recoveredAt = fleet.time.now
  fleet.run(OBSERVED_MS)
  expect(fleet.oracle.violations, `seed ${seed}`).to.deep.equal([])
  const jobs = fleet.jobs.filter(job => job.sentAt > recoveredAt)
  return { lost: fleet.logs.slice(before).filter(({ event }) => event === 'peer.lost').length, completed: jobs.filter(job => job.reply === 'completed' && (job.latencyMs ?? Infinity) < 1000).length, submitted: jobs.length }
}

describe('connections that go silent for good', function () {
  this.timeout(60_000)

  for (const alsoToOwner of [false, true]) {
    // An owner that went on receiving kept a dead connection to its fronts, which took it for lost, and fought their takeover for seconds.
    it(`are replaced before anyone is taken for lost, ${alsoToOwner ? 'in both directions' : 'from an owner to its fronts'}`, () => {
      for (const seed of SEEDS) {
        const { lost, completed, submitted } = silenceOwner(seed, alsoToOwner)
        expect(lost, `peers lost with seed ${seed}`).to.equal(0)
        expect(completed, `seed ${seed}`).to.equal(submitted)
      }
    })
  }

  it('make peers take each other for lost when an instance keeps a connection on which a peer receives nothing', () => {
    const undo = replaceMethod(sample.sessions, 'replaceConnectionForPeer', () => () => {})
    try {
      expect(SEEDS.map(seed => silenceOwner(seed, false).lost).reduce((a, b) => a + b)).to.be.greaterThan(0)
    } finally {
      undo()
    }
  })
})
