import { expect } from 'chai'
import type { ServiceName } from '@cranberryyard/protocol'
import { seededRandom } from '../utils/random.js'
import { strandedCpu } from './idleRoom.js'
import { PackingDecider } from './packingDecider.js'

const SERVICE = 's' as ServiceName
const needs = (cpuMilli: number): { cpuMilli: number, memoryMb: number, accelerators: number } => ({ cpuMilli, memoryMb: 1, accelerators: 0 })

function learned (...sizes: readonly number[]): PackingDecider {
  const packing = new PackingDecider()
  for (const cpuMilli of sizes) packing.db.of(SERVICE).record(needs(cpuMilli), 4)
  return packing
}

describe('packing', () => {
  it('expects as many tasks in a room as their sizes allow', () => {
    const sizes = learned(8000, 8000, 8000).db.of(SERVICE)
    expect([7999, 8000, 16_000, 23_999].map(room => sizes.tasksIn(room))).to.deep.equal([0, 1, 2, 2])
    const uneven = learned(5000, 11_000).db.of(SERVICE)
    // Half of the tasks fit into 8 cores; in 16 cores there is room for one of each size.
    expect([8000, 16_000].map(room => uneven.tasksIn(room))).to.deep.equal([0.5, 2])
  })

  it('counts tasks that ask for no CPU without a bound on their number', () => {
    expect(learned(0).db.of(SERVICE).tasksIn(32_000)).to.equal(32_000)
  })

  it('treats all places alike where all tasks have one size', () => {
    const packing = learned(8000, 8000)
    expect(packing.slotsTaken(SERVICE, 16_000, 8000)).to.equal(packing.slotsTaken(SERVICE, 9000, 8000))
  })

  it('leaves room that a larger task would fill alone where a small one takes less from others', () => {
    const packing = learned(5000, 6000, 7000, 8000, 9000, 10_000, 11_000, 12_000)
    expect(packing.slotsTaken(SERVICE, 16_000, 5000)).to.be.lessThan(packing.slotsTaken(SERVICE, 9000, 5000))
    expect(packing.slotsTaken(SERVICE, 5000, 5000)).to.be.lessThan(packing.slotsTaken(SERVICE, 12_000, 5000))
  })

  it('reports no stranded room while a task fits, and the room of the tasks that would fit at one endpoint otherwise', () => {
    const rooms = [needs(4000), needs(5000)]
    expect(strandedCpu(rooms, [{ needs: needs(5000), tasks: 1 }])).to.equal(0)
    expect(strandedCpu(rooms, [{ needs: needs(8000), tasks: 3 }])).to.equal(8000)
    expect(strandedCpu(rooms, [{ needs: needs(10_000), tasks: 1 }])).to.equal(0)
  })

  it('strands less room than best fit does, with tasks of 5 to 12 cores on endpoints of 16, 16 and 24 cores that never run idle', () => {
    const [bestFit, packed] = [false, true].map(isPacking => [1, 2, 3, 4].reduce((sum, seed) => sum + strandedShareOf(seed, isPacking), 0) / 4) as [number, number]
    expect(packed).to.be.lessThan(bestFit)
  })
})

/** Starts the first waiting task that fits at the best place, and ends a random run whenever none fits. @returns mean share of stranded room */
function strandedShareOf (seed: number, isPacking: boolean): number {
  const random = seededRandom(seed)
  const drawSize = (): number => 5000 + random.below(8) * 1000
  const packing = learned(...Array.from({ length: 64 }, drawSize))
  const capacities: readonly number[] = Array.from({ length: 12 }, (_, i) => i % 3 === 2 ? 24_000 : 16_000)
  const free = [...capacities]
  const waiting = Array.from({ length: 6 }, drawSize)
  const runs: { endpoint: number, size: number }[] = []
  const total = capacities.reduce((a, b) => a + b, 0)
  let stranded = 0
  for (let ends = 0; ends < 2000; ends++) {
    for (let place = choose(); place !== undefined; place = choose()) {
      runs.push(place)
      free[place.endpoint] = (free[place.endpoint] as number) - place.size
      waiting.splice(waiting.indexOf(place.size), 1, drawSize())
    }
    stranded += strandedCpu(free.map(needs), waiting.map(size => ({ needs: needs(size), tasks: 1 }))) / total
    const [ended] = runs.splice(random.below(runs.length), 1)
    if (ended !== undefined) free[ended.endpoint] = (free[ended.endpoint] as number) + ended.size
  }
  return stranded / 2000

  function choose (): { endpoint: number, size: number } | undefined {
    for (const size of waiting) {
      const scores = free.map((room, i) => room < size ? Infinity : (room - size) / (capacities[i] as number) + (isPacking ? packing.slotsTaken(SERVICE, room, size) : 0))
      const best = scores.indexOf(Math.min(...scores))
      if (scores[best] !== Infinity) return { endpoint: best, size }
    }
    return undefined
  }
}
