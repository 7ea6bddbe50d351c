/**
 * State of the admission decision: the jobs with tasks to start.
 */
import type { QueuedWork } from './types.js'

/** Jobs with tasks to start. */
export class AdmissionDb<T extends QueuedWork> {
  readonly waiting = new Set<T>()

  /** @returns total work of the waiting tasks, in thousandths of a core times milliseconds */
  waitingWork (): number {
    let sum = 0
    for (const job of this.waiting) sum += job.waitingWork()
    return sum
  }
}
