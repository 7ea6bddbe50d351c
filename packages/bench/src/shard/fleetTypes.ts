/**
 * Types of the in-memory fleet: its size, the jobs that callers send, its processes, and the faults of its store.
 */
import type { ListPace, RefusalCause, ShardInput, ShardInstance, ShardSettings } from '@cranberryyard/core/shard'
import type { EndpointReport, FailureDomain, InstanceId, JobId, JobRequest, QueueTerms, Revised, ShardRecord } from '@cranberryyard/protocol'

/** Size and seed of a fleet, and settings that differ from the defaults. */
export interface FleetOptions {
  readonly domains: readonly string[]
  readonly instancesPerDomain: number
  readonly endpointsPerDomain: number
  readonly seed: number
  readonly cfg?: Partial<ShardSettings>
  /** Whether jobs are encoded and decoded on their way between instances, as on real connections. */
  readonly encodesJobs?: boolean
  /** Queues of the desired state; by default one. */
  readonly queues?: readonly QueueTerms[]
  /** Instances whose links carry this many bytes a millisecond on each connection; those of the others take no time. */
  readonly narrowLinks?: { readonly instances: readonly string[], readonly bytesPerMs: number }
  /** The endpoints of each domain, in place of `endpointsPerDomain` endpoints of random size. */
  readonly endpointKinds?: readonly EndpointKind[]
}

/** Endpoints of one kind in each domain. `speed` divides run times. */
export interface EndpointKind {
  readonly count: number
  readonly cpuMilli: number
  readonly speed: number
}

/** How the fleet answered a submission: `other` covers a lost job and a broken connection. */
export type ReplyKind = 'completed' | 'failed' | 'refused' | 'other'

/** A job as its caller sends it. */
export interface Submission {
  readonly host: string
  readonly path: string
  readonly job: JobRequest
  readonly deadlineMs: number
  /** How often the caller comes back after a refusal, each time after the Retry-After that it was given. */
  readonly retries: number
}

/** An instance of the fleet, the faults that it has at present, and what the oracle has been told of it. */
export interface Process {
  readonly name: InstanceId
  readonly domain: FailureDomain
  core: ShardInstance
  incarnation: number
  up: boolean
  frozen: boolean
  pace: ListPace
  /** Counts changes of the pace, so that the read loops of an earlier pace end. */
  paceChanges: number
  /** Inputs that arrived while the process was frozen; they are handled when it resumes. */
  frozenInputs: ShardInput[]
  /** The process is down without power: connections to it are not refused, and peers do not notice that theirs are gone. */
  silent: boolean
  /** How long inputs from outside wait before the process handles them, as at an instance with too little processor time. */
  backlogMs: number
  /** When the latest of these inputs is handled; later ones do not overtake it. */
  backlogUntil: number
  /** The longest that any of these inputs waits. */
  backlogMaxMs: number
  /** Everything that callers had sent by `upTo` was handled by `endedAt`. */
  callerReads: { readonly upTo: number, readonly endedAt: number }
  /** Latest time at which the process did not run or could not reach the store. */
  lastDisturbedAt: number
  /** Latest time at which the process did not run. */
  lastStoppedAt: number
  /** Until when links to other instances have faults, or had them. */
  linksDisturbedUntil: number
  /** The version that the process reads from the store at present, over a narrow link. */
  readingVersion: number
  /** The machine has been taken away for good. */
  removed: boolean
  /** Fencing token of the own shard as reported to the oracle; undefined while the process does not own it. */
  reportedToken: number | undefined
  /** Copy of the own shard's record as reported to the oracle. */
  reportedRecord: Revised<ShardRecord> | undefined
  /** Reply callbacks of submissions that wait for an answer, by call id. */
  pendingCalls: Map<string, (reply: ReplyKind, retryAfterMs?: number, cause?: RefusalCause) => void>
}

/** A message that a held link keeps, with the connection on which it was sent. */
export interface HeldMessage {
  readonly connection: number
  readonly deliver: () => void
}

/** How messages about jobs are lost or late, as shares of all. */
export interface MessageScatter {
  readonly lostShare: number
  readonly lateShare: number
  readonly delayMaxMs: number
}

/** A queue that a version of the desired state has added. */
export interface AddedQueue {
  readonly addedAt: number
  removedIn: number | undefined
  removedAt: number
}

/** A job of an added queue. */
export interface QueueUse {
  readonly addedIn: number
  /** When the caller first sent the job. */
  readonly sentAt: number
  /** Whether one of the instances to which it was sent may have had a version with the queue. */
  mayBeAccepted: boolean
}

/** Faults of the store that a test can switch on. */
export interface StoreFaults {
  down: boolean
  /** Instances that the store does not serve. */
  readonly unservedInstances: Set<string>
  /** Share of shard claims that take effect up to 3 s late and get no reply. */
  lostReplyShare: number
  /** What reads of the list of endpoints return that need not be fresh; undefined while such copies are up to date. */
  staleEndpoints: readonly EndpointReport[] | undefined
}

/** What is particular about a job. */
export interface JobVariant {
  readonly hasByteOrderMark?: boolean
  /** The version of the desired state that has added the job's queue; without it, the queue that all versions have. */
  readonly queueVersion?: number
}

/** A job as its caller sees it. */
export interface CallerJob {
  readonly id: JobId
  readonly tasks: number
  readonly sentAt: number
  reply: ReplyKind | undefined
  latencyMs: number | undefined
  /** The outcome of an earlier sending is not known; the job may have run. */
  wasLost?: boolean
}
