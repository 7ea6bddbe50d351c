import type { Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { expect } from 'chai'
import { ConnectionReads } from './connectionReads.js'

describe('the reads of a connection', () => {
  let process: { upTo: Ms, acceptedUpTo: Ms, accepted: () => void }
  let reads: ConnectionReads

  beforeEach(() => {
    process = { upTo: ms(100), acceptedUpTo: ms(40), accepted () {} }
    reads = new ConnectionReads(process, ms(90))
  })

  it('are those of the process while nothing waits', () => {
    expect(reads.behindAt()).to.equal(undefined)
  })

  it('end where those of the process did when the first of what waits arrived', () => {
    reads.update('some', ms(110))
    process.upTo = ms(150)
    reads.update('some', ms(160))
    expect(reads.behindAt()).to.equal(100)
  })

  it('do not catch up before the process has read once more, since an end that came with the last bytes is read after them', () => {
    reads.update('some', ms(110))
    process.upTo = ms(150)
    reads.update('none', ms(160))
    expect(reads.behindAt()).to.equal(100)
    process.upTo = ms(170)
    expect(reads.behindAt()).to.equal(undefined)
  })

  it('move on with input that goes on and on but is read each time, as far as they had come when the input before was read', () => {
    for (let at = 200; at < 2000; at += 50) {
      process.upTo = ms(at - 10)
      reads.update('some', ms(at))
      reads.update('none', ms(at + 20))
      reads.update('some', ms(at + 45))
      expect(reads.behindAt()).to.be.at.least(at - 10)
      reads.update('none', ms(at + 46))
    }
  })

  it('of which the first input follows its acceptance end where the process had accepted all connections', () => {
    reads = new ConnectionReads(process, ms(105))
    expect(reads.behindAt()).to.equal(40)
    reads.update('full', ms(106))
    process.upTo = ms(150)
    expect(reads.behindAt()).to.equal(40)
  })

  it('of a connection that has just been accepted catch up with the next read of the process', () => {
    reads = new ConnectionReads(process, ms(105))
    process.upTo = ms(106)
    expect(reads.behindAt()).to.equal(undefined)
  })

  it('do not move on with input that the kernel may have held, because the socket was full', () => {
    reads.update('full', ms(110))
    process.upTo = ms(500)
    reads.update('none', ms(510))
    reads.update('some', ms(511))
    expect(reads.behindAt()).to.equal(100)
    process.upTo = ms(520)
    reads.update('none', ms(530))
    reads.update('some', ms(531))
    expect(reads.behindAt()).to.equal(520)
  })
})
