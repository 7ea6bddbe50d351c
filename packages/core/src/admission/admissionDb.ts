/**
 * State of the admission decision: the jobs with tasks to start, and for each queue the learned ratio of actual to
 * estimated run time. The ratio corrects the estimates from which waiting times and deadlines are computed.
 */
import type { QueueName } from '@cranberryyard/protocol'
import type { QueuedWork } from './types.js'

/** Weight of one finished task in the moving average of its queue's ratio. */
const RATIO_WEIGHT = 0.05
/** Bounds for the ratio of a single task; estimates are off by less, so a ratio outside them is an outlier. */
const RATIO_MIN = 0.4
const RATIO_MAX = 2.5

/** Jobs with tasks to start, and the learned ratios. */
export class AdmissionDb<T extends QueuedWork> {
  readonly waiting = new Set<T>()
  private readonly ratios = new Map<QueueName, number>()

  /** @returns learned ratio of run time to estimate for the queue; 1 while nothing has been learned */
  ratioOf (queue: QueueName): number {
    return this.ratios.get(queue) ?? 1
  }

  /** Updates the queue's ratio with that of a finished task. */
  recordRatio (queue: QueueName, ratio: number): void {
    const bounded = Math.min(RATIO_MAX, Math.max(RATIO_MIN, ratio))
    const known = this.ratioOf(queue)
    this.ratios.set(queue, known + (bounded - known) * RATIO_WEIGHT)
  }

  /** @returns total work of the waiting tasks, in thousandths of a core times milliseconds */
  waitingWork (): number {
    let sum = 0
    for (const job of this.waiting) sum += job.waitingWork()
    return sum
  }
}
