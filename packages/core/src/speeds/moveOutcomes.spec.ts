import { expect } from 'chai'
import type { ServiceName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { MoveOutcomes } from './moveOutcomes.js'

const SERVICE = 's' as ServiceName

describe('the outcomes of moves', () => {
  it('let slow runs be restarted until most restarts have not helped, and again after a while', () => {
    const outcomes = new MoveOutcomes()
    for (let i = 0; i < 2; i++) outcomes.record(SERVICE, false, ms(0))
    expect(outcomes.isWorthTrying(SERVICE, ms(0))).to.equal(true)
    outcomes.record(SERVICE, false, ms(0))
    expect(outcomes.isWorthTrying(SERVICE, ms(0))).to.equal(false)
    expect(outcomes.isWorthTrying('other' as ServiceName, ms(0))).to.equal(true)
    expect(outcomes.isWorthTrying(SERVICE, ms(30_000))).to.equal(true)
  })

  it('go on while restarts help', () => {
    const outcomes = new MoveOutcomes()
    for (let i = 0; i < 20; i++) outcomes.record(SERVICE, i % 3 > 0, ms(i))
    expect(outcomes.isWorthTrying(SERVICE, ms(20))).to.equal(true)
  })
})
