/**
 * Enforces the customers' limits on running tasks and start rates without a central counter. Each roster entry
 * owns a share of every customer's limit; the shares add up to the limit, so it holds in any network partition.
 * An instance that needs more permits borrows them from other instances by message for a short time. The lender
 * counts a loan that is not renewed as its own again once no task started under the loan can still run. Starting
 * a task never needs a store call.
 *
 * While several fleet versions may be in force, each instance applies the smallest of its shares under these
 * versions, so the sum stays within the limit of the version that the slowest instance still follows.
 */
import type { CustomerId, Fleet, HolderId, InstanceId, Ms, PeerMessage, PermitCount, PermitDemand, RosterEntry } from '@cranberryyard/protocol'
import { holderId, ms } from '@cranberryyard/protocol'
import type { Context } from '../instance/context.js'
import { sendPeer } from '../instance/context.js'
import type { MembershipDecider } from '../membership/membershipDecider.js'
import { LimitsDb } from './limitsDb.js'
import { LoanPlanner } from './loanPlanner.js'
import type { CountUnlentShare } from './loanPlanner.js'
import { sharesOf } from './shares.js'
import type { CountQueuedTasks, ShareTable } from './types.js'

/** Initial backoff between rounds of permit requests during a shortage; doubles while the shortage lasts. */
const SHORTAGE_PAUSE_MIN_MS = 20
/** A task start costs one token. A bucket holds at most the tokens of this many seconds, or one token if that is more. */
const RATE_BURST_S = 0.25

type PermitRequest = Extract<PeerMessage, { type: 'permitRequest' }>
type PermitGrant = Extract<PeerMessage, { type: 'permitGrant' }>

/** Backoff of the permit requests for a customer whose permits have run out. */
interface Shortage {
  readonly nextRequestAt: Ms
  readonly pauseMs: number
}

/** The newest request to a lender, until its answer arrives. */
interface OutstandingRequest {
  readonly sequence: number
  readonly sentAt: Ms
  readonly wishes: readonly PermitDemand[]
}

/** Decides whether another task of a customer may start, and lends and borrows permits. */
export class LimitsDecider {
  readonly db = new LimitsDb()
  private readonly planner: LoanPlanner
  private readonly outstandingRequests = new Map<HolderId, OutstandingRequest>()
  private readonly lastSequenceByBorrower = new Map<HolderId, number>()
  private readonly removalUntil = new Map<string, Ms>()
  private readonly tokenBuckets = new Map<CustomerId, { level: number, at: Ms }>()
  private fleet: Fleet | undefined
  private acknowledgedUntil = -Infinity
  private inForce = 0
  private requestSequence = 0
  private nextRenewAt = 0
  private readonly shortages = new Map<CustomerId, Shortage>()
  private isLending = true

  constructor (
    private readonly ctx: Context,
    private readonly membership: MembershipDecider,
    private readonly queuedTasks: CountQueuedTasks
  ) {
    const unlentShare: CountUnlentShare = customer => this.ownShare(customer) - this.db.lent.sum(customer, ctx.now)
    this.planner = new LoanPlanner(ctx, this.db, unlentShare, queuedTasks)
  }

  /** Adopts a new fleet version. The shares of earlier versions stay in force until no instance can follow those. */
  fleetAdopted (fleet: Fleet): void {
    this.fleet = fleet
    this.db.addTable(sharesOf(fleet, this.ctx.self.holder))
    for (const removal of fleet.roster.removals) this.noteRemoval(`${removal.holder}@${removal.version}`, removal.waitMs)
    this.updateVersionInForce()
  }

  /** Expires loans, renews borrowed permits, and updates the version in force. */
  tick (): void {
    const { now, out } = this.ctx
    this.db.lent.expire(now)
    const lapsed = this.db.borrowed.expire(now)
    if (lapsed > 0) out.count('permits.lapsed', lapsed)
    this.updateVersionInForce()
    if (now < this.nextRenewAt) return
    this.nextRenewAt = now + this.ctx.cfg.limits.loanRenewMs
    this.requestPermits(true)
  }

  /** Newest version whose limits this instance fully complies with. Each heartbeat carries it. */
  get versionInForce (): number {
    return this.inForce
  }

  /**
   * True while a majority of the instance's failure domain acknowledges it. Compared with the clock on every use
   * rather than once a tick, because a process that was paused handles queued messages before its next tick.
   */
  get isAcknowledged (): boolean {
    return this.ctx.now < this.acknowledgedUntil
  }

  /** Stops lending, so that all loans have expired before the instance leaves the roster. */
  stopLending (): void {
    this.isLending = false
  }

  /** @returns true while permits are lent; a loan that is not renewed counts until it expires */
  hasLent (): boolean {
    return this.db.lent.total() > 0
  }

  /**
   * Acquires a permit and a rate token for one task, or neither of them.
   * @param customer - the task's customer
   * @returns true when the task may start
   */
  tryAcquirePermit (customer: CustomerId): boolean {
    if (this.freePermits(customer) <= 0) return false
    if (!this.takeToken(customer)) return false
    this.db.addRunning(customer, 1)
    return true
  }

  /** Releases the permit of a task that has ended or is known not to have started. */
  releasePermit (customer: CustomerId): void {
    this.db.addRunning(customer, -1)
  }

  /** @returns how many more tasks of a customer may start now; negative while running tasks exceed the permits */
  freePermits (customer: CustomerId): number {
    return this.usablePermits(customer) - this.db.runningOf(customer)
  }

  /** @returns how many tasks of a customer this instance may run now: own share, less lent, plus borrowed permits */
  usablePermits (customer: CustomerId): number {
    return this.ownShare(customer) - this.db.lent.sum(customer, this.ctx.now) + this.db.borrowed.sum(customer, this.ctx.now)
  }

  /** @returns how many running tasks of a customer exceed the permits; the scheduler does not renew their leases */
  tasksWithoutPermit (customer: CustomerId): number {
    return Math.max(0, -this.freePermits(customer))
  }

  /**
   * Requests more permits when the scheduler has run out of them, with exponential backoff while no lender has any.
   * @param customers - customers whose tasks wait for permits
   */
  reportShortage (customers: readonly CustomerId[]): void {
    const due = customers.filter(c => this.ctx.now >= (this.shortages.get(c)?.nextRequestAt ?? 0))
    if (due.length === 0) return
    for (const customer of due) this.backOffShortage(customer)
    this.requestPermits(false)
  }

  private backOffShortage (customer: CustomerId): void {
    const pauseMs = this.shortages.get(customer)?.pauseMs ?? SHORTAGE_PAUSE_MIN_MS
    const nextPauseMs = Math.min(this.ctx.cfg.limits.loanRenewMs, 2 * pauseMs)
    this.shortages.set(customer, { nextRequestAt: ms(this.ctx.now + pauseMs), pauseMs: nextPauseMs })
  }

  /**
   * Answers a borrower's request. A lender that its failure domain does not acknowledge sends no answer, and no
   * loan outlasts the acknowledgement under which it was granted. Its loans therefore end before other instances
   * may use its share.
   */
  receiveRequest (from: InstanceId, request: PermitRequest): void {
    const { borrower, lender, sequence, wishes } = request
    const address = this.membership.db.addressOf(from)
    const validMs = this.loanValidity()
    if (address === undefined || validMs <= 0 || lender !== this.ctx.self.holder) return
    if (sequence <= (this.lastSequenceByBorrower.get(borrower) ?? 0)) return
    this.lastSequenceByBorrower.set(borrower, sequence)
    this.dropUnlistedLoans(borrower, wishes)
    const grants = wishes.map(demand => this.lend(borrower, demand, validMs))
    sendPeer(this.ctx, from, address, { type: 'permitGrant', lender, sequence, validMs, grants })
  }

  private loanValidity (): Ms {
    const roster = this.fleet?.roster.entries ?? []
    return ms(Math.floor(Math.min(this.ctx.cfg.limits.loanMs, this.membership.acknowledgedFor(roster))))
  }

  /** Records a lender's answer. Answers to any but the newest request are ignored. */
  receiveGrant (grant: PermitGrant): void {
    const { lender, sequence, validMs, grants } = grant
    const request = this.outstandingRequests.get(lender)
    if (request === undefined || request.sequence !== sequence) return
    this.outstandingRequests.delete(lender)
    const until = ms(request.sentAt + Math.min(validMs, this.ctx.cfg.limits.loanMs))
    for (const permits of grants) this.recordGrant(lender, permits, until)
    this.planner.noteExhausted(lender, request.wishes, grants)
  }

  /** @returns the permits of each customer that this instance owns, borrows, lends and uses */
  report (): { customer: CustomerId, usablePermits: number, running: number, share: number, borrowed: number, lent: number }[] {
    const { now } = this.ctx
    return this.db.customers().map(customer => ({
      customer,
      usablePermits: this.usablePermits(customer),
      running: this.db.runningOf(customer),
      share: this.ownShare(customer),
      borrowed: this.db.borrowed.sum(customer, now),
      lent: this.db.lent.sum(customer, now)
    }))
  }

  private ownShare (customer: CustomerId): number {
    return this.isAcknowledged ? this.db.smallestShare(customer) : 0
  }

  /** Part of the own share in use: loans, and running tasks that borrowed permits do not cover. */
  private usedOfShare (customer: CustomerId): number {
    const { now } = this.ctx
    const ownRunning = Math.max(0, this.db.runningOf(customer) - this.db.borrowed.sum(customer, now))
    return ownRunning + this.db.lent.sum(customer, now)
  }

  /**
   * Scales the start rate by the permits held here. The instances' permits add up to at most the limit on running
   * tasks, so their rates add up to at most the limit on starts.
   */
  private takeToken (customer: CustomerId): boolean {
    const limits = this.fleet?.contracts.find(r => r.contract.customer === customer)?.contract.limits
    if (limits === undefined) return false
    const perSecond = limits.startsPerSecond * this.usablePermits(customer) / limits.running
    const { now } = this.ctx
    const bucket = this.tokenBuckets.get(customer) ?? { level: 1, at: now }
    const capacity = Math.max(1, perSecond * RATE_BURST_S)
    const level = Math.min(capacity, bucket.level + (now - bucket.at) * perSecond / 1000)
    const hasToken = level >= 1
    this.tokenBuckets.set(customer, { level: hasToken ? level - 1 : level, at: now })
    return hasToken
  }

  /**
   * Grants a loan. The lender counts it as used for longer than the borrower may use it: a task started at the
   * last moment may run until its start window, the clock skew and its lease have passed.
   */
  private lend (to: HolderId, demand: PermitDemand, validMs: Ms): PermitCount {
    const { customer, hold, want } = demand
    const { now, cfg } = this.ctx
    const { startWindowMs, clockSkewMs, taskLeaseMs } = cfg.limits
    const previous = this.db.lent.get(to, customer)
    const kept = previous === undefined || now >= previous.until ? 0 : hold
    this.db.lent.set(to, customer, { count: kept, until: previous?.until ?? now })
    const count = this.isLending ? Math.max(0, Math.min(want, kept + this.lendable(customer))) : 0
    const until = ms(now + validMs + startWindowMs + clockSkewMs + taskLeaseMs)
    this.db.lent.set(to, customer, { count: Math.max(kept, count), until })
    return { customer, count }
  }

  /** Ends the loans of customers that the borrower's request no longer lists. */
  private dropUnlistedLoans (from: HolderId, wishes: readonly PermitDemand[]): void {
    const named = new Set(wishes.map(w => w.customer))
    for (const customer of this.db.lent.customers(from)) {
      if (!named.has(customer)) this.db.lent.set(from, customer, { count: 0, until: this.ctx.now })
    }
  }

  /** Permits that may be lent: the own share less the reserve, permits in use and permits that queued tasks need. */
  private lendable (customer: CustomerId): number {
    const share = this.ownShare(customer)
    const reserved = Math.floor(share * this.ctx.cfg.limits.reserve)
    return share - reserved - this.usedOfShare(customer) - this.queuedTasks(customer)
  }

  private recordGrant (from: HolderId, grant: PermitCount, until: Ms): void {
    const occupied = this.occupiedOfLoan(from, grant.customer)
    const before = this.db.borrowedFrom(from, grant.customer, this.ctx.now)
    const count = Math.max(grant.count, occupied)
    if (count > before) this.shortages.delete(grant.customer)
    this.db.borrowed.set(from, grant.customer, { count, until })
  }

  /** Permits of a loan that running tasks occupy. They stay borrowed until the tasks end. */
  private occupiedOfLoan (from: HolderId, customer: CustomerId): number {
    const { now } = this.ctx
    const loan = this.db.borrowed.get(from, customer)
    if (loan === undefined || now >= loan.until) return 0
    const others = this.usablePermits(customer) - loan.count
    return Math.min(loan.count, Math.max(0, this.db.runningOf(customer) - others))
  }

  /**
   * Sends permit requests. A renewal goes to every lender from which permits are borrowed or wanted, any other round
   * only to lenders from which more permits are wanted.
   */
  private requestPermits (isRenewal: boolean): void {
    const lenders = this.liveLenders()
    if (lenders.length === 0) return
    const plan = this.planner.plan(this.fleet, lenders.map(l => l.holder))
    for (const lender of lenders) {
      const { wishes, wantsMore } = plan.get(lender.holder) ?? { wishes: [], wantsMore: false }
      if (isRenewal || wantsMore) this.sendRequest(lender, wishes)
    }
  }

  /** Roster entries whose instance is live with the incarnation listed in the roster. */
  private liveLenders (): RosterEntry[] {
    const live = new Set(this.membership.serving().map(m => holderId(m.instance, m.incarnation)))
    return this.fleet?.roster.entries.filter(e => live.has(e.holder)) ?? []
  }

  private sendRequest (entry: RosterEntry, wishes: readonly PermitDemand[]): void {
    const { now, out, self } = this.ctx
    const { holder: lender, instance } = entry
    const hasBorrowed = this.db.borrowed.customers(lender).length > 0
    if (wishes.length === 0 && !hasBorrowed) return
    const address = this.membership.db.addressOf(instance)
    if (address === undefined) return
    this.giveUpReturnedPermits(lender, wishes)
    this.requestSequence++
    this.outstandingRequests.set(lender, { sequence: this.requestSequence, sentAt: now, wishes })
    out.count('permits.requested')
    sendPeer(this.ctx, instance, address, { type: 'permitRequest', borrower: self.holder, lender, sequence: this.requestSequence, wishes })
  }

  /** Gives up permits before sending the request that returns them, so that borrower and lender never both use them. */
  private giveUpReturnedPermits (lender: HolderId, wishes: readonly PermitDemand[]): void {
    for (const customer of this.db.borrowed.customers(lender)) {
      const loan = this.db.borrowed.get(lender, customer)
      const hold = wishes.find(w => w.customer === customer)?.hold ?? 0
      if (loan !== undefined) this.db.borrowed.set(lender, customer, { count: Math.min(loan.count, hold), until: loan.until })
    }
  }

  private noteRemoval (key: string, waitMs: Ms): void {
    if (!this.removalUntil.has(key)) this.removalUntil.set(key, ms(this.ctx.now + waitMs))
  }

  /** Drops share tables that no instance follows any more and determines the version in force here. */
  private updateVersionInForce (): void {
    const { fleet } = this
    if (fleet === undefined) return
    this.acknowledgedUntil = this.ctx.now + this.membership.acknowledgedFor(fleet.roster.entries)
    if (this.inForce === fleet.version && this.db.tables.length === 1) return
    this.db.dropTablesBefore(this.lowestVersionFollowed(fleet))
    this.inForce = Math.max(this.inForce, this.newestVersionKept(fleet))
  }

  /** Oldest version that any instance may follow, including removed instances until their waiting time has passed. */
  private lowestVersionFollowed (fleet: Fleet): number {
    let lowest = fleet.version
    for (const entry of fleet.roster.entries) lowest = Math.min(lowest, this.versionFollowedBy(entry))
    for (const removal of fleet.roster.removals) {
      const until = this.removalUntil.get(`${removal.holder}@${removal.version}`)
      if (until !== undefined && this.ctx.now < until) lowest = Math.min(lowest, removal.version - 1)
    }
    return lowest
  }

  private versionFollowedBy (entry: RosterEntry): number {
    if (entry.holder === this.ctx.self.holder) return Math.max(this.inForce, entry.joinedVersion - 1)
    const member = this.membership.db.get(entry.instance)
    const reportedVersion = member?.incarnation === entry.incarnation ? member.versionInForce : 0
    return Math.max(reportedVersion, entry.joinedVersion)
  }

  /**
   * The newest version whose shares cover all tasks running and permits lent here, as do the shares of every
   * earlier version that an instance may follow. Where versions were skipped, the search stops until every
   * other instance knows a later version, since the shares under the skipped ones are not known here.
   */
  private newestVersionKept (fleet: Fleet): number {
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
