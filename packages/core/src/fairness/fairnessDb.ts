/**
 * Queues of jobs, one for each customer, with the tags that order them.
 */
import type { CustomerId } from '@cranberryyard/protocol'
import type { QueuedJob } from './types.js'

/** A job with its start tag in virtual time. */
export interface TaggedJob<J extends QueuedJob> {
  readonly job: J
  readonly startTag: number
  readonly arrival: number
}

/** One customer's queue. */
export class Flow<J extends QueuedJob> {
  readonly jobs: TaggedJob<J>[] = []
  finishTag = 0
  waiting = 0

  constructor (readonly customer: CustomerId) {}

  /** @returns the first job that still waits for starts; finished ones are dropped on the way */
  head (): TaggedJob<J> | undefined {
    while (this.jobs.length > 0 && this.jobs[0]?.job.waiting() === 0) this.jobs.shift()
    return this.jobs[0]
  }
}
