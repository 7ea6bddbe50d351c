/**
 * Decides the order in which jobs start their tasks, and which jobs are declined. Started jobs come first, then jobs that
 * can still meet their latency objective, ordered by the latest start that meets it, and then jobs that can only be late.
 * Jobs whose answer is no longer useful come last, started or not. A job that has not started is declined as soon as the
 * forecast shows that it cannot be on time; few exceptions keep jobs from being refused everywhere. This matters under overload, that is when a burst of one or all kinds of jobs
 * exceeds the capacity of the shard or a failure domain loses endpoints: a queue of jobs that can only be late would then
 * make the jobs that arrive behind them late as well.
 */
import type { Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { AdmissionDb } from './admissionDb.js'
import type { AdmissionInput, AdmissionVerdict, QueuedWork, ShardCapacity } from './types.js'

/** Added to the latest start per priority level when jobs are ordered; a higher number is less important. */
const PRIORITY_STEP_MS = 150
/** Share of a shard's capacity that jobs which can only be late may occupy. */
const LATE_SHARE_MAX = 0.1
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
   * Admits a newly arrived job that can be on time behind the jobs ahead of it. One that can only be late is admitted
   * if no other shard is left, it starts at once, and late jobs occupy little of the shard.
   */
  decide (job: QueuedWork, input: AdmissionInput): AdmissionVerdict {
    const { capacity, lastChance } = input
    const start = this.forecastStart(job, input)
    if (start <= job.latestStart) return { type: 'admit', late: false }
    if (lastChance && this.startsLate(job, start, input)) return { type: 'admit', late: true }
    return { type: 'decline', retryAfterMs: this.retryAfter(capacity) }
  }

  /** @returns the waiting jobs in the order in which their tasks start */
  inStartOrder (now: Ms): T[] {
    const ranked = [...this.db.waiting].map(job => ({ job, tier: tier(job, now), rank: rank(job) }))
    return ranked.sort((a, b) => a.tier - b.tier || a.rank - b.rank).map(({ job }) => job)
  }

  /**
   * Reassesses all waiting jobs in start order. The tasks of a declined job no longer delay the jobs behind it, so a burst
   * costs only the jobs that exceed the capacity. A job that may already have run is never declined. One that was admitted
   * late has started by then, unless its room was lost.
   * @returns jobs that cannot be on time
   */
  jobsToDecline ({ now, forecast: makeForecast }: Pick<AdmissionInput, 'now' | 'forecast'>): T[] {
    const declined: T[] = []
    const order = this.inStartOrder(now)
    for (const service of new Set(order.map(job => job.service))) {
      const ofService = order.filter(job => job.service === service)
      const forecast = makeForecast(service, meanCpu(ofService))
      for (const job of ofService) {
        const isTooLate = now > job.latestStart || job.admittedLate || forecast.peek(job.demand()) > job.latestStart
        if (isTooLate && !job.mayHaveRun) declined.push(job)
        else forecast.reserve(job.demand())
      }
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

  /**
   * Returns whether a job that can only be late starts at once in room that no other job waits for, and ends while its answer
   * is useful. If it waited, jobs that can be on time would overtake it until it is of no use.
   */
  private startsLate (job: QueuedWork, lastStart: Ms, { now, capacity, forecast: makeForecast, lateCpuMilli }: AdmissionInput): boolean {
    const { tasks, cpuMilli } = job.demand()
    const isWithinShare = lateCpuMilli === 0 || lateCpuMilli + tasks * cpuMilli <= capacity.totalCpuMilli * LATE_SHARE_MAX
    if (!isWithinShare || this.db.waiting.size > 0 || lastStart + job.criticalPathMs > job.usefulUntil) return false
    return makeForecast(job.service, cpuMilli).peek({ tasks: 1 }) <= now
  }

  /** @returns when the last task of the job can start behind the jobs that are ahead of it */
  private forecastStart (job: QueuedWork, { now, forecast: makeForecast }: AdmissionInput): Ms {
    const demand = job.demand()
    const forecast = makeForecast(job.service, demand.cpuMilli)
    for (const other of this.inStartOrder(now)) {
      if (other !== job && other.service === job.service && this.compare(other, job, now) <= 0) forecast.reserve(other.demand())
    }
    return forecast.reserve(demand)
  }

  private compare (a: QueuedWork, b: QueuedWork, now: Ms): number {
    return tier(a, now) - tier(b, now) || rank(a) - rank(b)
  }
}

/** Lower tiers start first: 0 for started jobs that are still useful, 1 on time, 2 late, 3 no longer useful. */
function tier (job: QueuedWork, now: Ms): number {
  if (now <= job.latestStart) return job.hasStarted() ? 0 : 1
  if (now > job.usefulUntil) return 3
  return job.hasStarted() ? 0 : 2
}

function meanCpu (jobs: readonly QueuedWork[]): number {
  let tasks = 0
  let cpuMilli = 0
  for (const job of jobs) {
    const demand = job.demand()
    tasks += demand.tasks
    cpuMilli += demand.tasks * demand.cpuMilli
  }
  return tasks === 0 ? 1 : cpuMilli / tasks
}

function rank (job: QueuedWork): number {
  return job.latestStart + job.priority * PRIORITY_STEP_MS
}

function usableCpu (capacity: ShardCapacity): number {
  return Math.max(1, capacity.totalCpuMilli * PACKING_SHARE)
}
