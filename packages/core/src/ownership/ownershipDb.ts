/**
 * State of the ownership decision: the member and shard records read from the store, the shards that this instance owns,
 * and the claim it is waiting on. It also derives fencing tokens from record revisions. The rules that change this state
 * are in `ownershipDecider.ts`.
 */
import type { FailureDomain, FencingToken, InstanceId, MemberRecord, Revised, ShardRecord } from '@cranberryyard/protocol'
import type { Ownership, PendingClaim } from './types.js'

/** Number of fencing tokens that one revision of a record provides, for all takeovers until the record is written again. */
const TOKENS_PER_RECORD = 64

/**
 * Computes the fencing token for a rank in a record. All tokens of a later revision are higher than those of earlier ones.
 * @param revision - the record's revision in the store
 * @param rank - 0 for the owner, 1 and up for takeovers and handovers without a new record, see `nextRank`
 */
export function tokenOf (revision: number, rank: number): FencingToken {
  return (revision * TOKENS_PER_RECORD + Math.min(rank, TOKENS_PER_RECORD - 1)) as FencingToken
}

/**
 * Computes the rank with which an instance takes over a shard without a new record. The ranks of the instances in a record
 * alternate: with n instances, the one at position p has p, p + n, p + 2n and so on, so no two instances ever have the same token.
 * @param record - the latest record of the shard
 * @param instance - the instance that takes over
 * @param known - highest token known to have been in use
 * @returns undefined when the record does not name the instance, or when its ranks are used up
 */
export function nextRank ({ revision, value: { owner, successors } }: Revised<ShardRecord>, instance: InstanceId, known: number): number | undefined {
  const position = owner.instance === instance ? 0 : successors.indexOf(instance) + 1
  if (position === 0 && owner.instance !== instance) return undefined
  for (let rank = position; rank < TOKENS_PER_RECORD; rank += successors.length + 1) {
    if (tokenOf(revision, rank) > known) return rank
  }
  return undefined
}

/** Records from the store and the shards that this instance owns. */
export class OwnershipDb {
  readonly members = new Map<InstanceId, MemberRecord>()
  readonly records = new Map<FailureDomain, Revised<ShardRecord>>()
  readonly owned = new Map<FailureDomain, Ownership>()
  claim: PendingClaim | undefined
  recordsRead = false

  /**
   * Lists the members of a failure domain without the given one, sorted by processor time, highest first. Ties are
   * broken by name, so every instance computes the same order.
   */
  membersOf (failureDomain: FailureDomain, except: InstanceId): MemberRecord[] {
    return [...this.members.values()]
      .filter(member => member.failureDomain === failureDomain && member.instance !== except)
      .sort((a, b) => b.cpuMilli - a.cpuMilli || (a.instance < b.instance ? -1 : 1))
  }
}
