/**
 * Splits a customer's limit into whole shares, one for each roster entry. The split is a pure function of the
 * fleet value, so all instances compute the same one without exchanging messages.
 */
import type { Contract, Fleet, HolderId } from '@cranberryyard/protocol'
import { hash32 } from '../utils/rendezvous.js'
import type { CustomerId } from '@cranberryyard/protocol'
import type { ShareTable } from './types.js'

/**
 * Computes one share. The shares of all entries add up to the limit; the customer's name decides which entries get
 * one permit more when the limit does not divide evenly.
 * @param limit - the customer's limit on running tasks
 * @param customer - the customer's name
 * @param holders - all holders on the roster, in its agreed order
 * @param holder - the holder of the share
 * @returns number of permits, 0 for a holder that is not on the roster
 */
export function shareOf (limit: number, customer: string, holders: readonly HolderId[], holder: HolderId): number {
  const index = holders.indexOf(holder)
  if (index < 0) return 0
  const count = holders.length
  const position = (index + hash32(customer)) % count
  return Math.floor(limit / count) + (position < limit % count ? 1 : 0)
}

/**
 * Computes all shares of one holder.
 * @param fleet - contracts and roster
 * @param holder - the holder of the shares
 * @returns the shares under the fleet's version
 */
export function sharesOf (fleet: Fleet, holder: HolderId): ShareTable {
  const holders = fleet.roster.entries.map(e => e.holder)
  const share = (c: Contract): [CustomerId, number] => [c.customer as CustomerId, shareOf(c.limits.running, c.customer, holders, holder)]
  return { fromVersion: fleet.version, toVersion: fleet.version, shares: new Map(fleet.contracts.map(r => share(r.contract))) }
}

/**
 * Compares two tables, whatever versions they are for.
 * @param a - one table
 * @param b - the other table
 * @returns true when both list the same customers with the same shares
 */
export function sameShares (a: ShareTable, b: ShareTable): boolean {
  if (a.shares.size !== b.shares.size) return false
  return [...a.shares].every(([customer, share]) => b.shares.get(customer) === share)
}
