import { expect } from 'chai'
import { decode, encode } from '@msgpack/msgpack'
import fc from 'fast-check'
import { MessageSplitter } from './messageSplitter.js'

/** Values of every kind that MessagePack tells apart by their size. */
const SIZED_VALUES: readonly unknown[] = [
  0,
  -1,
  127,
  128,
  256,
  65_536,
  2 ** 40,
  -33,
  -200,
  -40_000,
  -(2 ** 40),
  0.5,
  true,
  false,
  null,
  '',
  'x'.repeat(31),
  'x'.repeat(32),
  'x'.repeat(300),
  'x'.repeat(70_000),
  [],
  Array(15).fill(1),
  Array(16).fill('y'),
  Array(70_000).fill(0),
  {},
  Object.fromEntries(Array.from({ length: 20 }, (_, i) => [`k${i}`, [i]])),
  Object.fromEntries(Array.from({ length: 70_000 }, (_, i) => [i, null])),
  new Uint8Array(3),
  new Uint8Array(300),
  new Uint8Array(70_000),
  new Date(1e12),
  new Date(5)
]

function split (bytes: Uint8Array, chunkBytes: (i: number) => number): unknown[] {
  const splitter = new MessageSplitter()
  const values: unknown[] = []
  for (let at = 0, i = 0; at < bytes.length; i++) {
    const size = Math.max(1, chunkBytes(i))
    for (const value of splitter.push(Buffer.from(bytes.subarray(at, at + size)))) values.push(decode(value))
    at += size
  }
  return values
}

describe('the splitter of messages', () => {
  it('finds the ends of values of every size, wherever the chunks end', () => {
    const stream = Buffer.concat(SIZED_VALUES.map(value => encode(value)))
    for (const chunkBytes of [1447, 4096, 65_536, stream.length]) expect(split(stream, () => chunkBytes), `${chunkBytes}`).to.deep.equal(SIZED_VALUES)
    const short = SIZED_VALUES.filter(value => encode(value).length < 1000)
    for (const chunkBytes of [1, 2, 3, 7]) expect(split(Buffer.concat(short.map(value => encode(value))), () => chunkBytes), `${chunkBytes}`).to.deep.equal(short)
  })

  it('finds the ends of any values in any chunks', () => {
    fc.assert(fc.property(fc.array(fc.jsonValue()), fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }), (values, sizes) => {
      const bytes = Buffer.concat(values.map(value => encode(value)))
      expect(split(bytes, i => sizes[i % sizes.length] ?? 1)).to.deep.equal(values.map(value => decode(encode(value))))
    }), { seed: 1 })
  })

  it('returns a value as soon as its last byte has arrived', () => {
    const splitter = new MessageSplitter()
    const bytes = Buffer.from(encode(['a', { text: 'b' }]))
    expect(splitter.push(bytes.subarray(0, -1))).to.deep.equal([])
    expect(splitter.push(bytes.subarray(-1)).map(value => decode(value))).to.deep.equal([['a', { text: 'b' }]])
  })

  it('rejects what is no MessagePack, and values that are longer than any message', () => {
    expect(() => new MessageSplitter().push(Buffer.from([0xc1]))).to.throw('not MessagePack')
    for (const type of [0xdb, 0xdd, 0xdf]) expect(() => new MessageSplitter().push(Buffer.from([type, 0xff, 0xff, 0xff, 0xff])), `${type}`).to.throw('too long')
  })
})
