/**
 * The cost model of shedding: what the delay or refusal of a job costs its caller, in core-seconds of answers on time. It
 * assumes no more than what a contract and a job state:
 *
 * - A caller asks for an amount of work because the answer is worth at least that much to it, and loses something however
 *   little it has asked for.
 * - Level 0 comes first and may preempt others, so the same loss counts much more there; among the other levels it counts a little less at each.
 * - A late answer is worth so much less that it takes only room for which nothing on time waits, and nothing after the time from which it is of no use.
 * - A caller that has waited and is then refused has lost the time as well.
 *
 * The price of a job is its loss per core-second of the room that its refusal frees.
 */
import type { Ms } from '@cranberryyard/protocol'
import type { SheddableWork } from './types.js'

/** What a caller loses with a refusal beside the work that it asked for, in core-seconds. */
const CALLER_CORE_SECONDS = 1
/** How much more a loss counts at level 0 than at the next level, and at each other level than at the one after it. */
const FIRST_LEVEL_RATIO = 4
const LEVEL_RATIO = 1.25
/** Levels beyond the last count like it. */
const LEVEL_MAX = 9
/** Added to the latest start per priority level when jobs are ordered; a higher number is less important. */
const PRIORITY_STEP_MS = 150
/** What a caller loses more that is refused only when its slack is used up, so that no other shard can serve it in time either, as a share of what it loses when it is refused at once. */
const WAIT_SHARE = 0.25
/** Work of one job from which a larger claim counts no more, in core-seconds; it bounds what wrong estimates do to others. */
const WORK_MAX = 10_000
const CORE_MS_PER_CORE_SECOND = 1_000_000

/** Cost of delays and refusals. */
export class JobCost {
  /** @returns the level of priority, within bounds whatever the contract says */
  static levelOf ({ priority }: Pick<SheddableWork, 'priority'>): number {
    return Number.isNaN(priority) ? LEVEL_MAX : Math.min(LEVEL_MAX, Math.max(0, priority))
  }

  /** @returns work that the job asks for, in core-seconds */
  static coreSecondsOf ({ workAsked }: Pick<SheddableWork, 'workAsked'>): number {
    return Number.isNaN(workAsked) ? 0 : Math.min(WORK_MAX, Math.max(0, workAsked / CORE_MS_PER_CORE_SECOND))
  }

  /** @returns what the caller loses when the job is refused at once, in core-seconds of the most important level */
  static lossOf (job: Pick<SheddableWork, 'priority' | 'workAsked'>): number {
    return (CALLER_CORE_SECONDS + JobCost.coreSecondsOf(job)) * weightOf(JobCost.levelOf(job))
  }

  /** @returns the same per core-second; a job that claims to need next to nothing frees nothing either */
  static priceOf (job: SheddableWork, now: Ms): number {
    const waited = Math.min(1, Math.max(0, now - job.calledAt) / Math.max(1, job.latestStart - job.calledAt))
    return JobCost.lossOf(job) / Math.max(CALLER_CORE_SECONDS, JobCost.coreSecondsOf(job)) * (1 + WAIT_SHARE * waited)
  }

  /**
   * The order of starts matters only as far as the forecast errs; then the jobs with the least slack miss first.
   * @returns the latest start, put off by what the priority allows
   */
  static rankOf (job: Pick<SheddableWork, 'latestStart' | 'priority'>): number {
    return job.latestStart + JobCost.levelOf(job) * PRIORITY_STEP_MS
  }
}

function weightOf (level: number): number {
  return level === 0 ? 1 : 1 / (FIRST_LEVEL_RATIO * LEVEL_RATIO ** (level - 1))
}
