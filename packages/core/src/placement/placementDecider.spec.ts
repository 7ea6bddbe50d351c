import { expect } from 'chai'
import type { EndpointId, EndpointReport, FailureDomain, InstanceId, ServiceName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { EndpointsDb, freeCapacityOf } from '../endpoints/endpointsDb.js'
import { SHARD_DEFAULTS } from '../shard/settings.js'
import { ShardOutbox } from '../shard/types.js'
import type { ShardContext } from '../shard/types.js'
import { PlacementDecider } from './placementDecider.js'
import type { Candidate } from './placementDecider.js'
import type { PlacementRequest } from './types.js'

const SERVICE = 's' as ServiceName
const REQUEST: PlacementRequest = {
  service: SERVICE,
  needs: { cpuMilli: 14_000, memoryMb: 1, accelerators: 0 },
  requiredLabel: '',
  preferredRack: '',
  avoid: new Set(),
  tasksAt: undefined,
  maxPerEndpoint: 0,
  exclusive: false
}

function setUp (): { ctx: ShardContext, placement: PlacementDecider } {
  const ctx: ShardContext = { self: { instance: 'i' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'i', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(1000), suspendedMs: ms(0) }
  return { ctx, placement: new PlacementDecider(ctx) }
}

function candidates (...specs: readonly { id: string, cpuMilli: number, labels?: readonly string[] }[]): Candidate[] {
  const db = new EndpointsDb()
  return specs.map(({ id, cpuMilli, labels = [] }) => {
    const report: EndpointReport = { id: id as EndpointId, service: SERVICE, address: id, failureDomain: 'd' as FailureDomain, draining: false, capacity: { cpuMilli, memoryMb: 100, accelerators: 0 }, labels, bornAt: 0 }
    const endpoint = db.add(report, ms(0))
    return { endpoint, freeCapacity: freeCapacityOf(endpoint), startsLeft: 1 }
  })
}

const chooseId = (placement: PlacementDecider, from: readonly Candidate[], request = REQUEST): string | undefined => placement.choose(request, from)?.endpoint.id

describe('placement', () => {
  it('chooses the endpoint that the task leaves with the least unused capacity', () => {
    const { placement } = setUp()
    expect(chooseId(placement, candidates({ id: 'wide', cpuMilli: 48_000 }, { id: 'tight', cpuMilli: 16_000 }, { id: 'small', cpuMilli: 8000 }))).to.equal('tight')
  })

  it('leaves out an endpoint that has as many unanswered starts as it may have', () => {
    const { placement } = setUp()
    const [busy, other] = candidates({ id: 'busy', cpuMilli: 16_000 }, { id: 'other', cpuMilli: 48_000 }) as [Candidate, Candidate]
    expect(chooseId(placement, [{ ...busy, startsLeft: 0 }, other])).to.equal('other')
  })

  it('respects the required label, the preferred rack and the endpoints to avoid', () => {
    const { placement } = setUp()
    const from = candidates({ id: 'plain', cpuMilli: 16_000 }, { id: 'labelled', cpuMilli: 48_000, labels: ['gpu', 'r-1'] })
    expect(chooseId(placement, from, { ...REQUEST, requiredLabel: 'gpu' })).to.equal('labelled')
    expect(chooseId(placement, from, { ...REQUEST, preferredRack: 'r-1' })).to.equal('labelled')
    expect(chooseId(placement, from, { ...REQUEST, avoid: new Set(['plain' as EndpointId]) })).to.equal('labelled')
  })

  it('starts a task that would be late at a slow endpoint at a quick one, and waits for one that is busy', () => {
    const { placement } = setUp()
    const from = candidates({ id: 'slow', cpuMilli: 16_000, labels: ['a'] }, { id: 'quick', cpuMilli: 48_000, labels: ['b'] })
    const [slow, quick] = from as [Candidate, Candidate]
    for (let i = 0; i < 100; i++) {
      placement.speeds.record(slow.endpoint.report, 70, 100)
      placement.speeds.record(quick.endpoint.report, 170, 100)
    }
    expect([slow, quick].map(({ endpoint }) => placement.speeds.speedOf(endpoint.report) > 1)).to.deep.equal([false, true])
    const urgent = { ...REQUEST, timing: { runMs: 760, budgetMs: 850 } }
    expect(chooseId(placement, from, urgent)).to.equal('quick')
    expect(chooseId(placement, [slow], urgent)).to.equal(undefined)
    // Late everywhere by now, it starts where there is room; one that can wait leaves the quick endpoint alone.
    expect(chooseId(placement, [slow], { ...REQUEST, timing: { runMs: 760, budgetMs: 300 } })).to.equal('slow')
    expect(chooseId(placement, from, { ...REQUEST, timing: { runMs: 60, budgetMs: 900 } })).to.equal('slow')
  })

  it('quarantines an endpoint after two failures and trusts it again after one successful trial', () => {
    const { ctx, placement } = setUp()
    const from = candidates({ id: 'bad', cpuMilli: 16_000 })
    const id = 'bad' as EndpointId
    placement.recordFailure(id)
    expect(chooseId(placement, from)).to.equal('bad')
    placement.recordFailure(id)
    expect(chooseId(placement, from)).to.equal(undefined)
    ctx.now = ms(ctx.now + 600)
    expect(chooseId(placement, from)).to.equal('bad')
    placement.recordPlacement(id)
    expect(chooseId(placement, from)).to.equal(undefined)
    placement.recordCompletion(id, 1)
    expect(chooseId(placement, from)).to.equal('bad')
  })

  it('retracts a failure when the task failed on another endpoint too', () => {
    const { placement } = setUp()
    const id = 'good' as EndpointId
    placement.recordFailure(id)
    placement.recordFailure(id)
    placement.retractFailure(id)
    expect(placement.isQuarantined(id)).to.equal(false)
  })

  it('quarantines an endpoint for a single stalled run, but not for a single moderately slow one', () => {
    const { placement } = setUp()
    const id = 'e' as EndpointId
    placement.recordSlowRun(id, 3)
    expect(placement.isQuarantined(id)).to.equal(false)
    placement.recordSlowRun(id, 10)
    expect(placement.isQuarantined(id)).to.equal(true)
  })
})
