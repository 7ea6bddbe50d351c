/**
 * Types of the deadline decision.
 */
import type { CustomerId } from '@cranberryyard/protocol'

/** Estimated run time of one task of a kind, in milliseconds. */
export interface RunTimeEstimate {
  readonly meanMs: number
  readonly p99Ms: number
}

/** Identifies a kind; kinds of different customers may share a name. */
export interface KindRef {
  readonly customer: CustomerId
  readonly kind: string
}
