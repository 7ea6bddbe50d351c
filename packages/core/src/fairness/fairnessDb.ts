/**
 * State of the fair queueing decision: one queue of jobs for each customer, with the arrival times and amounts of work
 * from which `FairnessDecider` computes the order between customers.
 */
import type { CustomerId } from '@cranberryyard/protocol'
import type { QueuedJob } from './types.js'

/** A queued job with the values that determine its virtual start time. */
export interface WaitingJob<J extends QueuedJob> {
  readonly job: J
  readonly arrivedAt: number
  /** Work that the customer submitted before this job in the same busy period, in slot milliseconds. */
  readonly workBeforeMs: number
  /** True when little work of the customer waited on arrival; the job is then ordered as if it had arrived earlier by the tolerance. */
  readonly isLight: boolean
  /** Breaks ties between equal virtual start times; rises with every job. */
  readonly arrivalOrder: number
}

/** One customer's queue. A busy period lasts for as long as tasks of the customer wait. */
export class Flow<J extends QueuedJob> {
  readonly jobs: WaitingJob<J>[] = []
  /** Start of the current busy period. */
  busySince = 0
  /** Work submitted in the busy period, in slot milliseconds, including what is carried over from the period before. */
  workMs = 0
  weight = 1
  waitingTasks = 0

  constructor (readonly customer: CustomerId) {}

  /** @returns expected work of all waiting tasks, in slot milliseconds */
  waitingMs (): number {
    return this.jobs.reduce((sum, t) => sum + t.job.waiting() * t.job.meanMs, 0)
  }

  /** @returns the first job with waiting tasks; jobs without any are removed from the head of the queue */
  head (): WaitingJob<J> | undefined {
    while (this.jobs.length > 0 && this.jobs[0]?.job.waiting() === 0) this.jobs.shift()
    return this.jobs[0]
  }
}
