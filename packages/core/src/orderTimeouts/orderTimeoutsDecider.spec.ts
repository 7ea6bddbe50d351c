import { expect } from 'chai'
import { SHARD_DEFAULTS } from '../shard/settings.js'
import { OrderTimeoutsDecider } from './orderTimeoutsDecider.js'

const { orderTimeoutMs, orderTimeoutMaxMs, holdWaitMs, supersededMs } = SHARD_DEFAULTS

function answer (timeouts: OrderTimeoutsDecider, times: number, roundTripMs: (i: number) => number): void {
  for (let i = 0; i < times; i++) timeouts.answered(roundTripMs(i))
}

describe('OrderTimeoutsDecider', () => {
  it('keeps the shortest timeout on a fast link, also when one answer in twenty is lost', () => {
    const timeouts = new OrderTimeoutsDecider(SHARD_DEFAULTS)
    expect(timeouts.timeoutMs()).to.equal(orderTimeoutMs)
    for (let i = 0; i < 500; i++) {
      answer(timeouts, 19, n => 1 + n % 4)
      expect(timeouts.timeoutMs()).to.equal(orderTimeoutMs)
      timeouts.answeredTooLate()
      expect(timeouts.timeoutMs()).to.equal(orderTimeoutMs)
      expect(timeouts.holdWaitMs()).to.equal(holdWaitMs)
    }
  })

  it('allows for slow answers and their spread, and for fast ones again', () => {
    const timeouts = new OrderTimeoutsDecider(SHARD_DEFAULTS)
    answer(timeouts, 200, n => 50 + 50 * (n % 2))
    expect(timeouts.timeoutMs()).to.be.within(150, orderTimeoutMaxMs)
    answer(timeouts, 200, () => 120)
    expect(timeouts.timeoutMs()).to.be.within(120, 125)
    answer(timeouts, 200, () => 3)
    expect(timeouts.timeoutMs()).to.equal(orderTimeoutMs)
  })

  it('learns from answers that come too late', () => {
    const timeouts = new OrderTimeoutsDecider(SHARD_DEFAULTS)
    for (let i = 0; i < 200; i++) timeouts.answeredTooLate()
    expect(timeouts.timeoutMs()).to.equal(orderTimeoutMaxMs)
  })

  it('never exceeds its bounds, and lets holds wait for as much less', () => {
    const timeouts = new OrderTimeoutsDecider(SHARD_DEFAULTS)
    for (const roundTripMs of [0, 90, 150, 400, 5000, 0, 80]) {
      answer(timeouts, 50, () => roundTripMs)
      expect(timeouts.timeoutMs()).to.be.within(orderTimeoutMs, orderTimeoutMaxMs)
      expect(timeouts.timeoutMs() + timeouts.holdWaitMs()).to.equal(orderTimeoutMs + holdWaitMs)
    }
  })

  it('leaves a superseded owner no orders after the time that its successor allows for', () => {
    expect(orderTimeoutMs + holdWaitMs).to.be.at.most(supersededMs)
    expect(orderTimeoutMaxMs).to.be.lessThan(orderTimeoutMs + holdWaitMs)
    expect(orderTimeoutMaxMs).to.be.lessThan(SHARD_DEFAULTS.startValidMs)
  })
})
