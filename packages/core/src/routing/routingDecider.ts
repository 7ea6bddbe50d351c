/**
 * Chooses the instance that schedules a job, and the endpoint that a task starts on.
 *
 * Only a few instances are schedulers: those that have run longest, as many as the expected rate needs. One queue
 * over all slots keeps response times near those of a central queue, and forwarding a job costs two messages however
 * many tasks it has. The instances need no agreement on who schedules: if they disagree, endpoints still refuse
 * starts beyond their slots, and permits still enforce the limits of customers.
 */
import type { EndpointId, EndpointInfo, Fleet } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { Context } from '../instance/context.js'
import type { HealthDecider } from '../health/healthDecider.js'
import { compareByIncarnation } from '../membership/membershipDecider.js'
import type { MembershipDecider } from '../membership/membershipDecider.js'
import type { Member } from '../membership/types.js'
import { endpointOrderOf } from '../contracts/changeRules.js'
import { rendezvous } from '../utils/rendezvous.js'
import { sample } from '../utils/random.js'
import { BUSY_PAUSE_MIN_MS, RoutingDb } from './routingDb.js'
import type { EndpointState, Placement, TaskSize } from './types.js'

/** Smallest number of endpoints for each scheduler. It limits the number of schedulers, of which there is always at least one. */
const ENDPOINTS_PER_SCHEDULER_MIN = 2
/** Longest pause after repeated refusals by one endpoint. */
const BUSY_PAUSE_MAX_MS = 320
/**
 * Added to the score of an endpoint in another failure domain; 1 is the score of an endpoint whose slots are all in
 * use.
 */
const REMOTE_DOMAIN_PENALTY = 0.5
/** Added to the score for each unit of slowness above 1.5; an endpoint at twice the normal run time gets 1 added. */
const SLOWNESS_PENALTY = 2

type Scheduler = Pick<Member, 'instance' | 'incarnation' | 'backlog'>

/** Decides where jobs are scheduled and tasks start. */
export class RoutingDecider {
  readonly db = new RoutingDb()
  private fleet: Fleet | undefined
  private schedulers: Scheduler[] = []
  /** Schedulers for which endpoints were last assigned; empty when the assignment has to be computed again. */
  private assignmentKey = ''

  constructor (
    private readonly ctx: Context,
    private readonly membership: MembershipDecider,
    private readonly health: HealthDecider,
    private readonly serving: () => boolean
  ) {}

  /** Adopts the platform's list of endpoints. */
  adoptEndpointList (list: readonly EndpointInfo[]): void {
    for (const delisted of this.db.replace(list)) this.health.db.forget(delisted)
    this.assignmentKey = ''
    this.applyOrders()
    this.refresh()
  }

  /** Applies the operators' orders for endpoints in an adopted fleet value. */
  fleetAdopted (fleet: Fleet): void {
    this.fleet = fleet
    this.applyOrders()
  }

  /** Recomputes which instances are schedulers and which endpoints are assigned to this one. */
  refresh (): void {
    const { self, cfg } = this.ctx
    const own: Scheduler[] = this.serving() ? [{ ...self, backlog: 0 }] : []
    const candidates = [...this.membership.serving(), ...own].sort(compareByIncarnation)
    this.schedulers = candidates.slice(0, cfg.routing.policy === 'scheduler' ? this.schedulersNeeded() : candidates.length)
    this.assignEndpoints()
  }

  /** As few as the expected rate needs, and not so many that a scheduler would have too few endpoints. */
  private schedulersNeeded (): number {
    const { expectedStartsPerSecond, startsPerScheduler } = this.ctx.cfg.routing
    const byRate = Math.ceil(expectedStartsPerSecond / startsPerScheduler)
    const byEndpoints = Math.floor(this.db.all().length / ENDPOINTS_PER_SCHEDULER_MIN)
    return Math.max(1, Math.min(byRate, byEndpoints))
  }

  /** @returns true when this instance schedules the jobs that it accepts */
  isScheduler (): boolean {
    return this.schedulers.some(s => s.instance === this.ctx.self.instance)
  }

  /**
   * Chooses the instance that schedules a job: this one if it is a scheduler, otherwise the scheduler with the smaller
   * backlog out of two drawn at random.
   * @param excluded - instances that returned the job or cannot be reached
   * @returns the instance; this one when no other scheduler is left
   */
  place (excluded: ReadonlySet<string>): Placement {
    if (this.isScheduler()) return { type: 'here' }
    const candidates = this.schedulers.filter(s => !excluded.has(s.instance))
    const sampled = sample(this.ctx.random, candidates, 2).sort((a, b) => a.backlog - b.backlog)
    const chosen = sampled[0]
    if (chosen === undefined) return { type: 'here' }
    return { type: 'remote', instance: chosen.instance }
  }

  /** @returns true when some endpoint would be large enough for a task if nothing else ran on it */
  canEverRun (size: TaskSize): boolean {
    return this.db.all().some(e => fitsWhenEmpty(e, size))
  }

  /** @returns usable slots of the endpoints that accept work and are assigned to this instance */
  slots (): number {
    let total = 0
    for (const e of this.db.all()) if (e.acceptsWork && e.ownedHere) total += this.health.allowance(e.info.id, e.info.slots)
    return total
  }

  /** @returns true when an endpoint that is assigned to this instance has a free slot */
  hasFreeSlot (): boolean {
    return this.db.all().some(e => e.ownedHere && this.isFree(e))
  }

  /**
   * Chooses an endpoint for a task, by the policy in the settings.
   * @param size - resources that the task declares
   * @returns the endpoint, or undefined when none can take the task now
   */
  choose (size: TaskSize): EndpointState | undefined {
    const { policy } = this.ctx.cfg.routing
    switch (policy) {
      case 'scheduler': return this.bestEndpoint(size)
      case 'twoChoices': return this.randomEndpoint(size, 2)
      case 'random': return this.randomEndpoint(size, 1)
    }
  }

  /** Pauses an endpoint that refused a start. Each refusal in a row doubles the pause, up to a maximum. */
  startRefused (state: EndpointState): void {
    state.pausedUntil = ms(this.ctx.now + state.pauseMs)
    state.pauseMs = Math.min(BUSY_PAUSE_MAX_MS, state.pauseMs * 2)
  }

  /** Resets the length of the pauses of an endpoint that has accepted a task. */
  startAccepted (state: EndpointState): void {
    state.pauseMs = BUSY_PAUSE_MIN_MS
  }

  /**
   * Finds the endpoint with the lowest score among those assigned to this instance. If none of these is large enough
   * for the task even when empty, all endpoints are considered.
   */
  private bestEndpoint (size: TaskSize): EndpointState | undefined {
    let best: EndpointState | undefined
    let bestScore = Infinity
    const useUnowned = !this.db.all().some(e => e.ownedHere && fitsWhenEmpty(e, size))
    for (const e of this.db.all()) {
      if (!(e.ownedHere || useUnowned) || !this.isFree(e) || !fits(e, size)) continue
      const score = this.score(e)
      if (score >= bestScore) continue
      best = e
      bestScore = score
    }
    return best
  }

  /**
   * The policies `twoChoices` and `random`, baselines for comparison: draws endpoints at random and chooses the one
   * that runs the fewest tasks of this instance. What other instances run there is not known; full endpoints refuse.
   */
  private randomEndpoint (size: TaskSize, choices: number): EndpointState | undefined {
    const candidates = this.db.all().filter(e => e.acceptsWork && this.ctx.now >= e.pausedUntil && this.health.allowance(e.info.id, e.info.slots) > e.running && fitsWhenEmpty(e, size))
    const sampled = sample(this.ctx.random, candidates, choices)
    return sampled.sort((a, b) => a.running - b.running)[0]
  }

  /** Cost of an endpoint in the choice: the used part of its slots, plus penalties for distance and slowness. */
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
    return this.fleet === undefined ? 'active' : endpointOrderOf(this.fleet, endpoint)
  }

  /** With several schedulers each endpoint is assigned to one of them, so that they do not compete for its slots. */
  private assignEndpoints (): void {
    const { self } = this.ctx
    const shared = this.ctx.cfg.routing.policy !== 'scheduler' || !this.isScheduler() || this.schedulers.length === 1
    const key = shared ? 'shared' : this.schedulers.map(s => `${s.instance}#${s.incarnation}`).join()
    if (key === this.assignmentKey) return
    this.assignmentKey = key
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

function fitsWhenEmpty (e: EndpointState, size: TaskSize): boolean {
  return size.cores <= e.cores && size.memoryMb <= e.memoryMb && size.accelerators <= e.accelerators
}
