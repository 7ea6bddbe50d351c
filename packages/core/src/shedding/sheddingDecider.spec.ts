import { expect } from 'chai'
import type { QueueName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { SlotForecast } from '../admission/slotForecast.js'
import { JobCost } from './jobCost.js'
import { STARVED_MAX_MS, SheddingDecider } from './sheddingDecider.js'
import type { RoomForecast, SheddableWork } from './types.js'

const NOW = ms(1000)
const CPU_MILLI = 1000
/** Ten endpoints with one slot each. */
const forecast = (slots = 10): RoomForecast => new SlotForecast(Array.from({ length: slots }, () => ({ freeCpuMilli: CPU_MILLI, ends: [] })), CPU_MILLI, NOW)

interface NamedWork extends SheddableWork {
  readonly name: string
}

function makeWork (name: string, overrides: Partial<Omit<SheddableWork, 'demand'>> & { tasks?: number, runMs?: number } = {}): NamedWork {
  const { tasks = 10, runMs = 100, ...rest } = overrides
  return { name, queue: name.split(' ')[0] as QueueName, priority: 1, calledAt: NOW, latestStart: ms(1000), criticalPathMs: ms(runMs), width: tasks, lastChance: true, workAsked: tasks * runMs * CPU_MILLI, mayHaveRun: false, admittedLate: false, demand: () => ({ tasks, cpuMilli: CPU_MILLI, runMs }), ...rest }
}

/** Lets a queue lose nearly all that its callers ask for, for a time. */
function turnAway (shedding: SheddingDecider<NamedWork>, job: NamedWork, untilMs = 1000): void {
  for (let at = 0; at < untilMs; at += 20) shedding.turnedAway(job, 'tooLate', ms(at))
}

describe('the cost of a refusal', () => {
  it('counts level 0 above all others, and a level beyond the range like the nearest one', () => {
    const loss = (priority: number): number => JobCost.lossOf(makeWork('a', { priority }))
    expect(loss(0)).to.be.greaterThan(2 * loss(1))
    expect(loss(1)).to.be.greaterThan(loss(2))
    expect([loss(-5), loss(Infinity), loss(NaN)]).to.deep.equal([loss(0), loss(9), loss(9)])
  })

  it('grows with the work asked for and with the time waited, and stays finite for estimates that mean nothing', () => {
    expect(JobCost.lossOf(makeWork('a', { runMs: 2000 }))).to.be.greaterThan(JobCost.lossOf(makeWork('a')))
    expect(JobCost.priceOf(makeWork('a', { latestStart: ms(1100) }), ms(1100))).to.be.greaterThan(JobCost.priceOf(makeWork('a', { latestStart: ms(1100) }), NOW))
    for (const workAsked of [0, -1, NaN, Infinity, 1e300]) expect(JobCost.priceOf(makeWork('a', { workAsked }), NOW)).to.be.within(0.01, 10)
  })
})

describe('shedding', () => {
  it('gives nothing up where all are on time', () => {
    const shedding = new SheddingDecider<NamedWork>()
    const jobs = [makeWork('a'), makeWork('b', { latestStart: ms(1100) }), makeWork('c', { latestStart: ms(1200) })]
    expect(shedding.plan(jobs, forecast, NOW)).to.deep.equal({ kept: jobs, shed: [] })
  })

  it('gives up the cheapest of those that compete, though it is due first and has come first', () => {
    const shedding = new SheddingDecider<NamedWork>()
    const jobs = [makeWork('cheap', { priority: 2 }), makeWork('dear', { priority: 0, latestStart: ms(1050) }), makeWork('later', { latestStart: ms(1100) })]
    const { kept, shed } = shedding.plan(jobs, forecast, NOW)
    expect(kept.map(job => job.name)).to.deep.equal(['dear', 'later'])
    expect(shed.map(({ job, why }) => `${job.name} ${why}`)).to.deep.equal(['cheap displaced'])
    expect(shed[0]?.keptPrice).to.be.greaterThan(shed[0]?.price ?? Infinity)
  })

  it('never gives up a job that may have run', () => {
    const shedding = new SheddingDecider<NamedWork>()
    const started = makeWork('started', { priority: 9, mayHaveRun: true, latestStart: ms(500) })
    const dear = makeWork('dear', { priority: 0 })
    expect(shedding.plan([started, dear], forecast, NOW).shed.map(({ job }) => job)).to.deep.equal([dear])
    expect(shedding.displace(dear, NOW, [started], forecast, NOW)).to.equal(undefined)
  })

  it('sacrifices nothing for a job that would miss all the same, such as one wider than the shard', () => {
    const shedding = new SheddingDecider<NamedWork>()
    const cheap = makeWork('cheap', { priority: 9 })
    const wide = makeWork('wide', { priority: 0, tasks: 11 })
    turnAway(shedding, wide, 5000)
    expect(shedding.displace(wide, NOW, [cheap], forecast, NOW)).to.equal(undefined)
    expect(shedding.plan([cheap, wide], forecast, NOW).kept).to.deep.equal([cheap])
  })

  it('admits a dearer job in the place of cheaper ones, and not one of the same price', () => {
    const shedding = new SheddingDecider<NamedWork>()
    const cheap = [makeWork('cheap 1', { tasks: 5, priority: 2 }), makeWork('cheap 2', { tasks: 5, priority: 2 })]
    expect(shedding.displace(makeWork('dear', { priority: 0 }), NOW, cheap, forecast, NOW)?.map(({ job }) => job)).to.deep.equal(cheap)
    expect(shedding.displace(makeWork('equal', { tasks: 5, priority: 2 }), NOW, cheap, forecast, NOW)).to.equal(undefined)
  })

  it('makes what a queue loses dearer the less it has kept, so that no queue loses everything', () => {
    const shedding = new SheddingDecider<NamedWork>()
    const minor = makeWork('minor', { priority: 2 })
    const before = shedding.priceOf(minor, NOW)
    turnAway(shedding, minor)
    expect(shedding.priceOf(minor, NOW)).to.be.greaterThan(before * 5)
    expect(shedding.priceOf(minor, ms(60_000))).to.be.below(before * 2 + 1e-9)
  })

  it('lets a queue that was turned away entirely go first after a bounded time, one job of it at a time', () => {
    const shedding = new SheddingDecider<NamedWork>()
    const starved = makeWork('starved', { priority: 9, calledAt: ms(STARVED_MAX_MS + 100), latestStart: ms(STARVED_MAX_MS + 100) })
    const now = ms(STARVED_MAX_MS + 100)
    const room = (): RoomForecast => new SlotForecast(Array.from({ length: 10 }, () => ({ freeCpuMilli: CPU_MILLI, ends: [] })), CPU_MILLI, now)
    turnAway(shedding, starved, STARVED_MAX_MS)
    const dear = makeWork('dear', { priority: 0, calledAt: now, latestStart: now })
    expect(shedding.displace(starved, starved.latestStart, [dear], room, now)?.map(({ job }) => job)).to.deep.equal([dear])
    expect(shedding.priceOf(starved, now)).to.equal(Infinity)
    expect(shedding.priceOf(makeWork('starved', { priority: 9 }), now)).to.be.below(Infinity)
  })

  it('does not admit a job that would make a waiting one miss whose refusal costs more', () => {
    const shedding = new SheddingDecider<NamedWork>()
    const waiting = [makeWork('waiting', { latestStart: ms(1050) })]
    const squeezesOut = (job: NamedWork): boolean => {
      const room = forecast()
      room.reserve(job.demand())
      return shedding.squeezesOut(job, waiting, room, NOW)
    }
    expect(squeezesOut(makeWork('minor', { priority: 2 }))).to.equal(true)
    expect(squeezesOut(makeWork('major', { priority: 0 }))).to.equal(false)
    expect(squeezesOut(makeWork('short', { priority: 2, runMs: 40 }))).to.equal(false)
  })

  it('is not misled by a job with a huge estimate: the share of its queue stays as it is', () => {
    const shedding = new SheddingDecider<NamedWork>()
    const usual = makeWork('q')
    for (let i = 0; i < 20; i++) {
      shedding.db.jobArrived(usual)
      if (i % 2 === 0) shedding.db.recordKept(usual, NOW)
      else shedding.turnedAway(usual, 'tooLate', NOW)
    }
    const huge = makeWork('q', { workAsked: 1e15 })
    shedding.db.jobArrived(huge)
    shedding.db.recordKept(huge, NOW)
    expect(shedding.db.keptShare(usual, NOW)).to.be.within(0.4, 0.7)
  })

  it('admits fewer jobs of a queue whose admitted jobs turn out too late, and more again once they do not', () => {
    const shedding = new SheddingDecider<NamedWork>()
    const job = makeWork('q', { latestStart: ms(1200) })
    shedding.db.jobArrived(job)
    expect(shedding.startBy(job, NOW)).to.equal(1200)
    for (let i = 0; i < 20; i++) shedding.db.recordBroken(job, NOW)
    expect(shedding.startBy(job, NOW)).to.be.within(1001, 1150)
    expect(shedding.db.reachOf(job, ms(120_000))).to.be.greaterThan(0.99)
    for (let i = 0; i < 1000; i++) shedding.db.recordServed(job)
    expect(shedding.startBy(job, NOW)).to.equal(1200)
  })

  it('plans 5,000 waiting tasks in a few steps for each', () => {
    const shedding = new SheddingDecider<NamedWork>()
    let steps = 0
    const counted = (): RoomForecast => {
      const inner = forecast(200)
      return {
        peek: (demand) => {
          steps += demand.tasks
          return inner.peek(demand)
        },
        reserve: (demand) => {
          steps += demand.tasks
          return inner.reserve(demand)
        }
      }
    }
    const jobs = Array.from({ length: 1000 }, (_, i) => makeWork(`q${i % 7} ${i}`, { tasks: 5, priority: i % 4, latestStart: ms(1000 + i) }))
    const { kept, shed } = shedding.plan(jobs, counted, NOW)
    expect(kept.length + shed.length).to.equal(jobs.length)
    expect(shed.length).to.be.greaterThan(100)
    expect(steps).to.be.below(8 * 5000)
  })
})
