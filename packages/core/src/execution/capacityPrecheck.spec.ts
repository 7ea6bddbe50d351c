import { expect } from 'chai'
import { ms } from '@cranberryyard/protocol'
import type { Candidate } from '../placement/placementDecider.js'
import { anyFits, largestFreeCpu, smallestCpuNeed } from './capacityPrecheck.js'
import type { OwnedStep } from './types.js'

function step (cpuMilli: number, unfinishedTasks: number): OwnedStep {
  const spec = { count: 1, needs: { cpuMilli, memoryMb: 0, accelerators: 0 }, estimateMs: ms(1), after: [], requiredLabel: '', preferredRack: '', maxPerEndpoint: 0 }
  return { spec, tasks: [], unfinishedTasks, finishedRunMs: [] }
}

const candidateWith = (cpuMilli: number): Candidate => ({ endpoint: {} as Candidate['endpoint'], freeCapacity: { cpuMilli, memoryMb: 0, accelerators: 0 }, startsLeft: 1 })

describe('check whether any waiting task fits', () => {
  it('uses the largest free CPU of a single endpoint, not the sum', () => {
    expect([largestFreeCpu([candidateWith(3000), candidateWith(9000), candidateWith(5000)]), largestFreeCpu([])]).to.deep.equal([9000, 0])
  })

  it('considers only steps with unfinished tasks', () => {
    expect([smallestCpuNeed({ steps: [step(1000, 0), step(4000, 2)] }), smallestCpuNeed({ steps: [step(1000, 0)] })]).to.deep.equal([4000, Infinity])
  })

  it('finds the one job with a task that fits', () => {
    const jobs = [{ steps: [step(9000, 1)] }, { steps: [step(4000, 1)] }]
    expect([anyFits(jobs, 3999), anyFits(jobs, 4000), anyFits([], 4000)]).to.deep.equal([false, true, false])
  })
})
