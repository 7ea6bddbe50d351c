import { expect } from 'chai'
import type { EndpointId, EndpointReport, FailureDomain, ServiceName, TaskName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { EndpointsDb, makeRun } from '../endpoints/endpointsDb.js'
import type { LedgerRun } from '../endpoints/types.js'
import { SpeedsDecider } from '../speeds/speedsDecider.js'
import { outlookOf } from './endpointOutlook.js'

const REPORT: EndpointReport = { id: 'e' as EndpointId, service: 's' as ServiceName, address: 'e', failureDomain: 'd' as FailureDomain, draining: false, capacity: { cpuMilli: 64_000, memoryMb: 100, accelerators: 0 }, labels: [], bornAt: 0 }
const NEEDS = { cpuMilli: 20_000, memoryMb: 1, accelerators: 0 }

/** The outlook at 1100 of an endpoint with one run that started at 1000. */
function outlookWith (overrides: Partial<LedgerRun>): ReturnType<typeof outlookOf> {
  const endpoint = new EndpointsDb().add(REPORT, ms(0))
  const run = makeRun(endpoint, 'a.0.0.0' as TaskName, 1, ms(1000), { needs: NEEDS, expectedMs: 200, state: 'running', ...overrides })
  endpoint.runs.set(run.task, run)
  return outlookOf(endpoint, ms(1100), ms(250), new SpeedsDecider())
}

describe('the outlook of an endpoint', () => {
  it('expects a run to end after its expected run time', () => {
    expect(outlookWith({})).to.deep.equal({ freeCpuMilli: 44_000, ends: [{ at: 1200, cpuMilli: 20_000 }], speed: 1 })
  })

  it('projects the end from the progress once there is enough of it', () => {
    expect(outlookWith({ percent: 25, percentAt: ms(1100) }).ends[0]?.at).to.equal(1400)
    expect(outlookWith({ percent: 5, percentAt: ms(1100) }).ends[0]?.at).to.equal(1200)
  })

  it('does not expect a run to end at once that is over its time', () => {
    expect(outlookWith({ startedAt: ms(500) }).ends[0]?.at).to.equal(1130)
  })

  it('expects a run far over its time to go on where long runs have been seen', () => {
    const speeds = new SpeedsDecider()
    for (let i = 0; i < 200; i++) speeds.tail.record(i % 20 === 0 ? 7 : 1)
    const endpoint = new EndpointsDb().add(REPORT, ms(0))
    const run = makeRun(endpoint, 'a.0.0.0' as TaskName, 1, ms(500), { needs: NEEDS, expectedMs: 200, state: 'running' })
    endpoint.runs.set(run.task, run)
    expect(outlookOf(endpoint, ms(1100), ms(250), speeds).ends[0]?.at).to.be.greaterThan(1500)
  })

  it('counts the scarcest resource of an endpoint as the CPU that tasks use with it', () => {
    const endpoint = new EndpointsDb().add(REPORT, ms(0))
    expect(outlookOf(endpoint, ms(1100), ms(250), new SpeedsDecider(), { cpuMilli: 10_000, memoryMb: 50, accelerators: 0 }).freeCpuMilli).to.equal(20_000)
    expect(outlookOf(endpoint, ms(1100), ms(250), new SpeedsDecider(), { cpuMilli: 10_000, memoryMb: 1, accelerators: 1 }).freeCpuMilli).to.equal(0)
  })

  it('expects nothing from the end of a run at an endpoint that has shrunk below what runs there', () => {
    const endpoint = new EndpointsDb().add({ ...REPORT, capacity: { ...REPORT.capacity, cpuMilli: 20_000 } }, ms(0))
    for (const task of ['a.0.0.0', 'a.0.0.1'] as TaskName[]) endpoint.runs.set(task, makeRun(endpoint, task, 1, ms(1000), { needs: NEEDS, expectedMs: 200, state: 'running' }))
    expect(outlookOf(endpoint, ms(1100), ms(250), new SpeedsDecider()).freeCpuMilli).to.equal(-20_000)
  })

  it('expects the whole endpoint back when a run of unknown size is no longer kept', () => {
    const { freeCpuMilli, ends } = outlookWith({ needs: undefined, expectedMs: undefined, state: 'unclaimed' })
    expect(freeCpuMilli).to.equal(0)
    expect(ends).to.deep.equal([{ at: 1250, cpuMilli: 64_000 }])
  })
})
