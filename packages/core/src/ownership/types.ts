/**
 * Types of the ownership decision: which instance may give orders to the endpoints of a failure domain.
 */
import type { FailureDomain, FencingToken, InstanceId, Ms } from '@cranberryyard/protocol'

/** This instance's right to a shard. */
export interface Ownership {
  readonly failureDomain: FailureDomain
  token: FencingToken
  /** Place in the record: 0 for the owner named there, 1 and up for its successors. */
  rank: number
  /** Revision of the record that the token comes from. */
  revision: number
  readonly since: Ms
}

/** A claim on a shard that the store has not answered. */
export interface PendingClaim {
  readonly claimId: number
  readonly sentAt: Ms
}

/** Learns of this instance's shards. */
export interface OwnershipListener {
  ownershipGained (failureDomain: FailureDomain, token: FencingToken): void
  /** Another instance owns the shard now, or will. */
  ownershipLost (failureDomain: FailureDomain, successor: InstanceId | undefined): void
}
