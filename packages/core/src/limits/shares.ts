/**
 * Splits a customer's limit into whole shares, one for each roster entry. Every instance computes the same split.
 */
import type { Contract, Fleet, HolderId } from '@cranberryyard/protocol'
import { hash32 } from '../utils/rendezvous.js'
import type { CustomerId } from '@cranberryyard/protocol'
import type { ShareTable } from './types.js'

/**
 * Computes one share. Shares of all entries add up to the limit; who gets the remainder differs by customer.
 * @param limit - the customer's limit
 * @param customer - whose limit
 * @param holders - the roster, in its agreed order
 * @param holder - whose share
 * @returns number of permits, 0 for a holder that is not on the roster
 */
export function shareOf (limit: number, customer: string, holders: readonly HolderId[], holder: HolderId): number {
  const at = holders.indexOf(holder)
  if (at < 0) return 0
  const n = holders.length
  const position = (at + hash32(customer)) % n
  return Math.floor(limit / n) + (position < limit % n ? 1 : 0)
}

/**
 * Computes all shares of one holder.
 * @param fleet - contracts and roster
 * @param holder - whose shares
 * @returns the shares under this version
 */
export function sharesOf (fleet: Fleet, holder: HolderId): ShareTable {
  const holders = fleet.roster.entries.map(e => e.holder)
  const share = (c: Contract): [CustomerId, number] => [c.customer as CustomerId, shareOf(c.limits.running, c.customer, holders, holder)]
  return { fromVersion: fleet.version, toVersion: fleet.version, shares: new Map(fleet.contracts.map(r => share(r.contract))) }
}

/**
 * Tells whether two tables hold the same shares.
 * @param a - one table
 * @param b - the other
 * @returns true when every customer has the same share in both
 */
export function sameShares (a: ShareTable, b: ShareTable): boolean {
  if (a.shares.size !== b.shares.size) return false
  return [...a.shares].every(([customer, share]) => b.shares.get(customer) === share)
}
