/**
 * Decides the order in which jobs start their tasks, and which jobs are declined. Started jobs come first, then jobs that
 * can still meet their latency objective, ordered by the latest start that meets it, and then, with the remaining capacity,
 * jobs that can only be late. Jobs whose answer is no longer useful come last, started or not. A job is declined as soon as
 * it is clear that it cannot finish while its answer is still useful. This matters under overload, that is when a burst of
 * one or all kinds of jobs exceeds the capacity of the shard or a failure domain loses endpoints: serving jobs in order of
 * arrival would then make every job late.
 */
import type { Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { AdmissionDb } from './admissionDb.js'
import type { AdmissionVerdict, QueuedWork, ShardCapacity } from './types.js'

/** Added to the latest start per priority level when jobs are ordered; a higher number is less important. */
const PRIORITY_STEP_MS = 40
/** Share of the capacity that can be used, since tasks of uneven size do not fill endpoints completely. */
const PACKING_SHARE = 0.85
/** Shortest and longest retry delay given to a declined caller. */
const RETRY_MIN_MS = 1000
const RETRY_MAX_MS = 5000
/** Upper bound of the reported wait; without any usable capacity the wait would be unbounded. */
const BACKLOG_MAX_MS = 60_000

/** Orders and declines the waiting jobs of one owner. */
export class AdmissionDecider<T extends QueuedWork> {
  readonly db = new AdmissionDb<T>()

  /**
   * Admits or declines a newly arrived job.
   * @param job - the job
   * @param capacity - the shard's capacity
   * @param now - the time
   */
  decide (job: QueuedWork, capacity: ShardCapacity, now: Ms): AdmissionVerdict {
    const wait = this.expectedWait(job, capacity, now)
    if (now + wait + job.criticalPathMs <= job.usefulUntil) return { type: 'admit' }
    return { type: 'decline', retryAfterMs: this.retryAfter(capacity) }
  }

  /** @returns the waiting jobs in the order in which their tasks start */
  inStartOrder (now: Ms): T[] {
    const ranked = [...this.db.waiting].map(job => ({ job, tier: tier(job, now), rank: rank(job) }))
    return ranked.sort((a, b) => a.tier - b.tier || a.rank - b.rank).map(({ job }) => job)
  }

  /**
   * Reassesses all waiting jobs in start order. The work of a declined job no longer delays the jobs behind it, so a burst
   * costs only the jobs that exceed the capacity. A job that may already have run is never declined.
   * @param capacity - the shard's capacity
   * @param now - the time
   * @returns jobs that cannot finish while their answer is still useful
   */
  jobsToDecline (capacity: ShardCapacity, now: Ms): T[] {
    const declined: T[] = []
    const usable = usableCpu(capacity)
    let ahead = 0
    for (const job of this.inStartOrder(now)) {
      if (!job.mayHaveRun && now + ahead / usable + job.criticalPathMs > job.usefulUntil) declined.push(job)
      else ahead += job.waitingWork()
    }
    return declined
  }

  /** @returns expected wait of a job that arrives now and starts after all waiting jobs */
  backlogMs (capacity: ShardCapacity): Ms {
    const waiting = this.db.waitingWork()
    if (waiting === 0) return ms(0)
    return ms(Math.min(BACKLOG_MAX_MS, waiting / usableCpu(capacity)))
  }

  /** @returns delay after which callers that are declined now should retry */
  retryAfter (capacity: ShardCapacity): Ms {
    return ms(Math.min(RETRY_MAX_MS, Math.max(RETRY_MIN_MS, this.backlogMs(capacity))))
  }

  private expectedWait (job: QueuedWork, capacity: ShardCapacity, now: Ms): number {
    let ahead = 0
    for (const other of this.db.waiting) {
      if (other !== job && this.compare(other, job, now) <= 0) ahead += other.waitingWork()
    }
    return ahead === 0 ? 0 : ahead / usableCpu(capacity)
  }

  private compare (a: QueuedWork, b: QueuedWork, now: Ms): number {
    return tier(a, now) - tier(b, now) || rank(a) - rank(b)
  }
}

/** Lower tiers start first: 0 for started jobs that are still useful, 1 on time, 2 late, 3 no longer useful. */
function tier (job: QueuedWork, now: Ms): number {
  if (now + job.criticalPathMs <= job.onTimeUntil) return job.hasStarted() ? 0 : 1
  if (now > job.usefulUntil) return 3
  return job.hasStarted() ? 0 : 2
}

function rank (job: QueuedWork): number {
  return job.onTimeUntil - job.criticalPathMs + job.priority * PRIORITY_STEP_MS
}

function usableCpu (capacity: ShardCapacity): number {
  return Math.max(1, capacity.totalCpuMilli * PACKING_SHARE)
}
