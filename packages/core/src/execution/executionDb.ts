/**
 * State of the execution decision: jobs of owned shards, and outcomes that may be asked for again.
 */
import type { DispatchOrder, JobId, JobOutcome, Ms, QueueTerms, StepSpec, TaskName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { EndedJob, OwnedJob, OwnedStep, OwnedTask } from './types.js'

/** How long outcomes are kept; callers send a job again within a few seconds. */
const ENDED_KEPT_MS = 10_000

/** Jobs at this owner. */
export class ExecutionDb {
  readonly jobs = new Map<JobId, OwnedJob>()
  private readonly ended = new Map<JobId, EndedJob>()

  /** Keeps an outcome. */
  keepOutcome (id: JobId, outcome: JobOutcome, now: Ms): void {
    this.ended.set(id, { outcome, until: ms(now + ENDED_KEPT_MS) })
  }

  /** @returns the kept outcome of a job */
  outcomeOf (id: JobId): JobOutcome | undefined {
    return this.ended.get(id)?.outcome
  }

  /** Drops outcomes whose time has passed; the oldest come first. */
  expire (now: Ms): void {
    for (const [id, ended] of this.ended) {
      if (ended.until > now) return
      this.ended.delete(id)
    }
  }

  /** @returns the job and task of a task's name, while the job is known */
  find (name: TaskName): { readonly job: OwnedJob, readonly task: OwnedTask } | undefined {
    const [id, , step, index] = name.split('.')
    const job = this.jobs.get(id as JobId)
    const task = job?.steps[Number(step)]?.tasks[Number(index)]
    return job === undefined || task === undefined ? undefined : { job, task }
  }
}

/**
 * Names a task of a job.
 * @param id - the job
 * @param step - number of the step
 * @param index - number of the task in its step
 */
export const taskName = (id: JobId, step: number, index: number): TaskName => `${id}.0.${step}.${index}` as TaskName

/** @returns the steps of an order, with what is already done marked */
export function makeSteps (order: DispatchOrder): OwnedStep[] {
  const done = new Set(order.done)
  return order.job.steps.map((spec, step) => {
    const tasks = Array.from({ length: spec.count }, (_, index) => makeTask(order.job.id, step, index, done.has(`${step}.${index}`)))
    return { spec, tasks, missing: tasks.filter(task => !task.done).length, ranMs: [] }
  })
}

function makeTask (id: JobId, step: number, index: number, done: boolean): OwnedTask {
  return { name: taskName(id, step, index), step, index, done, run: undefined, lastRun: 0, failedAttempts: 0, failedAt: new Set(), avoid: new Set() }
}

/** @returns true when all steps before this one are done */
export function isOpen (job: OwnedJob, step: OwnedStep): boolean {
  return step.spec.after.every(number => job.steps[number]?.missing === 0)
}

/** @returns time from the receipt of a job within which its answer is on time */
export function objectiveOf (queue: QueueTerms, chainMs: Ms): Ms {
  return ms(queue.stretch * chainMs + queue.latencyObjectiveMs)
}

/**
 * Adds up the longest chain of steps.
 * @param steps - the job's steps; each names only earlier ones
 * @param ratio - run time over estimate
 */
export function chainOf (steps: readonly StepSpec[], ratio: number): Ms {
  const ends: number[] = []
  for (const step of steps) {
    const before = Math.max(0, ...step.after.map(number => ends[number] ?? 0))
    ends.push(before + step.estimateMs * ratio)
  }
  return ms(Math.max(0, ...ends))
}
