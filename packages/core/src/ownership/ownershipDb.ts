/**
 * State of the ownership decision: records read from the store and what this instance owns.
 */
import type { FailureDomain, FencingToken, InstanceId, MemberRecord, Revised, ShardRecord } from '@cranberryyard/protocol'
import type { Ownership, PendingClaim } from './types.js'

/** Tokens of one record: its owner's and one for each successor. */
const TOKENS_PER_RECORD = 64

/**
 * Computes the token of a place in a record. Every later record has higher ones.
 * @param revision - the record's revision in the store
 * @param rank - 0 for the owner, 1 and up for successors
 */
export function tokenOf (revision: number, rank: number): FencingToken {
  return (revision * TOKENS_PER_RECORD + Math.min(rank, TOKENS_PER_RECORD - 1)) as FencingToken
}

/** Records and ownerships. */
export class OwnershipDb {
  readonly members = new Map<InstanceId, MemberRecord>()
  readonly records = new Map<FailureDomain, Revised<ShardRecord>>()
  readonly owned = new Map<FailureDomain, Ownership>()
  claim: PendingClaim | undefined
  recordsRead = false

  /** @returns members of a failure domain but one, those with the most processor time first; all instances share the order */
  membersOf (failureDomain: FailureDomain, except: InstanceId): MemberRecord[] {
    return [...this.members.values()]
      .filter(member => member.failureDomain === failureDomain && member.instance !== except)
      .sort((a, b) => b.cpuMilli - a.cpuMilli || (a.instance < b.instance ? -1 : 1))
  }
}
