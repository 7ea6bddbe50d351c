import { expect } from 'chai'
import type { EndpointId, InstanceId } from '@cranberryyard/protocol'
import { replaceMethod, sampleInstance as sample } from './patches.js'
import { ShardFleet } from './shardFleet.js'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8]
const OWNER = 'a-1' as InstanceId
const SUCCESSOR = 'a-0' as InstanceId
const FRONT = 'a-2' as InstanceId
const BEYOND_TEST_MS = 60_000
/** An endpoint that does not reach the store for 5.5 s, with the time until its next ping. */
const ENTRY_MISSING_MS = 6000
const JOB_PERIOD_MS = 150
const LONG_TASK = { cpuMilli: 10_000, workMs: 1500, fails: false }

/** How an owner is lost, or gives its shard up, while an entry of its endpoints is missing. */
type LoseOwner = (fleet: ShardFleet) => void

/** Removes an entry, restarts the first successor, and changes the owner once the successor has read the list twice without that entry. */
function violationsOf (loseOwner: LoseOwner): string[] {
  return SEEDS.flatMap((seed) => {
    const fleet = new ShardFleet({ domains: ['a', 'b'], instancesPerDomain: 3, endpointsPerDomain: 4, seed })
    fleet.run(8000)
    for (let at = 0; at < 7000; at += JOB_PERIOD_MS) fleet.time.after(at, () => fleet.submit(FRONT, 2, LONG_TASK))
    fleet.run(1000)
    fleet.missEntry('e-a-0', ENTRY_MISSING_MS)
    fleet.kill(SUCCESSOR, 300)
    fleet.run(3400 + fleet.randomBelow(300))
    loseOwner(fleet)
    fleet.run(8000)
    return fleet.oracle.violations.map(({ rule, at, detail }) => `seed ${seed}: ${rule} at ${Math.round(at)}: ${detail}`)
  })
}

describe('a successor that restarted while the entry of an endpoint was missing', () => {
  it('starts no task twice when it is handed the shard', () => {
    expect(violationsOf(fleet => fleet.terminate(OWNER, 300))).to.deep.equal([])
  })

  it('starts no task twice when the owner is killed', () => {
    expect(violationsOf(fleet => fleet.kill(OWNER, BEYOND_TEST_MS))).to.deep.equal([])
  })

  it('starts no task twice when the owner loses power', () => {
    expect(violationsOf(fleet => fleet.losePower(OWNER, BEYOND_TEST_MS))).to.deep.equal([])
  })
})

/** Lets four owners be killed while a successor has removed an endpoint at which they have runs: its entry is missing for more than 5 s before the takeover. */
function violationsAfterRemoval (): string[] {
  return SEEDS.flatMap((seed) => {
    const fleet = new ShardFleet({ domains: ['a'], instancesPerDomain: 6, endpointsPerDomain: 4, seed })
    fleet.run(14_000)
    for (let i = 0; i < 8; i++) fleet.submitTasks('a-5' as InstanceId, Array.from({ length: 2 }, () => ({ ...LONG_TASK, workMs: 60_000 })), 90_000)
    fleet.run(500)
    fleet.lapsedEntries.add('e-a-0')
    fleet.run(32_000)
    for (const name of ['a-0', 'a-1', 'a-2', 'a-3']) fleet.kill(name as InstanceId, BEYOND_TEST_MS)
    fleet.run(6000)
    return fleet.oracle.violations.map(({ rule, at, detail }) => `seed ${seed}: ${rule} at ${Math.round(at)}: ${detail}`)
  })
}

describe('a successor that reads the list at long intervals', () => {
  it('starts no task twice that its predecessors still run at an endpoint which it has removed', () => {
    expect(violationsAfterRemoval()).to.deep.equal([])
  })

  it('starts some twice when it takes the list that it has read for all endpoints of the earlier owner', () => {
    const undo = replaceMethod(sample.earlierRuns, 'earlierEndpointsHaveAnswered', () => () => true)
    try {
      expect(violationsAfterRemoval().join()).to.include('TWICE')
    } finally {
      undo()
    }
  })
})

/** Time after which a missing entry has been removed from all lists. */
const REMOVED_MS = 3500
/** Long enough for the job to be worth starting elsewhere afterwards. */
const WORK_MS = 12_000
/** An endpoint's longest lease, at the slowest clock. */
const LEASE_MS = 1020

interface Moved {
  readonly fleet: ShardFleet
  readonly reply: string | undefined
  /** What has become of the job at fronts and owners. */
  readonly events: readonly string[]
}

/** Removes the entries of all endpoints at which a job runs, and evacuates their domain. */
function evacuateWithoutEntries (seed: number, cutOff: boolean): Moved {
  const fleet = new ShardFleet({ domains: ['a', 'b'], instancesPerDomain: 3, endpointsPerDomain: 8, seed })
  fleet.run(8000)
  const { id } = fleet.submitTasks(FRONT, Array.from({ length: 3 }, () => ({ cpuMilli: 30_000, workMs: WORK_MS, fails: false })), 2 * WORK_MS)
  fleet.run(300 + fleet.randomBelow(300))
  const withRuns = [...fleet.endpoints.values()].filter(endpoint => endpoint.runs.size > 0).map(endpoint => endpoint.id as EndpointId)
  expect(withRuns.map(name => name.startsWith('e-a-')), `seed ${seed}`).to.deep.equal([true, true, true])
  for (const endpoint of withRuns) fleet.missEntry(endpoint, BEYOND_TEST_MS)
  fleet.run(REMOVED_MS)
  fleet.evacuate('a')
  if (cutOff) fleet.cutPairs(withRuns.flatMap(endpoint => [`${OWNER}>${endpoint}`, `${endpoint}>${OWNER}`]), BEYOND_TEST_MS)
  fleet.run(WORK_MS)
  const events = fleet.logs.filter(({ event, fields }) => /^job\.(declined|released|sentAgain|abandoned)$/.test(event) && 'job' in fields && fields.job === id).map(({ event }) => event)
  return { fleet, reply: fleet.jobs.find(job => job.id === id)?.reply, events }
}

describe('a job whose endpoints are missing from the list', () => {
  it('goes on there when its domain is evacuated, and its front sends it nowhere else', () => {
    for (const seed of SEEDS) {
      const { fleet, reply, events } = evacuateWithoutEntries(seed, false)
      expect([reply, events, fleet.oracle.violations], `seed ${seed}`).to.deep.equal(['completed', [], []])
    }
  })

  it('goes to another domain when its owner no longer reaches them, and starts there once its runs have lapsed', () => {
    for (const seed of SEEDS) {
      const { fleet, events } = evacuateWithoutEntries(seed, true)
      expect([events.slice(0, 2), fleet.oracle.violations], `seed ${seed}`).to.deep.equal([['job.released', 'job.sentAgain'], []])
    }
  })

  it('starts there beside them when its owner takes them for lost before that', () => {
    const undo = replaceMethod(sample.endpoints, 'recordLeaseEnd', original => function (this: typeof sample.endpoints, ...args) {
      const [endpoint] = args as unknown as [{ leasesEndBy: number }]
      original.apply(this, args)
      endpoint.leasesEndBy -= LEASE_MS
    })
    try {
      expect(SEEDS.flatMap(seed => evacuateWithoutEntries(seed, true).fleet.oracle.violations.map(({ rule }) => rule))).to.include('TWICE')
    } finally {
      undo()
    }
  })
})
