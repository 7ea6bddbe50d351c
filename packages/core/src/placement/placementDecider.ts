/**
 * Chooses the endpoint for a task: the fullest one that still fits, among those that recent runs show to be sound.
 * Load it answers: most endpoints hold two or three tasks, so one task in the wrong place blocks a whole slot; some
 * endpoints are slow, hang or fail everything, and each task given to them is late.
 */
import type { EndpointId, Resources } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { fits } from '../endpoints/endpointsDb.js'
import type { LedgerEndpoint } from '../endpoints/types.js'
import type { ShardContext } from '../shard/types.js'
import { FIRST_TRIAL_PAUSE_MS, PlacementDb } from './placementDb.js'
import type { EndpointTrust, PlacementRequest } from './types.js'

/** Slowness from which an endpoint is set aside; the objective leaves less than this over the plain run time. */
const SLOWNESS_LIMIT = 2
/** Failures in a row from which an endpoint is set aside. */
const FAILURES_LIMIT = 2
/** Weight of the latest run in the smoothed slowness. */
const SLOWNESS_WEIGHT = 0.3
/** Slowness from which one run is proof enough. */
const SINGLE_RUN_SLOWNESS_LIMIT = 6
/** Weight of a run that was too slow, but not that slow. */
const SLOW_RUN_WEIGHT = 0.4
/** Longest pause between trials. */
const TRIAL_PAUSE_MAX_MS = ms(2400)
/** Slowness below which endpoints count as equally fast; endpoints of one kind differ by about this much. */
const SPEED_TOLERANCE = 1.1
/** What slowness costs against unused room, both as shares. */
const SLOWNESS_PENALTY = 0.5
/** What a rack far from the data costs. */
const FAR_RACK_PENALTY = 2

/** An endpoint with the room it has left in this round of placing. */
export interface Candidate {
  readonly endpoint: LedgerEndpoint
  room: Resources
}

/** The placement decision. */
export class PlacementDecider {
  readonly db = new PlacementDb()

  constructor (private readonly ctx: ShardContext) {}

  /**
   * Chooses an endpoint.
   * @param request - what the task asks
   * @param candidates - usable endpoints with their room
   * @returns the chosen candidate, or undefined when none fits now
   */
  choose (request: PlacementRequest, candidates: readonly Candidate[]): Candidate | undefined {
    let best: Candidate | undefined
    let bestScore = Infinity
    for (const candidate of candidates) {
      if (!fits(request.needs, candidate.room) || !this.allowed(request, candidate.endpoint)) continue
      const score = this.score(request, candidate)
      if (score < bestScore) {
        best = candidate
        bestScore = score
      }
    }
    return best
  }

  /** Notes that a task was placed; a set-aside endpoint gets no second one until the trial has ended. */
  recordPlacement (id: EndpointId): void {
    const trust = this.db.trustOf(id)
    if (trust.setAside) this.postponeTrial(trust)
  }

  /** @returns true when the endpoint is set aside */
  isSetAside (id: EndpointId): boolean {
    return this.db.trustOf(id).setAside
  }

  /**
   * Learns from a run that ended done.
   * @param id - the endpoint
   * @param slowness - its time over the expected time
   */
  recordCompletion (id: EndpointId, slowness: number): void {
    const trust = this.db.trustOf(id)
    trust.failures = 0
    trust.slowness = trust.setAside ? slowness : trust.slowness * (1 - SLOWNESS_WEIGHT) + slowness * SLOWNESS_WEIGHT
    if (trust.setAside && slowness < SLOWNESS_LIMIT) this.restore(id, trust)
    else if (!trust.setAside && trust.slowness >= SLOWNESS_LIMIT) this.setAside(id, trust, 'slow')
  }

  /** Learns from a run that failed or a start that the endpoint turned away. */
  recordFailure (id: EndpointId): void {
    const trust = this.db.trustOf(id)
    trust.failures++
    if (trust.failures >= FAILURES_LIMIT || trust.setAside) this.setAside(id, trust, 'failures')
  }

  /** Takes failures back: the task failed elsewhere too, so it is the task that fails. */
  retractFailure (id: EndpointId): void {
    const trust = this.db.trustOf(id)
    trust.failures = Math.max(0, trust.failures - 1)
    if (trust.setAside && trust.failures < FAILURES_LIMIT && trust.slowness < SLOWNESS_LIMIT) this.restore(id, trust)
  }

  /** Learns from a run that made too little progress. One that is only somewhat slow may have more work than others. */
  recordSlowRun (id: EndpointId, slowness: number): void {
    const trust = this.db.trustOf(id)
    trust.slowness = slowness >= SINGLE_RUN_SLOWNESS_LIMIT ? slowness : trust.slowness * (1 - SLOW_RUN_WEIGHT) + slowness * SLOW_RUN_WEIGHT
    if (trust.slowness >= SLOWNESS_LIMIT) this.setAside(id, trust, 'stalled')
  }

  private allowed (request: PlacementRequest, endpoint: LedgerEndpoint): boolean {
    const { report } = endpoint
    if (report.service !== request.service || request.avoid.has(endpoint.id)) return false
    if (request.requiredLabel !== '' && !report.labels.includes(request.requiredLabel)) return false
    if (request.tasksAt !== undefined && request.tasksAt(endpoint.id) >= request.maxPerEndpoint) return false
    const trust = this.db.trustOf(endpoint.id)
    return !trust.setAside || (trust.trialAt <= this.ctx.now && endpoint.runs.size === 0)
  }

  private score (request: PlacementRequest, { endpoint, room }: Candidate): number {
    const trust = this.db.trustOf(endpoint.id)
    const unused = (room.cpuMilli - request.needs.cpuMilli) / Math.max(1, endpoint.report.capacity.cpuMilli)
    const slow = Math.max(0, trust.slowness - SPEED_TOLERANCE) * SLOWNESS_PENALTY
    const far = request.preferredRack !== '' && !endpoint.report.labels.includes(request.preferredRack) ? FAR_RACK_PENALTY : 0
    return unused + slow + far
  }

  private setAside (id: EndpointId, trust: EndpointTrust, why: string): void {
    if (!trust.setAside) {
      this.ctx.out.count('shard.endpoints.setAside')
      this.ctx.out.log('endpoint.setAside', { endpoint: id, why, slowness: Number(trust.slowness.toFixed(2)), failures: trust.failures })
      trust.trialPauseMs = FIRST_TRIAL_PAUSE_MS
    }
    trust.setAside = true
    this.postponeTrial(trust)
  }

  private postponeTrial (trust: EndpointTrust): void {
    trust.trialAt = ms(this.ctx.now + trust.trialPauseMs)
    trust.trialPauseMs = ms(Math.min(TRIAL_PAUSE_MAX_MS, trust.trialPauseMs * 2))
  }

  private restore (id: EndpointId, trust: EndpointTrust): void {
    trust.setAside = false
    this.ctx.out.log('endpoint.trusted', { endpoint: id, slowness: Number(trust.slowness.toFixed(2)) })
  }
}
