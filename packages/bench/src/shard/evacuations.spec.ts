import { expect } from 'chai'
import type { InstanceId } from '@cranberryyard/protocol'
import { takeNothingBack, tellNoEvacuations } from './evacuationMutations.js'
import { submitLongJob } from './evacuations.js'
import type { CallerJob } from './shardFleet.js'
import { ShardFleet } from './shardFleet.js'

const DOMAINS = ['a', 'b', 'c'] as const
const TASK = { cpuMilli: 4000, workMs: 100, fails: false }
const LONG_TASK = { cpuMilli: 4000, workMs: 2200, fails: false }
const JOB_PERIOD_MS = 40
/** Bounds of the platform for starts in an evacuated domain: of instances in contact, and of those that only their peers can tell. */
const BOUND_MS = 5000
const TOLD_BOUND_MS = 11_000
/** Time within which instances hear of an evacuation when nothing is disturbed. */
const HEARD_MS = 100
const WARM_UP_MS = 5000

/** A fleet under steady load that counts the starts in each domain. */
class EvacuatedFleet {
  readonly fleet = new ShardFleet({ domains: DOMAINS, instancesPerDomain: 3, endpointsPerDomain: 3, seed: 1 })
  private readonly starts = new Map<string, number>()

  constructor () {
    const { oracle } = this.fleet
    const record = oracle.recordStartInDomain.bind(oracle)
    oracle.recordStartInDomain = (domain, ...rest) => {
      this.starts.set(domain, this.startsIn(domain) + 1)
      record(domain, ...rest)
    }
    this.run(WARM_UP_MS)
  }

  startsIn (domain: string): number {
    return this.starts.get(domain) ?? 0
  }

  /** Runs for a while with jobs at all instances in turn. @returns the starts in a domain meanwhile */
  run (durationMs: number, domain = ''): number {
    const { fleet } = this
    const before = this.startsIn(domain)
    const names = fleet.present().map(process => process.name)
    for (let at = 0, n = 0; at < durationMs; at += JOB_PERIOD_MS, n++) {
      fleet.time.after(at, () => fleet.submit(names[n % names.length] as InstanceId, 2, TASK))
    }
    fleet.run(durationMs)
    return this.startsIn(domain) - before
  }

  /** @returns the jobs sent in a span of time that have been answered otherwise */
  otherReplies (from: number, to: number, reply: CallerJob['reply']): number {
    return this.fleet.jobs.filter(job => job.sentAt >= from && job.sentAt < to && job.reply !== reply).length
  }
}

/** Lets the store turn an owner away for so long that only its peers can have told it. @returns the rules that are broken */
function evacuateWithoutStore (): string[] {
  const { fleet } = new EvacuatedFleet()
  const owner = fleet.owners().find(name => name.startsWith('a')) as InstanceId
  for (let at = 0; at < TOLD_BOUND_MS + 2000; at += 300) fleet.time.after(at, () => submitLongJob(fleet, owner, LONG_TASK))
  for (const { name, domain } of fleet.present()) if (domain === 'a') fleet.storeFaults.unservedInstances.add(name)
  fleet.evacuate('a')
  fleet.run(TOLD_BOUND_MS + 2000)
  return fleet.oracle.violations.map(({ rule }) => rule)
}

describe('a fleet with an evacuated failure domain', function () {
  this.timeout(60_000)

  it('starts nothing there once it has heard of it, and serves all jobs elsewhere', () => {
    const evacuated = new EvacuatedFleet()
    const { fleet } = evacuated
    const from = fleet.time.now
    fleet.evacuate('a')
    evacuated.run(HEARD_MS)
    expect(evacuated.run(BOUND_MS, 'a')).to.equal(0)
    expect(evacuated.otherReplies(from, fleet.time.now - 1000, 'completed')).to.equal(0)
    expect(fleet.oracle.violations).to.deep.equal([])
  })

  /** Evacuates a domain and takes it back. @returns the starts there afterwards */
  function startsAfterwards (): number {
    const evacuated = new EvacuatedFleet()
    evacuated.fleet.evacuate('a')
    evacuated.run(BOUND_MS)
    evacuated.fleet.takeBack('a')
    evacuated.run(HEARD_MS)
    return evacuated.run(BOUND_MS, 'a')
  }

  it('starts tasks there again once it is taken back', () => {
    expect(startsAfterwards()).to.be.above(0)
  })

  it('starts nothing there any more when instances take no domain back', () => {
    const undo = takeNothingBack()
    try {
      expect(startsAfterwards()).to.equal(0)
    } finally {
      undo()
    }
  })

  it('refuses all jobs while every domain is evacuated, and serves them again afterwards', () => {
    const evacuated = new EvacuatedFleet()
    const { fleet } = evacuated
    for (const domain of DOMAINS) fleet.evacuate(domain)
    evacuated.run(HEARD_MS)
    const from = fleet.time.now
    evacuated.run(BOUND_MS)
    expect(evacuated.otherReplies(from, fleet.time.now - 100, 'refused')).to.equal(0)
    for (const domain of DOMAINS) expect(evacuated.run(0, domain)).to.equal(0)
    for (const domain of DOMAINS) fleet.takeBack(domain)
    evacuated.run(BOUND_MS)
    const backAt = fleet.time.now
    evacuated.run(BOUND_MS)
    expect(evacuated.otherReplies(backAt, fleet.time.now - 1000, 'completed')).to.equal(0)
    expect(fleet.oracle.violations).to.deep.equal([])
  })

  it('starts nothing there after all instances have lost their power', () => {
    for (const storeIsDown of [false, true]) {
      const evacuated = new EvacuatedFleet()
      const { fleet } = evacuated
      fleet.evacuate('a')
      evacuated.run(BOUND_MS)
      for (const { name } of fleet.present()) fleet.losePower(name, fleet.randomBelow(1500))
      fleet.storeFaults.down = storeIsDown
      fleet.time.after(2500, () => {
        fleet.storeFaults.down = false
      })
      expect(evacuated.run(3 * BOUND_MS, 'a'), `store down: ${storeIsDown}`).to.equal(0)
      expect(evacuated.run(1000, 'b') + evacuated.run(1000, 'c')).to.be.above(0)
    }
  })

  it('hears of it after the store has dropped its history', () => {
    const evacuated = new EvacuatedFleet()
    const { fleet } = evacuated
    fleet.compactStore()
    fleet.evacuate('a')
    evacuated.run(1000 + 2 * HEARD_MS)
    expect(evacuated.run(BOUND_MS, 'a')).to.equal(0)
  })

  it('starts nothing there by an owner that the store turns away', () => {
    expect(evacuateWithoutStore()).to.deep.equal([])
  })

  it('detects a violation when peers tell such an owner nothing', () => {
    const undo = tellNoEvacuations()
    try {
      expect(evacuateWithoutStore()).to.include('EVAC')
    } finally {
      undo()
    }
  })

  it('is judged from the acknowledgement, and only by starts of instances that could know', () => {
    const { oracle } = new ShardFleet({ domains: ['a'], instancesPerDomain: 1, endpointsPerDomain: 1, seed: 1 })
    oracle.recordEvacuated('a', 1000)
    oracle.recordEvacuated('a', 4000)
    oracle.recordStartInDomain('a', 't', 1000 + BOUND_MS, { type: 'steady' })
    oracle.recordStartInDomain('a', 't', 1001 + BOUND_MS, { type: 'none' })
    oracle.recordStartInDomain('b', 't', 1001 + BOUND_MS, { type: 'steady' })
    oracle.recordStartInDomain('a', 't', 1000 + TOLD_BOUND_MS, { type: 'turnedAway', storeCalmSince: 0 })
    oracle.recordStartInDomain('a', 't', 1001 + TOLD_BOUND_MS, { type: 'turnedAway', storeCalmSince: 1000 })
    expect(oracle.violations).to.deep.equal([])
    oracle.recordStartInDomain('a', 't', 1001 + BOUND_MS, { type: 'steady' })
    oracle.recordStartInDomain('a', 't', 1001 + TOLD_BOUND_MS, { type: 'turnedAway', storeCalmSince: 0 })
    expect(oracle.violations.map(({ rule }) => rule)).to.deep.equal(['EVAC', 'EVAC'])
    oracle.recordTakenBack('a')
    oracle.recordStartInDomain('a', 't', 100_000, { type: 'steady' })
    expect(oracle.violations).to.have.length(2)
  })
})
