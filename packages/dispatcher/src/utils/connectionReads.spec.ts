import { ms } from '@cranberryyard/protocol'
import { expect } from 'chai'
import { ConnectionReads } from './connectionReads.js'

describe('the reads of a connection', () => {
  it('are those of the process while nothing waits', () => {
    expect(new ConnectionReads({ upTo: ms(100) }).behindAt()).to.equal(undefined)
  })

  it('end where those of the process did when the first of what waits arrived', () => {
    const process = { upTo: ms(100) }
    const reads = new ConnectionReads(process)
    reads.waits()
    process.upTo = ms(150)
    reads.waits()
    expect(reads.behindAt()).to.equal(100)
  })

  it('do not catch up before the process has read once more, since the kernel may have held more', () => {
    const process = { upTo: ms(100) }
    const reads = new ConnectionReads(process)
    reads.waits()
    process.upTo = ms(150)
    reads.emptied(ms(160))
    expect(reads.behindAt()).to.equal(100)
    process.upTo = ms(170)
    expect(reads.behindAt()).to.equal(undefined)
  })

  it('stay behind when the next read brings more that was held in the kernel', () => {
    const process = { upTo: ms(100) }
    const reads = new ConnectionReads(process)
    reads.waits()
    process.upTo = ms(150)
    reads.emptied(ms(160))
    reads.waits()
    process.upTo = ms(170)
    expect(reads.behindAt()).to.equal(100)
  })
})
