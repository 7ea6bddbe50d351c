/**
 * Types of the ownership decision, which determines whether this instance may send orders to the endpoints of a failure
 * domain. The state and the rules use them; listeners receive the outcome.
 */
import type { EndpointReport, FailureDomain, FencingToken, InstanceId, Ms, ShardRecord } from '@cranberryyard/protocol'

/** A shard that this instance owns, with the fencing token it owns it under. */
export interface Ownership {
  readonly failureDomain: FailureDomain
  token: FencingToken
  /** Rank in the record: 0 for the owner named there when it was written, higher ones after takeovers without a new record. */
  rank: number
  /** Revision of the record that the token is derived from. */
  revision: number
  readonly since: Ms
  /** When the present token replaced the one before; another instance may have owned the shard between two tokens. */
  tokenSince: Ms
}

/** A claim on a shard that the store has not answered yet. */
export interface PendingClaim {
  readonly claimId: number
  readonly sentAt: Ms
  readonly record: ShardRecord
}

/** Receives the changes in which shards this instance owns. */
export interface OwnershipListener {
  ownershipGained (failureDomain: FailureDomain, token: FencingToken): void
  /** Returns the endpoints of an owned shard at which this instance may have runs. */
  endpointsOf (failureDomain: FailureDomain): readonly EndpointReport[]
  /**
   * This instance no longer owns the shard.
   * @param successor - the instance that owns it now or is about to, if known
   */
  ownershipLost (failureDomain: FailureDomain, successor: InstanceId | undefined): void
}
