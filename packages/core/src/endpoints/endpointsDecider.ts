/**
 * Keeps the ledger of owned endpoints true: looks at each endpoint first, renews leases while work runs, learns of
 * ends, repeats orders without an answer, and keeps room taken for whatever may still take effect.
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
import { EndpointsDb, endpointClock, horizonOf, makeRun } from './endpointsDb.js'
import type { LedgerEndpoint, LedgerRun, PendingHold, RejectionReason, RunListener } from './types.js'

/** Holds without an answer in a row after which leases are no longer renewed, so that runs there surely lapse. */
const SILENT_HOLDS_MAX = 2
/** Gap between two holds in which an end is still timed well enough to judge the endpoint's speed. */
const SEAMLESS_MS = 15
/** Start orders of one run before its room is only waited out. */
const START_SENDS_MAX = 3
/** Longest time after which an endpoint may carry out an order late (platform's figure). */
const LATE_ORDER_MS = 12_000

/** Says which token holds for a failure domain's endpoints; undefined when this instance does not own them. */
export type TokenOf = (failureDomain: FailureDomain) => FencingToken | undefined

/** The ledger's decisions. */
export class EndpointsDecider {
  readonly db = new EndpointsDb()
  private orderCounter = 0

  constructor (private readonly ctx: ShardContext, private readonly tokenOf: TokenOf, private readonly listener: RunListener) {}

  /** Takes over the endpoints of a shard: each is looked at under the new token before anything starts there. */
  adopt (reports: readonly EndpointReport[]): void {
    for (const report of reports) this.look(this.db.get(report.id) ?? this.db.add(report, this.ctx.now))
  }

  /** Updates the reports of a shard's endpoints; adds new ones. */
  update (reports: readonly EndpointReport[]): void {
    for (const report of reports) {
      const known = this.db.get(report.id)
      if (known === undefined) this.look(this.db.add(report, this.ctx.now))
      else Object.assign(known, { report, unlisted: false, free: undefined })
    }
  }

  /**
   * Gives an endpoint that is no longer listed no more work. What runs there goes on while the endpoint answers; it is
   * forgotten once nothing runs there.
   */
  forget (id: EndpointId): void {
    const endpoint = this.db.get(id)
    if (endpoint === undefined) return
    endpoint.unlisted = true
    this.removeUnlisted(endpoint)
  }

  /** Forgets all endpoints of a shard without judging their runs; another instance owns them now. */
  release (failureDomain: FailureDomain): void {
    for (const endpoint of [...this.db.all()]) {
      if (endpoint.report.failureDomain === failureDomain) this.db.remove(endpoint.id)
    }
  }

  /** Nothing starts at an endpoint until it has answered once more under the token. */
  lookAgain (): void {
    for (const endpoint of this.db.all()) this.look(endpoint)
  }

  /** @returns true when the endpoint may be given work */
  usable (endpoint: LedgerEndpoint): boolean {
    const { report, looked, silent, bornAt, quarantineUntil, unlisted } = endpoint
    return looked && silent === 0 && !report.draining && !unlisted && bornAt === report.bornAt && quarantineUntil <= this.ctx.now
  }

  /** Starts a run. The caller has checked room and `usable`. */
  start (endpoint: LedgerEndpoint, task: TaskName, runNumber: number, spec: string, needs: Resources): LedgerRun {
    const run = makeRun(endpoint, task, runNumber, this.ctx.now, { needs, state: 'ordered', spec })
    this.db.addRun(endpoint, run)
    this.sendStart(endpoint, run)
    if (endpoint.hold === undefined) this.renew(endpoint)
    return run
  }

  /** Stops a run. Its room stays taken until the endpoint lists the end. */
  stop (run: LedgerRun): void {
    const endpoint = this.db.get(run.endpoint)
    if (endpoint === undefined || run.state === 'stopping') return
    run.state = 'stopping'
    run.sends = 0
    this.sendStop(endpoint, run)
  }

  /** Makes a found run one of ours. */
  claim (run: LedgerRun, needs: Resources): void {
    run.needs = needs
    const endpoint = this.db.get(run.endpoint)
    if (endpoint !== undefined) endpoint.free = undefined
    if (run.state === 'unclaimed') run.state = 'running'
    this.ctx.out.count('shard.tasks.adopted')
  }

  /** The jobs of all runs were dropped: whoever still wants one claims it again. */
  disown (): void {
    for (const endpoint of this.db.all()) {
      for (const run of endpoint.runs.values()) {
        if (run.state !== 'running') continue
        run.state = 'unclaimed'
        run.startedAt = this.ctx.now
      }
    }
  }

  /** Repeats orders without an answer, renews leases, notices endpoints that are lost. */
  tick (): void {
    for (const endpoint of [...this.db.all()]) {
      this.removeUnlisted(endpoint)
      for (const run of endpoint.runs.values()) this.tickRun(endpoint, run)
      if (endpoint.silent > 0 && endpoint.runs.size > 0 && this.ctx.now > endpoint.leaseHorizon) this.loseRuns(endpoint)
      if (endpoint.hold === undefined && this.ctx.now >= endpoint.nextLookAt) this.renew(endpoint)
    }
  }

  /** Takes the outcome of a hold or look. */
  holdOutcome (id: EndpointId, orderId: number, outcome: HoldOutcome): void {
    const endpoint = this.db.get(id)
    if (endpoint === undefined || endpoint.hold?.orderId !== orderId) return
    const hold = endpoint.hold
    endpoint.hold = undefined
    if (outcome.type === 'listed') {
      this.listed(endpoint, outcome.listing, hold)
      this.continueHolding(endpoint)
      return
    }
    if (outcome.type === 'fenced') {
      this.fenced(endpoint, hold.token)
      this.continueHolding(endpoint)
      return
    }
    this.unanswered(endpoint, outcome.type)
  }

  /** Takes the outcome of a start. */
  startOutcome (id: EndpointId, orderId: number, outcome: TaskStartOutcome): void {
    const endpoint = this.db.get(id)
    const run = endpoint === undefined ? undefined : this.findOrdered(endpoint, orderId)
    if (endpoint === undefined || run === undefined) return
    switch (outcome.type) {
      case 'started': return this.started(endpoint, run, outcome.clock)
      case 'oldRun':
      case 'noRoom':
      case 'invalid':
      case 'unhealthy':
      case 'late': return this.rejected(endpoint, run, outcome.type)
      case 'fenced':
        this.fenced(endpoint, run.token)
        return this.rejected(endpoint, run, 'fenced')
      case 'silent':
      case 'otherLife':
      case 'refused':
      case 'unreadable':
        this.ctx.out.count('shard.tasks.startSilent')
        return this.retryStart(endpoint, run)
    }
  }

  /** Takes the outcome of a stop; a stop without an answer is sent again by `tick`. */
  stopOutcome (id: EndpointId, _orderId: number, outcome: TaskStopOutcome): void {
    const endpoint = this.db.get(id)
    if (endpoint === undefined) return
    if (outcome.type === 'stopping' && endpoint.hold === undefined) this.renew(endpoint)
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

  private tickRun (endpoint: LedgerEndpoint, run: LedgerRun): void {
    if (run.state !== 'stopping') return
    if (this.ctx.now - run.lastSentAt >= this.ctx.cfg.orderTimeoutMs && endpoint.silent < SILENT_HOLDS_MAX) this.sendStop(endpoint, run)
  }

  private look (endpoint: LedgerEndpoint): void {
    endpoint.looked = false
    endpoint.hold = undefined
    endpoint.silent = 0
    this.renew(endpoint)
  }

  /** Sends a hold: with an extension while the endpoint answers and work runs, else a mere look. */
  private renew (endpoint: LedgerEndpoint): void {
    const { now, cfg } = this.ctx
    const token = this.tokenOf(endpoint.report.failureDomain)
    if (token === undefined) return
    const extend = endpoint.looked && endpoint.silent < SILENT_HOLDS_MAX && endpoint.runs.size > 0 && endpoint.clockOffset !== undefined
    const extendTo = extend ? (endpointClock(endpoint, now) + cfg.leaseMs) as EndpointClockMs : undefined
    if (extendTo !== undefined) this.extendHorizon(endpoint, extendTo)
    const waitMs = extend && endpoint.silent === 0 ? cfg.holdWaitMs : ms(0)
    const orderId = ++this.orderCounter
    endpoint.hold = { orderId, token, sentAt: now, seamless: now - endpoint.answeredAt <= SEAMLESS_MS || endpoint.runs.size === 1 }
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

  private continueHolding (endpoint: LedgerEndpoint): void {
    if (endpoint.runs.size > 0) this.renew(endpoint)
    else endpoint.nextLookAt = ms(this.ctx.now + this.ctx.cfg.idleLookMs)
  }

  private unanswered (endpoint: LedgerEndpoint, why: string): void {
    const { out, now, cfg, self } = this.ctx
    out.count('shard.holds.silent')
    endpoint.silent++
    if (endpoint.silent === SILENT_HOLDS_MAX) {
      out.log('endpoint.silent', { endpoint: endpoint.id, failureDomain: endpoint.report.failureDomain, why, runs: endpoint.runs.size, lastAnswerAgeMs: Math.round(now - endpoint.answeredAt), owner: self.instance }, 'warn')
    }
    if (endpoint.silent < SILENT_HOLDS_MAX) this.renew(endpoint)
    else endpoint.nextLookAt = ms(now + cfg.silentLookMs)
  }

  private listed (endpoint: LedgerEndpoint, listing: EndpointListing, hold: PendingHold): void {
    const { now, out } = this.ctx
    if (endpoint.bornAt !== undefined && endpoint.bornAt !== listing.bornAt) this.reborn(endpoint, listing.bornAt)
    if (endpoint.silent >= SILENT_HOLDS_MAX) out.log('endpoint.answers', { endpoint: endpoint.id, silentMs: Math.round(now - endpoint.answeredAt) })
    endpoint.bornAt = listing.bornAt
    endpoint.clockOffset = listing.clock - now
    endpoint.silent = 0
    endpoint.answeredAt = now
    this.takeEnds(endpoint, listing, hold.seamless)
    this.takeRunning(endpoint, listing.running)
    this.findMissing(endpoint, listing, hold.sentAt)
    endpoint.looked = true
    this.listener.roomChanged()
  }

  private takeEnds (endpoint: LedgerEndpoint, listing: EndpointListing, seenAtOnce: boolean): void {
    for (const end of listing.ended) {
      if (end.sequence <= endpoint.acknowledged) continue
      endpoint.acknowledged = end.sequence
      const run = endpoint.runs.get(end.task)
      if (run === undefined || run.run !== end.run) continue
      this.db.removeRun(endpoint, run)
      this.listener.runEnded(run, end.how, seenAtOnce)
    }
  }

  private takeRunning (endpoint: LedgerEndpoint, running: readonly ListedRun[]): void {
    for (const row of running) {
      const run = endpoint.runs.get(row.task)
      if (run === undefined) this.found(endpoint, row)
      else if (run.run === row.run) this.progressed(run, row.percent)
    }
  }

  private progressed (run: LedgerRun, percent: number): void {
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

  private found (endpoint: LedgerEndpoint, { task, run: number, percent }: ListedRun): void {
    const run = makeRun(endpoint, task, number, this.ctx.now, { state: 'unclaimed', confirmed: true, percent, foundPercent: percent })
    this.db.addRun(endpoint, run)
    this.listener.runFound(run)
  }

  /** A run that a later list does not show has ended, or its start can no longer take effect. */
  private findMissing (endpoint: LedgerEndpoint, listing: EndpointListing, sentAt: Ms): void {
    const shown = new Set(listing.running.map(row => row.task))
    for (const run of [...endpoint.runs.values()]) {
      if (shown.has(run.task)) continue
      if (run.state === 'ordered' || (run.state === 'stopping' && !run.confirmed)) {
        if (listing.clock <= run.notAfter || sentAt < run.lastSentAt) continue
        this.db.removeRun(endpoint, run)
        this.listener.runRejected(run, 'neverArrived')
      } else if (sentAt > run.startedAt) {
        this.db.removeRun(endpoint, run)
        this.listener.runLost(run)
      }
    }
  }

  private reborn (endpoint: LedgerEndpoint, bornAt: number): void {
    const { out, now } = this.ctx
    out.count('shard.endpoints.reborn')
    out.log('endpoint.reborn', { endpoint: endpoint.id, bornAt, before: endpoint.bornAt, runs: endpoint.runs.size }, 'warn')
    const unresolved = [...endpoint.runs.values()].some(run => run.state === 'ordered')
    if (unresolved) endpoint.quarantineUntil = ms(now + LATE_ORDER_MS)
    endpoint.acknowledged = 0
    this.loseRuns(endpoint)
  }

  private loseRuns (endpoint: LedgerEndpoint): void {
    for (const run of [...endpoint.runs.values()]) {
      this.db.removeRun(endpoint, run)
      this.ctx.out.count('shard.tasks.lost')
      this.listener.runLost(run)
    }
  }

  private sendStart (endpoint: LedgerEndpoint, run: LedgerRun): void {
    const { now, cfg, out } = this.ctx
    const token = this.tokenOf(endpoint.report.failureDomain)
    if (token === undefined) return
    run.notAfter = (endpointClock(endpoint, now) + cfg.startValidMs) as EndpointClockMs
    this.extendHorizon(endpoint, run.notAfter)
    this.stampOrder(run, token)
    out.count('shard.tasks.started')
    out.push({
      type: 'startTask',
      endpoint: endpoint.id,
      address: endpoint.report.address,
      orderId: run.orderId,
      token,
      task: run.task,
      run: run.run,
      spec: run.spec,
      notAfter: run.notAfter,
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

  /** Gives a run's next order its number, to match the answer. */
  private stampOrder (run: LedgerRun, token: FencingToken): void {
    run.token = token
    run.orderId = ++this.orderCounter
    run.sends++
    run.lastSentAt = this.ctx.now
  }

  /** Runs may live on until the given time of the endpoint's clock. */
  private extendHorizon (endpoint: LedgerEndpoint, until: EndpointClockMs): void {
    const { now, cfg } = this.ctx
    endpoint.leaseHorizon = ms(Math.max(endpoint.leaseHorizon, horizonOf(endpoint, until, now, cfg.clockDrift, cfg.leaseSlackMs)))
  }

  private started (endpoint: LedgerEndpoint, run: LedgerRun, clock: EndpointClockMs): void {
    run.state = 'running'
    run.startedAt = this.ctx.now
    run.confirmed = true
    endpoint.clockOffset = clock - this.ctx.now
    this.listener.runStarted(run)
  }

  private rejected (endpoint: LedgerEndpoint, run: LedgerRun, reason: Exclude<RejectionReason, 'neverArrived'>): void {
    this.ctx.out.count('shard.tasks.startRejected')
    if (run.sends > 1) return
    this.db.removeRun(endpoint, run)
    this.listener.runRejected(run, reason)
    this.listener.roomChanged()
  }

  private retryStart (endpoint: LedgerEndpoint, run: LedgerRun): void {
    if (run.sends < START_SENDS_MAX && endpoint.silent < SILENT_HOLDS_MAX) this.sendStart(endpoint, run)
  }

  /** A refused order of a token that this instance has replaced itself says nothing. */
  private fenced (endpoint: LedgerEndpoint, token: FencingToken): void {
    const { failureDomain } = endpoint.report
    if (this.tokenOf(failureDomain) === token) this.listener.superseded(failureDomain, token)
  }
}
