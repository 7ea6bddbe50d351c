import { expect } from 'chai'
import { ms } from '@cranberryyard/protocol'
import type { Candidate } from '../placement/placementDecider.js'
import { anyFits, largestRoom, leastCpu } from './quickFit.js'
import type { OwnedStep } from './types.js'

function step (cpuMilli: number, missing: number): OwnedStep {
  const spec = { count: 1, needs: { cpuMilli, memoryMb: 0, accelerators: 0 }, estimateMs: ms(1), after: [], requiredLabel: '', preferredRack: '', maxPerEndpoint: 0 }
  return { spec, tasks: [], missing, ranMs: [] }
}

const room = (cpuMilli: number): Candidate => ({ endpoint: {} as Candidate['endpoint'], room: { cpuMilli, memoryMb: 0, accelerators: 0 } })

describe('the quick look at a full shard', () => {
  it('takes the largest room of one endpoint, not the sum', () => {
    expect([largestRoom([room(3000), room(9000), room(5000)]), largestRoom([])]).to.deep.equal([9000, 0])
  })

  it('counts steps with unfinished tasks only', () => {
    expect([leastCpu({ steps: [step(1000, 0), step(4000, 2)] }), leastCpu({ steps: [step(1000, 0)] })]).to.deep.equal([4000, Infinity])
  })

  it('finds the one job that fits', () => {
    const jobs = [{ steps: [step(9000, 1)] }, { steps: [step(4000, 1)] }]
    expect([anyFits(jobs, 3999), anyFits(jobs, 4000), anyFits([], 4000)]).to.deep.equal([false, true, false])
  })
})
