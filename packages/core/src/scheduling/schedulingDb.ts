/**
 * Jobs and running tasks of this instance's scheduler, and its memory of forwarded jobs. The memory makes a repeated
 * forward harmless and lets the instance that forwarded a job ask for an answer that was lost on the way.
 */
import type { Answer, Ms, SubmissionId, TaskId } from '@cranberryyard/protocol'
import { FairnessDecider } from '../fairness/fairnessDecider.js'
import type { JobOrder, RunningTask, ScheduledJob } from './types.js'

/**
 * For how long a repeated forward is recognised and the answer to a forwarded job is kept. A message is never in
 * transit for nearly as long.
 */
export const FORWARD_RETENTION_MS = 120_000

/** State of the scheduling decision. */
export class SchedulingDb {
  readonly queue: FairnessDecider<ScheduledJob>
  readonly jobs = new Map<SubmissionId, ScheduledJob>()
  readonly running = new Map<TaskId, RunningTask>()
  /** Sum of the expected run times of all waiting tasks. */
  queuedWorkMs = 0

  /** @param burstToleranceMs - passed to the FairnessDecider that orders the queue */
  constructor (burstToleranceMs: number) {
    this.queue = new FairnessDecider<ScheduledJob>(burstToleranceMs)
  }

  private readonly forwardedAt = new Map<SubmissionId, Ms>()
  private readonly retainedAnswers = new Map<SubmissionId, { readonly answer: Answer, readonly at: Ms }>()

  /** Keeps the answer to a forwarded job, in case the message that carries it is lost. */
  retainAnswer (answer: Answer, now: Ms): void {
    this.retainedAnswers.set(answer.submissionId, { answer, at: now })
    for (const [id, retained] of this.retainedAnswers) {
      if (now - retained.at < FORWARD_RETENTION_MS) break
      this.retainedAnswers.delete(id)
    }
  }

  /** @returns the answer to a forwarded job, while it is kept */
  retainedAnswer (submissionId: SubmissionId): Answer | undefined {
    return this.retainedAnswers.get(submissionId)?.answer
  }

  /**
   * Remembers that a forwarded job has arrived, or that it must not be accepted any more.
   * @returns false when the job was already remembered
   */
  addForwarded (submissionId: SubmissionId, now: Ms): boolean {
    if (this.forwardedAt.has(submissionId)) return false
    this.forwardedAt.set(submissionId, now)
    for (const [id, at] of this.forwardedAt) {
      if (now - at < FORWARD_RETENTION_MS) break
      this.forwardedAt.delete(id)
    }
    return true
  }

  /** @returns tasks of a job that were started and may still run */
  runningOf (job: ScheduledJob): RunningTask[] {
    return [...this.running.values()].filter(t => t.job === job)
  }
}

/**
 * Creates the scheduler's record of a job.
 * @param order - the job as handed over
 * @param meanMs - expected run time of one task
 * @returns the record of a job of which no task was started
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
    missingResults: count,
    started: 0,
    ended: false,
    waiting () {
      return this.ended ? 0 : count - this.nextIndex + this.refusedIndexes.length
    }
  }
}
