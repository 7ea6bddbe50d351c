/**
 * Types of the limits decision.
 */
import type { CustomerId, Ms } from '@cranberryyard/protocol'

/** This instance's share of every customer's limit under consecutive fleet versions. */
export interface ShareTable {
  readonly fromVersion: number
  readonly toVersion: number
  readonly shares: ReadonlyMap<CustomerId, number>
}

/** Permits out on loan to one instance, of one customer. They count as used until the time has passed. */
export interface LentPermits {
  readonly count: number
  readonly until: Ms
}

/** Permits on loan from one instance, of one customer. They may be used until the time has passed. */
export interface BorrowedPermits {
  readonly count: number
  readonly until: Ms
}

/** Number of a customer's tasks that wait in this instance's scheduler. */
export type QueuedTasks = (customer: CustomerId) => number
