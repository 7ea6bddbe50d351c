/**
 * Types of the admission decision: a job's times, and what the owner's queue tells about its load.
 */
import type { Ms } from '@cranberryyard/protocol'

/** Times of a job on this instance's clock. */
export interface JobTimes {
  /** End of the objective: an answer by then is on time. */
  readonly onTimeUntil: Ms
  /** An answer after this is of no use to the caller. */
  readonly usefulUntil: Ms
  /** Expected time of the longest chain of steps. */
  readonly criticalPathMs: Ms
}

/** What the queue has to know of a job. */
export interface QueuedWork extends JobTimes {
  readonly priority: number
  /** Some task has started: the rest goes first, so that what is done is of use. */
  readonly hasStarted: () => boolean
  /** A run of the job existed at some time; it can no longer be declined. */
  readonly mayHaveRun: boolean
  /** Thousandths of a core times milliseconds that are still to be started. */
  readonly waitingWork: () => number
}

/** Room of a shard as a whole. */
export interface ShardRoom {
  /** Thousandths of a core at endpoints that take work. */
  readonly totalCpuMilli: number
  readonly freeCpuMilli: number
}

/** Whether a job is taken. */
export type AdmissionVerdict =
  | { readonly type: 'admit' }
  | { readonly type: 'decline', readonly retryAfterMs: Ms }
