/**
 * State of the admission decision: the queue of jobs with tasks to start, and how long work takes against its estimate.
 */
import type { QueueName } from '@cranberryyard/protocol'
import type { QueuedWork } from './types.js'

/** Weight of one finished task in the learned ratio of a queue. */
const RATIO_WEIGHT = 0.05
/** Bounds of what one task may teach; estimates are off by less. */
const RATIO_MIN = 0.4
const RATIO_MAX = 2.5

/** Jobs with tasks to start. */
export class AdmissionDb<T extends QueuedWork> {
  readonly waiting = new Set<T>()
  private readonly ratios = new Map<QueueName, number>()

  /** @returns run time over estimate, as learned for the queue */
  ratioOf (queue: QueueName): number {
    return this.ratios.get(queue) ?? 1
  }

  /** Learns from a finished task. */
  recordRatio (queue: QueueName, ratio: number): void {
    const bounded = Math.min(RATIO_MAX, Math.max(RATIO_MIN, ratio))
    const known = this.ratioOf(queue)
    this.ratios.set(queue, known + (bounded - known) * RATIO_WEIGHT)
  }

  /** @returns work that waits, in thousandths of a core times milliseconds */
  waitingWork (): number {
    let sum = 0
    for (const job of this.waiting) sum += job.waitingWork()
    return sum
  }
}
