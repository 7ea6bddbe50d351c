/**
 * Failure domains that are evacuated and taken back, each time around one other fault: an owner that is lost or paused between learning and acting, instances
 * that are away while an evacuation ends and begins again, a store that turns some instances away or drops its history, and a loss of power everywhere.
 */
import type { ModelTask } from '@cranberryyard/fakes'
import type { InstanceId, JobId, StepSpec } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { DEFAULT_QUEUE } from './shardFleet.js'
import type { ShardFleet } from './shardFleet.js'

const MEAN_INTERVAL_MS = 4000
/** For how long a domain stays evacuated; longer than the time within which starts there have to end. */
const EVACUATED_MIN_MS = 6000
const EVACUATED_SPREAD_MS = 4000
/** For how long a domain is evacuated after the last fault. */
export const EVACUATED_AFTERWARDS_MS = 11_000
/** Time between an evacuation and the fault around it, before or after. */
const NEAR_MS = 60
const AWAY_MIN_MS = 500
const AWAY_SPREAD_MS = 2500
/** Longest pause of an owner that knows nothing of an evacuation when it goes on. */
const FREEZE_SPREAD_MS = 2000
const DARK_MIN_MS = 200
const DARK_SPREAD_MS = 1500
/** For how long the store stays away after a loss of power everywhere. */
const OUTAGE_AFTER_LOSS_MS = 1500
/** For how long the store turns instances away; longer than a domain stays evacuated. */
const TURNED_AWAY_MS = 13_500

/** Jobs that are at work when a domain is evacuated: each has steps that follow each other, or tasks that fail again and again, until after the bound. */
const LONG_JOB_PERIOD_MS = 400
const LONG_JOB_STEPS = 4
const LONG_JOB_DEADLINE_MS = 20_000
const STEP_TASK: ModelTask = { cpuMilli: 4000, workMs: 2200, fails: false }

/** Evacuates a domain in a fleet with one other fault, and has it taken back by a time. */
type Evacuation = (fleet: ShardFleet, domain: string, until: number) => string

const EVACUATIONS: readonly Evacuation[] = [
  (fleet, domain, until) => {
    evacuateFor(fleet, [domain], until)
    return `evacuate ${domain}`
  },
  (fleet, domain, until) => {
    const other = pick(fleet, domainsOf(fleet).filter(name => name !== domain))
    evacuateFor(fleet, [domain], until)
    fleet.time.after(fleet.randomBelow(EVACUATED_MIN_MS), () => evacuateFor(fleet, [other], until))
    return `evacuate ${domain}, then ${other}`
  },
  (fleet, _, until) => {
    evacuateFor(fleet, domainsOf(fleet), until)
    return 'evacuate all'
  },
  (fleet, domain, until) => {
    const owner = ownerOf(fleet, domain)
    evacuateFor(fleet, [domain], until)
    fleet.time.after(fleet.randomBelow(NEAR_MS), () => fleet.kill(owner, fleet.randomBelow(AWAY_SPREAD_MS)))
    return `evacuate ${domain}, kill ${owner}`
  },
  (fleet, domain, until) => {
    const owner = ownerOf(fleet, domain)
    fleet.freeze(owner, AWAY_MIN_MS + fleet.randomBelow(FREEZE_SPREAD_MS))
    fleet.time.after(fleet.randomBelow(NEAR_MS), () => evacuateFor(fleet, [domain], until))
    return `freeze ${owner}, evacuate ${domain}`
  },
  (fleet, domain, until) => {
    const owner = ownerOf(fleet, domain)
    evacuateFor(fleet, [domain], until)
    fleet.time.after(fleet.randomBelow(EVACUATED_MIN_MS), () => fleet.terminate(owner, fleet.randomBelow(AWAY_SPREAD_MS)))
    return `evacuate ${domain}, terminate ${owner}`
  },
  (fleet, domain, until) => {
    evacuateFor(fleet, [domain], until)
    fleet.time.after(fleet.randomBelow(NEAR_MS), () => fleet.cutDomain(domain, AWAY_MIN_MS + fleet.randomBelow(AWAY_SPREAD_MS)))
    return `evacuate ${domain}, cut it off`
  },
  (fleet, domain, until) => {
    evacuateFor(fleet, [domain], until)
    turnAway(fleet, [ownerOf(fleet, domain)], until)
    return `evacuate ${domain}, store turns its owner away`
  },
  (fleet, domain, until) => {
    const names = fleet.present().map(process => process.name).filter(() => fleet.randomBelow(2) === 0)
    turnAway(fleet, names, until)
    fleet.time.after(fleet.randomBelow(NEAR_MS), () => evacuateFor(fleet, [domain], until))
    return `store turns ${names.join()} away, evacuate ${domain}`
  },
  (fleet, domain, until) => {
    evacuateFor(fleet, [domain], until)
    const awayMs = AWAY_MIN_MS + fleet.randomBelow(AWAY_SPREAD_MS)
    const names = fleet.present().filter(process => process.domain === domain).map(process => process.name)
    fleet.time.after(fleet.randomBelow(EVACUATED_MIN_MS), () => {
      for (const name of names) unserve(fleet, name, awayMs)
      fleet.time.after(awayMs / 3, () => fleet.takeBack(domain))
      fleet.time.after(awayMs * 2 / 3, () => evacuateFor(fleet, [domain], until))
    })
    return `evacuate ${domain}, again while its instances are away`
  },
  (fleet, domain, until) => {
    const before = fleet.randomBelow(2) === 0
    if (before) fleet.compactStore()
    evacuateFor(fleet, [domain], until)
    if (!before) fleet.time.after(fleet.randomBelow(NEAR_MS), () => fleet.compactStore())
    return `evacuate ${domain}, store drops its history`
  },
  (fleet, domain, until) => {
    evacuateFor(fleet, [domain], until)
    const storeIsLate = fleet.randomBelow(2) === 0
    fleet.time.after(fleet.randomBelow(EVACUATED_MIN_MS), () => {
      for (const { name } of fleet.present()) fleet.losePower(name, DARK_MIN_MS + fleet.randomBelow(DARK_SPREAD_MS))
      if (!storeIsLate) return
      fleet.storeFaults.down = true
      fleet.time.after(OUTAGE_AFTER_LOSS_MS, () => {
        fleet.storeFaults.down = false
      })
    })
    return `evacuate ${domain}, power lost everywhere${storeIsLate ? ', store down' : ''}`
  }
]

/**
 * Evacuates domains at random moments until a time. One domain stays evacuated for `EVACUATED_AFTERWARDS_MS` longer, so that there are starts of instances
 * that have been in contact for long enough to know of it; then all are taken back.
 */
export function addEvacuations (fleet: ShardFleet, until: number, record: (fault: string) => void): void {
  const evacuateNext = (): void => {
    if (fleet.time.now > until) return
    record(pick(fleet, EVACUATIONS)(fleet, pick(fleet, domainsOf(fleet)), until))
    fleet.time.after(fleet.randomBelow(MEAN_INTERVAL_MS * 2), evacuateNext)
  }
  evacuateNext()
  submitLongJobs(fleet, until + EVACUATED_AFTERWARDS_MS)
  fleet.time.after(until - fleet.time.now, () => {
    const last = pick(fleet, domainsOf(fleet))
    for (const domain of domainsOf(fleet)) if (domain !== last) fleet.takeBack(domain)
    fleet.evacuate(last)
    record(`evacuate ${last} to the end`)
    fleet.time.after(EVACUATED_AFTERWARDS_MS, () => fleet.takeBack(last))
  })
}

function submitLongJobs (fleet: ShardFleet, until: number): void {
  if (fleet.time.now > until) return
  const names = fleet.present().map(process => process.name)
  submitLongJob(fleet, pick(fleet, names), { ...STEP_TASK, fails: fleet.randomBelow(4) === 0 })
  fleet.time.after(fleet.randomBelow(LONG_JOB_PERIOD_MS * 2), () => submitLongJobs(fleet, until))
}

/** Submits a job whose steps follow each other. */
export function submitLongJob (fleet: ShardFleet, at: InstanceId, task: ModelTask): void {
  const id = `e${fleet.jobs.length.toString(16).padStart(15, '0')}` as JobId
  const step = { count: 1, needs: { cpuMilli: task.cpuMilli, memoryMb: 64, accelerators: 0 }, estimateMs: ms(task.workMs), requiredLabel: '', preferredRack: '', maxPerEndpoint: 0 }
  const steps: StepSpec[] = Array.from({ length: LONG_JOB_STEPS }, (_, n) => ({ ...step, after: n === 0 ? [] : [n - 1] }))
  fleet.submitJob(at, { host: DEFAULT_QUEUE.host, path: `${DEFAULT_QUEUE.prefix}${id}`, job: { id, spec: JSON.stringify(task), features: [], steps }, deadlineMs: LONG_JOB_DEADLINE_MS, retries: 0 })
}

function evacuateFor (fleet: ShardFleet, domains: readonly string[], until: number): void {
  if (fleet.time.now >= until) return
  for (const domain of domains) {
    fleet.evacuate(domain)
    const durationMs = EVACUATED_MIN_MS + fleet.randomBelow(EVACUATED_SPREAD_MS)
    fleet.time.after(durationMs, () => fleet.time.now < until && fleet.takeBack(domain))
  }
}

function turnAway (fleet: ShardFleet, names: readonly InstanceId[], until: number): void {
  for (const name of names) unserve(fleet, name, Math.min(TURNED_AWAY_MS, until - fleet.time.now))
}

/** Lets the store turn an instance away for a while. */
function unserve (fleet: ShardFleet, name: InstanceId, durationMs: number): void {
  fleet.storeFaults.unservedInstances.add(name)
  fleet.time.after(durationMs, () => fleet.storeFaults.unservedInstances.delete(name))
}

/** @returns an instance that owns the domain, or any of it while there is no owner */
function ownerOf (fleet: ShardFleet, domain: string): InstanceId {
  return fleet.owners().find(name => name.startsWith(`${domain}-`)) ?? `${domain}-0` as InstanceId
}

function domainsOf (fleet: ShardFleet): string[] {
  return [...new Set(fleet.present().map(process => process.domain as string))]
}

function pick<T> (fleet: ShardFleet, items: readonly T[]): T {
  return items[fleet.randomBelow(items.length)] as T
}
