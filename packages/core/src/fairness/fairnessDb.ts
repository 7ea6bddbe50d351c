/**
 * Queues of jobs, one for each customer, with the times that order them.
 */
import type { CustomerId } from '@cranberryyard/protocol'
import type { QueuedJob } from './types.js'

/** A job with the time at which its turn comes. */
export interface TaggedJob<J extends QueuedJob> {
  readonly job: J
  readonly turn: number
  readonly arrival: number
}

/** One customer's queue. */
export class Flow<J extends QueuedJob> {
  readonly jobs: TaggedJob<J>[] = []
  /** The customer has used its fair part up to this time. */
  aheadUntil = 0
  weight = 1
  waiting = 0

  constructor (readonly customer: CustomerId) {}

  /** @returns expected work of all tasks that wait, in slot milliseconds */
  waitingMs (): number {
    return this.jobs.reduce((sum, t) => sum + t.job.waiting() * t.job.meanMs, 0)
  }

  /** @returns the first job that still waits for starts; finished ones are dropped on the way */
  head (): TaggedJob<J> | undefined {
    while (this.jobs.length > 0 && this.jobs[0]?.job.waiting() === 0) this.jobs.shift()
    return this.jobs[0]
  }
}
