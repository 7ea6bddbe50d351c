/**
 * Jobs and running tasks of this instance's scheduler.
 */
import type { Answer, Ms, SubmissionId, TaskId } from '@cranberryyard/protocol'
import { FairnessDecider } from '../fairness/fairnessDecider.js'
import type { JobOrder, RunningTask, ScheduledJob } from './types.js'

/** A repeated forward is recognised for this span, far longer than a message can be on its way. */
export const FORWARDED_KEPT_MS = 120_000

/** State of the scheduling decision. */
export class SchedulingDb {
  readonly queue: FairnessDecider<ScheduledJob>
  readonly jobs = new Map<SubmissionId, ScheduledJob>()
  readonly running = new Map<TaskId, RunningTask>()
  /** Expected work of all tasks that wait, in slot milliseconds. */
  queuedWorkMs = 0

  /** @param burstToleranceMs - see FairnessDecider */
  constructor (burstToleranceMs: number) {
    this.queue = new FairnessDecider<ScheduledJob>(burstToleranceMs)
  }

  private readonly forwarded = new Map<SubmissionId, Ms>()
  private readonly answers = new Map<SubmissionId, { readonly answer: Answer, readonly at: Ms }>()

  /** Keeps the answer to a forwarded job, in case the message with it is lost. */
  keepAnswer (answer: Answer, now: Ms): void {
    this.answers.set(answer.submissionId, { answer, at: now })
    for (const [id, kept] of this.answers) {
      if (now - kept.at < FORWARDED_KEPT_MS) break
      this.answers.delete(id)
    }
  }

  /** @returns the kept answer to a forwarded job */
  keptAnswer (submissionId: SubmissionId): Answer | undefined {
    return this.answers.get(submissionId)?.answer
  }

  /** Remembers a forwarded job. @returns false when it has arrived before */
  addForwarded (submissionId: SubmissionId, now: Ms): boolean {
    if (this.forwarded.has(submissionId)) return false
    this.forwarded.set(submissionId, now)
    for (const [id, at] of this.forwarded) {
      if (now - at < FORWARDED_KEPT_MS) break
      this.forwarded.delete(id)
    }
    return true
  }

  /** @returns tasks of a job that may still run */
  runningOf (job: ScheduledJob): RunningTask[] {
    return [...this.running.values()].filter(t => t.job === job)
  }
}

/**
 * Makes the scheduler's record of a job.
 * @param order - the job as handed over
 * @param meanMs - expected run time of one task
 * @returns the record, nothing started
 */
export function newScheduledJob (order: JobOrder, meanMs: number): ScheduledJob {
  const count = order.job.tasks.length
  return {
    order,
    customer: order.customer,
    workMs: meanMs * count,
    weight: order.weight,
    meanMs,
    results: new Array<unknown>(count),
    nextIndex: 0,
    refusedIndexes: [],
    missing: count,
    started: 0,
    ended: false,
    waiting () {
      return this.ended ? 0 : count - this.nextIndex + this.refusedIndexes.length
    }
  }
}
