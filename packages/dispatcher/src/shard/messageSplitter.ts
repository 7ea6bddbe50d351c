/**
 * Finds the ends of MessagePack values in a stream of bytes. The stream decoder of the MessagePack library tries to read on at the end of each chunk
 * and catches its own exception; where messages are small that costs more than the decoding.
 */

/** Bytes of one value after which the stream counts as invalid. A desired state with a few thousand queues is shorter. */
const MAX_VALUE_BYTES = 16 * 1024 * 1024
const NO_BYTES = Buffer.alloc(0)

/** Length of a value with this first byte, if all such values are equally long. */
const FIXED_LENGTHS = new Map<number, number>([
  ...sameFor(1, 0xc0, 0xc2, 0xc3),
  ...sameFor(2, 0xcc, 0xd0),
  ...sameFor(3, 0xcd, 0xd1, 0xd4),
  ...sameFor(4, 0xd5),
  ...sameFor(5, 0xca, 0xce, 0xd2),
  ...sameFor(6, 0xd6),
  ...sameFor(9, 0xcb, 0xcf, 0xd3),
  ...sameFor(10, 0xd7),
  ...sameFor(18, 0xd8)
])

/** The form of a value whose size follows its first byte. */
interface SizedForm {
  /** What the size counts. */
  readonly unit: 'bytes' | 'entries' | 'pairs'
  readonly sizeBytes: 1 | 2 | 4
  /** Bytes of the header behind the size. */
  readonly typeBytes: 0 | 1
}

/** The first byte of sized values: binary data, extensions, texts, arrays and maps. */
const SIZED_FORMS = new Map<number, SizedForm>([
  ...sized('bytes', 0, [[0xc4, 1], [0xc5, 2], [0xc6, 4]]),
  ...sized('bytes', 1, [[0xc7, 1], [0xc8, 2], [0xc9, 4]]),
  ...sized('bytes', 0, [[0xd9, 1], [0xda, 2], [0xdb, 4]]),
  ...sized('entries', 0, [[0xdc, 2], [0xdd, 4]]),
  ...sized('pairs', 0, [[0xde, 2], [0xdf, 4]])
])

function sameFor (length: number, ...types: readonly number[]): [number, number][] {
  return types.map(type => [type, length])
}

function sized (unit: SizedForm['unit'], typeBytes: 0 | 1, types: readonly (readonly [number, 1 | 2 | 4])[]): [number, SizedForm][] {
  return types.map(([type, sizeBytes]) => [type, { unit, typeBytes, sizeBytes }])
}

/** Splits the bytes of one connection. */
export class MessageSplitter {
  /** Bytes of the value in progress. */
  private bytes: Buffer = NO_BYTES
  /** Where in `bytes` the next part of the value begins; may lie beyond their end. */
  private position = 0
  /** Number of parts that the value in progress still lacks, an array or a map being followed by its entries. */
  private partsLeft = 1

  /**
   * Takes the next bytes. Throws if they are no MessagePack.
   * @returns the values that are complete now
   */
  push (chunk: Buffer): Buffer[] {
    this.bytes = this.bytes.length === 0 ? chunk : Buffer.concat([this.bytes, chunk])
    const values: Buffer[] = []
    let start = 0
    for (;;) {
      this.skipParts()
      if (this.position - start > MAX_VALUE_BYTES || this.partsLeft > MAX_VALUE_BYTES) throw new Error('received a message that is too long')
      if (this.partsLeft > 0 || this.position > this.bytes.length) break
      values.push(this.bytes.subarray(start, this.position))
      start = this.position
      this.partsLeft = 1
    }
    this.bytes = start === this.bytes.length ? NO_BYTES : this.bytes.subarray(start)
    this.position -= start
    return values
  }

  /** Moves to the end of the value, or as far as its bytes have arrived. */
  private skipParts (): void {
    while (this.partsLeft > 0 && this.position < this.bytes.length) {
      if (!this.skipPart()) return
    }
  }

  /** Moves behind the part that begins at `position`. @returns false if its header is not complete yet */
  private skipPart (): boolean {
    const type = this.bytes[this.position] as number
    if (type < 0x80 || type >= 0xe0) return this.skip(1, 0)
    if (type < 0x90) return this.skip(1, (type - 0x80) * 2)
    if (type < 0xa0) return this.skip(1, type - 0x90)
    if (type < 0xc0) return this.skip(1 + type - 0xa0, 0)
    const fixedLength = FIXED_LENGTHS.get(type)
    if (fixedLength !== undefined) return this.skip(fixedLength, 0)
    const form = SIZED_FORMS.get(type)
    if (form === undefined) throw new Error('received data that is not MessagePack')
    const headerBytes = 1 + form.sizeBytes + form.typeBytes
    if (this.position + 1 + form.sizeBytes > this.bytes.length) return false
    const size = this.bytes.readUIntBE(this.position + 1, form.sizeBytes)
    switch (form.unit) {
      case 'bytes': return this.skip(headerBytes + size, 0)
      case 'entries': return this.skip(headerBytes, size)
      case 'pairs': return this.skip(headerBytes, size * 2)
    }
  }

  private skip (bytes: number, parts: number): true {
    this.position += bytes
    this.partsLeft += parts - 1
    return true
  }
}
