import { expect } from 'chai'
import fc from 'fast-check'
import type { HolderId } from '@cranberryyard/protocol'
import { shareOf } from './shares.js'

describe('shareOf', () => {
  it('splits any limit into whole shares whose sum is the limit', () => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 5000 }), fc.integer({ min: 1, max: 40 }), fc.string(), (limit, count, customer) => {
      const holders = Array.from({ length: count }, (_, i) => `entry-${i}#1` as HolderId)
      const total = holders.reduce((sum, h) => sum + shareOf(limit, customer, holders, h), 0)
      expect(total).to.equal(limit)
    }), { seed: 1 })
  })

  it('is 0 for a holder that is not on the roster', () => {
    expect(shareOf(100, 'a', ['x#1' as HolderId], 'y#1' as HolderId)).to.equal(0)
  })
})
