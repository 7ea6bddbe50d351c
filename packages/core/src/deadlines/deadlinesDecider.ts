/**
 * Estimates run times from reports and decides at admission whether a job can still meet its deadline. Reported run times
 * take precedence over declared ones once there are enough of them. The decision is separate from scheduling, because it
 * needs only an estimate and the amount of work ahead.
 */
import type { KindTerms, TaskSpec } from '@cranberryyard/protocol'
import { DeadlinesDb } from './deadlinesDb.js'
import type { KindRef, RunTimeEstimate } from './types.js'

/** Number of reports from which estimates use reported instead of declared run times. */
const MIN_REPORTS = 20
/** A job is refused only if its estimate exceeds the remaining time by this factor, because estimates err in both directions. */
const REFUSAL_MARGIN = 1.5

/** Estimates run times and decides whether a deadline can be met. */
export class DeadlinesDecider {
  readonly db = new DeadlinesDb()

  /**
   * Estimates the run time of a kind.
   * @param ref - customer and kind
   * @param terms - the contract's terms; their run time stands in for tasks that declare none
   * @param tasks - the job's tasks; their declared run times are used until there are enough reports
   * @returns mean and 99th percentile in milliseconds; for declared run times the maximum replaces the percentile
   */
  estimate (ref: KindRef, terms: KindTerms, tasks: readonly TaskSpec[]): RunTimeEstimate {
    const learned = this.db.histogram(ref)
    if (learned !== undefined && learned.totalCount >= MIN_REPORTS) {
      return { meanMs: learned.mean, p99Ms: learned.getValueAtPercentile(99) }
    }
    const declared = tasks.map(t => t.runMs ?? terms.runMs)
    const meanMs = declared.reduce((a, b) => a + b, 0) / Math.max(1, declared.length)
    return { meanMs, p99Ms: Math.max(...declared) }
  }

  /**
   * Decides whether a job will miss its deadline even if the estimate is too high by `REFUSAL_MARGIN`.
   * @param estimate - run time of the job's tasks
   * @param tasks - number of tasks
   * @param workAheadMs - work that waits or runs ahead of the job, in slot milliseconds
   * @param slots - number of slots that serve the job
   * @param remainingMs - time until the deadline
   * @returns true when admission should refuse the job
   */
  cannotMeetDeadline (estimate: RunTimeEstimate, tasks: number, workAheadMs: number, slots: number, remainingMs: number): boolean {
    const waves = Math.max(1, Math.ceil(tasks / Math.max(1, slots)))
    const expected = workAheadMs / Math.max(1, slots) + waves * estimate.meanMs
    return expected > remainingMs * REFUSAL_MARGIN
  }
}
