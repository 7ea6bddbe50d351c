import { expect } from 'chai'
import type { EndpointId, ServiceName, TaskName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { EndpointsDb, makeRun } from '../endpoints/endpointsDb.js'
import { seededRandom } from '../utils/random.js'
import { RunTail } from './runTail.js'
import { slowCauseOf } from './slowCause.js'
import { SpeedsDecider } from './speedsDecider.js'
import type { RatedEndpoint } from './types.js'

const EXPECTED_MS = 200
const SERVICE = 's' as ServiceName
const endpointOf = (id: string, ...labels: readonly string[]): RatedEndpoint => ({ id: id as EndpointId, service: SERVICE, labels })

/** Runs of tasks that are off their expected time by up to 40%, at endpoints of the given speeds in turn. */
function learned (runsEach: number, ...endpoints: readonly (readonly [RatedEndpoint, number])[]): SpeedsDecider {
  const random = seededRandom(7)
  const speeds = new SpeedsDecider()
  for (let i = 0; i < runsEach; i++) {
    for (const [endpoint, speed] of endpoints) speeds.record(endpoint, EXPECTED_MS, EXPECTED_MS * (0.6 + random.below(800) / 1000) / speed)
  }
  return speeds
}

describe('the speeds of endpoints', () => {
  it('are learned one by one', () => {
    const slow = endpointOf('slow')
    const quick = endpointOf('quick')
    const speeds = learned(100, [slow, 0.7], [quick, 1.7])
    expect(speeds.speedOf(slow)).to.be.within(0.6, 0.8)
    expect(speeds.speedOf(quick)).to.be.within(1.5, 1.9)
    expect(speeds.quickest(SERVICE)).to.be.within(1.5, 1.9)
    expect([speeds.areEven(), speeds.quickest('other' as ServiceName), speeds.quickest(SERVICE, 'gpu')]).to.deep.equal([false, 1, 1])
  })

  it('are 1 for endpoints that are alike, however much their run times differ', () => {
    const endpoints = Array.from({ length: 12 }, (_, i) => endpointOf(`e${i}`, 'a'))
    const speeds = learned(100, ...endpoints.map(endpoint => [endpoint, 1] as const))
    expect(endpoints.map(endpoint => speeds.speedOf(endpoint))).to.deep.equal(endpoints.map(() => 1))
    expect(speeds.areEven()).to.equal(true)
  })

  it('are known for a new endpoint of a known kind, whatever rack it stands in', () => {
    const speeds = learned(60, [endpointOf('s1', 'a', 'r-1'), 0.7], [endpointOf('q1', 'b', 'r-1'), 1.7], [endpointOf('q2', 'b', 'r-2'), 1.7])
    expect(speeds.speedOf(endpointOf('new', 'b', 'r-1'))).to.be.within(1.5, 1.9)
    expect(speeds.speedOf(endpointOf('other', 'c', 'r-9'))).to.equal(1)
  })

  it('are forgotten when an endpoint restarts as another kind', () => {
    const speeds = learned(60, [endpointOf('e', 'b'), 1.7])
    expect(speeds.speedOf(endpointOf('e', 'b'))).to.be.within(1.5, 1.9)
    expect(speeds.speedOf(endpointOf('e', 'c'))).to.equal(1)
  })

  it('are hardly changed by a few long tasks', () => {
    const endpoint = endpointOf('e', 'a')
    const speeds = learned(100, [endpoint, 1])
    for (let i = 0; i < 3; i++) speeds.record(endpoint, EXPECTED_MS, EXPECTED_MS * 7)
    for (let i = 0; i < 70; i++) speeds.record(endpointOf('f', 'a'), EXPECTED_MS, EXPECTED_MS)
    expect(speeds.speedOf(endpoint)).to.equal(1)
  })

  it('decide how likely a task misses its objective', () => {
    const speeds = new SpeedsDecider()
    const timing = { runMs: 760, budgetMs: 900 }
    expect(speeds.lateRisk(timing, 0.7)).to.be.greaterThan(0.7)
    expect(speeds.lateRisk(timing, 1.7)).to.be.lessThan(0.1)
    expect(speeds.lateRisk({ runMs: 760, budgetMs: 0 }, 1.7)).to.equal(1)
  })
})

describe('the tail of run times', () => {
  it('lets a run that is far over its time go on, and one that is a little over it end soon', () => {
    const tail = new RunTail()
    expect(tail.remaining(4)).to.equal(0.15)
    for (let i = 0; i < 400; i++) tail.record(i % 33 === 0 ? 7 : 1)
    expect(tail.remaining(1.1)).to.be.lessThan(0.6)
    expect(tail.remaining(3)).to.be.greaterThan(2)
  })
})

describe('the cause of a slow run', () => {
  const endpoint = new EndpointsDb().add({ id: 'e' as EndpointId, service: 's' as never, address: 'e', failureDomain: 'd' as never, draining: false, capacity: { cpuMilli: 32_000, memoryMb: 1, accelerators: 0 }, labels: [], bornAt: 0 }, ms(0))
  const addRun = (task: string, percent: number): ReturnType<typeof makeRun> => {
    const run = makeRun(endpoint, task as TaskName, 1, ms(1000), { state: 'running', expectedMs: 200, percent, percentAt: ms(1200) })
    endpoint.runs.set(run.task, run)
    return run
  }

  it('is the task when others run as usual at its endpoint, and the endpoint when they are slow too', () => {
    const run = addRun('a.0.0.0', 15)
    expect(slowCauseOf(run, endpoint, ms(0), ms(1200))).to.equal('unknown')
    addRun('b.0.0.0', 90)
    expect(slowCauseOf(run, endpoint, ms(0), ms(1200))).to.equal('task')
    addRun('b.0.0.0', 16)
    expect(slowCauseOf(run, endpoint, ms(0), ms(1200))).to.equal('endpoint')
  })

  it('is the task when another has just ended there in its time, but not when that was early in the life of the run', () => {
    endpoint.runs.clear()
    const run = addRun('a.0.0.0', 15)
    expect(slowCauseOf(run, endpoint, ms(1150), ms(1200))).to.equal('task')
    expect(slowCauseOf(run, endpoint, ms(1010), ms(1200))).to.equal('unknown')
  })
})
