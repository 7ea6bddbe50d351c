/**
 * Jobs that move between failure domains while the messages about them are late, overtake each other or are lost: owners decline and displace them under
 * overload, refuse their copies, lose their room, and release them when their domain is evacuated. Their tasks outlast the time after which callers send again.
 */
import type { InstanceId } from '@cranberryyard/protocol'
import { ShardFleet } from './shardFleet.js'

const DOMAINS = ['a', 'b', 'c'] as const
const WARM_UP_MS = 6000
const LOADED_MS = 12_000
const AFTERWARDS_MS = 4000
const LONGEST_TASK_MS = 4000
const JOBS_PER_QUEUE = 10
/** Messages may take longer than owners accept an order, and overtake ten later ones. */
const SCATTERS = [
  { lostShare: 0, lateShare: 0.1, delayMaxMs: 2500 },
  { lostShare: 0.02, lateShare: 0.6, delayMaxMs: 900 },
  { lostShare: 0.1, lateShare: 0.3, delayMaxMs: 300 }
] as const

/** What happens around the jobs, with the mean time between two events. */
const EVENTS: readonly { readonly meanIntervalMs: number, readonly happen: (fleet: ShardFleet) => void }[] = [
  { meanIntervalMs: 60, happen: submitJob },
  { meanIntervalMs: 400, happen: fleet => fleet.replaceConnections(pickInstance(fleet), pickInstance(fleet)) },
  { meanIntervalMs: 1500, happen: fleet => fleet.breakCallers(pickInstance(fleet)) },
  {
    meanIntervalMs: 2500,
    happen: (fleet) => {
      const domain = pick(fleet, DOMAINS)
      fleet.evacuate(domain)
      fleet.time.after(500 + fleet.randomBelow(4000), () => fleet.takeBack(domain))
    }
  },
  {
    meanIntervalMs: 2500,
    happen: (fleet) => {
      const { id, cpuMilli } = pick(fleet, [...fleet.endpoints.values()])
      fleet.resizeEndpoint(id, cpuMilli / 2)
      fleet.time.after(2000, () => fleet.resizeEndpoint(id, cpuMilli))
    }
  },
  { meanIntervalMs: 3000, happen: fleet => fleet.missEntry(pick(fleet, [...fleet.endpoints.keys()]), 500 + fleet.randomBelow(6000)) },
  {
    meanIntervalMs: 2000,
    happen: (fleet) => {
      const queueVersion = fleet.addQueue()
      for (let job = 0; job < JOBS_PER_QUEUE; job++) fleet.time.after(fleet.randomBelow(2000), () => submitLong(fleet, queueVersion))
      // Another version may follow before every instance has the first.
      if (fleet.randomBelow(2) === 0) fleet.time.after(fleet.randomBelow(100), () => fleet.changeDesiredState())
    }
  },
  { meanIntervalMs: 2500, happen: fleet => fleet.slowDown(pickInstance(fleet), 50 + fleet.randomBelow(300), 1500) },
  { meanIntervalMs: 6000, happen: fleet => fleet.terminate(pickInstance(fleet), 300) }
]

/** Plays jobs that move. The seed determines the whole run. */
export function playMovedJobs (seed: number): ShardFleet {
  const fleet = new ShardFleet({ domains: DOMAINS, instancesPerDomain: 3, endpointsPerDomain: 3, seed })
  fleet.run(WARM_UP_MS)
  fleet.scatter = pick(fleet, SCATTERS)
  const until = fleet.time.now + LOADED_MS
  for (const { meanIntervalMs, happen } of EVENTS) {
    const next = (): void => {
      if (fleet.time.now > until) return
      happen(fleet)
      fleet.time.after(fleet.randomBelow(meanIntervalMs * 2), next)
    }
    fleet.time.after(fleet.randomBelow(meanIntervalMs), next)
  }
  fleet.run(LOADED_MS)
  fleet.scatter = undefined
  fleet.run(AFTERWARDS_MS)
  return fleet
}

function submitJob (fleet: ShardFleet): void {
  if (fleet.randomBelow(4) === 0) fleet.submit(pickInstance(fleet), 6, { cpuMilli: 8000 + fleet.randomBelow(8000), workMs: 60, fails: false })
  else submitLong(fleet)
}

function submitLong (fleet: ShardFleet, queueVersion?: number): void {
  const spec = { cpuMilli: 8000 + fleet.randomBelow(8000), workMs: 500 + fleet.randomBelow(LONGEST_TASK_MS - 500), fails: false }
  fleet.submit(pickInstance(fleet), 1 + fleet.randomBelow(3), spec, queueVersion === undefined ? {} : { queueVersion })
}

function pick<T> (fleet: ShardFleet, items: readonly T[]): T {
  return items[fleet.randomBelow(items.length)] as T
}

function pickInstance (fleet: ShardFleet): InstanceId {
  return pick(fleet, fleet.present().map(process => process.name))
}
