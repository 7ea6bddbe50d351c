/**
 * Types used to enforce limits: shares, loans and counts of queued tasks. They are separate from `LimitsDecider`,
 * so that the loan planner and the tables need not import it.
 */
import type { CustomerId, Ms } from '@cranberryyard/protocol'

/** This instance's share of every customer's limit, equal under all fleet versions of the range. */
export interface ShareTable {
  readonly fromVersion: number
  readonly toVersion: number
  readonly shares: ReadonlyMap<CustomerId, number>
}

/** Permits of one customer lent to one holder. The lender counts them as used until `until`. */
export interface LentPermits {
  readonly count: number
  readonly until: Ms
}

/** Permits of one customer borrowed from one holder. The borrower may use them until `until`. */
export interface BorrowedPermits {
  readonly count: number
  readonly until: Ms
}

/** Counts a customer's tasks queued in this instance's scheduler. */
export type CountQueuedTasks = (customer: CustomerId) => number
