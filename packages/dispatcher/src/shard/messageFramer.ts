/**
 * Finds the ends of MessagePack values in a stream of bytes without decoding them. A decoder that reads a stream allocates what a value announces, so
 * that five bytes cost a list of 100,000 elements, and nests as deeply as the sender likes. Here a value is decoded once it is complete, and whatever it
 * announces has arrived.
 */
import { GrowingBuffer } from '../utils/growingBuffer.js'

/** Largest message; a desired state with a few thousand queues has about 1 MB. */
const MAX_MESSAGE_BYTES = 4_194_304
/** Most values in a message, names of fields included. */
const MAX_VALUES = 500_000
/** Deepest nesting; the deepest message has a third of it. */
const MAX_DEPTH = 48
/** First byte of the shortest and of the longest envelope, which is a list. */
const FIRST_BYTE_MIN = 0x92
const FIRST_BYTE_MAX = 0x94

/** What the first byte of a value says about the rest. */
const enum Kind { Fixed, Sized, Extension, List, Map }
const KINDS = new Uint8Array(256)
/** Bytes after the first one that hold a length or a number of elements, by first byte. */
const LENGTH_BYTES = new Uint8Array(256)
/** Content of values of a fixed size, in bytes, by first byte. */
const FIXED_BYTES = new Uint8Array(256)

for (const [kind, firsts] of [[Kind.Sized, [0xc4, 0xc5, 0xc6, 0xd9, 0xda, 0xdb]], [Kind.Extension, [0xc7, 0xc8, 0xc9]], [Kind.List, [0xdc, 0xdd]], [Kind.Map, [0xde, 0xdf]]] as const) {
  for (const first of firsts) KINDS[first] = kind
}
for (const [bytes, firsts] of [[1, [0xc4, 0xc7, 0xd9]], [2, [0xc5, 0xc8, 0xda, 0xdc, 0xde]], [4, [0xc6, 0xc9, 0xdb, 0xdd, 0xdf]]] as const) {
  for (const first of firsts) LENGTH_BYTES[first] = bytes
}
for (const [bytes, firsts] of [[1, [0xcc, 0xd0]], [2, [0xcd, 0xd1, 0xd4]], [3, [0xd5]], [4, [0xca, 0xce, 0xd2]], [5, [0xd6]], [8, [0xcb, 0xcf, 0xd3]], [9, [0xd7]], [17, [0xd8]]] as const) {
  for (const first of firsts) FIXED_BYTES[first] = bytes
}
for (let length = 0; length < 32; length++) FIXED_BYTES[0xa0 + length] = length

const UNUSED = 0xc1

/** Divides what arrives on one connection into messages. */
export class MessageFramer {
  private readonly collected = new GrowingBuffer()
  /** Where the next value begins, counted from the start of the message; may lie behind what has arrived. */
  private position = 0
  private values = 0
  /** Values that are missing in each list and map around the position, the outermost first. */
  private readonly missing: number[] = []

  /** @returns the bytes held for a message that is not complete */
  get heldBytes (): number {
    return this.collected.capacity
  }

  /** @returns whether part of a message has arrived */
  get isInside (): boolean {
    return this.collected.length > 0
  }

  /**
   * Takes what has arrived and calls back with each message that is complete now. The bytes of a message are valid during the call only.
   * Throws for data that cannot be a message.
   */
  receive (piece: Buffer, onMessage: (message: Buffer) => void): void {
    let bytes = piece
    if (this.isInside) {
      this.collected.append(piece)
      bytes = this.collected.bytes()
    }
    let start = 0
    for (;;) {
      const end = this.findEnd(bytes, start)
      if (end === undefined) break
      onMessage(bytes.subarray(start, end))
      start = end
    }
    if (start === 0 && this.isInside) return
    const rest = Buffer.from(bytes.subarray(start))
    this.collected.clear()
    if (rest.length > 0) this.collected.append(rest)
  }

  /** Frees what is held. */
  close (): void {
    this.collected.clear()
  }

  /** @returns the end of the message that begins at `start`, or undefined if it is not complete */
  private findEnd (bytes: Buffer, start: number): number | undefined {
    if (this.position === 0 && start < bytes.length) this.checkFirst(bytes[start] as number)
    const available = bytes.length - start
    for (;;) {
      if (this.position > MAX_MESSAGE_BYTES) throw new Error(`a message is longer than ${MAX_MESSAGE_BYTES} bytes`)
      if (this.position > 0 && this.missing.length === 0) {
        if (this.position > available) return undefined
        const end = start + this.position
        this.position = 0
        this.values = 0
        return end
      }
      if (this.position >= available || !this.skipValue(bytes, start + this.position)) return undefined
    }
  }

  private checkFirst (byte: number): void {
    if (byte < FIRST_BYTE_MIN || byte > FIRST_BYTE_MAX) throw new Error('received data that is not a message envelope')
  }

  /** Skips the value at an offset, of a list or map only its head. @returns false if its length has not arrived */
  private skipValue (bytes: Buffer, offset: number): boolean {
    const first = bytes[offset] as number
    const lengthBytes = LENGTH_BYTES[first] as number
    if (offset + 1 + lengthBytes > bytes.length) return false
    if (first === UNUSED) throw new Error('received data that is not MessagePack')
    if (++this.values > MAX_VALUES) throw new Error(`a message has more than ${MAX_VALUES} values`)
    const length = lengthBytes === 0 ? 0 : bytes.readUIntBE(offset + 1, lengthBytes)
    this.position += 1 + lengthBytes + contentBytes(first, length)
    this.count(childrenOf(first, length))
    return true
  }

  /** Counts a value as arrived, and the lists and maps that are complete with it; one with children is complete with the last of them. */
  private count (children: number): void {
    if (children > MAX_VALUES) throw new Error(`a message has more than ${MAX_VALUES} values`)
    if (children > 0) {
      this.missing.push(children)
      if (this.missing.length > MAX_DEPTH) throw new Error(`a message is nested more than ${MAX_DEPTH} deep`)
      return
    }
    while (this.missing.length > 0) {
      const left = (this.missing.pop() as number) - 1
      if (left > 0) {
        this.missing.push(left)
        return
      }
    }
  }
}

function contentBytes (first: number, length: number): number {
  switch (KINDS[first] as Kind) {
    case Kind.Sized: return length
    case Kind.Extension: return length + 1
    default: return FIXED_BYTES[first] as number
  }
}

function childrenOf (first: number, length: number): number {
  if (first >= 0x80 && first <= 0x8f) return 2 * (first & 0x0f)
  if (first >= 0x90 && first <= 0x9f) return first & 0x0f
  if (KINDS[first] === Kind.List) return length
  return KINDS[first] === Kind.Map ? 2 * length : 0
}
