/**
 * Keeps the ledger of owned endpoints in step with the endpoints themselves. Before anything starts at an endpoint, the
 * endpoint must answer a hold under the present fencing token. A start names the incarnation that has answered: a later one has
 * forgotten the token, so an earlier owner may have started tasks there. Holds then renew leases while runs are in progress and
 * report their ends. Orders without an answer are repeated, and their capacity stays reserved while they may take effect.
 * Which job runs where is decided elsewhere; this module alone knows what may be running.
 */
import type {
  EndpointClockMs,
  EndpointId,
  EndpointListing,
  EndpointReport,
  FailureDomain,
  FencingToken,
  HoldOutcome,
  ListedRun,
  Ms,
  Resources,
  TaskName,
  TaskStartOutcome,
  TaskStopOutcome
} from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { ShardContext } from '../shard/types.js'
import { EndpointsDb, coldUntil, endpointClock, latestLeaseEnd, leaseBoundOf, makeRun } from './endpointsDb.js'
import type { LedgerEndpoint, LedgerRun, LossReason, PendingHold, RejectionReason, RunLease, RunListener } from './types.js'

/** Consecutive holds without an answer after which leases are no longer renewed, so that the runs there are certain to end. */
const UNANSWERED_HOLDS_MAX = 2
/** How long a hold waits while runs are there that no job has claimed yet: what a claim allows is then renewed soon. No hold at an endpoint with runs waits for less. */
const UNCLAIMED_HOLD_WAIT_MS = ms(50)
/** A hold waits for at most this part of the lease that it leaves, so that the next one comes in time although this owner handles the answer late. */
const HOLD_WAIT_PER_LEASE = 0.25
/** Longest gap between two holds at which the time of an end is still exact enough to judge the endpoint's speed. */
const END_TIME_GAP_MAX_MS = 15
/** Maximum number of times a start is sent; after that the owner waits until it can no longer take effect. */
const START_SENDS_MAX = 3
/** Longest delay with which an endpoint may still carry out an order (stated by the platform). */
const LATE_ORDER_MS = 12_000

/** Returns the fencing token in force for a failure domain's endpoints; undefined when this instance does not own them. */
export type TokenOf = (failureDomain: FailureDomain) => FencingToken | undefined

/** Returns whether the list of a failure domain's endpoints, read as its new owner, is about to arrive. */
export type ListAwaited = (failureDomain: FailureDomain) => boolean

/** Returns whether starts may be sent to a failure domain. */
export type AcceptsStarts = (failureDomain: FailureDomain) => boolean

/** Decides which holds, starts and stops are sent to owned endpoints, and reports what becomes of their runs. */
export class EndpointsDecider {
  readonly db = new EndpointsDb()
  private orderCounter = 0

  constructor (private readonly ctx: ShardContext, private readonly tokenOf: TokenOf, private readonly listAwaited: ListAwaited, private readonly listener: RunListener, private readonly acceptsStarts: AcceptsStarts = () => true) {}

  /** Takes over the endpoints of a shard. Each must answer under the new token before anything starts there. */
  adopt (reports: readonly EndpointReport[]): void {
    for (const report of reports) {
      const endpoint = this.db.get(report.id) ?? this.db.add(report, this.ctx.now)
      endpoint.listedSinceTakeover = false
      endpoint.outdated = false
      this.requireFreshAnswer(endpoint)
    }
  }

  /**
   * Updates the reports of known endpoints and adds new endpoints.
   * @param reports - the entries of a list
   * @param fresh - whether the list was read as an owner, not from a copy that may be old
   */
  update (reports: readonly EndpointReport[], fresh: boolean): void {
    for (const report of reports) {
      const known = this.db.get(report.id)
      if (known === undefined) this.requireFreshAnswer(Object.assign(this.db.add(report, this.ctx.now), { listedSinceTakeover: fresh }))
      else Object.assign(known, { report, coldUntil: report === known.report ? known.coldUntil : coldUntil(report, this.ctx.now), unlisted: false, outdated: false, listedSinceTakeover: known.listedSinceTakeover || fresh, freeCapacity: undefined })
    }
    if (!fresh) return
    this.markOutdated(new Set(reports.map(report => report.id)))
    this.listener.capacityChanged()
  }

  /**
   * Records which endpoints are cut off from the store. They get no more work until their entries are back; their runs go on.
   */
  markCutOff (ids: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.db.all()) {
      const isCutOff = ids.has(endpoint.id)
      if (isCutOff !== endpoint.cutOffFromStore) this.ctx.out.log(isCutOff ? 'endpoint.cutOffFromStore' : 'endpoint.listedAgain', { endpoint: endpoint.id, shard: endpoint.report.failureDomain, runs: endpoint.runs.size })
      endpoint.cutOffFromStore = isCutOff
    }
  }

  /**
   * Marks an endpoint that the store no longer lists, so that it gets no more work. Its runs go on while it answers; it
   * is removed once nothing runs there.
   */
  markUnlisted (id: EndpointId): void {
    const endpoint = this.db.get(id)
    if (endpoint === undefined) return
    endpoint.unlisted = true
    this.removeUnlisted(endpoint)
  }

  /** Removes all endpoints of a shard and reports nothing about their runs, which another instance owns now. */
  release (failureDomain: FailureDomain): void {
    for (const endpoint of [...this.db.all()]) {
      if (endpoint.report.failureDomain === failureDomain) this.db.remove(endpoint.id)
    }
  }

  /** Requires a new answer under the present token from every endpoint before anything starts there. */
  requireFreshAnswers (): void {
    for (const endpoint of this.db.all()) this.requireFreshAnswer(endpoint)
  }

  /**
   * An endpoint may get work when it answers under the present token in the incarnation that the store lists, and is
   * neither draining nor unlisted nor outdated nor cut off from the store. Starts sent to an earlier incarnation must no longer be able to arrive there. A new
   * owner's copy of the list may be seconds old, and the endpoint may drain or have shrunk since, so it waits for its own first reading.
   * A start extends the lease of all runs there, so none of them may be about to outlast the lease of its job.
   */
  usable (endpoint: LedgerEndpoint): boolean {
    const { report, answeredUnderToken, unansweredHolds, bornAt, startsBlockedUntil, unlisted, outdated, cutOffFromStore, listedSinceTakeover } = endpoint
    if (!listedSinceTakeover && this.listAwaited(report.failureDomain)) return false
    if (leaseBoundOf(endpoint) < this.ctx.now + this.ctx.cfg.startValidMs) return false
    return answeredUnderToken && unansweredHolds === 0 && !report.draining && !unlisted && !outdated && !cutOffFromStore && bornAt === report.bornAt && startsBlockedUntil <= this.ctx.now
  }

  /** Returns whether a run that started at the endpoint now would end with the lease of its job: the one there, which all runs share, may last longer. */
  endsWithLease (endpoint: LedgerEndpoint, lease: RunLease): boolean {
    const { now, cfg } = this.ctx
    const remainingMs = lease.endsBy - now
    return remainingMs >= cfg.leaseMs || endpoint.leaseUntil <= endpointClock(endpoint, now) + remainingMs
  }

  /** Starts a run. The caller has checked that the run fits, that the endpoint is `usable` and that the run `endsWithLease`. */
  start (endpoint: LedgerEndpoint, task: TaskName, runNumber: number, { spec, needs, expectedMs, exclusive, lease }: Pick<LedgerRun, 'spec' | 'exclusive' | 'lease'> & { readonly needs: Resources, readonly expectedMs: number }): LedgerRun {
    const run = makeRun(endpoint, task, runNumber, this.ctx.now, { needs, expectedMs, state: 'ordered', spec, exclusive, lease })
    this.db.addRun(endpoint, run)
    this.sendStart(endpoint, run)
    if (endpoint.hold === undefined) this.sendHold(endpoint)
    return run
  }

  /** Stops a run. Its capacity stays reserved until the endpoint lists the end. */
  stop (run: LedgerRun): void {
    const endpoint = this.db.get(run.endpoint)
    if (endpoint === undefined || run.state === 'stopping') return
    run.state = 'stopping'
    run.sends = 0
    this.sendStop(endpoint, run)
  }

  /** Assigns a found run to one of this owner's jobs, which knows its resource needs and whether it must be alone, and whose lease it gets. */
  claim (run: LedgerRun, needs: Resources, exclusive: boolean, lease: RunLease): void {
    run.needs = needs
    run.lease = lease
    run.exclusive = exclusive
    const endpoint = this.db.get(run.endpoint)
    if (endpoint !== undefined) endpoint.freeCapacity = undefined
    if (run.state === 'unclaimed') run.state = 'running'
    this.ctx.out.count('shard.tasks.adopted')
  }

  /** Marks all runs as unclaimed after their jobs were dropped; a job that still needs a run claims it again. */
  unclaimRuns (): void {
    for (const endpoint of this.db.all()) {
      for (const run of endpoint.runs.values()) {
        if (run.state !== 'running') continue
        run.state = 'unclaimed'
        run.startedAt = this.ctx.now
      }
    }
  }

  /** Repeats stops without an answer, sends holds that are due, and reports runs as lost whose leases have run out. */
  tick (): void {
    for (const endpoint of [...this.db.all()]) {
      this.removeUnlisted(endpoint)
      for (const run of endpoint.runs.values()) this.resendStopIfDue(endpoint, run)
      if (endpoint.unansweredHolds > 0 && endpoint.runs.size > 0 && this.ctx.now > endpoint.leasesEndBy) this.reportRunsLost(endpoint)
      if (endpoint.hold === undefined && this.ctx.now >= endpoint.nextHoldAt) this.sendHold(endpoint)
    }
  }

  /** Handles the outcome of a hold. */
  holdOutcome (id: EndpointId, orderId: number, outcome: HoldOutcome): void {
    const endpoint = this.db.get(id)
    if (endpoint === undefined || endpoint.hold?.orderId !== orderId) return
    const hold = endpoint.hold
    endpoint.hold = undefined
    if (outcome.type === 'listed') {
      this.applyListing(endpoint, outcome.listing, hold)
      this.scheduleNextHold(endpoint)
      return
    }
    if (outcome.type === 'fenced') {
      this.tokenRefused(endpoint, hold.token)
      this.scheduleNextHold(endpoint)
      return
    }
    this.holdFailed(endpoint, outcome.type)
  }

  /** Handles the outcome of a start. */
  startOutcome (id: EndpointId, orderId: number, outcome: TaskStartOutcome): void {
    const endpoint = this.db.get(id)
    const run = endpoint === undefined ? undefined : this.findOrdered(endpoint, orderId)
    if (endpoint === undefined || run === undefined) return
    switch (outcome.type) {
      case 'started': return this.startConfirmed(endpoint, run, outcome.clock)
      case 'oldRun':
      case 'noRoom':
      case 'invalid':
      case 'unhealthy':
      case 'late': return this.startRejected(endpoint, run, outcome.type)
      case 'fenced':
        this.tokenRefused(endpoint, run.token)
        return this.startRejected(endpoint, run, 'fenced')
      case 'otherLife':
        this.startRejected(endpoint, run, 'otherLife')
        return this.requireFreshAnswer(endpoint)
      case 'refused':
      case 'unsent': return this.startNotSent(endpoint, run, outcome.type)
      case 'silent':
      case 'unreadable':
        this.ctx.out.count('shard.tasks.startSilent')
        run.silentSends++
        if (endpoint.runsAtRefusal?.includes(run) === true && run.silentSends === 1) this.listener.endpointRefused(endpoint, [run], endpoint.runsAtRefusal.length)
        return this.retryStart(endpoint, run)
    }
  }

  /** Handles the outcome of a stop. `tick` sends a stop again until the run has ended. */
  stopOutcome (id: EndpointId, _orderId: number, outcome: TaskStopOutcome): void {
    const endpoint = this.db.get(id)
    if (endpoint === undefined) return
    if (outcome.type === 'stopping' && endpoint.hold === undefined) this.sendHold(endpoint)
  }

  private markOutdated (listed: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.db.all()) {
      if (!listed.has(endpoint.id) && !endpoint.listedSinceTakeover) endpoint.outdated = true
    }
  }

  private removeUnlisted (endpoint: LedgerEndpoint): void {
    if (endpoint.unlisted && endpoint.runs.size === 0) this.db.remove(endpoint.id)
  }

  private findOrdered (endpoint: LedgerEndpoint, orderId: number): LedgerRun | undefined {
    for (const run of endpoint.runs.values()) {
      if (run.orderId === orderId && run.state === 'ordered') return run
    }
    return undefined
  }

  private resendStopIfDue (endpoint: LedgerEndpoint, run: LedgerRun): void {
    if (run.state !== 'stopping') return
    if (this.ctx.now - run.lastSentAt >= this.ctx.cfg.orderTimeoutMs && endpoint.unansweredHolds < UNANSWERED_HOLDS_MAX) this.sendStop(endpoint, run)
  }

  private requireFreshAnswer (endpoint: LedgerEndpoint): void {
    endpoint.answeredUnderToken = false
    endpoint.hold = undefined
    endpoint.unansweredHolds = 0
    this.sendHold(endpoint)
  }

  /**
   * Sends a hold, which extends the leases while the endpoint answers and has runs, as far as the jobs of all of them allow; otherwise it only asks
   * for the listing.
   */
  private sendHold (endpoint: LedgerEndpoint): void {
    const { now, cfg } = this.ctx
    const token = this.tokenOf(endpoint.report.failureDomain)
    if (token === undefined) return
    const watchesRuns = endpoint.answeredUnderToken && endpoint.unansweredHolds < UNANSWERED_HOLDS_MAX && endpoint.runs.size > 0
    const extendTo = watchesRuns ? this.extensionFor(endpoint) : undefined
    if (extendTo !== undefined) this.recordLeaseEnd(endpoint, extendTo)
    const waitMs = watchesRuns && endpoint.unansweredHolds === 0 ? this.holdWaitFor(endpoint, extendTo) : ms(0)
    const orderId = ++this.orderCounter
    endpoint.hold = { orderId, token, sentAt: now, waits: waitMs > 0, endTimeKnown: now - endpoint.answeredAt <= END_TIME_GAP_MAX_MS || endpoint.runs.size === 1 }
    this.ctx.out.count('shard.holds.sent')
    this.ctx.out.push({
      type: 'hold',
      endpoint: endpoint.id,
      address: endpoint.report.address,
      orderId,
      token,
      extendTo,
      acknowledged: endpoint.acknowledged,
      waitMs,
      timeoutMs: ms(waitMs + cfg.orderTimeoutMs)
    })
  }

  private extensionFor (endpoint: LedgerEndpoint): EndpointClockMs | undefined {
    const { now, cfg } = this.ctx
    const extensionMs = Math.floor(Math.min(cfg.leaseMs, leaseBoundOf(endpoint) - now))
    if (endpoint.clockOffset === undefined || extensionMs <= 0) return undefined
    return endpointClock(endpoint, now) + extensionMs as EndpointClockMs
  }

  private holdWaitFor (endpoint: LedgerEndpoint, extendTo: EndpointClockMs | undefined): Ms {
    const { now, cfg } = this.ctx
    const hasUnclaimed = [...endpoint.runs.values()].some(run => run.state === 'unclaimed')
    if (hasUnclaimed) return UNCLAIMED_HOLD_WAIT_MS
    if (extendTo === undefined) return cfg.holdWaitMs
    return ms(Math.min(cfg.holdWaitMs, Math.max(UNCLAIMED_HOLD_WAIT_MS, Math.floor((extendTo - endpointClock(endpoint, now)) * HOLD_WAIT_PER_LEASE))))
  }

  private scheduleNextHold (endpoint: LedgerEndpoint): void {
    if (endpoint.runs.size > 0 || !endpoint.answeredUnderToken) this.sendHold(endpoint)
    else endpoint.nextHoldAt = ms(this.ctx.now + this.ctx.cfg.idleHoldPeriodMs)
  }

  private holdFailed (endpoint: LedgerEndpoint, why: string): void {
    const { out, now, cfg, self } = this.ctx
    out.count('shard.holds.silent')
    endpoint.unansweredHolds++
    if (why === 'refused') this.endpointRefused(endpoint)
    if (endpoint.unansweredHolds === UNANSWERED_HOLDS_MAX) {
      out.log('endpoint.silent', { endpoint: endpoint.id, shard: endpoint.report.failureDomain, why, runs: endpoint.runs.size, lastAnswerAgeMs: Math.round(now - endpoint.answeredAt), owner: self.instance }, 'warn')
    }
    if (endpoint.unansweredHolds < UNANSWERED_HOLDS_MAX) this.sendHold(endpoint)
    else endpoint.nextHoldAt = ms(now + cfg.silentHoldPeriodMs)
  }

  /**
   * Nothing listens at the endpoint's address. This counts for the runs that are there when it is first noticed, but for a run whose start has
   * no outcome yet only if that is not a refusal too: a refused start never arrived.
   */
  private endpointRefused (endpoint: LedgerEndpoint): void {
    if (endpoint.runsAtRefusal !== undefined) return
    endpoint.runsAtRefusal = [...endpoint.runs.values()]
    const mayHaveArrived = endpoint.runsAtRefusal.filter(run => run.state !== 'ordered' || run.silentSends > 0)
    this.listener.endpointRefused(endpoint, mayHaveArrived, endpoint.runsAtRefusal.length)
  }

  private applyListing (endpoint: LedgerEndpoint, listing: EndpointListing, hold: PendingHold): void {
    const { now, out, cfg } = this.ctx
    const restarted = endpoint.bornAt !== undefined && endpoint.bornAt !== listing.bornAt
    if (restarted) this.endpointRestarted(endpoint, listing)
    else if (endpoint.runsAtRefusal !== undefined || endpoint.runsLostInSilence.length > 0) this.listener.endpointBack(endpoint, [...endpoint.runsAtRefusal ?? [], ...endpoint.runsLostInSilence])
    if (endpoint.unansweredHolds >= UNANSWERED_HOLDS_MAX) out.log('endpoint.answers', { endpoint: endpoint.id, silentMs: Math.round(now - endpoint.answeredAt) })
    this.listener.endpointAnswered(endpoint, listing.bornAt)
    endpoint.bornAt = listing.bornAt
    endpoint.clockOffset = listing.clock - now
    endpoint.unansweredHolds = 0
    endpoint.runsAtRefusal = undefined
    endpoint.runsLostInSilence = []
    endpoint.answeredAt = now
    // Until it answers under this owner's token, an earlier owner may have extended the lease there, which outlasts the runs.
    if (!endpoint.answeredUnderToken) endpoint.leaseUntil = listing.clock + cfg.leaseMs as EndpointClockMs
    if (!endpoint.answeredUnderToken && listing.running.length > 0) this.recordLeaseEnd(endpoint, endpoint.leaseUntil)
    this.applyEnds(endpoint, listing, hold.endTimeKnown)
    this.applyRunning(endpoint, listing.running)
    this.resolveMissingRuns(endpoint, listing, hold.sentAt)
    // An endpoint that has restarted while this hold waited there has not seen its token, so it has to answer another one.
    endpoint.answeredUnderToken = !(restarted && hold.waits)
    for (const run of endpoint.runs.values()) if (run.state === 'ordered' && run.awaitsRetry) this.retryStart(endpoint, run)
    this.listener.capacityChanged()
  }

  private applyEnds (endpoint: LedgerEndpoint, listing: EndpointListing, endTimeKnown: boolean): void {
    for (const end of listing.ended) {
      if (end.sequence <= endpoint.acknowledged) continue
      endpoint.acknowledged = end.sequence
      const run = endpoint.runs.get(end.task)
      if (run === undefined || run.run !== end.run) continue
      this.db.removeRun(endpoint, run)
      this.listener.runEnded(run, end.how, endTimeKnown)
    }
  }

  private applyRunning (endpoint: LedgerEndpoint, running: readonly ListedRun[]): void {
    for (const row of running) {
      const run = endpoint.runs.get(row.task)
      if (run === undefined) this.addFoundRun(endpoint, row)
      else if (run.run === row.run) this.applyProgress(run, row.percent)
    }
  }

  private applyProgress (run: LedgerRun, percent: number): void {
    const { now } = this.ctx
    run.confirmed = true
    if (run.state === 'ordered') {
      run.state = 'running'
      run.startedAt = now
      this.listener.runStarted(run)
    }
    if (percent > run.percent) run.percentAt = now
    run.percent = percent
    if (run.state === 'running') this.listener.runProgressed(run)
  }

  private addFoundRun (endpoint: LedgerEndpoint, { task, run: number, percent }: ListedRun): void {
    const run = makeRun(endpoint, task, number, this.ctx.now, { state: 'unclaimed', confirmed: true, percent, foundPercent: percent })
    this.db.addRun(endpoint, run)
    this.listener.runFound(run)
  }

  /**
   * Handles runs that the listing lacks: a run that had started is lost, and a start without an answer is rejected once it
   * can no longer take effect. A hold sent before the latest start order proves nothing about the run.
   */
  private resolveMissingRuns (endpoint: LedgerEndpoint, listing: EndpointListing, sentAt: Ms): void {
    const listedTasks = new Set(listing.running.map(row => row.task))
    for (const run of [...endpoint.runs.values()]) {
      if (listedTasks.has(run.task)) continue
      if (run.state === 'ordered' || (run.state === 'stopping' && !run.confirmed)) {
        if (listing.clock <= run.notAfter || sentAt < run.startSentAt) continue
        this.db.removeRun(endpoint, run)
        this.listener.runRejected(run, 'neverArrived')
      } else if (sentAt > run.startedAt) {
        this.reportRunLost(endpoint, run, 'unlisted', endpoint.runs.size)
      }
    }
  }

  /**
   * Reports the runs of the earlier incarnation as lost, but not a run whose start is unanswered: the order may have been, or
   * may still be, carried out by the new incarnation, whose clock makes it valid for longer. What the new incarnation lists, it has started itself.
   */
  private endpointRestarted (endpoint: LedgerEndpoint, { bornAt, clock, running, ended }: EndpointListing): void {
    const { out, now } = this.ctx
    out.count('shard.endpoints.reborn')
    out.log('endpoint.reborn', { endpoint: endpoint.id, bornAt, before: endpoint.bornAt, runs: endpoint.runs.size }, 'warn')
    endpoint.acknowledged = 0
    endpoint.leaseUntil = clock + this.ctx.cfg.leaseMs as EndpointClockMs
    if (endpoint.runsLostInSilence.length > 0) this.listener.endpointHadCrashed(endpoint, endpoint.runsLostInSilence)
    const startedSince = [...running, ...ended]
    const earlierRuns = [...endpoint.runs.values()].filter(({ task, run }) => !startedSince.some(row => row.task === task && row.run === run))
    for (const run of endpoint.runs.values()) {
      if (run.state !== 'ordered') continue
      run.notAfter = (clock + LATE_ORDER_MS) as EndpointClockMs
      endpoint.startsBlockedUntil = ms(now + LATE_ORDER_MS)
    }
    for (const run of earlierRuns) if (run.state !== 'ordered') this.reportRunLost(endpoint, run, 'restarted', earlierRuns.length)
  }

  private reportRunsLost (endpoint: LedgerEndpoint): void {
    const runsThere = endpoint.runs.size
    if (endpoint.runsAtRefusal === undefined) endpoint.runsLostInSilence = [...endpoint.runsLostInSilence, ...endpoint.runs.values()]
    for (const run of [...endpoint.runs.values()]) this.reportRunLost(endpoint, run, endpoint.runsAtRefusal === undefined ? 'silent' : 'refused', runsThere)
  }

  private reportRunLost (endpoint: LedgerEndpoint, run: LedgerRun, why: LossReason, runsThere: number): void {
    this.db.removeRun(endpoint, run)
    this.ctx.out.count('shard.tasks.lost')
    this.listener.runLost(run, { why, runsThere, endpoint })
  }

  private sendStart (endpoint: LedgerEndpoint, run: LedgerRun): void {
    const { now, cfg, out } = this.ctx
    const token = this.tokenOf(endpoint.report.failureDomain)
    const { bornAt } = endpoint
    if (token === undefined || bornAt === undefined) return
    const validMs = Math.floor(Math.min(cfg.startValidMs, leaseBoundOf(endpoint) - now))
    if (validMs <= 0) return
    const notAfter = endpointClock(endpoint, now) + validMs as EndpointClockMs
    run.notAfter = Math.max(run.notAfter, notAfter) as EndpointClockMs
    this.recordLeaseEnd(endpoint, notAfter)
    this.stampOrder(run, token)
    run.startSentAt = now
    out.count('shard.tasks.started')
    out.push({
      type: 'startTask',
      endpoint: endpoint.id,
      bornAt,
      address: endpoint.report.address,
      orderId: run.orderId,
      token,
      task: run.task,
      run: run.run,
      spec: run.spec,
      notAfter,
      timeoutMs: cfg.orderTimeoutMs
    })
  }

  private sendStop (endpoint: LedgerEndpoint, run: LedgerRun): void {
    const { cfg, out } = this.ctx
    const token = this.tokenOf(endpoint.report.failureDomain)
    if (token === undefined) return
    this.stampOrder(run, token)
    out.count('shard.tasks.stopped')
    out.push({ type: 'stopTask', endpoint: endpoint.id, address: endpoint.report.address, orderId: run.orderId, token, task: run.task, run: run.run, timeoutMs: cfg.orderTimeoutMs })
  }

  /** Assigns an id to the run's next order, to match its answer. */
  private stampOrder (run: LedgerRun, token: FencingToken): void {
    run.token = token
    run.orderId = ++this.orderCounter
    run.sends++
    run.lastSentAt = this.ctx.now
  }

  /** Records that leases may now last until the given time on the endpoint's clock. */
  private recordLeaseEnd (endpoint: LedgerEndpoint, until: EndpointClockMs): void {
    const { now, cfg } = this.ctx
    endpoint.leaseUntil = Math.max(endpoint.leaseUntil, until) as EndpointClockMs
    endpoint.leasesEndBy = ms(Math.max(endpoint.leasesEndBy, latestLeaseEnd(endpoint, until, now, cfg.clockDrift, cfg.leaseSlackMs)))
  }

  private startConfirmed (endpoint: LedgerEndpoint, run: LedgerRun, clock: EndpointClockMs): void {
    run.state = 'running'
    run.startedAt = this.ctx.now
    run.confirmed = true
    endpoint.clockOffset = clock - this.ctx.now
    this.listener.runStarted(run)
  }

  /** After a repeated start, a rejection proves nothing about the earlier sends; their capacity stays reserved until they expire. */
  private startRejected (endpoint: LedgerEndpoint, run: LedgerRun, reason: Exclude<RejectionReason, 'neverArrived'>): void {
    this.ctx.out.count('shard.tasks.startRejected')
    if (run.sends > 1) return
    this.db.removeRun(endpoint, run)
    this.listener.runRejected(run, reason)
    this.listener.capacityChanged()
  }

  /** A start that could not be sent, or was refused, each time never arrived. Until a hold is answered, nothing else is placed there. */
  private startNotSent (endpoint: LedgerEndpoint, run: LedgerRun, why: 'refused' | 'unsent'): void {
    run.refusedSends++
    endpoint.unansweredHolds = Math.max(1, endpoint.unansweredHolds)
    const neverArrived = run.refusedSends === run.sends
    if (neverArrived) {
      this.ctx.out.count('shard.tasks.startRejected')
      this.db.removeRun(endpoint, run)
    }
    if (why === 'refused') this.endpointRefused(endpoint)
    if (neverArrived) this.listener.runRejected(run, why)
    else this.retryStart(endpoint, run)
  }

  /** Sends a start again, once no other owner can have started tasks at the endpoint since it last answered; none to a domain that was evacuated since. */
  private retryStart (endpoint: LedgerEndpoint, run: LedgerRun): void {
    run.awaitsRetry = !endpoint.answeredUnderToken
    if (!run.awaitsRetry && this.acceptsStarts(endpoint.report.failureDomain) && run.sends < START_SENDS_MAX && endpoint.unansweredHolds < UNANSWERED_HOLDS_MAX) this.sendStart(endpoint, run)
  }

  /** Ignores the refusal of a token that this instance has itself replaced since; the shard may still be its own. */
  private tokenRefused (endpoint: LedgerEndpoint, token: FencingToken): void {
    const { failureDomain } = endpoint.report
    if (this.tokenOf(failureDomain) === token) this.listener.superseded(failureDomain, token)
  }
}
