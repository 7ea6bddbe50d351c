/**
 * Decides which room a task takes. An endpoint holds two or three tasks, so the room that a task leaves beside it is lost unless
 * another task fits into it. It answers load whose tasks differ in size: the owner learns the sizes and judges a place by the number of
 * tasks that it takes the room of, which leaves the few places for the largest tasks alone where a smaller one fits elsewhere.
 */
import type { ServiceName } from '@cranberryyard/protocol'
import { PackingDb } from './packingDb.js'

/** Decides about room for tasks of uneven size. */
export class PackingDecider {
  readonly db = new PackingDb()

  /**
   * @param free - free CPU of an endpoint
   * @param needed - CPU of a task that fits there
   * @returns for how many tasks of the service there is less room once the task is there; 1 where all tasks are of one size
   */
  slotsTaken (service: ServiceName, free: number, needed: number): number {
    const sizes = this.db.of(service)
    return sizes.isUneven ? sizes.tasksIn(free) - sizes.tasksIn(free - needed) : 1
  }
}
