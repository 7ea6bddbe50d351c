/**
 * Types of the execution decision: the state that the owner of a shard holds for each job, its steps and its tasks.
 */
import type { DispatchOrder, EndpointId, FailureDomain, InstanceId, JobId, JobOutcome, Ms, StepSpec, TaskName } from '@cranberryyard/protocol'
import type { QueuedWork } from '../admission/types.js'
import type { LedgerRun, RunLease } from '../endpoints/types.js'

/** One incarnation of the front, the instance that answers the caller. */
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
  /** The current run, if any; it occupies capacity at an endpoint. */
  run: LedgerRun | undefined
  /** Number of the latest run; each new run gets a higher one. */
  lastRun: number
  /** Number of runs that were lost, as far as this owner knows. */
  lostRuns: number
  /** Endpoints where a run of the task failed. */
  readonly failedEndpoints: Set<EndpointId>
  /** Endpoints from which the task was moved because it was slow there. */
  readonly slowAt: Set<EndpointId>
  /** Endpoints that the task is not placed on again. */
  readonly avoid: Set<EndpointId>
}

/** One step of a job. */
export interface OwnedStep {
  readonly spec: StepSpec
  readonly tasks: readonly OwnedTask[]
  /** Number of tasks that are not done. */
  unfinishedTasks: number
  /** Run times, at a speed of 1, of finished tasks whose end time is known and that this owner started itself. */
  readonly finishedRunMs: number[]
}

/** A job held by the owner of its shard. */
export interface OwnedJob extends QueuedWork {
  readonly id: JobId
  readonly failureDomain: FailureDomain
  readonly order: DispatchOrder
  readonly steps: readonly OwnedStep[]
  readonly receivedAt: Ms
  /** The caller stops waiting at this time. */
  readonly callerDeadline: Ms
  front: FrontSession
  /** When the latest confirmation or copy of the job arrived from its front. */
  heardAt: Ms
  /** When the front sent its latest confirmation or copy of the job, at the earliest. */
  confirmedAt: Ms
  /** Ends before the caller of a front that is lost sends the job again. */
  readonly runLease: RunLease
  /** Number of the front's latest submission of the job; a decline refers to it. */
  attempt: number
  /** When the first task started; undefined until then. */
  firstStartAt: Ms | undefined
  mayHaveRun: boolean
  admittedLate: boolean
  /** Number of suspect tasks that have run alone without a crash. */
  trialsPassed: number
}

/** The outcome of an ended job, kept to answer a caller that resends the job. */
export interface EndedJob {
  readonly outcome: JobOutcome
  readonly until: Ms
}

/** The copies of a job that an owner does not take any more, since it has declined or dropped them or their front has cancelled the job. */
export interface DroppedCopies {
  readonly front: Pick<FrontSession, 'instance' | 'incarnation'>
  /** Number of the latest of these copies. */
  readonly attempt: number
  /** None of these copies was taken, so the job has not run here. */
  readonly neverTaken: boolean
  readonly until: Ms
}
