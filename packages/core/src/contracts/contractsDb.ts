/**
 * The agreed value as this instance knows it, and lookups derived from it.
 */
import type { CustomerId, Fleet, KindTerms, Contract } from '@cranberryyard/protocol'
import { EMPTY_FLEET } from '@cranberryyard/protocol'

/** The fleet value in force here. */
export class ContractsDb {
  fleet: Fleet = EMPTY_FLEET
  /** Revision of the store's key that held `fleet`; 0 before the first write. */
  storeRevision = 0
  private readonly byCustomer = new Map<CustomerId, Contract>()
  private readonly byCallerKey = new Map<string, CustomerId>()

  /** Replaces the value; callers make sure that the version grows. */
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

  /** @returns the customer a caller's key belongs to */
  customerOfKey (keyHash: string): CustomerId | undefined {
    return this.byCallerKey.get(keyHash)
  }

  /** @returns a customer's contract */
  contract (customer: CustomerId): Contract | undefined {
    return this.byCustomer.get(customer)
  }

  /** @returns all customers with a contract */
  customers (): CustomerId[] {
    return [...this.byCustomer.keys()]
  }

  /** @returns the terms of one kind of request */
  terms (customer: CustomerId, kind: string): KindTerms | undefined {
    return this.byCustomer.get(customer)?.kinds.find(k => k.name === kind)
  }
}
