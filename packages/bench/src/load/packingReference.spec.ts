import { expect } from 'chai'
import type { PlannedJob } from './arrivals.js'
import { playPackingReference } from './packingReference.js'
import { playReference } from './reference.js'
import type { LoadShape } from './shape.js'

type Kind = PlannedJob['kind']

const KIND: Kind = { name: 'k', perSecond: 1, width: 1, widthSpread: 0, runMs: 200, runSpread: 0, unevenness: 0, tail: 0, tailFactor: 1, cpuMilli: 9000, cpuSpread: 0, estimateError: 0, priority: 0, stretch: 1.6, latencyObjectiveMs: 60, worth: 1, lateShare: 0.2, retries: 0 }
const job = (cpuMilli: number, runMs: readonly number[]): PlannedJob => ({ atMs: 0, kind: KIND, domain: 0, instance: 0, cpuMilli, runMs, estimateMs: 200, worth: 1 })

function shapeOf (...endpoints: LoadShape['endpoints']): LoadShape {
  return { name: 's', description: '', durationS: 1, domains: 1, instancesPerDomain: 1, traffic: [], endpoints, kinds: [KIND], faults: [] }
}

describe('the packing reference', () => {
  it('serves no task that fits only into the room of two endpoints, which the dividing one does', () => {
    const shape = shapeOf({ count: 4, cpuMilli: 16_000, speed: 1 })
    const jobs = [job(9000, [200, 200, 200, 200]), job(7000, [200])]
    const wide = [...jobs, job(9000, [200, 200])]
    expect(playPackingReference(shape, jobs).size).to.equal(2)
    expect(playPackingReference(shape, wide).size).to.equal(2)
    expect(playReference(shape, wide).size).to.equal(3)
  })

  it('runs a task where it ends in time', () => {
    expect(playPackingReference(shapeOf({ count: 1, cpuMilli: 16_000, speed: 0.5 }), [job(9000, [200])]).size).to.equal(0)
    expect(playPackingReference(shapeOf({ count: 1, cpuMilli: 16_000, speed: 0.5 }, { count: 1, cpuMilli: 16_000, speed: 1.7 }), [job(9000, [200])]).size).to.equal(1)
  })
})
