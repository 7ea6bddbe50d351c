/**
 * Bookkeeping of permits: this instance's shares under each fleet version that may still be in force somewhere,
 * the permits it lent and borrowed, and the number of running tasks. `LimitsDecider` makes the decisions; this
 * module holds the state they are based on.
 */
import type { CustomerId, HolderId, Ms } from '@cranberryyard/protocol'
import { sameShares } from './shares.js'
import type { BorrowedPermits, LentPermits, ShareTable } from './types.js'

/** Loans by partner and customer. A partner is one incarnation of an instance; the next incarnation inherits no loans. */
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

  /** Drops expired loans and returns the number of permits in them. */
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

  /** Permits of a customer in all loans that have not expired. */
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

  /** Permits in all loans, including expired ones that have not been dropped yet. */
  total (): number {
    let total = 0
    for (const table of this.loans.values()) for (const loan of table.values()) total += loan.count
    return total
  }
}

/** State of `LimitsDecider`. */
export class LimitsDb {
  /** Oldest first; the last table covers the newest version known here. */
  readonly tables: ShareTable[] = []
  readonly lent = new LoanTable<LentPermits>()
  readonly borrowed = new LoanTable<BorrowedPermits>()
  private readonly running = new Map<CustomerId, number>()

  /** Adds the shares of the newest version. A version that changes no share extends the range of the last table. */
  addTable (table: ShareTable): void {
    const last = this.tables.at(-1)
    const extendsLast = last !== undefined && last.toVersion + 1 === table.fromVersion && sameShares(last, table)
    if (extendsLast) this.tables[this.tables.length - 1] = { ...last, toVersion: table.toVersion }
    else this.tables.push(table)
  }

  /**
   * Drops the tables that no instance can follow any more: those followed by a table that starts at or before `version`.
   * @param version - oldest fleet version that an instance may still follow
   */
  dropTablesBefore (version: number): void {
    while (this.tables.length > 1 && (this.tables[1]?.fromVersion ?? Infinity) <= version) this.tables.shift()
  }

  /** @returns number of a customer's tasks running under this instance's permits */
  runningOf (customer: CustomerId): number {
    return this.running.get(customer) ?? 0
  }

  /** Changes the number of running tasks by a difference, which may be negative. */
  addRunning (customer: CustomerId, by: number): void {
    this.running.set(customer, this.runningOf(customer) + by)
  }

  /** @returns permits of a customer borrowed from one lender that have not expired */
  borrowedFrom (lender: HolderId, customer: CustomerId, now: Ms): number {
    const loan = this.borrowed.get(lender, customer)
    return loan !== undefined && now < loan.until ? loan.count : 0
  }

  /** @returns customers with a share in any table, or with tasks that were counted here */
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
