/**
 * Decides whose tasks start next and which jobs are turned away. Jobs with tasks at work go on first; then those that
 * can still meet their objective, by the latest start that meets it; those that can only be late follow while room is
 * left over. A job whose turn cannot come while its answer is of use is declined when that becomes clear.
 * Load it answers: bursts of one kind or of all beyond the room of the shard, and a domain whose endpoints are lost;
 * first come, first served would then make every job late.
 */
import type { Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { AdmissionDb } from './admissionDb.js'
import type { AdmissionVerdict, QueuedWork, ShardRoom } from './types.js'

/** What one step of priority weighs against an earlier latest start. */
const PRIORITY_STEP_MS = 40
/** Share of the room that tasks of uneven size can fill. */
const PACKING_SHARE = 0.85
/** Least and longest time after which a declined caller is told to come back. */
const RETRY_MIN_MS = 1000
const RETRY_MAX_MS = 5000
/** Longest wait that is told; without any usable room it has no end. */
const BACKLOG_MAX_MS = 60_000

/** The admission decision. */
export class AdmissionDecider<T extends QueuedWork> {
  readonly db = new AdmissionDb<T>()

  /**
   * Decides on a job that arrives.
   * @param job - the job
   * @param room - the shard's room
   * @param now - the time
   */
  decide (job: QueuedWork, room: ShardRoom, now: Ms): AdmissionVerdict {
    const wait = this.expectedWait(job, room, now)
    if (now + wait + job.criticalPathMs <= job.usefulUntil) return { type: 'admit' }
    return { type: 'decline', retryAfterMs: this.retryAfter(room) }
  }

  /** @returns jobs in the order in which their tasks start */
  inStartOrder (now: Ms): T[] {
    const ranked = [...this.db.waiting].map(job => ({ job, tier: tier(job, now), rank: rank(job) }))
    return ranked.sort((a, b) => a.tier - b.tier || a.rank - b.rank).map(({ job }) => job)
  }

  /**
   * Judges all waiting jobs again, in the order in which they start. Work that is declined makes way for what follows,
   * so that a burst costs only the jobs that are too many.
   * @param room - the shard's room
   * @param now - the time
   * @returns jobs whose turn cannot come while their answer is of use
   */
  jobsToDecline (room: ShardRoom, now: Ms): T[] {
    const declined: T[] = []
    const usable = usableCpu(room)
    let ahead = 0
    for (const job of this.inStartOrder(now)) {
      if (!job.mayHaveRun && now + ahead / usable + job.criticalPathMs > job.usefulUntil) declined.push(job)
      else ahead += job.waitingWork()
    }
    return declined
  }

  /** @returns expected wait of a job that arrives now and takes its turn behind everything that waits */
  backlogMs (room: ShardRoom): Ms {
    const waiting = this.db.waitingWork()
    if (waiting === 0) return ms(0)
    return ms(Math.min(BACKLOG_MAX_MS, waiting / usableCpu(room)))
  }

  /** @returns when callers that are declined now had best come back */
  retryAfter (room: ShardRoom): Ms {
    return ms(Math.min(RETRY_MAX_MS, Math.max(RETRY_MIN_MS, this.backlogMs(room))))
  }

  private expectedWait (job: QueuedWork, room: ShardRoom, now: Ms): number {
    let ahead = 0
    for (const other of this.db.waiting) {
      if (other !== job && this.compare(other, job, now) <= 0) ahead += other.waitingWork()
    }
    return ahead === 0 ? 0 : ahead / usableCpu(room)
  }

  private compare (a: QueuedWork, b: QueuedWork, now: Ms): number {
    return tier(a, now) - tier(b, now) || rank(a) - rank(b)
  }
}

/** Smaller goes first: at work and of use, on time, late, of no use any more. */
function tier (job: QueuedWork, now: Ms): number {
  if (now + job.criticalPathMs <= job.onTimeUntil) return job.hasStarted() ? 0 : 1
  if (now > job.usefulUntil) return 3
  return job.hasStarted() ? 0 : 2
}

function rank (job: QueuedWork): number {
  return job.onTimeUntil - job.criticalPathMs + job.priority * PRIORITY_STEP_MS
}

function usableCpu (room: ShardRoom): number {
  return Math.max(1, room.totalCpuMilli * PACKING_SHARE)
}
