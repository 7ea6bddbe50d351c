/**
 * Starts the waiting tasks of an owner's jobs, in admission order, as far as its endpoints have capacity. It runs once for
 * each input that changes jobs or capacity.
 */
import type { ServiceName, TaskName } from '@cranberryyard/protocol'
import type { AdmissionDecider } from '../admission/admissionDecider.js'
import type { AttemptsDecider } from '../attempts/attemptsDecider.js'
import { fits, freeCapacityOf, isCold } from '../endpoints/endpointsDb.js'
import type { EndpointsDecider } from '../endpoints/endpointsDecider.js'
import type { LedgerEndpoint } from '../endpoints/types.js'
import type { Candidate, PlacementDecider } from '../placement/placementDecider.js'
import { IdleRoomMeter, strandedCpu } from '../packing/idleRoom.js'
import type { TaskTiming } from '../speeds/types.js'
import type { ShardContext } from '../shard/types.js'
import { anyFits, largestFreeCpu, smallestCpuNeed } from './capacityPrecheck.js'
import { outlookOf } from './endpointOutlook.js'
import type { JobEstimates } from './jobEstimates.js'
import { planStarts } from './startPlan.js'
import type { PlannedStart, PlannedTask } from './startPlan.js'
import type { OwnedJob, OwnedStep } from './types.js'

/** Starts that an endpoint may have unanswered. More would wait for a connection to it until they time out, and its holds behind them. */
const UNANSWERED_STARTS_MAX = 16

/** What a round of starts depends on. */
export interface StartRoundParts {
  readonly placement: PlacementDecider
  readonly attempts: AttemptsDecider
  readonly admission: AdmissionDecider<OwnedJob>
  readonly estimates: JobEstimates
  readonly endpoints: () => EndpointsDecider
  /** Returns whether tasks of the job may start for now. */
  readonly mayStart: (job: OwnedJob) => boolean
}

/** Decides which waiting tasks start now, and sends their orders. */
export class StartRound {
  private isNeeded = false

  private readonly idleRoom: IdleRoomMeter

  constructor (private readonly ctx: ShardContext, private readonly parts: StartRoundParts) {
    this.idleRoom = new IdleRoomMeter(ctx)
  }

  /** Jobs or capacity have changed since the last round. */
  request (): void {
    this.isNeeded = true
  }

  /** Starts waiting tasks if jobs or capacity have changed since the last call. */
  run (): void {
    const { admission, mayStart } = this.parts
    if (!this.isNeeded) return
    this.isNeeded = false
    if (admission.db.waiting.size === 0) {
      this.idleRoom.observe(undefined)
      return
    }
    const candidates = this.candidates()
    let largest = largestFreeCpu(candidates)
    // While the shard is full, most calls return here after one check per waiting job.
    if (!anyFits(admission.db.waiting, largest)) {
      this.observeIdleRoom(candidates)
      return
    }
    let mayStartPartially = true
    for (const job of admission.inStartOrder(this.ctx.now)) {
      if (!mayStart(job)) continue
      const complete = smallestCpuNeed(job) <= largest && this.startTasks(job, candidates, mayStartPartially || job.firstStartAt !== undefined)
      if (!complete && job.firstStartAt === undefined) mayStartPartially = false
      if (complete || job.firstStartAt !== undefined) largest = largestFreeCpu(candidates)
    }
    this.observeIdleRoom(candidates)
  }

  /** @returns the usable endpoints that have some free capacity */
  candidates (): Candidate[] {
    const endpoints = this.parts.endpoints()
    const candidates: Candidate[] = []
    for (const endpoint of endpoints.db.all()) {
      if (!endpoints.usable(endpoint)) continue
      const freeCapacity = freeCapacityOf(endpoint)
      const startsLeft = this.startsLeftAt(endpoint)
      if (freeCapacity.cpuMilli > 0 && startsLeft > 0) candidates.push({ endpoint, freeCapacity, startsLeft })
    }
    return candidates
  }

  /** A cold endpoint gets one task at a time: each would slow down the others, and it must not be met by all that waits. */
  private startsLeftAt (endpoint: LedgerEndpoint): number {
    if (isCold(endpoint, this.ctx.now)) return endpoint.runs.size === 0 ? 1 : 0
    return UNANSWERED_STARTS_MAX - unansweredStarts(endpoint)
  }

  /** Measures the room that is left beside the tasks that still wait. */
  private observeIdleRoom (candidates: readonly Candidate[]): void {
    const { admission, mayStart, placement } = this.parts
    if (!this.idleRoom.isDue()) return
    const waiting = [...admission.db.waiting].filter(mayStart).flatMap(job => job.steps.map(({ spec, unfinishedTasks }) => ({ needs: spec.needs, tasks: unfinishedTasks })))
    let totalCpuMilli = 0
    for (const endpoint of this.parts.endpoints().db.all()) {
      if (this.parts.endpoints().usable(endpoint) && !placement.isQuarantined(endpoint.id)) totalCpuMilli += endpoint.report.capacity.cpuMilli
    }
    const rooms = candidates.filter(({ endpoint }) => !placement.isQuarantined(endpoint.id)).map(({ freeCapacity }) => freeCapacity)
    this.idleRoom.observe(waiting.length === 0 ? undefined : { totalCpuMilli, strandedCpuMilli: strandedCpu(rooms, waiting) })
  }

  /**
   * Starts a job's waiting tasks.
   * @param allowPartial - whether some tasks may start while others still wait; of the jobs that have not started, only one at
   * a time may do so
   * @returns true when every task of the ready steps has started
   */
  private startTasks (job: OwnedJob, candidates: Candidate[], allowPartial: boolean): boolean {
    const { placement, attempts, admission } = this.parts
    const endpoints = this.parts.endpoints()
    const plan = planStarts(job, {
      placement,
      candidates: candidates.filter(({ endpoint }) => endpoints.endsWithLease(endpoint, job.runLease)),
      mayRun: (task: TaskName) => endpoints.db.runOf(task) !== undefined,
      standingOf: attempts.db.has(job.id) ? task => attempts.standingOf(task) : () => 'sound',
      timingOf: step => this.timingOf(job, step),
      allowPartial
    })
    for (const start of plan.starts) this.startTask(job, start)
    if (plan.suspectWithoutEndpoint !== undefined && this.ctx.now <= job.usefulUntil) this.keepEndpointFree(job.order.queue.service, plan.suspectWithoutEndpoint, candidates)
    if (plan.isComplete && !plan.hasBlockedSteps) admission.db.waiting.delete(job)
    return plan.isComplete
  }

  /** @returns when the tasks of a step are due; for a job of several steps, as long as it may still wait to start */
  private timingOf (job: OwnedJob, step: OwnedStep): TaskTiming {
    const { now } = this.ctx
    const runMs = this.parts.estimates.expectedMs(job, step)
    return { runMs, budgetMs: job.steps.length === 1 ? job.latestStart + job.criticalPathMs - now : runMs + Math.max(0, job.latestStart - now) }
  }

  /** Lets nothing else start in this round at the endpoint that will be unused first, so that the suspect task gets one. */
  private keepEndpointFree (service: ServiceName, { step, task }: PlannedTask, candidates: Candidate[]): void {
    let best: { readonly index: number, readonly freeAt: number } | undefined
    for (const [index, { endpoint }] of candidates.entries()) {
      if (endpoint.report.service !== service || task.avoid.has(endpoint.id) || this.parts.placement.isQuarantined(endpoint.id) || !fits(step.spec.needs, endpoint.report.capacity)) continue
      const freeAt = Math.max(0, ...outlookOf(endpoint, this.ctx.now, this.ctx.cfg.claimGraceMs, this.parts.placement.speeds).ends.map(end => end.at))
      if (best === undefined || freeAt < best.freeAt) best = { index, freeAt }
    }
    if (best !== undefined) candidates.splice(best.index, 1)
  }

  private startTask (job: OwnedJob, { step, task, candidate, exclusive }: PlannedStart): void {
    task.lastRun++
    task.run = this.parts.endpoints().start(candidate.endpoint, task.name, task.lastRun, { spec: job.order.job.spec, needs: step.spec.needs, expectedMs: this.parts.estimates.expectedMs(job, step) / this.parts.placement.speeds.speedOf(candidate.endpoint.report), exclusive, lease: job.runLease })
    this.recordFirstStart(job)
  }

  private recordFirstStart (job: OwnedJob): void {
    if (job.firstStartAt !== undefined) return
    const { now, out } = this.ctx
    job.firstStartAt = now
    job.mayHaveRun = true
    out.push({ type: 'observe', histogram: 'queueWaitMs', label: job.order.queue.name, valueMs: now - job.receivedAt })
  }
}

function unansweredStarts ({ runs }: LedgerEndpoint): number {
  let count = 0
  for (const { state } of runs.values()) if (state === 'ordered') count++
  return count
}
