/**
 * Ensures that a non-idempotent request runs at most once, even when a caller submits it again. Before the request
 * starts, its submission must win a claim from two of three holders, which the agreed roster assigns in different
 * failure domains. Winning a claim needs no store call, so a store outage alone stops no request; the request is
 * refused when two holders cannot be reached.
 *
 * When the set of voters changes, a new holder votes on a bucket only after enough of the bucket's earlier holders
 * have handed over their claims. A holder that hands over its claims no longer votes under the older voters.
 */
import type { Claim, ClaimVerdict, CustomerId, Fleet, HolderId, InstanceId, RequestId, RosterEntry, SubmissionId } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { Context } from '../instance/context.js'
import { sendPeer } from '../instance/context.js'
import type { MembershipDecider } from '../membership/membershipDecider.js'
import { DeduplicationDb, HolderTable, bucketOf, majorityOf } from './deduplicationDb.js'
import type { ClaimAttempt, ClaimListener } from './types.js'

/** Pause before repeating a vote request to holders that have neither granted nor refused the claim. */
const VOTE_RETRY_MS = 60
/** Pause between requests for the claims of buckets that are being imported. */
const IMPORT_RETRY_MS = 400
/** Period at which expired claims are dropped. */
const EXPIRE_PERIOD_MS = 5000

/** A new holder's request for claims that this instance cannot answer before its own imports are complete. */
interface HandOverRequest {
  readonly from: InstanceId
  readonly epoch: number
  readonly buckets: readonly number[]
}

/** Decides whether a non-idempotent request may run, and votes on the claims of other instances. */
export class DeduplicationDecider {
  readonly db = new DeduplicationDb()
  private currentTable = new HolderTable(0, [])
  private previousTable = new HolderTable(0, [])
  private entryByHolder = new Map<HolderId, RosterEntry>()
  /** Oldest epoch under which this instance still votes. It rises when a newer epoch is adopted, or named in an import request. */
  private minVoteEpoch = 0
  private nextImportRequestAt = 0
  private nextExpiryAt = 0
  private deferredHandOvers: HandOverRequest[] = []

  constructor (
    private readonly ctx: Context,
    private readonly membership: MembershipDecider,
    private readonly mayVote: () => boolean,
    private readonly listener: ClaimListener
  ) {}

  /** Adopts new voters: starts importing the buckets that are new to this instance and restarts all attempts. */
  fleetAdopted (fleet: Fleet, previous: Fleet): void {
    if (fleet.claimVoters.epoch === previous.claimVoters.epoch) return
    const { self, now } = this.ctx
    const { epoch, entries, previousEntries } = fleet.claimVoters
    const replacedTable = this.currentTable
    const inSequence = epoch === replacedTable.epoch + 1
    this.previousTable = inSequence ? replacedTable : new HolderTable(epoch - 1, previousEntries)
    this.currentTable = new HolderTable(epoch, entries)
    this.minVoteEpoch = Math.max(this.minVoteEpoch, epoch)
    for (const e of [...previousEntries, ...entries]) this.entryByHolder.set(e.holder, e)
    for (const bucket of this.currentTable.bucketsOf(self.holder)) this.planImport(bucket, inSequence)
    this.dropImportsOfUnheldBuckets()
    this.nextImportRequestAt = now
    this.answerDeferredHandOvers()
    for (const attempt of this.db.attempts.values()) this.restartAttempt(attempt)
  }

  /** Repeats import and vote requests, ends attempts that have timed out, and drops expired claims. */
  tick (): void {
    const { now } = this.ctx
    if (this.db.imports.size > 0 && now >= this.nextImportRequestAt) this.requestImports()
    for (const attempt of [...this.db.attempts.values()]) this.tickAttempt(attempt)
    if (now < this.nextExpiryAt) return
    this.nextExpiryAt = now + EXPIRE_PERIOD_MS
    this.db.expire(now)
  }

  /**
   * Starts an attempt to win the claim on a request.
   * @param customer - the customer that sent the request
   * @param requestId - the caller's id for the request
   * @param submissionId - the submission that claims the request
   */
  beginAttempt (customer: CustomerId, requestId: RequestId, submissionId: SubmissionId): void {
    const giveUpAt = ms(this.ctx.now + this.ctx.cfg.deduplication.voteTimeoutMs)
    const attempt: ClaimAttempt = { customer, requestId, submissionId, giveUpAt, epoch: 0, holders: [], retryAt: ms(0), granted: new Set(), taken: new Map() }
    this.db.attempts.set(submissionId, attempt)
    this.restartAttempt(attempt)
  }

  /** Gives up an attempt and releases its claim. No task of the submission may have started. */
  abandonAttempt (submissionId: SubmissionId): void {
    const attempt = this.db.attempts.get(submissionId)
    if (attempt === undefined) return
    this.db.attempts.delete(submissionId)
    this.releaseAll(attempt)
  }

  /** Votes on a claim for another instance and sends the verdict. */
  receiveRequest (from: InstanceId, epoch: number, claim: Claim): void {
    const verdict = this.vote(epoch, claim)
    const address = this.membership.db.addressOf(from)
    if (address === undefined) return
    sendPeer(this.ctx, from, address, { type: 'claimVote', epoch, submissionId: claim.submissionId, verdict })
  }

  /** Records a holder's vote, unless it was cast in another epoch than the attempt's. */
  receiveVote (from: InstanceId, epoch: number, submissionId: SubmissionId, verdict: ClaimVerdict): void {
    const attempt = this.db.attempts.get(submissionId)
    if (attempt === undefined || attempt.epoch !== epoch) return
    const holder = attempt.holders.find(h => this.entryByHolder.get(h)?.instance === from)
    if (holder !== undefined) this.recordVote(attempt, holder, verdict)
  }

  /** Removes a claim that its submission has released. */
  receiveRelease (customer: CustomerId, requestId: RequestId, submissionId: SubmissionId): void {
    this.db.release(customer, requestId, submissionId)
  }

  /**
   * Hands claims over to a new holder, as soon as this instance's own imports are complete. Once asked, it no longer
   * votes in older epochs, so the new holder misses no claim that is granted there.
   */
  receiveImportRequest (from: InstanceId, epoch: number, buckets: readonly number[]): void {
    this.minVoteEpoch = Math.max(this.minVoteEpoch, epoch)
    const request = { from, epoch, buckets }
    if (this.mayHandOver(request)) this.handOver(request)
    else this.deferredHandOvers = [...this.deferredHandOvers.filter(d => d.from !== from), request]
  }

  /** Stores claims that an earlier holder handed over. */
  receiveImport (epoch: number, holder: HolderId, buckets: readonly number[], claims: readonly Claim[]): void {
    if (epoch !== this.currentTable.epoch) return
    for (const c of claims) this.storeImported(c)
    for (const bucket of buckets) this.recordImport(bucket, holder)
    this.answerDeferredHandOvers()
  }

  /** The epoch for which this instance has imported the claims of all its buckets; 0 while imports are incomplete. */
  get readyEpoch (): number {
    return this.db.imports.size === 0 ? this.currentTable.epoch : 0
  }

  /** @returns number of buckets on which this instance cannot vote yet, because their import is incomplete */
  importingBuckets (): number {
    return this.db.imports.size
  }

  private vote (epoch: number, claim: Claim): ClaimVerdict {
    const { self, now } = this.ctx
    const bucket = bucketOf(claim.customer, claim.requestId)
    if (epoch < this.minVoteEpoch) return { type: 'staleEpoch' }
    if (epoch > this.currentTable.epoch || !this.mayVote()) return { type: 'notReady' }
    if (!this.currentTable.forBucket(bucket).includes(self.holder)) return { type: 'staleEpoch' }
    const existing = this.db.get(claim.customer, claim.requestId, now)
    if (existing !== undefined && existing.submissionId !== claim.submissionId) return { type: 'taken', by: existing.submissionId }
    if (this.isImporting(bucket)) return { type: 'notReady' }
    const { customer, requestId, submissionId } = claim
    this.db.put({ customer, requestId, submissionId, expiresAt: ms(now + claim.ttlMs) })
    return { type: 'granted' }
  }

  private restartAttempt (attempt: ClaimAttempt): void {
    const bucket = bucketOf(attempt.customer, attempt.requestId)
    attempt.epoch = this.currentTable.epoch
    attempt.holders = this.currentTable.forBucket(bucket)
    attempt.granted.clear()
    attempt.taken.clear()
    this.requestVotes(attempt)
  }

  private requestVotes (attempt: ClaimAttempt): void {
    attempt.retryAt = ms(this.ctx.now + VOTE_RETRY_MS)
    const { customer, requestId, submissionId, epoch } = attempt
    const claim = { customer, requestId, submissionId, ttlMs: ms(this.ctx.cfg.deduplication.windowMs) }
    const undecided = attempt.holders.filter(h => !attempt.granted.has(h) && !attempt.taken.has(h))
    for (const holder of undecided) {
      if (holder !== this.ctx.self.holder) this.sendTo(holder, { type: 'claimRequest', epoch, claim })
      else this.recordVote(attempt, holder, this.vote(epoch, claim))
    }
  }

  private sendTo (holder: HolderId, message: Parameters<typeof sendPeer>[3]): void {
    const entry = this.entryByHolder.get(holder)
    if (entry === undefined) return
    const address = this.membership.db.addressOf(entry.instance)
    if (address !== undefined) sendPeer(this.ctx, entry.instance, address, message)
  }

  private recordVote (attempt: ClaimAttempt, holder: HolderId, verdict: ClaimVerdict): void {
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
    this.endIfDecided(attempt)
  }

  private endIfDecided (attempt: ClaimAttempt): void {
    if (!this.db.attempts.has(attempt.submissionId)) return
    const needed = majorityOf(attempt.holders.length)
    if (attempt.granted.size >= needed) {
      this.db.attempts.delete(attempt.submissionId)
      this.ctx.out.count('claims.granted')
      this.listener(attempt.submissionId, { type: 'won' })
      return
    }
    if (attempt.holders.length - attempt.taken.size >= needed) return
    this.endWithoutMajority(attempt)
  }

  private endWithoutMajority (attempt: ClaimAttempt): void {
    this.db.attempts.delete(attempt.submissionId)
    this.releaseAll(attempt)
    const earlierSubmissions = [...attempt.taken.values()]
    const first = earlierSubmissions[0]
    const agreed = first !== undefined && earlierSubmissions.filter(s => s === first).length >= majorityOf(attempt.holders.length)
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
    else if (now >= attempt.retryAt) this.requestVotes(attempt)
  }

  /** Ends an attempt after its timeout. One vote that names an earlier submission is enough to report it as taken. */
  private giveUp (attempt: ClaimAttempt): void {
    this.db.attempts.delete(attempt.submissionId)
    this.releaseAll(attempt)
    const by = [...attempt.taken.values()][0]
    this.ctx.out.count(by === undefined ? 'claims.undecidable' : 'claims.taken')
    this.listener(attempt.submissionId, by === undefined ? { type: 'undecidable' } : { type: 'taken', by })
  }

  /** Starts an import, unless this instance adopted the previous epoch and was ready to vote on the bucket then. */
  private planImport (bucket: number, inSequence: boolean): void {
    const sources = this.previousTable.forBucket(bucket)
    const { holder } = this.ctx.self
    const wasReady = inSequence && sources.includes(holder) && !this.db.imports.has(bucket)
    if (sources.length === 0 || wasReady) return
    const others = sources.filter(s => s !== holder)
    const endsAt = ms(this.ctx.now + this.ctx.cfg.deduplication.windowMs)
    this.db.imports.set(bucket, { bucket, sources: others, receivedFrom: new Set(), endsAt })
  }

  private dropImportsOfUnheldBuckets (): void {
    const own = new Set(this.currentTable.bucketsOf(this.ctx.self.holder))
    for (const bucket of [...this.db.imports.keys()]) if (!own.has(bucket)) this.db.imports.delete(bucket)
  }

  private isImporting (bucket: number): boolean {
    return this.db.imports.has(bucket)
  }

  private requestImports (): void {
    this.nextImportRequestAt = this.ctx.now + IMPORT_RETRY_MS
    const bucketsBySource = new Map<HolderId, number[]>()
    for (const bucketImport of [...this.db.imports.values()]) {
      if (this.ctx.now >= bucketImport.endsAt) this.db.imports.delete(bucketImport.bucket)
      for (const source of bucketImport.sources) if (!bucketImport.receivedFrom.has(source)) bucketsBySource.set(source, [...(bucketsBySource.get(source) ?? []), bucketImport.bucket])
    }
    for (const [source, buckets] of bucketsBySource) this.sendTo(source, { type: 'claimsRequest', epoch: this.currentTable.epoch, buckets })
  }

  /** A hand-over is complete only from a holder that adopted the previous epoch and has finished its own imports. */
  private mayHandOver (request: HandOverRequest): boolean {
    return this.currentTable.epoch >= request.epoch - 1 && !request.buckets.some(b => this.isImporting(b))
  }

  private handOver (request: HandOverRequest): void {
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

  private answerDeferredHandOvers (): void {
    const ready = this.deferredHandOvers.filter(d => this.mayHandOver(d))
    this.deferredHandOvers = this.deferredHandOvers.filter(d => !ready.includes(d))
    for (const d of ready) this.handOver(d)
  }

  /** Stores an imported claim, unless one on the same request is already stored. */
  private storeImported (claim: Claim): void {
    const { now } = this.ctx
    if (this.db.get(claim.customer, claim.requestId, now) !== undefined) return
    this.db.put({ customer: claim.customer, requestId: claim.requestId, submissionId: claim.submissionId, expiresAt: ms(now + claim.ttlMs) })
  }

  /**
   * Notes that an earlier holder has handed over a bucket. The import is complete once so many have answered that
   * every majority of the earlier holders includes one of them. A restarted holder does not count: it has the same
   * instance name but another incarnation, and has lost its claims.
   */
  private recordImport (bucket: number, holder: HolderId): void {
    const bucketImport = this.db.imports.get(bucket)
    if (bucketImport === undefined || !bucketImport.sources.includes(holder)) return
    bucketImport.receivedFrom.add(holder)
    const total = this.previousTable.forBucket(bucket).length
    if (bucketImport.receivedFrom.size >= total - majorityOf(total) + 1) this.db.imports.delete(bucket)
  }
}
