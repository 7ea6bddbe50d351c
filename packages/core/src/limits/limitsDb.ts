/**
 * Counts of permits: this instance's shares under each version that may still be in force somewhere,
 * permits lent and borrowed, and tasks running.
 */
import type { CustomerId, HolderId, Ms } from '@cranberryyard/protocol'
import { sameShares } from './shares.js'
import type { BorrowedPermits, LentPermits, ShareTable } from './types.js'

/** Loans by customer and partner. A partner is one life of an instance: its next life holds nothing of it. */
class LoanTable<L extends { readonly count: number, readonly until: Ms }> {
  private readonly loans = new Map<HolderId, Map<CustomerId, L>>()

  get (partner: HolderId, customer: CustomerId): L | undefined {
    return this.loans.get(partner)?.get(customer)
  }

  set (partner: HolderId, customer: CustomerId, loan: L): void {
    const table = this.loans.get(partner) ?? new Map<CustomerId, L>()
    this.loans.set(partner, table)
    if (loan.count <= 0) table.delete(customer)
    else table.set(customer, loan)
  }

  /** Drops loans whose time has passed; returns how many permits they held. */
  expire (now: Ms): number {
    let dropped = 0
    for (const [partner, table] of this.loans) {
      for (const [customer, loan] of table) {
        if (now < loan.until) continue
        dropped += loan.count
        table.delete(customer)
      }
      if (table.size === 0) this.loans.delete(partner)
    }
    return dropped
  }

  sum (customer: CustomerId, now: Ms): number {
    let total = 0
    for (const table of this.loans.values()) {
      const loan = table.get(customer)
      if (loan !== undefined && now < loan.until) total += loan.count
    }
    return total
  }

  customers (partner: HolderId): CustomerId[] {
    return [...(this.loans.get(partner)?.keys() ?? [])]
  }

  total (): number {
    let total = 0
    for (const table of this.loans.values()) for (const loan of table.values()) total += loan.count
    return total
  }
}

/** State of the limits decision. */
export class LimitsDb {
  /** Oldest first; the last one holds the version known here. */
  readonly tables: ShareTable[] = []
  readonly lent = new LoanTable<LentPermits>()
  readonly borrowed = new LoanTable<BorrowedPermits>()
  private readonly running = new Map<CustomerId, number>()

  /** Adds the newest version's shares; versions that change no share extend the table before. */
  addTable (table: ShareTable): void {
    const last = this.tables.at(-1)
    const follows = last !== undefined && last.toVersion + 1 === table.fromVersion && sameShares(last, table)
    if (follows) this.tables[this.tables.length - 1] = { ...last, toVersion: table.toVersion }
    else this.tables.push(table)
  }

  /** Drops tables of versions that nobody follows any more. */
  dropBelow (version: number): void {
    while (this.tables.length > 1 && (this.tables[1]?.fromVersion ?? Infinity) <= version) this.tables.shift()
  }

  /** @returns tasks of a customer that run under this instance's permits */
  runningOf (customer: CustomerId): number {
    return this.running.get(customer) ?? 0
  }

  /** Adds to the number of running tasks. */
  addRunning (customer: CustomerId, by: number): void {
    this.running.set(customer, this.runningOf(customer) + by)
  }

  /** @returns permits of a customer on loan from a lender that may be used now */
  activeLoan (lender: HolderId, customer: CustomerId, now: Ms): number {
    const loan = this.borrowed.get(lender, customer)
    return loan !== undefined && now < loan.until ? loan.count : 0
  }

  /** @returns customers with running tasks or a share */
  customers (): CustomerId[] {
    const ids = new Set(this.running.keys())
    for (const table of this.tables) for (const id of table.shares.keys()) ids.add(id)
    return [...ids]
  }

  /** @returns the smallest share under any version that may be in force somewhere */
  smallestShare (customer: CustomerId): number {
    let smallest = Infinity
    for (const table of this.tables) smallest = Math.min(smallest, table.shares.get(customer) ?? 0)
    return Number.isFinite(smallest) ? smallest : 0
  }
}
