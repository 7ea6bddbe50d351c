/**
 * Decides when this instance owns the endpoints of its failure domain. A record in the store names the owner and its
 * successors, and a conditional write of the record gives the writer a fencing token above all earlier ones. While the
 * store does not answer, a successor uses the token for its rank in the record, so a takeover does not depend on the store.
 * Endpoints refuse lower tokens, so two instances that both believe they own a shard cannot both start work.
 */
import type { FailureDomain, InstanceId, MemberRecord, Ms, Revised, ShardRecord } from '@cranberryyard/protocol'
import type { SessionsDecider } from '../sessions/sessionsDecider.js'
import type { ClaimResult, ShardContext } from '../shard/types.js'
import { OwnershipDb, nextRank, tokenOf } from './ownershipDb.js'
import type { OwnershipListener } from './types.js'

/**
 * After an endpoint refused its token, an instance does not take over without the store for this long. Another instance owns the
 * shard, though it may be unreachable from here; only the store can tell when it is gone.
 */
const FENCED_PAUSE_MS = 10_000
/** Minimum time between two writes of a record by its owner. It limits the writes when members join and leave often. */
const MIN_REWRITE_INTERVAL_MS = 3000
/** Minimum time before a claim is repeated that the store did not accept. */
const MIN_CLAIM_INTERVAL_MS = 300
/** An owner hands its shard to a live successor that has at least this many times its own processor time. */
const HANDOVER_CPU_FACTOR = 1.5
/**
 * Number of successors that read the store's lists at short intervals. With three, two of them can be lost together with the
 * owner before a successor with older lists takes over.
 */
const NEAR_SUCCESSOR_COUNT = 3
/** Minimum time before an owner hands its shard to a stronger successor; the other members have registered by then. */
const MIN_OWNED_MS_BEFORE_HANDOVER = 2000

/** Claims, keeps, hands over and gives up shards on behalf of this instance. */
export class OwnershipDecider {
  readonly db = new OwnershipDb()
  private claimCounter = 0
  private lastClaimAt = -Infinity
  private vacantSince: Ms | undefined
  private leaving = false
  private reclaimAllowedAt = -Infinity
  private rankTakeoverAllowedAt = -Infinity
  private storeRead = false

  constructor (private readonly ctx: ShardContext, private readonly sessions: SessionsDecider, private readonly listener: OwnershipListener) {}

  /** Applies the member and shard records read from the store. Members that are not among them are removed. */
  recordsRead (members: readonly Revised<MemberRecord>[], shards: readonly Revised<ShardRecord>[]): void {
    this.db.recordsRead = true
    this.storeRead = true
    this.db.members.clear()
    for (const { value } of members) this.applyMember(value)
    for (const record of shards) this.applyRecord(record)
  }

  /**
   * Applies the records that a peer has read. They may be older than what this instance knows, so only later ones count; a member can also have
   * been removed, so members count only while this instance has not read the store itself since it started.
   */
  recordsLearned (members: readonly MemberRecord[], shards: readonly Revised<ShardRecord>[]): void {
    if (members.length > 0) this.db.recordsRead = true
    for (const member of this.storeRead ? [] : members) {
      if (member.incarnation > (this.db.members.get(member.instance)?.incarnation ?? -Infinity)) this.applyMember(member)
    }
    for (const record of shards) this.applyRecord(record)
  }

  /**
   * Returns whether this instance knows the record of its own domain that is in force, as far as tokens show. Under an earlier one, it cannot take the
   * shard over while the store does not answer.
   */
  knowsOwnRecord (): boolean {
    const { failureDomain } = this.ctx.self
    const record = this.db.records.get(failureDomain)
    return record !== undefined && (this.sessions.db.shards.get(failureDomain)?.token ?? 0) < tokenOf(record.revision + 1, 0)
  }

  /** Claims the shard of the own failure domain if it is vacant; otherwise, as its owner, keeps its record up to date. */
  tick (): void {
    const ownDomain = this.ctx.self.failureDomain
    this.expireClaim(ownDomain)
    if (this.leaving || this.db.claim !== undefined) return
    if (!this.db.owned.has(ownDomain)) {
      this.claimIfVacant(ownDomain)
      return
    }
    this.updateRecord(ownDomain)
    this.handOverToStronger(ownDomain)
  }

  /** Handles the store's answer to a claim. Without a usable answer, this instance takes over by its rank if it can. */
  claimOutcome (claimId: number, result: ClaimResult): void {
    if (this.db.claim?.claimId !== claimId) return
    const ownDomain = this.ctx.self.failureDomain
    const { record } = this.db.claim
    this.db.claim = undefined
    this.ctx.out.log('shard.claimAnswered', { shard: ownDomain, result: result.type, revision: result.type === 'written' ? result.revision : undefined })
    switch (result.type) {
      case 'written': return this.ownRecordWritten({ revision: result.revision, value: record })
      case 'conflict':
        this.ctx.out.push({ type: 'refreshRecords' })
        return
      case 'unavailable':
      case 'unknown': return this.takeOverByRank(ownDomain)
    }
  }

  /** Another instance announced that it owns a shard; this one steps down if the announced token is higher. */
  ownerAnnounced (failureDomain: FailureDomain, owner: InstanceId, token: number): void {
    const ownership = this.db.owned.get(failureDomain)
    if (ownership !== undefined && token > ownership.token) this.stepDown(failureDomain, 'announced', owner)
  }

  /** An endpoint refused an order because it has seen a higher token, so another instance owns the shard. */
  superseded (failureDomain: FailureDomain): void {
    this.stepDown(failureDomain, 'fenced', undefined)
    this.ctx.out.push({ type: 'refreshRecords' })
  }

  /** The owner hands its shard over to this instance, which takes the token for its rank in the record. */
  handoverReceived (failureDomain: FailureDomain, revision: number, rank: number): void {
    const known = this.sessions.db.shards.get(failureDomain)
    if (this.leaving || (known !== undefined && known.token >= tokenOf(revision, rank))) return
    // Another instance owned the shard in the meantime, so what this one knows of the endpoints and of their runs is out of date.
    if (this.db.owned.has(failureDomain)) this.stepDown(failureDomain, 'handover', this.ctx.self.instance)
    this.acquire(failureDomain, revision, rank, 'handover')
  }

  /** Hands each owned shard to a live successor. A shard without one stays owned until the process ends. */
  leave (): void {
    this.leaving = true
    for (const failureDomain of [...this.db.owned.keys()]) this.handOver(failureDomain, 'leaving', () => true)
  }

  /** Returns whether this instance is among the first successors of its own domain's owner. */
  isNearSuccessor (): boolean {
    const { self } = this.ctx
    const index = this.db.records.get(self.failureDomain)?.value.successors.indexOf(self.instance) ?? -1
    return index !== -1 && index < NEAR_SUCCESSOR_COUNT
  }

  /** Returns whether this instance owns at least one shard. */
  owns (): boolean {
    return this.db.owned.size > 0
  }

  /**
   * Hands the shard to a successor with clearly more processor time, because an owner with little processor time sends
   * its orders late. The handover happens only while no claim is pending and the ownership is not new.
   */
  private handOverToStronger (ownDomain: FailureDomain): void {
    const { now, self } = this.ctx
    const ownership = this.db.owned.get(ownDomain)
    if (ownership === undefined || this.db.claim !== undefined || now - ownership.since < MIN_OWNED_MS_BEFORE_HANDOVER) return
    const requiredCpuMilli = self.cpuMilli * HANDOVER_CPU_FACTOR
    this.handOver(ownDomain, 'stronger', instance => (this.db.members.get(instance)?.cpuMilli ?? 0) >= requiredCpuMilli)
  }

  /** Hands a shard to the first live successor that is suitable. Without one, this instance keeps the shard. */
  private handOver (failureDomain: FailureDomain, why: string, isSuitable: (instance: InstanceId) => boolean): void {
    const ownership = this.db.owned.get(failureDomain)
    const record = this.db.records.get(failureDomain)
    if (ownership === undefined || record === undefined || record.revision !== ownership.revision) return
    for (const instance of [...record.value.successors, record.value.owner.instance]) {
      if (instance === this.ctx.self.instance || !this.sessions.isLive(instance) || this.sessions.isLeaving(instance) || !isSuitable(instance)) continue
      const rank = nextRank(record, instance, ownership.token)
      if (rank === undefined) continue
      this.sessions.send(instance, { type: 'handover', failureDomain, revision: record.revision, rank, endpoints: this.listener.endpointsOf(failureDomain) })
      this.stepDown(failureDomain, why, instance)
      return
    }
  }

  private applyMember (member: MemberRecord): void {
    this.db.members.set(member.instance, member)
    if (member.instance !== this.ctx.self.instance) this.sessions.db.peer(member.instance, member.address)
  }

  private applyRecord (record: Revised<ShardRecord>): void {
    const { failureDomain, owner } = record.value
    const known = this.db.records.get(failureDomain)
    if (known !== undefined && known.revision >= record.revision) return
    this.db.records.set(failureDomain, record)
    const { self } = this.ctx
    const ownership = this.db.owned.get(failureDomain)
    const isSelf = owner.instance === self.instance && owner.incarnation === self.incarnation
    if (isSelf) {
      if (ownership === undefined ? this.mayOwnBy(record) : record.revision > ownership.revision) this.ownRecordWritten(record)
      return
    }
    this.sessions.db.peer(owner.instance, owner.address)
    this.sessions.db.learnOwner({ failureDomain, owner: owner.instance, token: tokenOf(record.revision, 0) })
    if (ownership !== undefined && tokenOf(record.revision, 0) > ownership.token) this.stepDown(failureDomain, 'recordReplaced', owner.instance)
  }

  /**
   * Returns whether this instance, which does not own the shard, owns it by a record that names it. A claim may take effect after its answer was lost and
   * this instance has stepped down; whoever took the shard over meanwhile gives it up when it reads the record.
   */
  private mayOwnBy ({ revision, value }: Revised<ShardRecord>): boolean {
    const known = this.sessions.db.shards.get(value.failureDomain)
    return !this.leaving && (known === undefined || known.token < tokenOf(revision, 0))
  }

  private claimIfVacant (ownDomain: FailureDomain): void {
    const { now, cfg } = this.ctx
    if (!this.db.recordsRead) return
    if (!this.isVacant(ownDomain)) {
      this.vacantSince = undefined
      return
    }
    this.vacantSince ??= now
    if (now < this.reclaimAllowedAt) return
    if (now - this.vacantSince < this.rankOf(ownDomain) * cfg.successionMs) return
    if (now - this.lastClaimAt >= MIN_CLAIM_INTERVAL_MS) this.writeClaim(ownDomain)
  }

  /**
   * Returns whether the shard has no known owner, or one that is lost, unknown as a peer, or no longer lists the shard as its own. An entry
   * that names this instance counts as vacant, since the check is made only while this instance does not own the shard.
   */
  private isVacant (ownDomain: FailureDomain): boolean {
    const { self } = this.ctx
    const shard = this.sessions.db.shards.get(ownDomain)
    if (shard === undefined) return true
    if (shard.owner === self.instance) return true
    const peer = this.sessions.db.peers.get(shard.owner)
    return shard.disowned || peer === undefined || peer.lost
  }

  private rankOf (ownDomain: FailureDomain): number {
    const record = this.db.records.get(ownDomain)?.value
    if (record === undefined || record.owner.instance === this.ctx.self.instance) return 0
    const index = record.successors.indexOf(this.ctx.self.instance)
    return index === -1 ? record.successors.length : index
  }

  private writeClaim (ownDomain: FailureDomain): void {
    const { now, self, out } = this.ctx
    const known = this.db.records.get(ownDomain)
    const record: ShardRecord = {
      failureDomain: ownDomain,
      owner: { ...self },
      successors: this.db.membersOf(ownDomain, self.instance).map(member => member.instance)
    }
    this.db.claim = { claimId: ++this.claimCounter, sentAt: now, record }
    this.lastClaimAt = now
    out.count('shard.owner.claims')
    out.log('shard.claim', { shard: ownDomain, expectedRevision: known?.revision ?? 0, ownerBefore: known?.value.owner.instance, vacantMs: Math.round(now - (this.vacantSince ?? now)), rank: this.rankOf(ownDomain) })
    out.push({ type: 'claimShard', claimId: this.db.claim.claimId, expectedRevision: known?.revision ?? 0, record })
  }

  /** Rewrites the record when its successors differ from the domain's members, or after a takeover by rank. */
  private updateRecord (ownDomain: FailureDomain): void {
    const { now, self } = this.ctx
    const ownership = this.db.owned.get(ownDomain)
    const record = this.db.records.get(ownDomain)
    const members = this.db.membersOf(ownDomain, self.instance).map(member => member.instance)
    const isUpToDate = ownership?.rank === 0 && record?.value.successors.join() === members.join()
    if (!isUpToDate && now - this.lastClaimAt >= MIN_REWRITE_INTERVAL_MS) this.writeClaim(ownDomain)
  }

  private expireClaim (ownDomain: FailureDomain): void {
    const claim = this.db.claim
    if (claim === undefined || this.ctx.now - claim.sentAt < this.ctx.cfg.claimTimeoutMs) return
    this.db.claim = undefined
    this.takeOverByRank(ownDomain)
  }

  private takeOverByRank (ownDomain: FailureDomain): void {
    const record = this.db.records.get(ownDomain)
    if (record === undefined || this.db.owned.has(ownDomain) || this.leaving || !this.isVacant(ownDomain) || this.ctx.now < this.rankTakeoverAllowedAt) return
    const known = Math.max(tokenOf(record.revision, 0), this.sessions.db.shards.get(ownDomain)?.token ?? 0)
    const rank = nextRank(record, this.ctx.self.instance, known)
    if (rank !== undefined) this.acquire(ownDomain, record.revision, rank, 'storeDown')
  }

  /**
   * Owns the shard by a record that the store holds.
   * @param record - exactly what was written under the revision: instances derive the tokens of successors from their positions in it, and members may
   * have registered since
   */
  private ownRecordWritten (record: Revised<ShardRecord>): void {
    const { failureDomain } = record.value
    this.db.records.set(failureDomain, record)
    this.acquire(failureDomain, record.revision, 0, 'store')
    this.shareRecord(failureDomain)
  }

  /** Tells all members a record that was just written, so that it is not lost with this instance when the store goes down before they have read it. */
  private shareRecord (failureDomain: FailureDomain): void {
    const record = this.db.records.get(failureDomain)
    if (record === undefined) return
    for (const { instance } of this.db.members.values()) {
      if (instance !== this.ctx.self.instance) this.sessions.send(instance, { type: 'introduction', members: [], shards: [record], endpoints: [] })
    }
  }

  private acquire (failureDomain: FailureDomain, revision: number, rank: number, how: string): void {
    const { now, out, self } = this.ctx
    const token = tokenOf(revision, rank)
    const ownership = this.db.owned.get(failureDomain)
    this.sessions.db.learnOwner({ failureDomain, owner: self.instance, token })
    if (ownership !== undefined) {
      ownership.token = token
      ownership.rank = rank
      ownership.revision = revision
      ownership.tokenSince = now
      // A successor may have started tasks meanwhile without this instance having noticed, so each endpoint has to answer again.
      this.listener.ownershipGained(failureDomain, token)
    } else {
      this.db.owned.set(failureDomain, { failureDomain, token, rank, revision, since: now, tokenSince: now })
      out.count('shard.owner.takeovers')
      out.log('shard.owned', { shard: failureDomain, token, how, rank, revision, ranks: this.ranksOf(failureDomain), vacantMs: Math.round(now - (this.vacantSince ?? now)) })
      if (this.vacantSince !== undefined) out.push({ type: 'observe', histogram: 'takeoverMs', label: how, valueMs: now - this.vacantSince })
      this.vacantSince = undefined
      this.listener.ownershipGained(failureDomain, token)
    }
    this.announce(failureDomain)
  }

  /** Lists the instances of this instance's copy of the record by rank, to compare copies in the logs. */
  private ranksOf (failureDomain: FailureDomain): string | undefined {
    const record = this.db.records.get(failureDomain)?.value
    return record === undefined ? undefined : [record.owner.instance, ...record.successors].join()
  }

  private announce (failureDomain: FailureDomain): void {
    const { self } = this.ctx
    const ownership = this.db.owned.get(failureDomain)
    if (ownership === undefined) return
    for (const member of this.db.members.values()) {
      if (member.instance !== self.instance) this.sessions.send(member.instance, { type: 'announce', incarnation: self.incarnation, address: self.address, failureDomain, token: ownership.token, time: this.sessions.timeForPeers() })
    }
  }

  private stepDown (failureDomain: FailureDomain, why: string, successor: InstanceId | undefined): void {
    const ownership = this.db.owned.get(failureDomain)
    if (ownership === undefined) return
    this.db.owned.delete(failureDomain)
    this.reclaimAllowedAt = this.ctx.now + this.ctx.cfg.reclaimMs
    this.rankTakeoverAllowedAt = why === 'fenced' ? this.ctx.now + FENCED_PAUSE_MS : this.reclaimAllowedAt
    this.vacantSince = undefined
    this.ctx.out.count('shard.owner.superseded')
    this.ctx.out.log('shard.released', { shard: failureDomain, why, token: ownership.token, ownedMs: Math.round(this.ctx.now - ownership.since), successor }, 'warn')
    this.listener.ownershipLost(failureDomain, successor)
  }
}
