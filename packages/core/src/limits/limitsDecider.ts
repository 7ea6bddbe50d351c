/**
 * Limits without a central counter. Every roster entry owns a share of each customer's limit, so the shares
 * add up to the limit however the fleet is cut. An instance that needs more borrows from others for a short
 * time by message; a loan that is not renewed comes back by itself, after the tasks started under it can no
 * longer run. No store call is on the path of a task.
 *
 * While two fleet versions may both be in force, each instance keeps to the smaller of its shares, so the sum
 * stays within the limit of the version that the slowest instance still follows.
 */
import type { CustomerId, Fleet, HolderId, InstanceId, Ms, PeerMessage, PermitCount, PermitWish, RosterEntry } from '@cranberryyard/protocol'
import { holderId, ms } from '@cranberryyard/protocol'
import type { Context } from '../instance/context.js'
import { sendPeer } from '../instance/context.js'
import type { MembershipDecider } from '../membership/membershipDecider.js'
import { LimitsDb } from './limitsDb.js'
import { LoanPlanner } from './loanPlanner.js'
import type { OwnPermits } from './loanPlanner.js'
import { sharesOf } from './shares.js'
import type { QueuedTasks, ShareTable } from './types.js'

/** Pause after the first round of requests that a shortage triggers; it doubles while the shortage lasts. */
const SHORTAGE_PAUSE_MIN_MS = 20
/** A task start costs one token; a bucket holds at most this part of a second's tokens, or one task. */
const RATE_BURST_S = 0.25

type PermitRequest = Extract<PeerMessage, { type: 'permitRequest' }>
type PermitGrant = Extract<PeerMessage, { type: 'permitGrant' }>

interface Shortage {
  readonly askAt: Ms
  readonly pauseMs: number
}

interface OutstandingRequest {
  readonly sequence: number
  readonly sentAt: Ms
  readonly wishes: readonly PermitWish[]
}

/** Decides whether one more task of a customer may run. */
export class LimitsDecider {
  readonly db = new LimitsDb()
  private readonly planner: LoanPlanner
  private readonly requests = new Map<HolderId, OutstandingRequest>()
  private readonly lastSequence = new Map<HolderId, number>()
  private readonly removalUntil = new Map<string, Ms>()
  private readonly tokens = new Map<CustomerId, { level: number, at: Ms }>()
  private fleet: Fleet | undefined
  private acknowledgedUntil = -Infinity
  private inForce = 0
  private sequence = 0
  private nextRenewAt = 0
  private readonly shortages = new Map<CustomerId, Shortage>()
  private lending = true

  constructor (
    private readonly ctx: Context,
    private readonly membership: MembershipDecider,
    private readonly queued: QueuedTasks
  ) {
    const ownFree: OwnPermits = customer => this.base(customer) - this.db.lent.sum(customer, ctx.now)
    this.planner = new LoanPlanner(ctx, this.db, ownFree, queued)
  }

  /** Takes over a new version: remembers the old shares until no instance can follow them. */
  fleetAdopted (fleet: Fleet): void {
    this.fleet = fleet
    this.db.addTable(sharesOf(fleet, this.ctx.self.holder))
    for (const removal of fleet.roster.removals) this.noteRemoval(`${removal.holder}@${removal.version}`, removal.waitMs)
    this.refresh()
  }

  /** Expires loans, renews borrowed permits, and recomputes what is in force. */
  tick (): void {
    const { now, out } = this.ctx
    this.db.lent.expire(now)
    const lapsed = this.db.borrowed.expire(now)
    if (lapsed > 0) out.count('permits.lapsed', lapsed)
    this.refresh()
    if (now < this.nextRenewAt) return
    this.nextRenewAt = now + this.ctx.cfg.limits.loanRenewMs
    this.requestPermits(true)
  }

  /** Version whose limits this instance keeps to in full; told to the others with each heartbeat. */
  get versionInForce (): number {
    return this.inForce
  }

  /**
   * True while a majority of the own domain acknowledges this instance. Looked at with each use, since an instance
   * that was frozen handles what has piled up before its next tick.
   */
  get isAcknowledged (): boolean {
    return this.ctx.now < this.acknowledgedUntil
  }

  /** Stops lending, so that permits come back before the instance leaves. */
  stopLending (): void {
    this.lending = false
  }

  /** @returns true while permits of this instance are out on loan */
  hasLent (): boolean {
    return this.db.lent.total() > 0
  }

  /**
   * Takes a permit and a rate token for one task, if both are there.
   * @param customer - whose task
   * @returns true when the task may start
   */
  tryStart (customer: CustomerId): boolean {
    if (this.free(customer) <= 0) return false
    if (!this.takeToken(customer)) return false
    this.db.addRunning(customer, 1)
    return true
  }

  /** Gives a permit back when a task has ended or is known not to have started. */
  release (customer: CustomerId): void {
    this.db.addRunning(customer, -1)
  }

  /** @returns how many more tasks of a customer may start now */
  free (customer: CustomerId): number {
    return this.rights(customer) - this.db.runningOf(customer)
  }

  /** @returns tasks of a customer that may run under this instance now, borrowed permits included */
  rights (customer: CustomerId): number {
    return this.base(customer) - this.db.lent.sum(customer, this.ctx.now) + this.db.borrowed.sum(customer, this.ctx.now)
  }

  /** @returns how many running tasks of a customer are no longer covered; their leases are not renewed */
  excess (customer: CustomerId): number {
    return Math.max(0, -this.free(customer))
  }

  /**
   * Asks for more permits when the scheduler has run out of them; ever more rarely while nobody has any.
   * @param customers - those whose tasks wait for permits
   */
  noteShortage (customers: readonly CustomerId[]): void {
    const due = customers.filter(c => this.ctx.now >= (this.shortages.get(c)?.askAt ?? 0))
    if (due.length === 0) return
    for (const customer of due) this.backOffShortage(customer)
    this.requestPermits(false)
  }

  private backOffShortage (customer: CustomerId): void {
    const pauseMs = this.shortages.get(customer)?.pauseMs ?? SHORTAGE_PAUSE_MIN_MS
    const longer = Math.min(this.ctx.cfg.limits.loanRenewMs, 2 * pauseMs)
    this.shortages.set(customer, { askAt: ms(this.ctx.now + pauseMs), pauseMs: longer })
  }

  /**
   * Answers a borrower. A lender that its domain does not acknowledge stays silent, so that its loans end
   * before the others may use its share; no loan outlasts the acknowledgement it was given under.
   */
  receiveRequest (from: InstanceId, request: PermitRequest): void {
    const { borrower, lender, sequence, wishes } = request
    const address = this.membership.db.addressOf(from)
    const validMs = this.loanValidity()
    if (address === undefined || validMs <= 0 || lender !== this.ctx.self.holder) return
    if (sequence <= (this.lastSequence.get(borrower) ?? 0)) return
    this.lastSequence.set(borrower, sequence)
    this.forgetUnlisted(borrower, wishes)
    const grants = wishes.map(wish => this.lend(borrower, wish, validMs))
    sendPeer(this.ctx, from, address, { type: 'permitGrant', lender, sequence, validMs, grants })
  }

  private loanValidity (): Ms {
    const roster = this.fleet?.roster.entries ?? []
    return ms(Math.floor(Math.min(this.ctx.cfg.limits.loanMs, this.membership.acknowledgedFor(roster))))
  }

  /** Takes a lender's answer; only the answer to the newest request counts. */
  receiveGrant (grant: PermitGrant): void {
    const { lender, sequence, validMs, grants } = grant
    const request = this.requests.get(lender)
    if (request === undefined || request.sequence !== sequence) return
    this.requests.delete(lender)
    const until = ms(request.sentAt + Math.min(validMs, this.ctx.cfg.limits.loanMs))
    for (const count of grants) this.takeGrant(lender, count, until)
    this.planner.noteExhausted(lender, request.wishes, grants)
  }

  /** @returns for each customer, permits held and used here */
  report (): { customer: CustomerId, rights: number, running: number, share: number, borrowed: number, lent: number }[] {
    const { now } = this.ctx
    return this.db.customers().map(customer => ({
      customer,
      rights: this.rights(customer),
      running: this.db.runningOf(customer),
      share: this.base(customer),
      borrowed: this.db.borrowed.sum(customer, now),
      lent: this.db.lent.sum(customer, now)
    }))
  }

  private base (customer: CustomerId): number {
    return this.isAcknowledged ? this.db.smallestShare(customer) : 0
  }

  /** Own share that running tasks and loans occupy. */
  private usedOfShare (customer: CustomerId): number {
    const { now } = this.ctx
    const ownRunning = Math.max(0, this.db.runningOf(customer) - this.db.borrowed.sum(customer, now))
    return ownRunning + this.db.lent.sum(customer, now)
  }

  /** The rate follows the rights: the sum of all rights is within the limit, so the sum of all rates is too. */
  private takeToken (customer: CustomerId): boolean {
    const limits = this.fleet?.contracts.find(r => r.contract.customer === customer)?.contract.limits
    if (limits === undefined) return false
    const perSecond = limits.startsPerSecond * this.rights(customer) / limits.running
    const { now } = this.ctx
    const bucket = this.tokens.get(customer) ?? { level: 1, at: now }
    const cap = Math.max(1, perSecond * RATE_BURST_S)
    const level = Math.min(cap, bucket.level + (now - bucket.at) * perSecond / 1000)
    const enough = level >= 1
    this.tokens.set(customer, { level: enough ? level - 1 : level, at: now })
    return enough
  }

  private lend (to: HolderId, wish: PermitWish, validMs: Ms): PermitCount {
    const { customer, hold, want } = wish
    const { now, cfg } = this.ctx
    const { startWindowMs, clockSkewMs, taskLeaseMs } = cfg.limits
    const previous = this.db.lent.get(to, customer)
    const kept = previous === undefined || now >= previous.until ? 0 : hold
    this.db.lent.set(to, customer, { count: kept, until: previous?.until ?? now })
    const count = this.lending ? Math.max(0, Math.min(want, kept + this.lendable(customer))) : 0
    const until = ms(now + validMs + startWindowMs + clockSkewMs + taskLeaseMs)
    this.db.lent.set(to, customer, { count: Math.max(kept, count), until })
    return { customer, count }
  }

  /** A borrower that no longer names a customer keeps none of its permits. */
  private forgetUnlisted (from: HolderId, wishes: readonly PermitWish[]): void {
    const named = new Set(wishes.map(w => w.customer))
    for (const customer of this.db.lent.customers(from)) {
      if (!named.has(customer)) this.db.lent.set(from, customer, { count: 0, until: this.ctx.now })
    }
  }

  private lendable (customer: CustomerId): number {
    const base = this.base(customer)
    const kept = Math.floor(base * this.ctx.cfg.limits.reserve)
    return base - kept - this.usedOfShare(customer) - this.queued(customer)
  }

  private takeGrant (from: HolderId, grant: PermitCount, until: Ms): void {
    const held = this.neededFrom(from, grant.customer)
    const before = this.db.activeLoan(from, grant.customer, this.ctx.now)
    const count = Math.max(grant.count, held)
    if (count > before) this.shortages.delete(grant.customer)
    this.db.borrowed.set(from, grant.customer, { count, until })
  }

  /** Borrowed permits that running tasks occupy stay borrowed until the tasks end. */
  private neededFrom (from: HolderId, customer: CustomerId): number {
    const { now } = this.ctx
    const loan = this.db.borrowed.get(from, customer)
    if (loan === undefined || now >= loan.until) return 0
    const others = this.rights(customer) - loan.count
    return Math.min(loan.count, Math.max(0, this.db.runningOf(customer) - others))
  }

  /** Asks lenders: all that hold something when renewing, else only those that more is wanted from. */
  private requestPermits (renews: boolean): void {
    const lenders = this.lenders()
    if (lenders.length === 0) return
    const plan = this.planner.plan(this.fleet, lenders.map(l => l.holder))
    for (const lender of lenders) {
      const { wishes, wantsMore } = plan.get(lender.holder) ?? { wishes: [], wantsMore: false }
      if (renews || wantsMore) this.sendRequest(lender, wishes)
    }
  }

  /** Live roster entries in the life that the roster names. */
  private lenders (): RosterEntry[] {
    const live = new Set(this.membership.serving().map(m => holderId(m.instance, m.incarnation)))
    return this.fleet?.roster.entries.filter(e => live.has(e.holder)) ?? []
  }

  private sendRequest (entry: RosterEntry, wishes: readonly PermitWish[]): void {
    const { now, out, self } = this.ctx
    const { holder: lender, instance } = entry
    const holds = this.db.borrowed.customers(lender).length > 0
    if (wishes.length === 0 && !holds) return
    const address = this.membership.db.addressOf(instance)
    if (address === undefined) return
    this.keepOnly(lender, wishes)
    this.sequence++
    this.requests.set(lender, { sequence: this.sequence, sentAt: now, wishes })
    out.count('permits.requested')
    sendPeer(this.ctx, instance, address, { type: 'permitRequest', borrower: self.holder, lender, sequence: this.sequence, wishes })
  }

  /** What a request gives back is given up before it is sent. */
  private keepOnly (lender: HolderId, wishes: readonly PermitWish[]): void {
    for (const customer of this.db.borrowed.customers(lender)) {
      const loan = this.db.borrowed.get(lender, customer)
      const hold = wishes.find(w => w.customer === customer)?.hold ?? 0
      if (loan !== undefined) this.db.borrowed.set(lender, customer, { count: Math.min(loan.count, hold), until: loan.until })
    }
  }

  private noteRemoval (key: string, waitMs: Ms): void {
    if (!this.removalUntil.has(key)) this.removalUntil.set(key, ms(this.ctx.now + waitMs))
  }

  /** Drops share tables that nobody follows any more and works out which version is in force here. */
  private refresh (): void {
    const { fleet } = this
    if (fleet === undefined) return
    this.acknowledgedUntil = this.ctx.now + this.membership.acknowledgedFor(fleet.roster.entries)
    if (this.inForce === fleet.version && this.db.tables.length === 1) return
    this.db.dropBelow(this.lowestVersionFollowed(fleet))
    this.inForce = Math.max(this.inForce, this.newestKept(fleet))
  }

  private lowestVersionFollowed (fleet: Fleet): number {
    let lowest = fleet.version
    for (const entry of fleet.roster.entries) lowest = Math.min(lowest, this.followedBy(entry))
    for (const removal of fleet.roster.removals) {
      const until = this.removalUntil.get(`${removal.holder}@${removal.version}`)
      if (until !== undefined && this.ctx.now < until) lowest = Math.min(lowest, removal.version - 1)
    }
    return lowest
  }

  private followedBy (entry: RosterEntry): number {
    if (entry.holder === this.ctx.self.holder) return Math.max(this.inForce, entry.joinedVersion - 1)
    const member = this.membership.db.get(entry.instance)
    const told = member?.incarnation === entry.incarnation ? member.versionInForce : 0
    return Math.max(told, entry.joinedVersion)
  }

  /**
   * The newest version whose shares, and those of every version before it that someone may follow,
   * cover all that runs or is lent here. A version that was skipped counts only once nobody can follow it.
   */
  private newestKept (fleet: Fleet): number {
    const customers = this.db.customers()
    const used = new Map(customers.map(c => [c, this.usedOfShare(c)]))
    let newest = this.inForce
    for (const table of this.db.tables) {
      if (table.toVersion <= newest) continue
      const skipped = newest > 0 && table.fromVersion > newest + 1
      if (skipped && this.lowestVersionKnown(fleet) < table.fromVersion) break
      if (!covers(table, used)) break
      newest = table.toVersion
    }
    return newest
  }

  private lowestVersionKnown (fleet: Fleet): number {
    const others = fleet.roster.entries.filter(e => e.holder !== this.ctx.self.holder)
    const known = others.map((e) => {
      const member = this.membership.db.get(e.instance)
      return member?.incarnation === e.incarnation ? member.versionKnown : 0
    })
    return Math.min(fleet.version, ...known)
  }
}

function covers (table: ShareTable, used: ReadonlyMap<CustomerId, number>): boolean {
  return [...used].every(([customer, count]) => count <= (table.shares.get(customer) ?? 0))
}
