/**
 * Types of the fairness decision.
 */
import type { CustomerId } from '@cranberryyard/protocol'

/** A job with tasks that wait for a start. */
export interface QueuedJob {
  readonly customer: CustomerId
  /** Expected work of the whole job in slot milliseconds. */
  readonly workMs: number
  /** Expected run time of one task in milliseconds. */
  readonly meanMs: number
  readonly weight: number
  /** @returns number of tasks that still wait for a start */
  waiting (): number
}
