/**
 * Types of the execution decision: jobs at the owner of a shard, task by task.
 */
import type { DispatchOrder, EndpointId, FailureDomain, InstanceId, JobId, JobOutcome, Ms, StepSpec, TaskName } from '@cranberryyard/protocol'
import type { QueuedWork } from '../admission/types.js'
import type { LedgerRun } from '../endpoints/types.js'

/** One life of the instance that answers the caller. */
export interface FrontSession {
  readonly instance: InstanceId
  readonly incarnation: number
  readonly address: string
}

/** One task of a job. */
export interface OwnedTask {
  readonly name: TaskName
  readonly step: number
  readonly index: number
  done: boolean
  /** The run that takes room, if any. */
  run: LedgerRun | undefined
  /** Number of the latest run; the next one is higher. */
  lastRun: number
  failedAttempts: number
  /** Endpoints where a run of the task ended failed. */
  readonly failedAt: Set<EndpointId>
  /** Endpoints that the task does not go to again. */
  readonly avoid: Set<EndpointId>
}

/** One step of a job. */
export interface OwnedStep {
  readonly spec: StepSpec
  readonly tasks: readonly OwnedTask[]
  /** Tasks that are not done. */
  missing: number
  /** Run times of the tasks that are done. */
  readonly ranMs: number[]
}

/** A job at its owner. */
export interface OwnedJob extends QueuedWork {
  readonly id: JobId
  readonly failureDomain: FailureDomain
  readonly order: DispatchOrder
  readonly steps: readonly OwnedStep[]
  readonly receivedAt: Ms
  /** The caller does not wait any longer. */
  readonly callerUntil: Ms
  front: FrontSession
  /** Latest time at which the front said that it still wants the job. */
  confirmedAt: Ms
  /** Number of the front's latest copy. */
  attempt: number
  /** When the first task started; undefined while none has. */
  firstStartAt: Ms | undefined
  mayHaveRun: boolean
}

/** A job that ended, kept to answer a caller that sends it again. */
export interface EndedJob {
  readonly outcome: JobOutcome
  readonly until: Ms
}
