/**
 * Decides which waiting jobs are given up when not all of them can be on time: those whose refusal costs their callers least
 * for the room that it frees. It acts only where the forecast shows a miss. The load it answers: callers of several queues
 * or widths compete for too little room, for seconds or longer.
 *
 * What a queue has lost of late makes its further losses count more, in proportion to the share that is left. So all queues
 * keep a share, the more important ones a larger one, and one that has been turned away entirely for `STARVED_MAX_MS` goes
 * before any other. Nothing that may have run is given up.
 */
import TinyQueue from 'tinyqueue'
import type { Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { JobCost } from './jobCost.js'
import { SheddingDb } from './sheddingDb.js'
import type { RoomForecast, ShedJob, ShedReason, SheddableWork } from './types.js'

/** How long jobs of a queue may be turned away entirely before the next one that fits goes before all others. */
export const STARVED_MAX_MS = 2000
/** Share that is left to a queue at least, as far as its price is concerned. */
const KEPT_SHARE_MIN = 0.05
/** A job is displaced only by one that is dearer by this factor, since prices are estimates. */
const DISPLACE_FACTOR = 1.1
/** How often room is looked for on arrival, each time with twice the work given up. */
const DISPLACE_TRIES = 2

interface Candidate<T> {
  readonly job: T
  readonly price: number
  /** Room that its refusal frees, in slots times milliseconds. */
  readonly room: number
}

/** The verdict about all waiting jobs. */
export interface SheddingPlan<T> {
  readonly kept: readonly T[]
  readonly shed: readonly ShedJob<T>[]
}

/** Chooses the jobs that are given up. */
export class SheddingDecider<T extends SheddableWork> {
  readonly db = new SheddingDb()

  /** @returns what the refusal of the job costs per core-second of room, by what its queue has lost of late */
  priceOf (job: SheddableWork, now: Ms): number {
    const since = this.db.starvedSince(job, now)
    if (this.db.isProtected(job) || (since !== undefined && now - since > STARVED_MAX_MS)) return Infinity
    return this.finitePriceOf(job, now)
  }

  /**
   * Returns whether a job that has just arrived would make a waiting one miss, of which its caller would lose more.
   * @param behind - the waiting jobs that start after it, in their order
   * @param forecast - the forecast of room, with the job and those ahead of it reserved
   */
  squeezesOut (job: SheddableWork, behind: readonly T[], forecast: RoomForecast, now: Ms): boolean {
    const price = this.priceOf(job, now)
    for (const other of behind) {
      const start = forecast.reserve(other.demand())
      if (start > other.latestStart && !other.mayHaveRun && !isLate(other, now)) return this.priceOf(other, now) >= price
    }
    return false
  }

  /** Called when a job is declined that no other shard takes. */
  turnedAway (job: SheddableWork, why: ShedReason, now: Ms): void {
    if (why === 'tooLate') this.db.recordMissing(job, this.finitePriceOf(job, now), now)
    this.db.recordTurnedAway(job, now)
  }

  /** The price without the precedence of a queue that has been turned away entirely. */
  private finitePriceOf (job: SheddableWork, now: Ms): number {
    return JobCost.priceOf(job, now) / Math.max(KEPT_SHARE_MIN, this.db.keptShare(job, now))
  }

  /**
   * A job is admitted only if the forecast leaves some of its slack, as far as forecasts for its queue have proved wrong: a refusal at once costs
   * less than one after a wait.
   * @returns when its last task has to start by the forecast
   */
  startBy (job: SheddableWork, now: Ms): Ms {
    return ms(now + (job.latestStart - now) * (job.latestStart > now ? this.db.reachOf(job, now) : 1))
  }

  /**
   * Looks for waiting jobs without which a job that has just arrived would be on time.
   * @param job - the job that would miss its latest start
   * @param ahead - the waiting jobs that start before it, in their order
   * @param startBy - when its last task has to start by the forecast
   * @param makeForecast - makes a forecast of the room
   * @returns the jobs to give up for it, or undefined if their callers would lose more
   */
  displace (job: SheddableWork, startBy: Ms, ahead: readonly T[], makeForecast: () => RoomForecast, now: Ms): ShedJob<T>[] | undefined {
    const price = this.priceOf(job, now)
    const demand = job.demand()
    const cheaper = ahead.filter(other => !other.mayHaveRun).map(other => this.candidateOf(other, now)).filter(other => isDearer(price, other.price)).sort((a, b) => a.price - b.price)
    if (cheaper.length === 0 || makeForecast().reserve(demand) > startBy) return undefined
    for (let attempt = 0; attempt < DISPLACE_TRIES; attempt++) {
      const victims = this.victimsFor(price, roomOf(job) * 2 ** attempt, cheaper, now)
      if (victims === undefined) return undefined
      const given = new Set(victims.map(victim => victim.job))
      const forecast = makeForecast()
      for (const other of ahead) if (!given.has(other)) forecast.reserve(other.demand())
      if (forecast.reserve(demand) > startBy) continue
      if (price === Infinity) this.db.protect(job, now)
      return victims.map(victim => ({ job: victim.job, why: 'displaced', price: victim.price, keptPrice: price }))
    }
    return undefined
  }

  /**
   * Goes through the waiting jobs of one service in start order. Where one would miss, it or cheaper ones ahead of it are given up, so that
   * the total loss is smallest (Moore and Hodgson's rule with weights). The work is a few steps for each job.
   * @param order - the waiting jobs in start order
   * @param makeForecast - makes a forecast of the room
   */
  plan (order: readonly T[], makeForecast: () => RoomForecast, now: Ms): SheddingPlan<T> {
    const chosen = this.choose(order, makeForecast, now)
    const forecast = makeForecast()
    const kept: T[] = []
    const shed: ShedJob<T>[] = []
    for (const job of order) {
      if (chosen.has(job)) continue
      const demand = job.demand()
      if (!job.mayHaveRun && (isLate(job, now) || forecast.peek(demand) > job.latestStart)) {
        shed.push({ job, why: 'tooLate', price: this.priceOf(job, now), keptPrice: undefined })
      } else {
        forecast.reserve(demand)
        kept.push(job)
      }
    }
    // Room may be left where a job for which others were given up misses all the same.
    for (const victim of [...chosen.values()].sort((a, b) => b.price - a.price)) {
      const demand = victim.job.demand()
      if (forecast.peek(demand) > victim.job.latestStart) shed.push(victim)
      else {
        forecast.reserve(demand)
        kept.push(victim.job)
      }
    }
    return { kept, shed }
  }

  /** @returns the jobs to give up for those that would miss behind them */
  private choose (order: readonly T[], makeForecast: () => RoomForecast, now: Ms): Map<T, ShedJob<T>> {
    const chosen = new Map<T, ShedJob<T>>()
    const forecast = makeForecast()
    const empty = makeForecast()
    const ahead = new TinyQueue<Candidate<T>>([], (a, b) => a.price - b.price)
    let spareRoom = 0
    for (const job of order) {
      const demand = job.demand()
      if (!job.mayHaveRun && isLate(job, now)) continue
      if (job.mayHaveRun || forecast.peek(demand) <= job.latestStart) {
        forecast.reserve(demand)
        if (!job.mayHaveRun) ahead.push(this.candidateOf(job, now))
        continue
      }
      const needed = roomOf(job) - spareRoom
      if (empty.peek(demand) > job.latestStart) continue
      const price = this.priceOf(job, now)
      const victims = needed <= 0 ? [] : this.takeFrom(ahead, price, needed, now)
      if (victims === undefined) continue
      for (const { job: victim, price: victimPrice } of victims) chosen.set(victim, { job: victim, why: 'displaced', price: victimPrice, keptPrice: price })
      spareRoom = victims.reduce((sum, { room }) => sum + room, 0) - needed
      ahead.push({ job, price, room: roomOf(job) })
    }
    return chosen
  }

  /** Takes the cheapest jobs that free enough room, if they are worth less; otherwise takes none. */
  private takeFrom (ahead: TinyQueue<Candidate<T>>, price: number, room: number, now: Ms): readonly Candidate<T>[] | undefined {
    const taken: Candidate<T>[] = []
    let freed = 0
    while (freed < room && ahead.length > 0 && isDearer(price, (ahead.peek() as Candidate<T>).price)) {
      const next = ahead.pop() as Candidate<T>
      taken.push(next)
      freed += next.room
    }
    const victims = this.victimsFor(price, room, taken, now)
    if (victims === undefined) for (const candidate of taken) ahead.push(candidate)
    return victims
  }

  /**
   * @param price - the price of the job that needs the room
   * @param candidates - cheaper jobs, the cheapest first
   * @returns as many of them as free enough room, or undefined if their callers lose more
   */
  private victimsFor (price: number, room: number, candidates: readonly Candidate<T>[], now: Ms): readonly Candidate<T>[] | undefined {
    const victims: Candidate<T>[] = []
    let freed = 0
    let loss = 0
    for (const candidate of candidates) {
      if (freed >= room) break
      victims.push(candidate)
      freed += candidate.room
      loss += candidate.price * candidate.room
    }
    if (freed < room) return undefined
    // Room that is left over is worth what others would have given for it of late.
    const spare = (freed - room) * this.db.roomPrice(now)
    return loss - spare < price * room ? victims : undefined
  }

  private candidateOf (job: T, now: Ms): Candidate<T> {
    return { job, price: this.priceOf(job, now), room: roomOf(job) }
  }
}

function isLate (job: SheddableWork, now: Ms): boolean {
  return now > job.latestStart || job.admittedLate
}

function isDearer (price: number, other: number): boolean {
  return price > other * DISPLACE_FACTOR
}

function roomOf (job: SheddableWork): number {
  const { tasks, cpuMilli, runMs } = job.demand()
  return tasks * cpuMilli * runMs
}
