import { expect } from 'chai'
import { ms } from '@cranberryyard/protocol'
import { SocketReads } from './socketReads.js'

describe('the reads of a process', () => {
  it('reach to the time before they were made, not to the time at which a slow process has handled them', async () => {
    let now = 5
    const reads = new SocketReads({ now: () => ms(now) })
    const read = new Promise<void>(resolve => reads.afterNextRead(resolve))
    now = 395
    await read
    expect([reads.upTo, reads.endedAt]).to.deep.equal([5, 395])
  })

  it('have accepted all connections only when they found none: of those that wait, a turn of the event loop accepts one', async () => {
    let now = 5
    const reads = new SocketReads({ now: () => ms(now) })
    now = 10
    const first = new Promise<void>(resolve => reads.afterNextRead(resolve))
    reads.accepted()
    await first
    expect([reads.upTo, reads.acceptedUpTo]).to.deep.equal([10, 5])
    now = 20
    await new Promise<void>(resolve => reads.afterNextRead(resolve))
    expect([reads.upTo, reads.acceptedUpTo]).to.deep.equal([20, 20])
  })
})
