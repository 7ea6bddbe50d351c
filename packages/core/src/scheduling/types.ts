/**
 * Types of the scheduling decision.
 */
import type { Answer, CustomerId, EndpointId, InstanceId, JobSpec, KindTerms, Ms, Ran, ResultName, SubmissionId, TaskId } from '@cranberryyard/protocol'
import type { QueuedJob } from '../fairness/types.js'

/** A job as it is handed to the scheduler. */
export interface JobOrder {
  readonly submissionId: SubmissionId
  readonly customer: CustomerId
  readonly job: JobSpec
  readonly terms: KindTerms
  readonly weight: number
  /** Instance that answers the caller; undefined when it is this one. */
  readonly front: InstanceId | undefined
  /** End of the contract's answer time. */
  readonly deadline: Ms
}

/** A job in this instance's scheduler. */
export interface ScheduledJob extends QueuedJob {
  readonly order: JobOrder
  readonly results: unknown[]
  readonly meanMs: number
  nextIndex: number
  readonly refusedIndexes: number[]
  /** Tasks without a result. */
  missing: number
  /** Starts sent and not known to be refused. */
  started: number
  ended: boolean
}

/** A task that was started and may still run. */
export interface RunningTask {
  readonly taskId: TaskId
  readonly job: ScheduledJob
  readonly index: number
  readonly endpoint: EndpointId
  readonly address: string
  readonly startedAt: Ms
  renewedAt: Ms
  /** After this time the endpoint has ended the task if it was not heard of. */
  leaseUntil: Ms
  /** The connection was lost after the start was sent; permit and slot stay taken until the lease has run out. */
  outcomeLost: boolean
}

/** Receives what becomes of jobs. */
export interface SchedulingListener {
  jobAnswered (order: JobOrder, answer: Answer): void
  /** The job was not started here and has to be placed elsewhere. */
  jobReturned (order: JobOrder): void
}

/** What became of a forwarded job. */
export type ForwardedState =
  | { readonly type: 'held' }
  | { readonly type: 'ended', readonly answer: Answer }
  | { readonly type: 'neverArrived' }
  | { readonly type: 'forgotten' }

/** Why a job failed. */
export interface JobFailure {
  readonly name: ResultName
  readonly message: string
  readonly ran: Ran
}
