/**
 * Estimates when a job can be finished, from learned run times rather than declared ones,
 * and decides at admission whether its answer can be on time.
 */
import type { KindTerms, TaskSpec } from '@cranberryyard/protocol'
import { DeadlinesDb } from './deadlinesDb.js'
import type { KindRef, RunTimeEstimate } from './types.js'

/** Reports needed before learned run times replace declared ones. */
const REPORTS_NEEDED = 20
/** Refused only when the estimate is above the time left by this factor; estimates err to both sides. */
const CERTAINTY_FACTOR = 1.5

/** Decides whether an answer can be on time. */
export class DeadlinesDecider {
  readonly db = new DeadlinesDb()

  /**
   * Estimates the run time of a kind.
   * @param ref - customer and kind
   * @param terms - the contract's terms, used until enough is learned
   * @param tasks - declared run times, used before the contract's
   * @returns mean and 99th percentile in milliseconds
   */
  estimate (ref: KindRef, terms: KindTerms, tasks: readonly TaskSpec[]): RunTimeEstimate {
    const learned = this.db.histogram(ref)
    if (learned !== undefined && learned.totalCount >= REPORTS_NEEDED) {
      return { meanMs: learned.mean, p99Ms: learned.getValueAtPercentile(99) }
    }
    const declared = tasks.map(t => t.runMs ?? terms.runMs)
    const meanMs = declared.reduce((a, b) => a + b, 0) / Math.max(1, declared.length)
    return { meanMs, p99Ms: Math.max(...declared) }
  }

  /**
   * Tells whether a job can surely not be answered on time.
   * @param estimate - run time of its tasks
   * @param tasks - number of tasks
   * @param aheadMs - work that waits or runs before it, in slot milliseconds
   * @param slots - slots that serve it
   * @param remainingMs - time left
   * @returns true when it would be late
   */
  isHopeless (estimate: RunTimeEstimate, tasks: number, aheadMs: number, slots: number, remainingMs: number): boolean {
    const waves = Math.max(1, Math.ceil(tasks / Math.max(1, slots)))
    const expected = aheadMs / Math.max(1, slots) + waves * estimate.meanMs
    return expected > remainingMs * CERTAINTY_FACTOR
  }
}
