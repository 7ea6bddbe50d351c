/**
 * Decides the order in which jobs start their tasks, and which jobs are declined. Started jobs come first, then jobs that
 * can still meet their latency objective, ordered by the latest start that meets it, and then jobs that can only be late.
 * Jobs whose answer is no longer useful come last, started or not. A job that has not started is declined as soon as the
 * forecast shows that it cannot be on time; few exceptions keep jobs from being refused everywhere. This matters under overload, that is when a burst of one or all kinds of jobs
 * exceeds the capacity of the shard or a failure domain loses endpoints: a queue of jobs that can only be late would then
 * make the jobs that arrive behind them late as well. Which jobs are given up where not all can be on time is the shedding decision.
 */
import type { Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { JobCost } from '../shedding/jobCost.js'
import { SheddingDecider } from '../shedding/sheddingDecider.js'
import type { ShedJob } from '../shedding/types.js'
import { AdmissionDb } from './admissionDb.js'
import type { AdmissionInput, AdmissionVerdict, QueuedWork, ShardCapacity } from './types.js'

/** Share of a shard's capacity that jobs which can only be late may occupy. */
const LATE_SHARE_MAX = 0.1
/** Share of the capacity that can be used, since tasks of uneven size do not fill endpoints completely. */
const PACKING_SHARE = 0.85
/** Shortest and longest retry delay given to a declined caller. */
const RETRY_MIN_MS = 1000
const RETRY_MAX_MS = 5000
const CORE_MS_PER_CORE_SECOND = 1_000_000
/** Successive multiples of this, without their whole part, fill the interval from 0 to 1 evenly. */
const GOLDEN_RATIO = 0.618_034
/** Upper bound of the reported wait; without any usable capacity the wait would be unbounded. */
const BACKLOG_MAX_MS = 60_000

/** Orders and declines the waiting jobs of one owner. */
export class AdmissionDecider<T extends QueuedWork> {
  readonly db = new AdmissionDb<T>()
  readonly shedding = new SheddingDecider<T>()
  private retries = 0

  /**
   * Admits a newly arrived job that can be on time behind the jobs ahead of it, or in the place of some whose refusal costs less. One that can
   * only be late is admitted if no other shard is left, it starts at once, and late jobs occupy little of the shard.
   */
  decide (job: QueuedWork, input: AdmissionInput): AdmissionVerdict<T> {
    const { now, capacity, lastChance } = input
    this.shedding.db.jobArrived(job)
    const verdict = this.assess(job, input)
    if (verdict.type === 'admit') {
      this.shedding.db.recordKept(job, now)
      this.recordShed(verdict.displaced, now)
      return verdict
    }
    if (verdict.type === 'tooLate' && lastChance && this.startsLate(job, verdict.start, input)) {
      this.shedding.db.recordKept(job, now)
      return { type: 'admit', late: true, displaced: [] }
    }
    if (lastChance) this.shedding.turnedAway(job, verdict.type, now)
    return { type: 'decline', why: verdict.type === 'outbid' ? 'outbid' : 'overloaded', retryAfterMs: this.retryAfter(capacity, now) }
  }

  /** @returns the waiting jobs in the order in which their tasks start */
  inStartOrder (now: Ms): T[] {
    const ranked = [...this.db.waiting].map(job => ({ job, tier: tier(job, now), rank: JobCost.rankOf(job) }))
    return ranked.sort((a, b) => a.tier - b.tier || a.rank - b.rank).map(({ job }) => job)
  }

  /**
   * Reassesses all waiting jobs in start order. The tasks of a declined job no longer delay the jobs behind it, so a burst
   * costs only the jobs that exceed the capacity. A job that may already have run is never declined. One that was admitted
   * late has started by then, unless its room was lost.
   * @returns jobs that cannot be on time
   */
  jobsToDecline ({ now, forecast: makeForecast }: Pick<AdmissionInput, 'now' | 'forecast'>): ShedJob<T>[] {
    const declined: ShedJob<T>[] = []
    const order = this.inStartOrder(now)
    for (const service of new Set(order.map(job => job.service))) {
      const ofService = order.filter(job => job.service === service)
      const cpuMilli = meanCpu(ofService)
      declined.push(...this.shedding.plan(ofService, () => makeForecast(service, cpuMilli), now).shed)
    }
    this.shedding.db.expire(now)
    this.recordShed(declined, now)
    return declined
  }

  /** @returns expected wait of a job that arrives now and starts after all waiting jobs */
  backlogMs (capacity: ShardCapacity): Ms {
    const waiting = this.db.waitingWork()
    if (waiting === 0) return ms(0)
    return ms(Math.min(BACKLOG_MAX_MS, waiting / usableCpu(capacity)))
  }

  /**
   * Spreads the callers over the time that the work which was turned away of late would take, so that they don't return as one crowd.
   * @returns delay after which a caller that is declined now should retry
   */
  retryAfter (capacity: ShardCapacity, now: Ms): Ms {
    const excessMs = this.shedding.db.turnedAwayOfLate(now) * CORE_MS_PER_CORE_SECOND / usableCpu(capacity)
    const spread = ++this.retries * GOLDEN_RATIO % 1 * excessMs
    return ms(Math.min(RETRY_MAX_MS, Math.max(RETRY_MIN_MS, this.backlogMs(capacity)) + spread))
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

  private assess (job: QueuedWork, { now, forecast: makeForecast }: AdmissionInput): Extract<AdmissionVerdict<T>, { type: 'admit' }> | { readonly type: 'tooLate' | 'outbid', readonly start: Ms } {
    const demand = job.demand()
    const others = this.inStartOrder(now).filter(other => other.service === job.service)
    const ahead = others.filter(other => this.compare(other, job, now) <= 0)
    const forecast = makeForecast(job.service, demand.cpuMilli)
    for (const other of ahead) forecast.reserve(other.demand())
    const start = forecast.reserve(demand)
    const startBy = this.shedding.startBy(job, now)
    if (start <= startBy) return this.shedding.squeezesOut(job, others.slice(ahead.length), forecast, now) ? { type: 'outbid', start } : { type: 'admit', late: false, displaced: [] }
    const displaced = this.shedding.displace(job, startBy, ahead, () => makeForecast(job.service, demand.cpuMilli), now)
    return displaced === undefined ? { type: 'tooLate', start } : { type: 'admit', late: false, displaced }
  }

  private recordShed (shed: readonly ShedJob<T>[], now: Ms): void {
    for (const { job, why } of shed) {
      this.shedding.db.recordGivenUp(job, now)
      if (why === 'tooLate') this.shedding.db.recordBroken(job, now)
      if (job.lastChance) this.shedding.turnedAway(job, why, now)
    }
  }

  private compare (a: QueuedWork, b: QueuedWork, now: Ms): number {
    return tier(a, now) - tier(b, now) || JobCost.rankOf(a) - JobCost.rankOf(b)
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

function usableCpu (capacity: ShardCapacity): number {
  return Math.max(1, capacity.totalCpuMilli * PACKING_SHARE)
}
