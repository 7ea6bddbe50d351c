/**
 * Chooses the endpoint for a task: best fit among the endpoints that recent runs show to be healthy. Best fit matters
 * because most endpoints have capacity for only two or three tasks, so one badly placed task blocks a whole slot. Trust
 * matters because some endpoints are slow, hang or fail every task, and each task placed on them is late. An endpoint that
 * loses trust is quarantined (`setAside` in logs and metrics) and gets single trial tasks until one of them succeeds.
 */
import type { EndpointId, Resources } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { fits, isCold } from '../endpoints/endpointsDb.js'
import type { LedgerEndpoint } from '../endpoints/types.js'
import { PackingDecider } from '../packing/packingDecider.js'
import { SpeedsDecider } from '../speeds/speedsDecider.js'
import type { ShardContext } from '../shard/types.js'
import { FIRST_TRIAL_PAUSE_MS, PlacementDb } from './placementDb.js'
import type { EndpointTrust, PlacementRequest } from './types.js'

/** Slowness from which an endpoint is quarantined; the latency objective allows less than this factor over the plain run time. */
const SLOWNESS_LIMIT = 2
/** Number of consecutive failures after which an endpoint is quarantined. */
const FAILURES_LIMIT = 2
/** Weight of the latest successful run in the moving average of slowness. */
const SLOWNESS_WEIGHT = 0.3
/** Slowness from which a single run is enough evidence to quarantine an endpoint. */
const SINGLE_RUN_SLOWNESS_LIMIT = 6
/** Weight of a slow run below that limit in the moving average of slowness. */
const SLOW_RUN_WEIGHT = 0.4
/** Upper bound of the pause between trials, which doubles each time. */
const TRIAL_PAUSE_MAX_MS = ms(2400)
/** Slowness up to which endpoints count as equally fast; endpoints of one kind differ by about this much. */
const SPEED_TOLERANCE = 1.1
/** Score added per unit of excess slowness, relative to a score of 1 for an entirely unused endpoint. */
const SLOWNESS_PENALTY = 0.5
/** Score added per task for which there is less room once the task is placed. */
const SLOT_PENALTY = 1
/** Score added for a task that is sure to miss its objective at an endpoint because of its speed. */
const LATE_PENALTY = 2
/** Score added per unit of speed above 1, so that quick endpoints are left to tasks that need them. */
const QUICK_PENALTY = 0.2
/** Probability of missing the objective from which a task does not start at a slow endpoint, and up to which it waits for a quick one. */
const LATE_RISK_MIN = 0.7
const IN_TIME_RISK_MAX = 0.3
/** Slowness up to which a run shows that its endpoint is sound. */
const SOUND_SLOWNESS = 1.5
/** Score added for an endpoint outside the preferred rack, which is near the data. */
const FAR_RACK_PENALTY = 2
/** Score added for an endpoint that is slow after its start. */
const COLD_PENALTY = 1

/** An endpoint with its free capacity in the current placement round. */
export interface Candidate {
  readonly endpoint: LedgerEndpoint
  freeCapacity: Resources
  /** Starts that may be sent there now, beside those that it has not answered yet. */
  startsLeft: number
}

/** Chooses endpoints for tasks and keeps track of which endpoints can be trusted. */
export class PlacementDecider {
  readonly db = new PlacementDb()
  readonly packing = new PackingDecider()
  readonly speeds: SpeedsDecider

  constructor (private readonly ctx: ShardContext) {
    this.speeds = new SpeedsDecider((endpoint, speed, before) => ctx.out.log('endpoint.speed', { endpoint, speed: Number(speed.toFixed(2)), before: Number(before.toFixed(2)) }))
  }

  /**
   * Chooses the allowed endpoint with the lowest score.
   * @param request - requirements of the task
   * @param candidates - usable endpoints with their free capacity
   * @returns the chosen candidate, or undefined when none fits now, or when the task would be late where it fits and still in time at a
   * quicker endpoint that becomes free soon
   */
  choose (request: PlacementRequest, candidates: readonly Candidate[]): Candidate | undefined {
    let best: Candidate | undefined
    let bestScore = Infinity
    const quickestRisk = request.timing === undefined || this.speeds.areEven() ? 1 : this.speeds.lateRisk(request.timing, this.speeds.quickest(request.service, request.requiredLabel))
    for (const candidate of candidates) {
      if (candidate.startsLeft <= 0 || !fits(request.needs, candidate.freeCapacity) || !this.allowed(request, candidate.endpoint) || (request.exclusive && !isUnused(candidate)) || this.waitsForQuicker(request, candidate, quickestRisk)) continue
      const score = this.score(request, candidate)
      if (score < bestScore) {
        best = candidate
        bestScore = score
      }
    }
    return best
  }

  /** Records a placement. At a quarantined endpoint the task is a trial, and no second task is placed there until it has ended. */
  recordPlacement (id: EndpointId): void {
    const trust = this.db.trustOf(id)
    if (trust.quarantined) this.postponeTrial(trust)
  }

  /** Whether the endpoint has lost its trust and gets only trial tasks. */
  isQuarantined (id: EndpointId): boolean {
    return this.db.trustOf(id).quarantined
  }

  /** Whether a quarantined endpoint may get a trial task now. */
  mayTry (endpoint: LedgerEndpoint): boolean {
    return this.db.trustOf(endpoint.id).trialAt <= this.ctx.now && endpoint.runs.size === 0
  }

  /**
   * Records a successful run. Its slowness decides whether the endpoint keeps, loses or regains its trust.
   * @param id - the endpoint
   * @param slowness - run time divided by the one expected at an endpoint of this speed
   */
  recordCompletion (id: EndpointId, slowness: number): void {
    const trust = this.db.trustOf(id)
    trust.failures = 0
    if (slowness <= SOUND_SLOWNESS) trust.soundAt = this.ctx.now
    trust.slowness = trust.quarantined ? slowness : trust.slowness * (1 - SLOWNESS_WEIGHT) + slowness * SLOWNESS_WEIGHT
    if (trust.quarantined && slowness < SLOWNESS_LIMIT) this.restore(id, trust)
    else if (!trust.quarantined && trust.slowness >= SLOWNESS_LIMIT) this.quarantine(id, trust, 'slow')
  }

  /** Records a failed run or a start that the endpoint rejected as unhealthy or invalid. */
  recordFailure (id: EndpointId): void {
    const trust = this.db.trustOf(id)
    trust.failures++
    if (trust.failures >= FAILURES_LIMIT || trust.quarantined) this.quarantine(id, trust, 'failures')
  }

  /** Retracts one failure, because the task failed on another endpoint too and is itself the cause. */
  retractFailure (id: EndpointId): void {
    const trust = this.db.trustOf(id)
    trust.failures = Math.max(0, trust.failures - 1)
    if (trust.quarantined && trust.failures < FAILURES_LIMIT && trust.slowness < SLOWNESS_LIMIT) this.restore(id, trust)
  }

  /**
   * Records a running task that makes too little progress. A moderately slow one may just have more work than others, so it
   * counts only in part.
   */
  recordSlowRun (id: EndpointId, slowness: number): void {
    const trust = this.db.trustOf(id)
    trust.slowness = slowness >= SINGLE_RUN_SLOWNESS_LIMIT ? slowness : trust.slowness * (1 - SLOW_RUN_WEIGHT) + slowness * SLOW_RUN_WEIGHT
    if (trust.slowness >= SLOWNESS_LIMIT) this.quarantine(id, trust, 'stalled')
  }

  private allowed (request: PlacementRequest, endpoint: LedgerEndpoint): boolean {
    const { report } = endpoint
    if (report.service !== request.service || request.avoid.has(endpoint.id)) return false
    if (request.requiredLabel !== '' && !report.labels.includes(request.requiredLabel)) return false
    if (request.tasksAt !== undefined && request.tasksAt(endpoint.id) >= request.maxPerEndpoint) return false
    return !this.isQuarantined(endpoint.id) || this.mayTry(endpoint)
  }

  /** Returns whether the task would most likely miss its objective at the endpoint and could still meet it at the quickest ones. */
  private waitsForQuicker ({ timing }: PlacementRequest, { endpoint }: Candidate, quickestRisk: number): boolean {
    if (timing === undefined || quickestRisk > IN_TIME_RISK_MAX) return false
    return this.speeds.lateRisk(timing, this.speeds.speedOf(endpoint.report)) >= LATE_RISK_MIN
  }

  /** @returns score for the risk of missing the objective at the endpoint, and for using up a quick endpoint; 0 at a speed of 1 */
  private speedScore ({ timing }: PlacementRequest, { report }: LedgerEndpoint): number {
    if (timing === undefined || this.speeds.areEven()) return 0
    const speed = this.speeds.speedOf(report)
    return this.speeds.lateRisk(timing, speed) * LATE_PENALTY + Math.max(0, speed - 1) * QUICK_PENALTY
  }

  private score (request: PlacementRequest, { endpoint, freeCapacity }: Candidate): number {
    const trust = this.db.trustOf(endpoint.id)
    const unused = (freeCapacity.cpuMilli - request.needs.cpuMilli) / Math.max(1, endpoint.report.capacity.cpuMilli)
    const slow = Math.max(0, trust.slowness - SPEED_TOLERANCE) * SLOWNESS_PENALTY
    const far = request.preferredRack !== '' && !endpoint.report.labels.includes(request.preferredRack) ? FAR_RACK_PENALTY : 0
    const cold = isCold(endpoint, this.ctx.now) ? COLD_PENALTY : 0
    return unused + slow + far + cold + this.speedScore(request, endpoint) + this.packing.slotsTaken(request.service, freeCapacity.cpuMilli, request.needs.cpuMilli) * SLOT_PENALTY
  }

  private quarantine (id: EndpointId, trust: EndpointTrust, why: string): void {
    if (!trust.quarantined) {
      this.ctx.out.count('shard.endpoints.setAside')
      this.ctx.out.log('endpoint.setAside', { endpoint: id, why, slowness: Number(trust.slowness.toFixed(2)), failures: trust.failures })
      trust.trialPauseMs = FIRST_TRIAL_PAUSE_MS
    }
    trust.quarantined = true
    this.postponeTrial(trust)
  }

  private postponeTrial (trust: EndpointTrust): void {
    trust.trialAt = ms(this.ctx.now + trust.trialPauseMs)
    trust.trialPauseMs = ms(Math.min(TRIAL_PAUSE_MAX_MS, trust.trialPauseMs * 2))
  }

  private restore (id: EndpointId, trust: EndpointTrust): void {
    trust.quarantined = false
    this.ctx.out.log('endpoint.trusted', { endpoint: id, slowness: Number(trust.slowness.toFixed(2)) })
  }
}

/** @returns whether nothing runs at the endpoint and nothing was placed there in this round */
function isUnused ({ endpoint, freeCapacity }: Candidate): boolean {
  return endpoint.runs.size === 0 && freeCapacity.cpuMilli === endpoint.report.capacity.cpuMilli
}
