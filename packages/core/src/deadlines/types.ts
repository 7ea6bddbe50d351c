/**
 * Types of the deadline decision.
 */
import type { CustomerId } from '@cranberryyard/protocol'

/** What is known of one kind's run time. */
export interface RunTimeEstimate {
  readonly meanMs: number
  readonly p99Ms: number
}

/** Names a kind of one customer. */
export interface KindRef {
  readonly customer: CustomerId
  readonly kind: string
}
