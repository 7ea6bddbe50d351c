/**
 * Two choices: which instance schedules a job, and which endpoint a task starts on.
 *
 * Jobs go to few schedulers, the oldest lives in the fleet, as many as the expected rate needs. One queue over
 * all slots keeps response near that of a central queue, and a forwarded job costs two messages however many
 * tasks it has. No agreement is needed: if two instances disagree on who schedules, endpoints refuse what
 * exceeds their slots, and limits hold by permits.
 */
import type { EndpointId, EndpointInfo, Fleet } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { Context } from '../instance/context.js'
import type { HealthDecider } from '../health/healthDecider.js'
import { byAge } from '../membership/membershipDecider.js'
import type { MembershipDecider } from '../membership/membershipDecider.js'
import type { Member } from '../membership/types.js'
import { orderOf } from '../contracts/changeRules.js'
import { rendezvous } from '../utils/rendezvous.js'
import { sample } from '../utils/random.js'
import { BUSY_PAUSE_MIN_MS, RoutingDb } from './routingDb.js'
import type { EndpointState, Placement, TaskSize } from './types.js'

/** A scheduler has at least this many endpoints. */
const ENDPOINTS_PER_SCHEDULER_MIN = 2
/** Longest pause after repeated refusals of one endpoint. */
const BUSY_PAUSE_MAX_MS = 320
/** An endpoint in another domain costs this much of a full endpoint in the choice. */
const REMOTE_DOMAIN_PENALTY = 0.5
/** A straggler of twice the normal run time costs this much in the choice. */
const SLOWNESS_PENALTY = 2

type Scheduler = Pick<Member, 'instance' | 'incarnation' | 'backlog'>

/** Decides where jobs are scheduled and tasks start. */
export class RoutingDecider {
  readonly db = new RoutingDb()
  private fleet: Fleet | undefined
  private schedulers: Scheduler[] = []
  private ownershipKey = ''

  constructor (
    private readonly ctx: Context,
    private readonly membership: MembershipDecider,
    private readonly health: HealthDecider,
    private readonly serving: () => boolean
  ) {}

  /** Takes over the platform's list of endpoints. */
  listEndpoints (list: readonly EndpointInfo[]): void {
    for (const gone of this.db.replace(list)) this.health.db.forget(gone)
    this.ownershipKey = ''
    this.applyOrders()
    this.refresh()
  }

  /** Takes over operators' orders for endpoints. */
  fleetAdopted (fleet: Fleet): void {
    this.fleet = fleet
    this.applyOrders()
  }

  /** Recomputes who schedules and which endpoints belong to this instance. */
  refresh (): void {
    const { self, cfg } = this.ctx
    const own: Scheduler[] = this.serving() ? [{ ...self, backlog: 0 }] : []
    const candidates = [...this.membership.serving(), ...own].sort(byAge)
    this.schedulers = candidates.slice(0, cfg.routing.policy === 'scheduler' ? this.schedulersNeeded() : candidates.length)
    this.assignEndpoints()
  }

  /** As few as the expected rate needs, and never so many that one would have hardly any endpoints. */
  private schedulersNeeded (): number {
    const { expectedStartsPerSecond, startsPerScheduler } = this.ctx.cfg.routing
    const byRate = Math.ceil(expectedStartsPerSecond / startsPerScheduler)
    const byEndpoints = Math.floor(this.db.all().length / ENDPOINTS_PER_SCHEDULER_MIN)
    return Math.max(1, Math.min(byRate, byEndpoints))
  }

  /** @returns true when jobs that arrive here are scheduled here */
  isScheduler (): boolean {
    return this.schedulers.some(s => s.instance === this.ctx.self.instance)
  }

  /**
   * Chooses where a job is scheduled.
   * @param excluded - instances that returned the job or cannot be reached
   * @returns the place; here when nobody else is left
   */
  place (excluded: ReadonlySet<string>): Placement {
    if (this.isScheduler()) return { type: 'here' }
    const open = this.schedulers.filter(s => !excluded.has(s.instance))
    const two = sample(this.ctx.random, open, 2).sort((a, b) => a.backlog - b.backlog)
    const chosen = two[0]
    if (chosen === undefined) return { type: 'here' }
    return { type: 'remote', instance: chosen.instance }
  }

  /** @returns true when some endpoint, free or not, is large enough for a task */
  canEverRun (size: TaskSize): boolean {
    return this.db.all().some(e => fitsEmpty(e, size))
  }

  /** @returns slots of endpoints that accept work and belong to this instance */
  slots (): number {
    let total = 0
    for (const e of this.db.all()) if (e.acceptsWork && e.ownedHere) total += this.health.allowance(e.info.id, e.info.slots)
    return total
  }

  /** @returns true when an endpoint that belongs to this instance has a free slot */
  hasFreeSlot (): boolean {
    return this.db.all().some(e => e.ownedHere && this.isFree(e))
  }

  /**
   * Chooses an endpoint for a task.
   * @param size - what the task declares
   * @returns the endpoint, or undefined when none is free
   */
  choose (size: TaskSize): EndpointState | undefined {
    const { policy } = this.ctx.cfg.routing
    switch (policy) {
      case 'scheduler': return this.best(size)
      case 'twoChoices': return this.byChance(size, 2)
      case 'random': return this.byChance(size, 1)
    }
  }

  /** Pauses an endpoint that refused a start; known not to have run. */
  refused (state: EndpointState): void {
    state.pausedUntil = ms(this.ctx.now + state.pauseMs)
    state.pauseMs = Math.min(BUSY_PAUSE_MAX_MS, state.pauseMs * 2)
  }

  /** Ends the pauses of an endpoint that has accepted a task. */
  accepted (state: EndpointState): void {
    state.pauseMs = BUSY_PAUSE_MIN_MS
  }

  private best (size: TaskSize): EndpointState | undefined {
    let best: EndpointState | undefined
    let bestScore = Infinity
    const anywhere = !this.db.all().some(e => e.ownedHere && fitsEmpty(e, size))
    for (const e of this.db.all()) {
      if (!(e.ownedHere || anywhere) || !this.isFree(e) || !fits(e, size)) continue
      const score = this.score(e)
      if (score >= bestScore) continue
      best = e
      bestScore = score
    }
    return best
  }

  /** Baselines choose without knowing what others run; endpoints refuse when they are full. */
  private byChance (size: TaskSize, choices: number): EndpointState | undefined {
    const open = this.db.all().filter(e => e.acceptsWork && this.ctx.now >= e.pausedUntil && this.health.allowance(e.info.id, e.info.slots) > e.running && fitsEmpty(e, size))
    const drawn = sample(this.ctx.random, open, choices)
    return drawn.sort((a, b) => a.running - b.running)[0]
  }

  private score (e: EndpointState): number {
    const remote = e.info.failureDomain === this.ctx.self.failureDomain ? 0 : REMOTE_DOMAIN_PENALTY
    const slow = Math.max(0, this.health.slowness(e.info.id) - 1.5) * SLOWNESS_PENALTY
    return e.running / e.info.slots + remote + slow
  }

  private isFree (e: EndpointState): boolean {
    if (!e.acceptsWork || this.ctx.now < e.pausedUntil) return false
    return e.running < this.health.allowance(e.info.id, e.info.slots)
  }

  private applyOrders (): void {
    for (const e of this.db.all()) e.acceptsWork = !e.info.leaving && this.orderFor(e.info.id) === 'active'
  }

  private orderFor (endpoint: EndpointId): string {
    return this.fleet === undefined ? 'active' : orderOf(this.fleet, endpoint)
  }

  /** With several schedulers each endpoint belongs to one, so that they do not compete for slots. */
  private assignEndpoints (): void {
    const { self } = this.ctx
    const shared = this.ctx.cfg.routing.policy !== 'scheduler' || !this.isScheduler() || this.schedulers.length === 1
    const key = shared ? 'shared' : this.schedulers.map(s => `${s.instance}#${s.incarnation}`).join()
    if (key === this.ownershipKey) return
    this.ownershipKey = key
    const position = this.schedulers.findIndex(s => s.instance === self.instance)
    const ordered = rendezvous('endpoints', this.db.all(), e => e.info.id)
    ordered.forEach((e, i) => {
      e.ownedHere = shared || i % this.schedulers.length === position
    })
  }
}

function fits (e: EndpointState, size: TaskSize): boolean {
  return e.usedCores + size.cores <= e.cores &&
    e.usedMemoryMb + size.memoryMb <= e.memoryMb &&
    e.usedAccelerators + size.accelerators <= e.accelerators
}

function fitsEmpty (e: EndpointState, size: TaskSize): boolean {
  return size.cores <= e.cores && size.memoryMb <= e.memoryMb && size.accelerators <= e.accelerators
}
