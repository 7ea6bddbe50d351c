/**
 * Runs random scenarios on the in-memory fleet: jobs arrive at a steady rate while random faults of all kinds overlap. Then the
 * faults stop, and the result shows violations and whether service recovered. The seed determines the whole run.
 */
import type { FencedEndpointModel, ModelTask, Violation } from '@cranberryyard/fakes'
import type { InstanceId } from '@cranberryyard/protocol'
import { ShardFleet } from './shardFleet.js'
import { EVACUATED_AFTERWARDS_MS, addEvacuations } from './evacuations.js'
import { addQueueChanges } from './queueChanges.js'
import { addLargeStateChanges, largeStateOptions } from './largeStates.js'
import { addMissingEntries } from './missingEntries.js'
import { addReplacements } from './replacements.js'
import { addSilentConnections } from './silentConnections.js'
import { addStaleOwners } from './staleOwners.js'
import { addStrains } from './strains.js'

const DOMAINS = ['a', 'b', 'c'] as const
const WARM_UP_MS = 2000
const FAULT_FREE_MS = 8000
const MEAN_FAULT_INTERVAL_MS = 700
const MEAN_HAZARD_INTERVAL_MS = 1000
const SOUND_TASK: ModelTask = { cpuMilli: 12_000, workMs: 80, fails: false }
const DEADLY_TASK: ModelTask = { ...SOUND_TASK, crashAfterMs: 3 }

/** With encoded jobs, one in so many has a spec that begins with a byte order mark. */
const JOBS_PER_MARKED_SPEC = 8

/** Result of a scenario, as `npm run fuzz:shard` prints it. */
export interface ScenarioResult {
  readonly seed: number
  readonly violations: readonly Violation[]
  readonly jobs: number
  readonly completed: number
  readonly refused: number
  /** Number of jobs that had no final reply at the end of the run. */
  readonly unanswered: number
  /** Share of completed jobs among the jobs of the last 2.5 s. The last fault is injected at least 5.5 s before them. */
  readonly calmShare: number
  /** Time in virtual milliseconds and description of each fault. */
  readonly faults: readonly string[]
}

/** Injects a random fault into a fleet. @returns a description of the fault */
type Fault = (fleet: ShardFleet) => string

const FAULTS: readonly Fault[] = [
  (fleet) => {
    const name = pickInstance(fleet)
    fleet.kill(name, 100 + fleet.randomBelow(1500))
    return `kill ${name}`
  },
  (fleet) => {
    const name = pickInstance(fleet)
    const durationMs = 300 + fleet.randomBelow(3500)
    fleet.freeze(name, durationMs)
    return `freeze ${name} ${durationMs}`
  },
  (fleet) => {
    const name = pickInstance(fleet)
    fleet.terminate(name, 300)
    return `terminate ${name}`
  },
  (fleet) => {
    const domain = pick(fleet, DOMAINS)
    const durationMs = 1000 + fleet.randomBelow(4000)
    fleet.cutDomain(domain, durationMs)
    return `cut ${domain} ${durationMs}`
  },
  (fleet) => {
    const [a, b] = [pickInstance(fleet), pickInstance(fleet)]
    const pairs = fleet.randomBelow(2) === 0 ? [`${a}>${b}`] : [`${a}>${b}`, `${b}>${a}`]
    fleet.cutPairs(pairs, 500 + fleet.randomBelow(3000))
    return `cut ${pairs.join()}`
  },
  (fleet) => {
    const name = pickInstance(fleet)
    const endpoint = pickEndpoint(fleet)
    const pairs = fleet.randomBelow(2) === 0 ? [`${endpoint.id}>${name}`] : [`${name}>${endpoint.id}`, `${endpoint.id}>${name}`]
    fleet.cutPairs(pairs, 500 + fleet.randomBelow(4000))
    return `cut ${pairs.join()}`
  },
  (fleet) => {
    const durationMs = 1000 + fleet.randomBelow(4000)
    fleet.storeFaults.down = true
    fleet.time.after(durationMs, () => {
      fleet.storeFaults.down = false
    })
    return `store down ${durationMs}`
  },
  (fleet) => {
    const name = pickInstance(fleet)
    fleet.storeFaults.unservedInstances.add(name)
    fleet.time.after(3000, () => fleet.storeFaults.unservedInstances.delete(name))
    return `store refuses ${name}`
  },
  (fleet) => {
    fleet.storeFaults.lostReplyShare = 0.5
    fleet.time.after(3000, () => {
      fleet.storeFaults.lostReplyShare = 0
    })
    return 'store loses replies'
  },
  (fleet) => {
    fleet.lateOrderShare = 0.06
    fleet.time.after(4000, () => {
      fleet.lateOrderShare = 0
    })
    return 'late orders'
  },
  (fleet) => {
    fleet.lostAnswerShare = 0.1
    fleet.time.after(4000, () => {
      fleet.lostAnswerShare = 0
    })
    return 'lost answers'
  },
  (fleet) => {
    for (const a of fleet.processes.keys()) {
      for (const b of fleet.processes.keys()) {
        if (a < b) fleet.time.after(fleet.randomBelow(2000), () => fleet.replaceConnections(a, b))
      }
    }
    return 'connections replaced'
  },
  (fleet) => {
    const domain = pick(fleet, DOMAINS)
    const names = fleet.present().filter(process => process.domain === domain).map(process => process.name)
    const restarted = pick(fleet, names)
    const cutOff = pick(fleet, names)
    fleet.kill(restarted, 100)
    fleet.time.after(90, () => fleet.lapseEntries(domain))
    fleet.time.after(150, () => fleet.cutPairs(names.flatMap(name => name === cutOff ? [] : [`${name}>${cutOff}`, `${cutOff}>${name}`]), 900))
    return `lapse entries of ${domain}, restart ${restarted}, cut off ${cutOff}`
  },
  (fleet) => {
    const endpoint = pickEndpoint(fleet)
    fleet.restartEndpoint(endpoint.id)
    return `restart ${endpoint.id}`
  },
  (fleet) => {
    const endpoint = pickEndpoint(fleet)
    const kind = pick(fleet, ['slow', 'hangs', 'fails', 'refuses'] as const)
    setMisbehaviour(endpoint, kind, true)
    fleet.time.after(4000, () => setMisbehaviour(endpoint, kind, false))
    return `${kind} ${endpoint.id}`
  },
  (fleet) => {
    const endpoint = pickEndpoint(fleet)
    if (fleet.drainingEndpoints.size > 2) return 'no drain'
    fleet.drain(endpoint.id, 4000)
    return `drain ${endpoint.id}`
  },
  (fleet) => {
    fleet.changeDesiredState()
    return 'desired state'
  },
  (fleet) => {
    const domain = pick(fleet, DOMAINS)
    for (const process of fleet.processes.values()) {
      if (process.domain === domain) fleet.kill(process.name, 300 + fleet.randomBelow(600))
    }
    return `kill all of ${domain}`
  }
]

/** The load of a scenario. */
export interface ScenarioLoad {
  /** Mean rate of submissions. */
  readonly jobsPerSecond: number
  /** Mean time between two faults; 0.7 s by default. */
  readonly meanFaultIntervalMs?: number
  /** Multiplies the run times of tasks; with 2 and more, tasks outlast the time after which callers resend. 1 by default. */
  readonly workFactor?: number
  /** Adds jobs with a task that crashes its endpoints, and endpoints that shrink and grow. */
  readonly withHazards?: boolean
  /** Adds messages that arrive late, slow instances and losses without a sign. */
  readonly withStrain?: boolean
  /** Adds endpoints that are cut off from the store while the instances of their domain are restarted in turn. */
  readonly withMissingEntries?: boolean
  /** Encodes jobs on their way between instances, some of them with text that codecs change. */
  readonly withEncodedJobs?: boolean
  /** Adds versions that add and remove queues while an owner is cut off from the store. */
  readonly withQueueChanges?: boolean
  /** Adds versions of a large desired state on a fleet with narrow links. */
  readonly withLargeStates?: boolean
  /** Adds machines that are replaced while the store loses answers, followed by an outage. */
  readonly withReplacements?: boolean
  /** Adds connections between instances that go silent for good. */
  readonly withSilentConnections?: boolean
  /** Adds owners that are cut off from the other instances while endpoints restart. */
  readonly withStaleOwners?: boolean
  /** Adds failure domains that are evacuated and taken back around other faults. */
  readonly withEvacuations?: boolean
}

/**
 * Runs one scenario.
 * @param seed - determines all random choices
 * @param faultyMs - duration of the phase in which faults are injected
 * @param load - the jobs that arrive, and what they do to endpoints
 */
export function runShardScenario (seed: number, faultyMs: number, { jobsPerSecond, meanFaultIntervalMs = MEAN_FAULT_INTERVAL_MS, workFactor = 1, withHazards = false, withStrain = false, withMissingEntries = false, withEncodedJobs = false, withQueueChanges = false, withLargeStates = false, withReplacements = false, withStaleOwners = false, withSilentConnections = false, withEvacuations = false }: ScenarioLoad): ScenarioResult {
  const fleet = new ShardFleet({ domains: DOMAINS, instancesPerDomain: 3, endpointsPerDomain: 5, seed, encodesJobs: withEncodedJobs, ...withLargeStates ? largeStateOptions(DOMAINS.map(domain => `${domain}-2`)) : {} })
  const faults: string[] = []
  fleet.run(WARM_UP_MS)
  const faultFreeMs = FAULT_FREE_MS + (withEvacuations ? EVACUATED_AFTERWARDS_MS : 0)
  const submitUntil = fleet.time.now + faultyMs + faultFreeMs
  const submitNext = (): void => {
    if (fleet.time.now > submitUntil) return
    submitJob(fleet, workFactor, withEncodedJobs && fleet.jobs.length % JOBS_PER_MARKED_SPEC === 0)
    fleet.time.after(fleet.randomBelow(2000 / jobsPerSecond), submitNext)
  }
  submitNext()
  const faultsUntil = fleet.time.now + faultyMs
  const injectNextFault = (): void => {
    if (fleet.time.now > faultsUntil) return
    faults.push(`${Math.round(fleet.time.now)} ${pick(fleet, FAULTS)(fleet)}`)
    fleet.time.after(fleet.randomBelow(meanFaultIntervalMs * 2), injectNextFault)
  }
  injectNextFault()
  if (withHazards) addHazards(fleet, faultsUntil)
  if (withStrain) addStrains(fleet, faultsUntil)
  if (withMissingEntries) addMissingEntries(fleet, faultsUntil)
  if (withQueueChanges) addQueueChanges(fleet, faultsUntil)
  if (withLargeStates) addLargeStateChanges(fleet, submitUntil)
  if (withReplacements) addReplacements(fleet, faultsUntil)
  if (withSilentConnections) addSilentConnections(fleet, faultsUntil)
  if (withStaleOwners) addStaleOwners(fleet, faultsUntil)
  if (withEvacuations) addEvacuations(fleet, faultsUntil, fault => faults.push(`${Math.round(fleet.time.now)} ${fault}`))
  fleet.run(faultyMs + faultFreeMs)
  fleet.run(FAULT_FREE_MS)
  return summarize(seed, fleet, faults, submitUntil - 2500)
}

function addHazards (fleet: ShardFleet, until: number): void {
  if (fleet.time.now > until) return
  if (fleet.randomBelow(2) === 0) {
    fleet.submitTasks(pickInstance(fleet), [DEADLY_TASK, ...Array.from({ length: 1 + fleet.randomBelow(4) }, () => SOUND_TASK)])
  } else {
    const { id, cpuMilli } = pickEndpoint(fleet)
    fleet.resizeEndpoint(id, Math.floor(cpuMilli * (20 + fleet.randomBelow(60)) / 100))
    fleet.time.after(1000 + fleet.randomBelow(8000), () => fleet.resizeEndpoint(id, cpuMilli))
  }
  fleet.time.after(fleet.randomBelow(MEAN_HAZARD_INTERVAL_MS * 2), () => addHazards(fleet, until))
}

function summarize (seed: number, fleet: ShardFleet, faults: readonly string[], calmFrom: number): ScenarioResult {
  const calm = fleet.jobs.filter(job => job.sentAt >= calmFrom)
  const count = (reply: string | undefined): number => fleet.jobs.filter(job => job.reply === reply).length
  return {
    seed,
    violations: fleet.oracle.violations,
    jobs: fleet.jobs.length,
    completed: count('completed'),
    refused: count('refused'),
    unanswered: count(undefined),
    calmShare: calm.filter(job => job.reply === 'completed').length / Math.max(1, calm.length),
    faults
  }
}

function submitJob (fleet: ShardFleet, workFactor: number, hasByteOrderMark: boolean): void {
  const kind = pick(fleet, [{ tasks: 8, workMs: 60 }, { tasks: 4, workMs: 900 }, { tasks: 2, workMs: 200 }, { tasks: 2, workMs: 200 }, { tasks: 2, workMs: 200 }] as const)
  const spec = { cpuMilli: 8000 + fleet.randomBelow(12_000), workMs: Math.round(kind.workMs * workFactor * (0.6 + fleet.randomBelow(80) / 100)), fails: fleet.randomBelow(500) === 0 }
  fleet.submit(pickInstance(fleet), kind.tasks, spec, { hasByteOrderMark })
}

function setMisbehaviour (endpoint: FencedEndpointModel, kind: 'slow' | 'hangs' | 'fails' | 'refuses', on: boolean): void {
  switch (kind) {
    case 'slow':
      endpoint.faults.slowdownFactor = on ? 6 : 1
      return
    case 'hangs':
      endpoint.faults.hangs = on
      return
    case 'fails':
      endpoint.faults.failsEveryTask = on
      return
    case 'refuses':
      endpoint.faults.refusesStarts = on
  }
}

function pick<T> (fleet: ShardFleet, items: readonly T[]): T {
  return items[fleet.randomBelow(items.length)] as T
}

function pickInstance (fleet: ShardFleet): InstanceId {
  return pick(fleet, fleet.present().map(process => process.name))
}

function pickEndpoint (fleet: ShardFleet): FencedEndpointModel {
  return pick(fleet, [...fleet.endpoints.values()])
}
