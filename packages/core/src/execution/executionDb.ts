/**
 * State of the execution decision: the jobs of owned shards, and the outcomes of ended jobs. Outcomes are kept for a while
 * because a front or a resending caller may ask again for a job that has already ended. The functions below derive a job's
 * steps and objective from its order.
 */
import type { DispatchOrder, JobId, JobOutcome, Ms, QueueTerms, StepSpec, TaskName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { ShardSettings } from '../shard/settings.js'
import type { DroppedCopies, EndedJob, OwnedJob, OwnedStep, OwnedTask } from './types.js'

/** How long outcomes and the numbers of dropped copies are kept; callers resend a job, and old copies arrive, within a few seconds. */
const OUTCOME_RETENTION_MS = 10_000
/** Runs have ended this long before their job may start elsewhere; covers the time that an endpoint takes to end them. */
const RESEND_MARGIN_MS = 50

/** Jobs held by this owner. */
export class ExecutionDb {
  readonly jobs = new Map<JobId, OwnedJob>()
  private readonly ended = new Map<JobId, EndedJob>()
  private readonly dropped = new Map<JobId, DroppedCopies>()

  /** Keeps the outcome of an ended job for `OUTCOME_RETENTION_MS`. */
  keepOutcome (id: JobId, outcome: JobOutcome, now: Ms): void {
    this.ended.set(id, { outcome, until: ms(now + OUTCOME_RETENTION_MS) })
  }

  /** @returns the outcome of an ended job, while it is kept */
  outcomeOf (id: JobId): JobOutcome | undefined {
    return this.ended.get(id)?.outcome
  }

  /**
   * Remembers for a while that copies of a job up to a number are not to be taken any more.
   * @param neverTaken - whether this owner has taken none of them
   */
  keepDropped (id: JobId, front: DroppedCopies['front'], attempt: number, neverTaken: boolean, now: Ms): void {
    const known = this.droppedOf(id, front)
    this.dropped.delete(id)
    this.dropped.set(id, { front, attempt: Math.max(known?.attempt ?? 0, attempt), neverTaken: neverTaken && known?.neverTaken !== false, until: ms(now + OUTCOME_RETENTION_MS) })
  }

  /** @returns whether the front sent this copy before or as the last one that this owner has dropped */
  isDropped (id: JobId, front: DroppedCopies['front'], attempt: number): boolean {
    return attempt <= (this.droppedOf(id, front)?.attempt ?? 0)
  }

  /** @returns the number of the latest copy of the front's that was refused, while that is kept; undefined if one was taken */
  refusedAttempt (id: JobId, front: DroppedCopies['front']): number | undefined {
    const dropped = this.droppedOf(id, front)
    return dropped?.neverTaken === true ? dropped.attempt : undefined
  }

  private droppedOf (id: JobId, front: DroppedCopies['front']): DroppedCopies | undefined {
    const dropped = this.dropped.get(id)
    return dropped?.front.instance === front.instance && dropped.front.incarnation === front.incarnation ? dropped : undefined
  }

  /** Drops what is kept for a while only. The maps are in order of insertion, so the oldest come first. */
  expire (now: Ms): void {
    for (const [id, { until }] of this.dropped) {
      if (until > now) break
      this.dropped.delete(id)
    }

    for (const [id, ended] of this.ended) {
      if (ended.until > now) return
      this.ended.delete(id)
    }
  }

  /** @returns the job and the task that a task name refers to, or undefined when the job is not held here */
  find (name: TaskName): { readonly job: OwnedJob, readonly task: OwnedTask } | undefined {
    const [id, , step, index] = name.split('.')
    const job = this.jobs.get(id as JobId)
    const task = job?.steps[Number(step)]?.tasks[Number(index)]
    return job === undefined || task === undefined ? undefined : { job, task }
  }
}

/**
 * Builds the name under which a task is known to endpoints. The name is the same at every owner, so a new owner finds
 * the runs of the previous one.
 * @param id - the job
 * @param step - index of the step
 * @param index - index of the task in its step
 */
export const taskName = (id: JobId, step: number, index: number): TaskName => `${id}.0.${step}.${index}` as TaskName

/** @returns the steps of an order; tasks that an earlier owner reported as done are marked as done */
export function makeSteps (order: DispatchOrder): OwnedStep[] {
  const done = new Set(order.done)
  return order.job.steps.map((spec, step) => {
    const tasks = Array.from({ length: spec.count }, (_, index) => makeTask(order.job.id, step, index, done.has(`${step}.${index}`)))
    return { spec, tasks, unfinishedTasks: tasks.filter(task => !task.done).length, finishedRunMs: [] }
  })
}

function makeTask (id: JobId, step: number, index: number, done: boolean): OwnedTask {
  return { name: taskName(id, step, index), step, index, done, run: undefined, lastRun: 0, lostRuns: 0, failedEndpoints: new Set(), slowAt: new Set(), avoid: new Set() }
}

/**
 * Returns by when the runs of a job must have ended if its front is lost right after a confirmation: before the caller sends the job again, which may
 * then run in another failure domain.
 * @param confirmedAt - when the front sent the confirmation, at the earliest
 */
export function runsEndBy (confirmedAt: Ms, { resendMs, clockDrift }: Pick<ShardSettings, 'resendMs' | 'clockDrift'>): Ms {
  return ms(confirmedAt + (resendMs - RESEND_MARGIN_MS) / (1 + clockDrift))
}

/** @returns true when all steps that this one depends on are done */
export function isReady (job: OwnedJob, step: OwnedStep): boolean {
  return step.spec.after.every(number => job.steps[number]?.unfinishedTasks === 0)
}

/** @returns the time from receipt of a job within which its answer counts as on time */
export function objectiveOf (queue: QueueTerms, pathMs: Ms): Ms {
  return ms(queue.stretch * pathMs + queue.latencyObjectiveMs)
}

/**
 * Computes the length of the critical path through a job's steps.
 * @param steps - the job's steps; each depends only on earlier ones
 * @param runMs - run time of the step's tasks, derived from their estimate
 */
export function criticalPathOf (steps: readonly StepSpec[], runMs: (estimateMs: Ms, step: number) => number): Ms {
  const ends: number[] = []
  for (const [index, step] of steps.entries()) {
    const before = Math.max(0, ...step.after.map(number => ends[number] ?? 0))
    ends.push(before + runMs(step.estimateMs, index))
  }
  return ms(Math.max(0, ...ends))
}
