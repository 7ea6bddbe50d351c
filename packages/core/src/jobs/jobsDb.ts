/**
 * Submissions in flight at this instance, the answers it retains, and counts of how timely the answers were.
 */
import type { CustomerId, Ms, SubmissionId } from '@cranberryyard/protocol'
import type { TimelinessCount, Timeliness } from '../instance/types.js'
import type { FrontJob, RetainedAnswer } from './types.js'

/** State of the job decision. */
export class JobsDb {
  private readonly jobs = new Map<SubmissionId, FrontJob>()
  private readonly retained = new Map<SubmissionId, RetainedAnswer>()
  private readonly byRequest = new Map<string, SubmissionId>()
  private readonly timeliness = new Map<string, Record<Timeliness, number> & { customer: CustomerId, kind: string }>()

  /** Adds a submission, as the latest one of its request. */
  add (job: FrontJob): void {
    this.jobs.set(job.submissionId, job)
    this.byRequest.set(`${job.customer}/${job.job.requestId}`, job.submissionId)
  }

  /** Replaces a submission in flight by its answer. */
  retain (job: FrontJob, answer: RetainedAnswer['answer'], until: Ms): void {
    this.jobs.delete(job.submissionId)
    this.retained.set(job.submissionId, { customer: job.customer, requestId: job.job.requestId, answer, until })
  }

  /** @returns a submission if it is in flight */
  get (submissionId: SubmissionId): FrontJob | undefined {
    return this.jobs.get(submissionId)
  }

  /** @returns all submissions in flight */
  all (): IterableIterator<FrontJob> {
    return this.jobs.values()
  }

  /** @returns number of submissions in flight */
  size (): number {
    return this.jobs.size
  }

  /** @returns the answer to a submission, while it is retained */
  answerOf (submissionId: SubmissionId): RetainedAnswer | undefined {
    return this.retained.get(submissionId)
  }

  /** @returns the latest submission of a request at this instance, in flight or with a retained answer */
  submissionOf (customer: CustomerId, requestId: string): SubmissionId | undefined {
    return this.byRequest.get(`${customer}/${requestId}`)
  }

  /**
   * Drops answers whose retention has ended. All are retained for the same time, so the map has them in order of
   * their end.
   */
  expire (now: Ms): void {
    for (const [id, answer] of this.retained) {
      if (now < answer.until) return
      this.retained.delete(id)
      const key = `${answer.customer}/${answer.requestId}`
      if (this.byRequest.get(key) === id) this.byRequest.delete(key)
    }
  }

  /** Counts a submission as answered on time, late or not at all. */
  countTimeliness (customer: CustomerId, kind: string, timeliness: Timeliness): void {
    const key = `${customer}/${kind}`
    const row = this.timeliness.get(key) ?? { customer, kind, onTime: 0, late: 0, notAnswered: 0 }
    row[timeliness]++
    this.timeliness.set(key, row)
  }

  /** @returns the counts by customer and kind */
  timelinessCounts (): TimelinessCount[] {
    return [...this.timeliness.values()].map(row => ({ ...row }))
  }
}
