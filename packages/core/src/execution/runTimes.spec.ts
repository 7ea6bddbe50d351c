import { expect } from 'chai'
import { seededRandom } from '../utils/random.js'
import { RunTimeModel } from './runTimes.js'

const random = seededRandom(1)
const between = (low: number, high: number): number => low + (high - low) * random.below(10_000) / 10_000

describe('learned run times', () => {
  it('trust the estimate while nothing has been learned', () => {
    expect(new RunTimeModel().expectedMs(80)).to.equal(80)
    expect(new RunTimeModel().lowMs(80, 2)).to.equal(80)
  })

  it('correct estimates that are off by a constant factor', () => {
    const model = new RunTimeModel()
    for (let i = 0; i < 1000; i++) {
      const ranMs = between(50, 500)
      model.record(ranMs / 2, ranMs)
    }
    expect(model.expectedMs(50)).to.be.within(95, 105)
    expect(model.expectedMs(200)).to.be.within(380, 420)
  })

  it('expect the usual run time where estimates say nothing, and a spread around it', () => {
    const model = new RunTimeModel()
    for (let i = 0; i < 3000; i++) model.record(between(50, 150), between(80, 120))
    expect(model.expectedMs(50)).to.be.within(75, 110)
    expect(model.expectedMs(150)).to.be.within(90, 125)
    expect(model.lowMs(100, 1)).to.be.within(80, 95)
  })

  it('are hardly changed by a stalled run', () => {
    const model = new RunTimeModel()
    for (let i = 0; i < 500; i++) model.record(100, 100)
    model.record(100, 60_000)
    expect(model.expectedMs(100)).to.be.below(105)
  })
})
