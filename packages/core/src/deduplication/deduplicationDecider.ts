/**
 * At most once across resubmissions. Before a non-idempotent request starts, its submission must win the claim
 * at two of three holders, which the agreed roster assigns in different failure domains. No store call is on
 * this path, so a store outage alone stops nothing; where two holders cannot be reached the request is refused.
 *
 * When the voters change, a new holder votes on a bucket only after enough of the bucket's earlier holders have
 * handed over their claims; whoever hands over no longer votes under the older roster.
 */
import type { Claim, ClaimVerdict, CustomerId, Fleet, HolderId, InstanceId, RequestId, RosterEntry, SubmissionId } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { Context } from '../instance/context.js'
import { sendPeer } from '../instance/context.js'
import type { MembershipDecider } from '../membership/membershipDecider.js'
import { DeduplicationDb, HolderTable, bucketOf, majorityOf } from './deduplicationDb.js'
import type { ClaimAttempt, ClaimListener } from './types.js'

/** Pause before asking again a holder that was not ready. */
const VOTE_RETRY_MS = 60
/** Pause between two requests for the claims of a bucket. */
const IMPORT_RETRY_MS = 400
/** Period of dropping claims whose window has passed. */
const EXPIRE_PERIOD_MS = 5000

interface DeferredImport {
  readonly from: InstanceId
  readonly epoch: number
  readonly buckets: readonly number[]
}

/** Decides whether a non-idempotent request may run. */
export class DeduplicationDecider {
  readonly db = new DeduplicationDb()
  private table = new HolderTable(0, [])
  private previousTable = new HolderTable(0, [])
  private entries = new Map<HolderId, RosterEntry>()
  private sealedBelow = 0
  private importAt = 0
  private expireAt = 0
  private deferred: DeferredImport[] = []

  constructor (
    private readonly ctx: Context,
    private readonly membership: MembershipDecider,
    private readonly mayVote: () => boolean,
    private readonly listener: ClaimListener
  ) {}

  /** Takes over new voters: works out which buckets are new here and collects their claims. */
  fleetAdopted (fleet: Fleet, previous: Fleet): void {
    if (fleet.claimVoters.epoch === previous.claimVoters.epoch) return
    const { self, now } = this.ctx
    const { epoch, entries, previousEntries } = fleet.claimVoters
    const followed = this.table
    const inSequence = epoch === followed.epoch + 1
    this.previousTable = inSequence ? followed : new HolderTable(epoch - 1, previousEntries)
    this.table = new HolderTable(epoch, entries)
    this.sealedBelow = Math.max(this.sealedBelow, epoch)
    for (const e of [...previousEntries, ...entries]) this.entries.set(e.holder, e)
    for (const bucket of this.table.bucketsOf(self.holder)) this.planImport(bucket, inSequence)
    this.dropForeignImports()
    this.importAt = now
    this.answerDeferred()
    for (const attempt of this.db.attempts.values()) this.restart(attempt)
  }

  /** Collects claims, repeats votes, gives up attempts. */
  tick (): void {
    const { now } = this.ctx
    if (this.db.imports.size > 0 && now >= this.importAt) this.requestImports()
    for (const attempt of [...this.db.attempts.values()]) this.tickAttempt(attempt)
    if (now < this.expireAt) return
    this.expireAt = now + EXPIRE_PERIOD_MS
    this.db.expire(now)
  }

  /**
   * Starts an attempt to win the claim on a request.
   * @param customer - whose request
   * @param requestId - the caller's id
   * @param submissionId - who claims
   */
  begin (customer: CustomerId, requestId: RequestId, submissionId: SubmissionId): void {
    const giveUpAt = ms(this.ctx.now + this.ctx.cfg.deduplication.voteTimeoutMs)
    const attempt: ClaimAttempt = { customer, requestId, submissionId, giveUpAt, epoch: 0, holders: [], retryAt: ms(0), granted: new Set(), taken: new Map() }
    this.db.attempts.set(submissionId, attempt)
    this.restart(attempt)
  }

  /** Gives a claim up; the submission must never have started anything. */
  abandon (submissionId: SubmissionId): void {
    const attempt = this.db.attempts.get(submissionId)
    if (attempt === undefined) return
    this.db.attempts.delete(submissionId)
    this.releaseAll(attempt)
  }

  /** Votes on a peer's claim. */
  receiveRequest (from: InstanceId, epoch: number, claim: Claim): void {
    const verdict = this.vote(epoch, claim)
    const address = this.membership.db.addressOf(from)
    if (address === undefined) return
    sendPeer(this.ctx, from, address, { type: 'claimVote', epoch, submissionId: claim.submissionId, verdict })
  }

  /** Takes a peer's vote. */
  receiveVote (from: InstanceId, epoch: number, submissionId: SubmissionId, verdict: ClaimVerdict): void {
    const attempt = this.db.attempts.get(submissionId)
    if (attempt === undefined || attempt.epoch !== epoch) return
    const holder = attempt.holders.find(h => this.entries.get(h)?.instance === from)
    if (holder !== undefined) this.count(attempt, holder, verdict)
  }

  /** Takes a released claim. */
  receiveRelease (customer: CustomerId, requestId: RequestId, submissionId: SubmissionId): void {
    this.db.release(customer, requestId, submissionId)
  }

  /** Hands claims over to a new holder, as soon as this instance's own collection is complete. */
  receiveImportRequest (from: InstanceId, epoch: number, buckets: readonly number[]): void {
    this.sealedBelow = Math.max(this.sealedBelow, epoch)
    const request = { from, epoch, buckets }
    if (this.mayHandOver(request)) this.handOver(request)
    else this.deferred = [...this.deferred.filter(d => d.from !== from), request]
  }

  /** Takes claims handed over. */
  receiveImport (epoch: number, holder: HolderId, buckets: readonly number[], claims: readonly Claim[]): void {
    if (epoch !== this.table.epoch) return
    for (const c of claims) this.keepImported(c)
    for (const bucket of buckets) this.noteImported(bucket, holder)
    this.answerDeferred()
  }

  /** @returns the epoch for which all claims of this instance's buckets are collected; 0 while some are not */
  get readyEpoch (): number {
    return this.db.imports.size === 0 ? this.table.epoch : 0
  }

  /** @returns number of buckets that this instance holds and cannot vote on yet */
  importing (): number {
    return this.db.imports.size
  }

  private vote (epoch: number, claim: Claim): ClaimVerdict {
    const { self, now } = this.ctx
    const bucket = bucketOf(claim.customer, claim.requestId)
    if (epoch < this.sealedBelow) return { type: 'staleEpoch' }
    if (epoch > this.table.epoch || !this.mayVote()) return { type: 'notReady' }
    if (!this.table.of(bucket).includes(self.holder)) return { type: 'staleEpoch' }
    const existing = this.db.get(claim.customer, claim.requestId, now)
    if (existing !== undefined && existing.submissionId !== claim.submissionId) return { type: 'taken', by: existing.submissionId }
    if (this.isImporting(bucket)) return { type: 'notReady' }
    const { customer, requestId, submissionId } = claim
    this.db.put({ customer, requestId, submissionId, expiresAt: ms(now + claim.ttlMs) })
    return { type: 'granted' }
  }

  private restart (attempt: ClaimAttempt): void {
    const bucket = bucketOf(attempt.customer, attempt.requestId)
    attempt.epoch = this.table.epoch
    attempt.holders = this.table.of(bucket)
    attempt.granted.clear()
    attempt.taken.clear()
    this.ask(attempt)
  }

  private ask (attempt: ClaimAttempt): void {
    attempt.retryAt = ms(this.ctx.now + VOTE_RETRY_MS)
    const { customer, requestId, submissionId, epoch } = attempt
    const claim = { customer, requestId, submissionId, ttlMs: ms(this.ctx.cfg.deduplication.windowMs) }
    const open = attempt.holders.filter(h => !attempt.granted.has(h) && !attempt.taken.has(h))
    for (const holder of open) {
      if (holder !== this.ctx.self.holder) this.sendTo(holder, { type: 'claimRequest', epoch, claim })
      else this.count(attempt, holder, this.vote(epoch, claim))
    }
  }

  private sendTo (holder: HolderId, message: Parameters<typeof sendPeer>[3]): void {
    const entry = this.entries.get(holder)
    if (entry === undefined) return
    const address = this.membership.db.addressOf(entry.instance)
    if (address !== undefined) sendPeer(this.ctx, entry.instance, address, message)
  }

  private count (attempt: ClaimAttempt, holder: HolderId, verdict: ClaimVerdict): void {
    switch (verdict.type) {
      case 'granted':
        attempt.granted.add(holder)
        break
      case 'taken':
        attempt.taken.set(holder, verdict.by)
        break
      case 'notReady':
      case 'staleEpoch':
        return
    }
    this.decide(attempt)
  }

  private decide (attempt: ClaimAttempt): void {
    if (!this.db.attempts.has(attempt.submissionId)) return
    const needed = majorityOf(attempt.holders.length)
    if (attempt.granted.size >= needed) {
      this.db.attempts.delete(attempt.submissionId)
      this.ctx.out.count('claims.granted')
      this.listener(attempt.submissionId, { type: 'won' })
      return
    }
    if (attempt.holders.length - attempt.taken.size >= needed) return
    this.lose(attempt)
  }

  private lose (attempt: ClaimAttempt): void {
    this.db.attempts.delete(attempt.submissionId)
    this.releaseAll(attempt)
    const by = [...attempt.taken.values()]
    const first = by[0]
    const agreed = first !== undefined && by.filter(s => s === first).length >= majorityOf(attempt.holders.length)
    if (!agreed) {
      this.ctx.out.count('claims.undecidable')
      this.listener(attempt.submissionId, { type: 'undecidable' })
      return
    }
    this.ctx.out.count('claims.taken')
    this.listener(attempt.submissionId, { type: 'taken', by: first })
  }

  private releaseAll (attempt: ClaimAttempt): void {
    const { customer, requestId, submissionId } = attempt
    this.db.release(customer, requestId, submissionId)
    const others = attempt.holders.filter(h => h !== this.ctx.self.holder)
    for (const holder of others) this.sendTo(holder, { type: 'claimRelease', customer, requestId, submissionId })
  }

  private tickAttempt (attempt: ClaimAttempt): void {
    const { now } = this.ctx
    if (now >= attempt.giveUpAt) this.giveUp(attempt)
    else if (now >= attempt.retryAt) this.ask(attempt)
  }

  /** A single report of an earlier submission is enough to name it; without any, nothing is known. */
  private giveUp (attempt: ClaimAttempt): void {
    this.db.attempts.delete(attempt.submissionId)
    this.releaseAll(attempt)
    const by = [...attempt.taken.values()][0]
    this.ctx.out.count(by === undefined ? 'claims.undecidable' : 'claims.taken')
    this.listener(attempt.submissionId, by === undefined ? { type: 'undecidable' } : { type: 'taken', by })
  }

  /** A holder keeps voting on a bucket only if it followed the epoch before and was ready then. */
  private planImport (bucket: number, inSequence: boolean): void {
    const sources = this.previousTable.of(bucket)
    const { holder } = this.ctx.self
    const wasReady = inSequence && sources.includes(holder) && !this.db.imports.has(bucket)
    if (sources.length === 0 || wasReady) return
    const others = sources.filter(s => s !== holder)
    const endsAt = ms(this.ctx.now + this.ctx.cfg.deduplication.windowMs)
    this.db.imports.set(bucket, { bucket, sources: others, received: new Set(), endsAt })
  }

  private dropForeignImports (): void {
    const own = new Set(this.table.bucketsOf(this.ctx.self.holder))
    for (const bucket of [...this.db.imports.keys()]) if (!own.has(bucket)) this.db.imports.delete(bucket)
  }

  private isImporting (bucket: number): boolean {
    return this.db.imports.has(bucket)
  }

  private requestImports (): void {
    this.importAt = this.ctx.now + IMPORT_RETRY_MS
    const wanted = new Map<HolderId, number[]>()
    for (const i of [...this.db.imports.values()]) {
      if (this.ctx.now >= i.endsAt) this.db.imports.delete(i.bucket)
      for (const source of i.sources) if (!i.received.has(source)) wanted.set(source, [...(wanted.get(source) ?? []), i.bucket])
    }
    for (const [source, buckets] of wanted) this.sendTo(source, { type: 'claimsRequest', epoch: this.table.epoch, buckets })
  }

  /** Only a holder that followed the epoch before and has collected its own claims can vouch for a bucket. */
  private mayHandOver (request: DeferredImport): boolean {
    return this.table.epoch >= request.epoch - 1 && !request.buckets.some(b => this.isImporting(b))
  }

  private handOver (request: DeferredImport): void {
    const { now, self } = this.ctx
    const address = this.membership.db.addressOf(request.from)
    if (address === undefined) return
    const claims = this.db.inBuckets(new Set(request.buckets), now).map(c => ({
      customer: c.customer,
      requestId: c.requestId,
      submissionId: c.submissionId,
      ttlMs: ms(c.expiresAt - now)
    }))
    sendPeer(this.ctx, request.from, address, { type: 'claimsReply', epoch: request.epoch, holder: self.holder, buckets: request.buckets, claims })
  }

  private answerDeferred (): void {
    const ready = this.deferred.filter(d => this.mayHandOver(d))
    this.deferred = this.deferred.filter(d => !ready.includes(d))
    for (const d of ready) this.handOver(d)
  }

  /** An imported claim never replaces one that is already known. */
  private keepImported (c: Claim): void {
    const { now } = this.ctx
    if (this.db.get(c.customer, c.requestId, now) !== undefined) return
    this.db.put({ customer: c.customer, requestId: c.requestId, submissionId: c.submissionId, expiresAt: ms(now + c.ttlMs) })
  }

  /**
   * So many earlier holders must answer that every earlier majority has a member among them. A later life of a
   * holder answers under the same name but remembers nothing, and does not count.
   */
  private noteImported (bucket: number, holder: HolderId): void {
    const i = this.db.imports.get(bucket)
    if (i === undefined || !i.sources.includes(holder)) return
    i.received.add(holder)
    const total = this.previousTable.of(bucket).length
    if (i.received.size >= total - majorityOf(total) + 1) this.db.imports.delete(bucket)
  }
}
