/**
 * The one value that the fleet agrees on, kept in the platform's store under one key and changed by
 * compare-and-swap only: roster, contracts, endpoint orders and the audit trail. Because it is one value,
 * a change and its audit entry cannot exist without each other and its version cannot go back.
 */
import type { Contract } from './contract.js'
import type { ChangeId, CustomerId, EndpointId, FailureDomain, HolderId, InstanceId } from './ids.js'
import type { Ms } from './clock.js'

/** One life of an entry instance that holds a share of every limit. */
export interface RosterEntry {
  readonly holder: HolderId
  readonly instance: InstanceId
  readonly incarnation: number
  readonly failureDomain: FailureDomain
  /** Fleet version in which this entry first appeared. */
  readonly joinedVersion: number
}

/** An entry taken off the roster; its share may be used again only after the wait. */
export interface RosterRemoval {
  readonly holder: HolderId
  readonly failureDomain: FailureDomain
  /** Fleet version that took it off. */
  readonly version: number
  readonly waitMs: Ms
}

/** Who holds shares and claims; the epoch grows with every change of entries. */
export interface Roster {
  readonly epoch: number
  readonly entries: readonly RosterEntry[]
  readonly removals: readonly RosterRemoval[]
}

/**
 * Who votes on claims. It follows the roster in steps: the next step is taken only when every live voter has
 * collected the claims of its buckets, so that no earlier claim is lost on the way.
 */
export interface ClaimVoters {
  readonly epoch: number
  readonly entries: readonly RosterEntry[]
  /** Entries of the epoch before, whose claims new holders take over. */
  readonly previousEntries: readonly RosterEntry[]
}

/** A contract with its own revision, which grows by one with every accepted change. */
export interface ContractRecord {
  readonly revision: number
  readonly contract: Contract
}

/** What operators ordered for an endpoint. */
export type EndpointOrder = 'active' | 'draining' | 'stopped'

/** An operator's standing order for one endpoint. */
export interface EndpointRecord {
  readonly endpoint: EndpointId
  readonly order: EndpointOrder
  readonly by: string
  readonly at: Ms
  readonly reason: string
}

/** What an audit entry is about. */
export type AuditSubject =
  | { readonly type: 'contract', readonly customer: CustomerId, readonly revision: number }
  | { readonly type: 'endpoint', readonly endpoint: EndpointId }

/** One accepted change. `hash` covers the entry and `previousHash`, so a removed or edited entry shows. */
export interface AuditEntry {
  readonly sequence: number
  readonly changeId: ChangeId
  /** Hash of the change as it was sent; the same id with another content is a replay. */
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

/** Audit entries still in the fleet value; older ones are archived in chunks before they leave it. */
export interface AuditTail {
  readonly archivedThrough: number
  readonly archivedHash: string
  readonly entries: readonly AuditEntry[]
}

/** The agreed value. */
export interface Fleet {
  readonly version: number
  readonly roster: Roster
  readonly claimVoters: ClaimVoters
  readonly contracts: readonly ContractRecord[]
  readonly endpoints: readonly EndpointRecord[]
  readonly audit: AuditTail
}

/** Hash that the first audit entry refers to. */
export const AUDIT_ROOT_HASH = '0'.repeat(64)

/** The value before anything was written. */
export const EMPTY_FLEET: Fleet = {
  version: 0,
  roster: { epoch: 0, entries: [], removals: [] },
  claimVoters: { epoch: 0, entries: [], previousEntries: [] },
  contracts: [],
  endpoints: [],
  audit: { archivedThrough: 0, archivedHash: AUDIT_ROOT_HASH, entries: [] }
}
