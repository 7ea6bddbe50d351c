/**
 * Decides when this instance owns the endpoints of its failure domain. A record in the store names the owner and its
 * successors; a conditional write of it gives the writer a fencing token above all earlier ones. While the store does
 * not answer, a successor uses the token that its place in the record gives it, so that a takeover needs no store.
 * Endpoints refuse lower tokens, so two instances that both believe they own a shard cannot both start work.
 */
import type { FailureDomain, InstanceId, MemberRecord, Ms, Revised, ShardRecord } from '@cranberryyard/protocol'
import type { SessionsDecider } from '../sessions/sessionsDecider.js'
import type { ClaimResult, ShardContext } from '../shard/types.js'
import { OwnershipDb, tokenOf } from './ownershipDb.js'
import type { OwnershipListener } from './types.js'

/** Least time between two writes of a record by its owner, so that members that come and go cost few writes. */
const REWRITE_PAUSE_MS = 3000
/** Least time between two claims that the store did not take. */
const CLAIM_PAUSE_MS = 300
/** An owner hands its shard to a live successor with this many times its processor time. */
const STRONGER_FACTOR = 1.5
/** Successors that keep the store's lists fresh: two may be lost with the owner before one with older lists follows. */
const NEAR_SUCCESSORS = 3
/** Least time for which an owner keeps a shard before it does so; members have registered by then. */
const SETTLE_MS = 2000

/** The ownership decision. */
export class OwnershipDecider {
  readonly db = new OwnershipDb()
  private claimCounter = 0
  private lastClaimAt = -Infinity
  private vacantSince: Ms | undefined
  private leaving = false
  private reclaimFrom = -Infinity

  constructor (private readonly ctx: ShardContext, private readonly sessions: SessionsDecider, private readonly listener: OwnershipListener) {}

  /** Takes records read from the store. */
  recordsRead (members: readonly Revised<MemberRecord>[], shards: readonly Revised<ShardRecord>[]): void {
    this.db.recordsRead = true
    this.db.members.clear()
    for (const { value } of members) {
      this.db.members.set(value.instance, value)
      if (value.instance !== this.ctx.self.instance) this.sessions.db.peer(value.instance, value.address)
    }
    for (const record of shards) this.takeRecord(record)
  }

  /** Claims a vacant shard, or keeps the record of an owned one up to date. */
  tick (): void {
    const own = this.ctx.self.failureDomain
    this.expireClaim(own)
    if (this.leaving || this.db.claim !== undefined) return
    if (!this.db.owned.has(own)) {
      this.watchVacancy(own)
      return
    }
    this.keepRecord(own)
    this.yieldToStronger(own)
  }

  /** Takes the store's answer to a claim. */
  claimOutcome (claimId: number, result: ClaimResult): void {
    if (this.db.claim?.claimId !== claimId) return
    const own = this.ctx.self.failureDomain
    this.db.claim = undefined
    this.ctx.out.log('shard.claimAnswered', { failureDomain: own, result: result.type, revision: result.type === 'written' ? result.revision : undefined })
    switch (result.type) {
      case 'written': return this.won(own, result.revision)
      case 'conflict':
        this.ctx.out.push({ type: 'refreshRecords' })
        return
      case 'unavailable':
      case 'unknown': return this.succeedByRank(own)
    }
  }

  /** Another instance announced a shard. */
  announced (failureDomain: FailureDomain, owner: InstanceId, token: number): void {
    const mine = this.db.owned.get(failureDomain)
    if (mine !== undefined && token > mine.token) this.stepDown(failureDomain, 'announced', owner)
  }

  /** An endpoint has seen a higher token. */
  superseded (failureDomain: FailureDomain): void {
    this.stepDown(failureDomain, 'fenced', undefined)
    this.ctx.out.push({ type: 'refreshRecords' })
  }

  /** The owner of a record leaves and asks this instance to go on. */
  handedOver (failureDomain: FailureDomain, revision: number, rank: number): void {
    const known = this.sessions.db.shards.get(failureDomain)
    if (this.leaving || (known !== undefined && known.token >= tokenOf(revision, rank))) return
    this.gain(failureDomain, revision, rank, 'handover')
  }

  /** Hands owned shards to a live successor; an owner without one keeps its shard to the end. */
  leave (): void {
    this.leaving = true
    for (const failureDomain of [...this.db.owned.keys()]) this.handOver(failureDomain, 'leaving', () => true)
  }

  /** @returns true when this instance is among the first that would follow the owner of its domain */
  isNearSuccessor (): boolean {
    const { self } = this.ctx
    const index = this.db.records.get(self.failureDomain)?.value.successors.indexOf(self.instance) ?? -1
    return index !== -1 && index < NEAR_SUCCESSORS
  }

  /** @returns true while this instance owns some shard */
  owns (): boolean {
    return this.db.owned.size > 0
  }

  /** An owner with little processor time is late with its orders; a stronger successor takes its place while all is calm. */
  private yieldToStronger (own: FailureDomain): void {
    const { now, self } = this.ctx
    const mine = this.db.owned.get(own)
    if (mine === undefined || this.db.claim !== undefined || now - mine.since < SETTLE_MS) return
    const enough = self.cpuMilli * STRONGER_FACTOR
    this.handOver(own, 'stronger', instance => (this.db.members.get(instance)?.cpuMilli ?? 0) >= enough)
  }

  /** Hands a shard to the first live successor that will do; without one this instance keeps it. */
  private handOver (failureDomain: FailureDomain, why: string, willDo: (instance: InstanceId) => boolean): void {
    const mine = this.db.owned.get(failureDomain)
    const record = this.db.records.get(failureDomain)
    if (mine === undefined || record === undefined || record.revision !== mine.revision) return
    const { successors } = record.value
    const index = successors.findIndex((instance, i) => i + 1 > mine.rank && this.sessions.isLive(instance) && willDo(instance))
    const successor = successors[index]
    if (successor === undefined) return
    this.sessions.tell(successor, { type: 'handover', failureDomain, revision: record.revision, rank: index + 1 })
    this.stepDown(failureDomain, why, successor)
  }

  private takeRecord (record: Revised<ShardRecord>): void {
    const { failureDomain, owner } = record.value
    const known = this.db.records.get(failureDomain)
    if (known !== undefined && known.revision >= record.revision) return
    this.db.records.set(failureDomain, record)
    const { self } = this.ctx
    const mine = this.db.owned.get(failureDomain)
    const isSelf = owner.instance === self.instance && owner.incarnation === self.incarnation
    if (isSelf) {
      if (mine !== undefined && record.revision > mine.revision) this.won(failureDomain, record.revision)
      return
    }
    this.sessions.db.peer(owner.instance, owner.address)
    this.sessions.db.learnOwner({ failureDomain, owner: owner.instance, token: tokenOf(record.revision, 0) })
    if (mine !== undefined && tokenOf(record.revision, 0) > mine.token) this.stepDown(failureDomain, 'recordReplaced', owner.instance)
  }

  private watchVacancy (own: FailureDomain): void {
    const { now, cfg } = this.ctx
    if (!this.db.recordsRead) return
    if (!this.isVacant(own)) {
      this.vacantSince = undefined
      return
    }
    this.vacantSince ??= now
    if (now < this.reclaimFrom) return
    if (now - this.vacantSince < this.rankOf(own) * cfg.successionMs) return
    if (now - this.lastClaimAt >= CLAIM_PAUSE_MS) this.writeClaim(own)
  }

  /** @returns true when the known owner is lost or says that it does not own the shard */
  private isVacant (own: FailureDomain): boolean {
    const { self } = this.ctx
    const shard = this.sessions.db.shards.get(own)
    if (shard === undefined) return true
    if (shard.owner === self.instance) return true
    const peer = this.sessions.db.peers.get(shard.owner)
    return shard.disowned || peer === undefined || peer.lost
  }

  private rankOf (own: FailureDomain): number {
    const record = this.db.records.get(own)?.value
    if (record === undefined || record.owner.instance === this.ctx.self.instance) return 0
    const index = record.successors.indexOf(this.ctx.self.instance)
    return index === -1 ? record.successors.length : index
  }

  private writeClaim (own: FailureDomain): void {
    const { now, self, out } = this.ctx
    const known = this.db.records.get(own)
    const record: ShardRecord = {
      failureDomain: own,
      owner: { ...self },
      successors: this.db.membersOf(own, self.instance).map(member => member.instance)
    }
    this.db.claim = { claimId: ++this.claimCounter, sentAt: now }
    this.lastClaimAt = now
    out.count('shard.owner.claims')
    out.log('shard.claim', { failureDomain: own, expectedRevision: known?.revision ?? 0, ownerBefore: known?.value.owner.instance, vacantMs: Math.round(now - (this.vacantSince ?? now)), rank: this.rankOf(own) })
    out.push({ type: 'claimShard', claimId: this.db.claim.claimId, expectedRevision: known?.revision ?? 0, record })
  }

  /** Rewrites the record when the members of the domain are others than its successors, or after a takeover by rank. */
  private keepRecord (own: FailureDomain): void {
    const { now, self } = this.ctx
    const mine = this.db.owned.get(own)
    const record = this.db.records.get(own)
    const members = this.db.membersOf(own, self.instance).map(member => member.instance)
    const current = mine?.rank === 0 && record?.value.successors.join() === members.join()
    if (!current && now - this.lastClaimAt >= REWRITE_PAUSE_MS) this.writeClaim(own)
  }

  private expireClaim (own: FailureDomain): void {
    const claim = this.db.claim
    if (claim === undefined || this.ctx.now - claim.sentAt < this.ctx.cfg.claimTimeoutMs) return
    this.db.claim = undefined
    this.succeedByRank(own)
  }

  private succeedByRank (own: FailureDomain): void {
    const record = this.db.records.get(own)
    if (record === undefined || this.db.owned.has(own) || this.leaving || !this.isVacant(own) || this.ctx.now < this.reclaimFrom) return
    const index = record.value.successors.indexOf(this.ctx.self.instance)
    const known = this.sessions.db.shards.get(own)
    if (index === -1 || (known !== undefined && known.token >= tokenOf(record.revision, index + 1))) return
    this.gain(own, record.revision, index + 1, 'storeDown')
  }

  private won (failureDomain: FailureDomain, revision: number): void {
    const { self } = this.ctx
    const successors = this.db.membersOf(failureDomain, self.instance).map(member => member.instance)
    this.db.records.set(failureDomain, { revision, value: { failureDomain, owner: { ...self }, successors } })
    this.gain(failureDomain, revision, 0, 'store')
  }

  private gain (failureDomain: FailureDomain, revision: number, rank: number, how: string): void {
    const { now, out, self } = this.ctx
    const token = tokenOf(revision, rank)
    const mine = this.db.owned.get(failureDomain)
    this.sessions.db.learnOwner({ failureDomain, owner: self.instance, token })
    if (mine !== undefined) {
      mine.token = token
      mine.rank = rank
      mine.revision = revision
    } else {
      this.db.owned.set(failureDomain, { failureDomain, token, rank, revision, since: now })
      out.count('shard.owner.takeovers')
      out.log('shard.owned', { failureDomain, token, how, rank, revision, vacantMs: Math.round(now - (this.vacantSince ?? now)) })
      if (this.vacantSince !== undefined) out.push({ type: 'observe', histogram: 'takeoverMs', label: how, valueMs: now - this.vacantSince })
      this.vacantSince = undefined
      this.listener.ownershipGained(failureDomain, token)
    }
    this.announce(failureDomain)
  }

  private announce (failureDomain: FailureDomain): void {
    const { self } = this.ctx
    const mine = this.db.owned.get(failureDomain)
    if (mine === undefined) return
    for (const member of this.db.members.values()) {
      if (member.instance !== self.instance) this.sessions.tell(member.instance, { type: 'announce', incarnation: self.incarnation, address: self.address, failureDomain, token: mine.token })
    }
  }

  private stepDown (failureDomain: FailureDomain, why: string, successor: InstanceId | undefined): void {
    const mine = this.db.owned.get(failureDomain)
    if (mine === undefined) return
    this.db.owned.delete(failureDomain)
    this.reclaimFrom = this.ctx.now + this.ctx.cfg.reclaimMs
    this.vacantSince = undefined
    this.ctx.out.count('shard.owner.superseded')
    this.ctx.out.log('shard.released', { failureDomain, why, token: mine.token, ownedMs: Math.round(this.ctx.now - mine.since), successor }, 'warn')
    this.listener.ownershipLost(failureDomain, successor)
  }
}
