/**
 * Types of the model of stored jobs: callers, owners, the store and endpoints, as far as the protocol of
 * `docs/design/stored-jobs.md` concerns them. A state is immutable, and its parts are shared between states. Each job has one task.
 * Time is left out: what a bound in time ensures is a step that may be taken only when, or that brings about that, the bound has passed.
 */
import type { Brand } from '@cranberryyard/protocol'
import type { TransitionOf } from './explore.js'

export type JobIndex = Brand<number, 'JobIndex'>
export type OwnerIndex = Brand<number, 'OwnerIndex'>
export type EndpointIndex = Brand<number, 'EndpointIndex'>
/** The revision of the shard's record that makes its writer the owner; 0 stands for none. */
export type Token = Brand<number, 'Token'>
/** Tells the runs of one task apart; it stands for a number that no owner gives twice. */
export type RunId = Brand<number, 'RunId'>

/** What an owner knows of a fact about a job: `wanted` waits for the next write, `sent` is in the write that has no reply yet. */
export type FactStatus = 'no' | 'wanted' | 'sent' | 'stored'

/** The facts about one job, in the store or in a write. They are only ever added. */
export interface JobFacts {
  readonly accepted: boolean
  readonly cancelled: boolean
  readonly done: boolean
  readonly failed: readonly RunId[]
}

/** One value for each job; undefined for a job without facts. */
export type FactsByJob = readonly (JobFacts | undefined)[]

/** The store: the shard's record, reduced to its token, and the facts that the owners' writes have added. */
export interface StoreState {
  readonly token: Token
  readonly jobs: FactsByJob
}

/** A write whose sender has lost its memory. The store may still execute it. */
export interface LateWrite {
  readonly token: Token
  readonly facts: FactsByJob
}

/** A run that has ended as failed, as an owner knows it. */
export interface FailedRun {
  readonly run: RunId
  readonly status: FactStatus
}

/** Where an owner believes a task to be running. */
export interface PlacedRun {
  readonly endpoint: EndpointIndex
  readonly run: RunId
}

/** A job in the memory of an owner. */
export interface OwnedJob {
  readonly accepted: FactStatus
  readonly cancelled: FactStatus
  readonly done: FactStatus
  readonly failed: readonly FailedRun[]
  /** Number of copies that wait for the write of the acceptance. */
  readonly waitingCopies: number
  /** The job was accepted under the present token, so no earlier owner can have started it. */
  readonly isNew: boolean
  readonly run: PlacedRun | undefined
}

/** What an owner knows of an endpoint under its token: nothing, its answer, or that every lease there has ended without one. */
export type EndpointView = 'unknown' | 'answered' | 'waitedOut'

/** The state of the one write that an owner may have on its way; the last two are known to the store only until the owner learns of them. */
export type WriteState = 'none' | 'sent' | 'executed' | 'conflict'

/** An instance that may own the shard. All of its state is lost when its process ends. */
export interface OwnerState {
  /** 0 while it does not take itself for the owner. */
  readonly token: Token
  /** It may give orders: the latest proof that it owns the shard was given within the permitted time. */
  readonly hasProof: boolean
  /** Every proof of earlier owners has ended, as have their orders that were on their way. */
  readonly outwaited: boolean
  readonly views: readonly EndpointView[]
  readonly jobs: readonly (OwnedJob | undefined)[]
  readonly write: WriteState
  /** What it read before it wrote the shard's record; only without the rule `readAfterClaim`. */
  readonly readEarly: FactsByJob | undefined
}

/** An end that an endpoint lists until it is acknowledged. */
export interface ListedEnd {
  readonly job: JobIndex
  readonly run: RunId
  readonly how: 'done' | 'failed'
  /** The endpoint's lease has ended since, so its acknowledgement does not count. */
  readonly lapsed: boolean
  /** A run has started after this end although the end, once acknowledged, forbids it. */
  readonly overrun: boolean
}

/** An endpoint: its highest token, the run of each job's task, and ends that are not acknowledged. */
export interface EndpointState {
  readonly token: Token
  readonly runs: readonly (RunId | undefined)[]
  readonly ends: readonly ListedEnd[]
}

/** A start order on its way to an endpoint. */
export interface StartOrder {
  readonly endpoint: EndpointIndex
  readonly token: Token
  readonly job: JobIndex
  readonly run: RunId
  /** Its sender counts it as lost; only without the rule `startDeadline`. */
  readonly writtenOff: boolean
}

/** A job as its caller, its front and the oracle see it. */
export interface CallerState {
  /** Number of copies that no owner has taken yet. */
  readonly copies: number
  /** An owner that had a copy has lost its memory without an answer. */
  readonly copyLost: boolean
  readonly answer: 'none' | 'accepted' | 'refused'
  readonly cancel: 'none' | 'requested' | 'confirmed'
  readonly shown: 'none' | 'completed' | 'failed'
  readonly hasStarted: boolean
  readonly hasBeenDone: boolean
  readonly doneAcknowledged: boolean
  readonly failedRuns: number
  readonly failedAcknowledged: number
  /** Acknowledged ends among those after which a run has started beyond the budget. */
  readonly failedBeforeOverrun: number
}

/** How often each kind of fault or repetition may still happen. */
export interface Allowance {
  /** Crashes of owners. */
  readonly crashes: number
  /** Crashes of endpoints, which restart at once. */
  readonly restarts: number
  /** Takeovers from an owner whose process lives. */
  readonly suspicions: number
  /** Endpoints that give an owner no answer until their leases have ended, and leases that end since nobody renews them in time. */
  readonly silences: number
  /** Copies beyond the first. */
  readonly resends: number
  readonly declines: number
  readonly cancels: number
  readonly failures: number
  /** Answers to callers that are lost. */
  readonly answerLosses: number
  readonly startLosses: number
}

/** A state of the model. */
export interface ModelState {
  readonly store: StoreState
  readonly lateWrites: readonly LateWrite[]
  readonly owners: readonly OwnerState[]
  readonly endpoints: readonly EndpointState[]
  readonly orders: readonly StartOrder[]
  readonly callers: readonly CallerState[]
  readonly allowance: Allowance
}

/** What is explored: the number of jobs, owners and endpoints, the failed runs after which a job fails, and the faults. */
export interface Scope {
  readonly name: string
  readonly jobs: number
  readonly owners: number
  readonly endpoints: number
  readonly maxAttempts: number
  readonly allowance: Allowance
}

/** A step of the model. Each is atomic; whatever can die or be delayed between two actions is two steps. */
export type Step =
  | { readonly type: 'deliverCopy', readonly job: JobIndex, readonly owner: OwnerIndex, readonly verdict: 'known' | 'admitted' | 'declined' }
  | { readonly type: 'resend', readonly job: JobIndex }
  | { readonly type: 'deliverCancel', readonly job: JobIndex, readonly owner: OwnerIndex }
  | { readonly type: 'readEarly', readonly owner: OwnerIndex }
  | { readonly type: 'claim', readonly owner: OwnerIndex, readonly token: Token }
  | { readonly type: 'executeWrite', readonly owner: OwnerIndex, readonly outcome: 'executed' | 'conflict' }
  | { readonly type: 'executeLateWrite', readonly token: Token }
  | { readonly type: 'learnOutcome', readonly owner: OwnerIndex, readonly answersLost: boolean }
  | { readonly type: 'giveUpWrite', readonly owner: OwnerIndex }
  | { readonly type: 'noticeSuccessor', readonly owner: OwnerIndex }
  | { readonly type: 'outwaitPredecessor', readonly owner: OwnerIndex }
  | { readonly type: 'outwaitEndpoint', readonly owner: OwnerIndex, readonly endpoint: EndpointIndex }
  | { readonly type: 'hold', readonly owner: OwnerIndex, readonly endpoint: EndpointIndex }
  | { readonly type: 'sendStart', readonly owner: OwnerIndex, readonly job: JobIndex, readonly endpoint: EndpointIndex, readonly run: RunId }
  | { readonly type: 'carryOutStart', readonly endpoint: EndpointIndex, readonly job: JobIndex, readonly run: RunId, readonly token: Token }
  | { readonly type: 'loseStart', readonly endpoint: EndpointIndex, readonly job: JobIndex, readonly run: RunId }
  | { readonly type: 'endRun', readonly endpoint: EndpointIndex, readonly job: JobIndex, readonly how: 'done' | 'failed' }
  | { readonly type: 'lapse', readonly endpoint: EndpointIndex }
  | { readonly type: 'crashOwner', readonly owner: OwnerIndex, /** The store has executed or will execute its write. */ readonly writeExecuted: boolean }
  | { readonly type: 'crashEndpoint', readonly endpoint: EndpointIndex }

/** A step with the state that it leads to. */
export type Transition = TransitionOf<ModelState, Step>
