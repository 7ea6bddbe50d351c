/**
 * The fleet value: roster, claim voters, contracts, endpoint orders and the audit trail. It is stored under a single key of
 * the platform's store and changed only by compare-and-swap. Because it is one value, a change and its audit entry are
 * written atomically, and its version cannot decrease.
 */
import type { Contract } from './contract.js'
import type { ChangeId, CustomerId, EndpointId, FailureDomain, HolderId, InstanceId } from './ids.js'
import type { Ms } from './clock.js'

/** One incarnation of an entry instance; each entry of the roster has a share of every limit. */
export interface RosterEntry {
  readonly holder: HolderId
  readonly instance: InstanceId
  readonly incarnation: number
  readonly failureDomain: FailureDomain
  /** Fleet version that added this entry. */
  readonly joinedVersion: number
}

/** An entry removed from the roster. Others may use its share only after `waitMs`. */
export interface RosterRemoval {
  readonly holder: HolderId
  readonly failureDomain: FailureDomain
  /** Fleet version that removed the entry. */
  readonly version: number
  readonly waitMs: Ms
}

/** The incarnations among which limits are divided. The epoch increases with every change of entries. */
export interface Roster {
  readonly epoch: number
  readonly entries: readonly RosterEntry[]
  readonly removals: readonly RosterRemoval[]
}

/**
 * The incarnations that vote on claims. They follow the roster in steps: the next step is taken only when every live voter
 * has imported the claims of its buckets, so that no earlier claim is lost.
 */
export interface ClaimVoters {
  readonly epoch: number
  readonly entries: readonly RosterEntry[]
  /** Voters of the previous epoch, from which new voters import claims. */
  readonly previousEntries: readonly RosterEntry[]
}

/** A contract with its revision, which increases by one with every accepted change. */
export interface ContractRecord {
  readonly revision: number
  readonly contract: Contract
}

/** An operator's order for an endpoint. */
export type EndpointOrder = 'active' | 'draining' | 'stopped'

/** The order in force for one endpoint, with its author, time and reason. */
export interface EndpointRecord {
  readonly endpoint: EndpointId
  readonly order: EndpointOrder
  readonly by: string
  readonly at: Ms
  readonly reason: string
}

/** The contract or endpoint that an audit entry concerns. */
export type AuditSubject =
  | { readonly type: 'contract', readonly customer: CustomerId, readonly revision: number }
  | { readonly type: 'endpoint', readonly endpoint: EndpointId }

/** One accepted change. `hash` covers the entry and `previousHash`, so that a removed or edited entry is detected. */
export interface AuditEntry {
  readonly sequence: number
  readonly changeId: ChangeId
  /** Hash of the change as sent. A request with the same `changeId` and another hash is rejected as a replay. */
  readonly contentHash: string
  readonly by: string
  readonly at: Ms
  readonly instance: InstanceId
  readonly reason: string
  readonly subject: AuditSubject
  readonly before: string
  readonly after: string
  readonly previousHash: string
  readonly hash: string
}

/** Audit entries that are still in the fleet value. Older ones are archived in chunks before they are removed from it. */
export interface AuditTail {
  readonly archivedThrough: number
  readonly archivedHash: string
  readonly entries: readonly AuditEntry[]
}

/** The fleet value. */
export interface Fleet {
  readonly version: number
  readonly roster: Roster
  readonly claimVoters: ClaimVoters
  readonly contracts: readonly ContractRecord[]
  readonly endpoints: readonly EndpointRecord[]
  readonly audit: AuditTail
}

/** `previousHash` of the first audit entry. */
export const AUDIT_ROOT_HASH = '0'.repeat(64)

/** The fleet value before the first write. */
export const EMPTY_FLEET: Fleet = {
  version: 0,
  roster: { epoch: 0, entries: [], removals: [] },
  claimVoters: { epoch: 0, entries: [], previousEntries: [] },
  contracts: [],
  endpoints: [],
  audit: { archivedThrough: 0, archivedHash: AUDIT_ROOT_HASH, entries: [] }
}
