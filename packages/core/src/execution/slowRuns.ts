/**
 * Decides which runs are restarted at another endpoint because they make too little progress where they are, and reports
 * slow runs to placement, which judges endpoints by them.
 */
import type { Ms } from '@cranberryyard/protocol'
import { fits } from '../endpoints/endpointsDb.js'
import type { EndpointsDecider } from '../endpoints/endpointsDecider.js'
import type { LedgerRun } from '../endpoints/types.js'
import type { Candidate, PlacementDecider } from '../placement/placementDecider.js'
import type { ShardContext } from '../shard/types.js'
import { MoveOutcomes } from '../speeds/moveOutcomes.js'
import { slowCauseOf } from '../speeds/slowCause.js'
import type { JobEstimates } from './jobEstimates.js'
import { STALL_SLOWNESS, healthyRunMs, slownessOf } from './speed.js'
import type { SpeedAt } from './speed.js'
import type { OwnedJob, OwnedStep, OwnedTask } from './types.js'

/** Projected run time divided by the expected one, from which a task may be moved to another endpoint. */
const MOVE_SLOWNESS = 2.5
/** Time a move takes: the stop, the listing that confirms it, and the new start. */
const MOVE_COST_MS = 80

/** What the decision to move a run depends on. */
export interface SlowRunsParts {
  readonly placement: PlacementDecider
  readonly estimates: JobEstimates
  readonly endpoints: () => EndpointsDecider
  /** Returns the usable endpoints that have some free capacity. */
  readonly candidates: () => Candidate[]
  /** Returns whether a task of the job that is stopped could start again in this shard. */
  readonly mayRestart: (job: OwnedJob) => boolean
  readonly speedAt: SpeedAt
  /** Returns when a trusted endpoint has room for a task of the step. */
  readonly nextStart: (job: OwnedJob, step: OwnedStep) => Ms
}

/** Moves runs away from endpoints where they are slow. */
export class SlowRuns {
  private readonly outcomes = new MoveOutcomes()

  constructor (private readonly ctx: ShardContext, private readonly parts: SlowRunsParts) {}

  /** A task that had been restarted because it was slow has ended. */
  restartEnded (job: OwnedJob, slowness: number): void {
    this.outcomes.record(job.service, slowness < MOVE_SLOWNESS, this.ctx.now)
  }

  /** An endpoint has reported the progress of a task's current run. */
  progressed (job: OwnedJob, task: OwnedTask, run: LedgerRun): void {
    const step = job.steps[task.step]
    if (step === undefined) return
    const slowness = slownessOf(step, run, this.parts.estimates.expectedMs(job, step), run.listedAt, this.parts.speedAt)
    // A run that is as quick as its slow endpoint lets it be may still end sooner elsewhere.
    if (slowness / Math.min(1, this.parts.speedAt(run.endpoint)) >= MOVE_SLOWNESS) this.moveIfFaster(job, step, task, run, slowness)
  }

  /**
   * Returns whether the task itself is long: other runs at its endpoint go on as usual, or nothing tells and it has been slow at another endpoint already, or
   * most tasks were that have been restarted of late.
   */
  private isLongTask (job: OwnedJob, task: OwnedTask, run: LedgerRun): boolean {
    const { placement, endpoints } = this.parts
    const endpoint = endpoints().db.get(run.endpoint)
    const cause = endpoint === undefined ? 'unknown' : slowCauseOf(run, endpoint, placement.db.trustOf(run.endpoint).soundAt, this.ctx.now)
    return cause === 'task' || (cause === 'unknown' && (task.slowAt.size > 0 || !this.outcomes.isWorthTrying(job.service, this.ctx.now)))
  }

  /**
   * Stops a run that would finish sooner if it were restarted on another endpoint. A stalled run is stopped even when no
   * other endpoint has capacity: it makes no progress where it is, and it is restarted on the next endpoint that has free capacity.
   */
  private moveIfFaster (job: OwnedJob, step: OwnedStep, task: OwnedTask, run: LedgerRun, slowness: number): void {
    const { placement, estimates, endpoints, speedAt, mayRestart } = this.parts
    const isSlowThere = slowness >= MOVE_SLOWNESS
    if (run.state !== 'running' || (isSlowThere && slowness < STALL_SLOWNESS && this.isLongTask(job, task, run))) return
    const expected = healthyRunMs(step, run, estimates.expectedMs(job, step), speedAt)
    const remaining = expected / speedAt(run.endpoint) * slowness * (100 - run.percent) / 100
    if (remaining <= expected / placement.speeds.quickest(job.service, step.spec.requiredLabel) + MOVE_COST_MS) return
    if (isSlowThere) placement.recordSlowRun(run.endpoint, slowness)
    const worthStopping = slowness >= STALL_SLOWNESS || (mayRestart(job) && (this.endsSoonerNow(step, run, expected, remaining) || this.endsSoonerLater(job, step, run, expected, remaining)))
    if (!worthStopping) return
    task.avoid.add(run.endpoint)
    task.slowAt.add(run.endpoint)
    this.ctx.out.count('shard.tasks.moved')
    this.ctx.out.log('task.moved', { job: job.id, task: task.name, run: run.run, endpoint: run.endpoint, percent: run.percent, ranMs: Math.round(this.ctx.now - run.startedAt), expectedMs: Math.round(expected) })
    endpoints().stop(run)
  }

  /** Returns whether another endpoint has room now, at which the task would end sooner. */
  private endsSoonerNow (step: OwnedStep, run: LedgerRun, expected: number, remaining: number): boolean {
    const { placement, candidates, speedAt } = this.parts
    return candidates().some(({ endpoint, freeCapacity }) => endpoint.id !== run.endpoint && fits(step.spec.needs, freeCapacity) && !placement.isQuarantined(endpoint.id) && remaining > expected / speedAt(endpoint.id) + MOVE_COST_MS)
  }

  /** Returns whether a task at an endpoint that has lost its trust would end sooner if it waited for room elsewhere, which it gets before jobs that have not started. */
  private endsSoonerLater (job: OwnedJob, step: OwnedStep, run: LedgerRun, expected: number, remaining: number): boolean {
    const { placement, nextStart } = this.parts
    if (!placement.isQuarantined(run.endpoint)) return false
    return remaining > nextStart(job, step) - this.ctx.now + expected + MOVE_COST_MS
  }
}
