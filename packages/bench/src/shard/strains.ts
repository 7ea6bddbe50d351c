/**
 * Faults of machines and networks under strain, injected beside those of `shardScenario.ts`: messages that arrive long after they were sent,
 * instances that handle them late, and losses that give no sign. None of them breaks a connection.
 */
import type { InstanceId } from '@cranberryyard/protocol'
import type { ShardFleet } from './shardFleet.js'

const MEAN_STRAIN_INTERVAL_MS = 900
/** Longest queue on a full link, and time until it has built up. */
const LINK_QUEUE_MAX_MS = 900
const LINK_QUEUE_STEPS = 6
const LINK_QUEUE_STEP_MS = 200
/** Longest backlog of a slow instance; less than the pause that an instance notices. */
const BACKLOG_MAX_MS = 350

type Strain = (fleet: ShardFleet) => void

const STRAINS: readonly Strain[] = [
  (fleet) => {
    const [a, b] = [pickInstance(fleet), pickInstance(fleet)]
    fleet.holdUpLinks(fleet.randomBelow(2) === 0 ? [`${a}>${b}`] : [`${a}>${b}`, `${b}>${a}`], 300 + fleet.randomBelow(3500))
  },
  (fleet) => {
    const name = pickInstance(fleet)
    const others = [...fleet.processes.keys()].filter(other => other !== name)
    fleet.holdUpLinks(others.flatMap(other => [`${name}>${other}`, `${other}>${name}`]), 300 + fleet.randomBelow(3500))
  },
  (fleet) => {
    const name = pickInstance(fleet)
    const pairs = [...fleet.processes.keys()].filter(other => other !== name).map(other => fleet.randomBelow(2) === 0 ? `${name}>${other}` : `${other}>${name}`)
    const queueMs = fleet.randomBelow(LINK_QUEUE_MAX_MS)
    for (let step = 1; step <= LINK_QUEUE_STEPS; step++) {
      fleet.time.after(step * LINK_QUEUE_STEP_MS, () => fleet.delayLinks(pairs, queueMs * step / LINK_QUEUE_STEPS))
    }
    fleet.time.after(LINK_QUEUE_STEPS * LINK_QUEUE_STEP_MS + 500 + fleet.randomBelow(2000), () => fleet.delayLinks(pairs, 0))
  },
  fleet => fleet.slowDown(pickInstance(fleet), 50 + fleet.randomBelow(BACKLOG_MAX_MS - 50), 1000 + fleet.randomBelow(3000)),
  fleet => fleet.losePower(pickInstance(fleet), 800 + fleet.randomBelow(2500)),
  (fleet) => {
    const domain = pickInstance(fleet).split('-')[0] ?? ''
    for (const name of [...fleet.processes.keys()].filter(other => other.startsWith(domain))) {
      if (fleet.randomBelow(3) > 0) fleet.time.after(fleet.randomBelow(900), () => fleet.losePower(name, 800 + fleet.randomBelow(1500)))
    }
  },
  (fleet) => {
    fleet.lateStopShare = 0.8
    fleet.time.after(2500, () => {
      fleet.lateStopShare = 0
    })
  }
]

/** Injects strains at random moments until a time. */
export function addStrains (fleet: ShardFleet, until: number): void {
  if (fleet.time.now > until) return
  STRAINS[fleet.randomBelow(STRAINS.length)]?.(fleet)
  fleet.time.after(fleet.randomBelow(MEAN_STRAIN_INTERVAL_MS * 2), () => addStrains(fleet, until))
}

function pickInstance (fleet: ShardFleet): InstanceId {
  const names = [...fleet.processes.keys()]
  return names[fleet.randomBelow(names.length)] as InstanceId
}
