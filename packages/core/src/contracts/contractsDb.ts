/**
 * Holds the fleet value that this instance follows and indexes its contracts for lookups by customer and by caller
 * key. `ContractsDecider` decides which value is adopted; other deciders only read here.
 */
import type { CustomerId, Fleet, KindTerms, Contract } from '@cranberryyard/protocol'
import { EMPTY_FLEET } from '@cranberryyard/protocol'

/** The fleet value in force here. */
export class ContractsDb {
  fleet: Fleet = EMPTY_FLEET
  /** Revision of the store's key under which `fleet` was stored; 0 before the first write. */
  storeRevision = 0
  private readonly byCustomer = new Map<CustomerId, Contract>()
  private readonly byCallerKey = new Map<string, CustomerId>()

  /** Replaces the fleet value and rebuilds the indexes. Callers ensure that the version increases. */
  adopt (fleet: Fleet, storeRevision: number): void {
    this.fleet = fleet
    this.storeRevision = Math.max(storeRevision, this.storeRevision)
    this.byCustomer.clear()
    this.byCallerKey.clear()
    for (const { contract } of fleet.contracts) this.index(contract)
  }

  private index (contract: Contract): void {
    const customer = contract.customer as CustomerId
    this.byCustomer.set(customer, contract)
    for (const caller of contract.callers) this.byCallerKey.set(caller.keyHash, customer)
  }

  /** @returns the customer whose contract lists a caller's key */
  customerOfKey (keyHash: string): CustomerId | undefined {
    return this.byCallerKey.get(keyHash)
  }

  contract (customer: CustomerId): Contract | undefined {
    return this.byCustomer.get(customer)
  }

  /** @returns all customers with a contract */
  customers (): CustomerId[] {
    return [...this.byCustomer.keys()]
  }

  /** @returns a customer's terms for one kind of request */
  terms (customer: CustomerId, kind: string): KindTerms | undefined {
    return this.byCustomer.get(customer)?.kinds.find(k => k.name === kind)
  }
}
