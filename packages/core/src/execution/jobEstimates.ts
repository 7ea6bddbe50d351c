/**
 * Derives from the learned run times what admission needs to know about a job: its deadlines, the tasks that wait, and whether its
 * answer was on time. Also makes the owner's record of a job from its order.
 */
import type { DispatchOrder, FailureDomain, Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { Demand } from '../admission/slotForecast.js'
import type { ShardContext } from '../shard/types.js'
import { criticalPathOf, isReady, makeSteps, objectiveOf, runsEndBy } from './executionDb.js'
import { RunTimes } from './runTimes.js'
import type { FrontSession, OwnedJob, OwnedStep } from './types.js'

/** Standard deviations below the expected run time that a job's latest start allows for. */
const LOW_RUN_TIME_DEVIATIONS = 0.5
/** Bounds of the estimates that are taken as stated. */
const ESTIMATE_MIN_MS = 1
const ESTIMATE_MAX_MS = 3_600_000

/** Estimates for the jobs of an owner. */
export class JobEstimates {
  private readonly runTimes = new RunTimes()

  constructor (private readonly ctx: ShardContext) {}

  /**
   * Makes the owner's record of a job that a front has sent.
   * @param sentAt - when the front sent this copy, at the earliest
   */
  makeJob (front: FrontSession, failureDomain: FailureDomain, order: DispatchOrder, sentAt: Ms): OwnedJob {
    const { now, cfg } = this.ctx
    const { queue, job } = order
    const runTimes = this.runTimes.of(queue.name)
    const criticalPathMs = criticalPathOf(job.steps, estimateMs => runTimes.expectedMs(bounded(estimateMs)))
    const shortestPathMs = criticalPathOf(job.steps, estimateMs => runTimes.lowMs(bounded(estimateMs), LOW_RUN_TIME_DEVIATIONS))
    const calledAt = now - order.ageMs
    const callerDeadline = ms(sentAt + order.remainingMs)
    const owned: OwnedJob = {
      id: job.id,
      failureDomain,
      order,
      steps: makeSteps(order),
      receivedAt: now,
      callerDeadline,
      front,
      heardAt: now,
      confirmedAt: sentAt,
      runLease: { endsBy: runsEndBy(sentAt, cfg) },
      firstStartAt: undefined,
      mayHaveRun: order.resumed,
      admittedLate: false,
      trialsPassed: 0,
      attempt: order.attempt,
      service: queue.service,
      queue: queue.name,
      calledAt: ms(calledAt),
      lastChance: order.lastChance === true,
      width: job.steps.reduce((sum, step) => sum + step.count, 0),
      workAsked: job.steps.reduce((sum, { count, needs, estimateMs }) => sum + count * needs.cpuMilli * runTimes.expectedMs(bounded(estimateMs)), 0),
      priority: queue.priority,
      criticalPathMs,
      latestStart: ms(calledAt + objectiveOf(queue, shortestPathMs) - shortestPathMs),
      usefulUntil: ms(Math.min(callerDeadline, calledAt + objectiveOf(queue, criticalPathMs) * cfg.usefulFactor)),
      hasStarted: () => owned.firstStartAt !== undefined,
      waitingWork: () => this.waitingWorkOf(owned),
      demand: () => this.demandOf(owned)
    }
    return owned
  }

  /** @returns expected run time of a task of the step, in milliseconds */
  expectedMs ({ order }: OwnedJob, { spec }: OwnedStep): number {
    return this.runTimes.of(order.queue.name).expectedMs(bounded(spec.estimateMs))
  }

  /** Learns from a task that ended with success at a healthy endpoint. */
  record ({ order }: OwnedJob, { spec }: OwnedStep, ranMs: number): void {
    this.runTimes.of(order.queue.name).record(bounded(spec.estimateMs), ranMs)
  }

  /** @returns the latency objective that follows from the run times of the job's tasks, as far as they are known */
  actualObjective ({ order, steps }: OwnedJob): Ms {
    const ranMs = steps.map(({ finishedRunMs, spec }) => finishedRunMs.length > 0 ? Math.max(...finishedRunMs) : spec.estimateMs)
    return objectiveOf(order.queue, criticalPathOf(order.job.steps, (_, index) => ranMs[index] ?? 0))
  }

  /** @returns work of the tasks that have not started, in thousandths of a core times milliseconds */
  private waitingWorkOf (job: OwnedJob): number {
    let sum = 0
    for (const step of job.steps) sum += countWaiting(step) * step.spec.needs.cpuMilli * this.expectedMs(job, step)
    return sum
  }

  /** @returns the tasks of ready steps that have not started */
  private demandOf (job: OwnedJob): Demand {
    let tasks = 0
    let cpuMilli = 0
    let runMs = 0
    for (const step of job.steps) {
      const waiting = isReady(job, step) ? countWaiting(step) : 0
      if (waiting === 0) continue
      tasks += waiting
      cpuMilli = Math.max(cpuMilli, step.spec.needs.cpuMilli)
      runMs = Math.max(runMs, this.expectedMs(job, step))
    }
    return { tasks, cpuMilli, runMs }
  }
}

function countWaiting ({ unfinishedTasks, tasks }: OwnedStep): number {
  if (unfinishedTasks === 0) return 0
  return tasks.reduce((n, task) => n + (task.done || task.run !== undefined ? 0 : 1), 0)
}

/** @returns the estimate within bounds; without a usable one, the run time that is learned counts from the shortest */
function bounded (estimateMs: number): number {
  return Number.isNaN(estimateMs) ? ESTIMATE_MIN_MS : Math.min(ESTIMATE_MAX_MS, Math.max(ESTIMATE_MIN_MS, estimateMs))
}
