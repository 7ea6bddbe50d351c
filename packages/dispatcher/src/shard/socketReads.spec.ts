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
})
