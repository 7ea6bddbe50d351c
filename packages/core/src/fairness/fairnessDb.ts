/**
 * Queues of jobs, one for each customer, with the times that order them.
 */
import type { CustomerId } from '@cranberryyard/protocol'
import type { QueuedJob } from './types.js'

/** A job with what its turn follows from. */
export interface WaitingJob<J extends QueuedJob> {
  readonly job: J
  readonly arrivedAt: number
  /** Work that its customer asked for before it while busy, in slot milliseconds. */
  readonly workBeforeMs: number
  readonly isLight: boolean
  readonly arrival: number
}

/** One customer's queue. */
export class Flow<J extends QueuedJob> {
  readonly jobs: WaitingJob<J>[] = []
  /** Since when the customer has had tasks waiting without a pause. */
  busySince = 0
  /** Work asked for since then, in slot milliseconds. */
  workMs = 0
  weight = 1
  waiting = 0

  constructor (readonly customer: CustomerId) {}

  /** @returns expected work of all tasks that wait, in slot milliseconds */
  waitingMs (): number {
    return this.jobs.reduce((sum, t) => sum + t.job.waiting() * t.job.meanMs, 0)
  }

  /** @returns the first job that still waits for starts; finished ones are dropped on the way */
  head (): WaitingJob<J> | undefined {
    while (this.jobs.length > 0 && this.jobs[0]?.job.waiting() === 0) this.jobs.shift()
    return this.jobs[0]
  }
}
