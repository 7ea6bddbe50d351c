/**
 * Types of the scheduling decision: jobs as they are handed to a scheduler, its own records of jobs and running
 * tasks, and what it reports back.
 */
import type { Answer, CustomerId, EndpointId, InstanceId, JobSpec, KindTerms, Ms, Ran, ResultName, SubmissionId, TaskId } from '@cranberryyard/protocol'
import type { QueuedJob } from '../fairness/types.js'

/** A job as it is handed to the scheduler, with the terms of its customer's contract. */
export interface JobOrder {
  readonly submissionId: SubmissionId
  readonly customer: CustomerId
  readonly job: JobSpec
  readonly terms: KindTerms
  readonly weight: number
  /** Instance that accepted the job and answers the caller; undefined when it is this one. */
  readonly front: InstanceId | undefined
  /** Time at which the contract's answer time ends. */
  readonly deadline: Ms
}

/** The scheduler's record of a job. */
export interface ScheduledJob extends QueuedJob {
  readonly order: JobOrder
  /** Results by index of the task. */
  readonly results: unknown[]
  /** Expected run time of one task. */
  readonly meanMs: number
  /** Index of the first task that no start was tried for yet. */
  nextIndex: number
  /** Indexes of tasks whose start an endpoint refused; they are started again first. */
  readonly refusedIndexes: number[]
  /** Number of tasks without a result. */
  missingResults: number
  /** Number of starts sent and not known to be refused. */
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
  /** Time by which the endpoint has ended the task if its lease is not renewed again. */
  leaseUntil: Ms
  /**
   * True once the connection was lost after the start was sent. The task may still run, so its permit and slot
   * stay in use until the lease has run out.
   */
  outcomeLost: boolean
}

/** Receives the outcome of jobs. */
export interface SchedulingListener {
  jobAnswered (order: JobOrder, answer: Answer): void
  /** No task of the job was started here; the job has to be placed with another instance. */
  jobReturned (order: JobOrder): void
}

/**
 * State of a forwarded job at its scheduler. `held`: the scheduler still works on it. `neverArrived`: the forward was
 * lost, so nothing has run. `forgotten`: the scheduler no longer knows whether anything has run.
 */
export type ForwardedState =
  | { readonly type: 'held' }
  | { readonly type: 'ended', readonly answer: Answer }
  | { readonly type: 'neverArrived' }
  | { readonly type: 'forgotten' }

/** Why a job failed, and whether any of its tasks ran. */
export interface JobFailure {
  readonly name: ResultName
  readonly message: string
  readonly ran: Ran
}
