import { expect } from 'chai'
import { encode } from '@msgpack/msgpack'
import fc from 'fast-check'
import { MessageFramer } from './messageFramer.js'

const value = fc.letrec(tie => ({
  value: fc.oneof({ maxDepth: 5 }, fc.string(), fc.integer(), fc.double(), fc.boolean(), fc.constant(null), fc.bigInt(0n, 2n ** 60n).map(Number), fc.string({ minLength: 200, maxLength: 70_000 }), fc.array(tie('value'), { maxLength: 40 }), fc.dictionary(fc.string(), tie('value')), fc.date({ noInvalidDate: true }))
})).value
const envelope = fc.tuple(fc.string(), value, value)

function framesOf (bytes: Buffer, pieceBytes: readonly number[]): Buffer[] {
  const framer = new MessageFramer()
  const frames: Buffer[] = []
  let start = 0
  for (const length of [...pieceBytes, Infinity]) {
    const piece = bytes.subarray(start, Math.min(bytes.length, start + length))
    if (piece.length > 0) framer.receive(piece, message => frames.push(Buffer.from(message)))
    start += length
  }
  expect(framer.isInside).to.equal(false)
  return frames
}

const refusal = (bytes: Buffer): string => {
  try {
    new MessageFramer().receive(bytes, () => {})
    return ''
  } catch (err) {
    return (err as Error).message
  }
}

describe('the framer of messages', () => {
  it('finds each message, however the bytes are divided', () => {
    fc.assert(fc.property(fc.array(envelope, { minLength: 1, maxLength: 4 }), fc.array(fc.integer({ min: 1, max: 300 }), { maxLength: 20 }), (messages, pieces) => {
      const encoded = messages.map(message => Buffer.from(encode(message)))
      expect(framesOf(Buffer.concat(encoded), pieces)).to.deep.equal(encoded)
    }), { seed: 5, numRuns: 200 })
  })

  it('refuses data that would cost more than it has bytes', () => {
    expect(refusal(Buffer.from('dd000186a0', 'hex'))).to.match(/not a message/)
    expect(refusal(Buffer.concat([Buffer.from('92a161', 'hex'), Buffer.alloc(1000, 0x91)]))).to.match(/nested/)
    expect(refusal(Buffer.concat([Buffer.from('92a161dd00100000', 'hex')]))).to.match(/values/)
    expect(refusal(Buffer.concat([Buffer.from('92a161', 'hex'), ...Array.from({ length: 20 }, () => Buffer.concat([Buffer.from('dd0000c350', 'hex'), Buffer.alloc(49_999, 0xc0)]))]))).to.match(/values/)
    expect(refusal(Buffer.from('92a161dbffffffff', 'hex'))).to.match(/longer/)
  })

  it('holds no more than four times what has arrived', () => {
    const framer = new MessageFramer()
    framer.receive(Buffer.from('92a161db000f4240', 'hex'), () => {})
    for (let i = 0; i < 100; i++) framer.receive(Buffer.alloc(1000), () => {})
    expect(framer.heldBytes).to.be.within(100_000, 400_000)
  })
})
