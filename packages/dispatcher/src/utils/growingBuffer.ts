/**
 * Collects bytes in one buffer that grows. Many small pieces would cost an object each if they were kept as they come, which is a hundred times
 * their size. Buffers are used again: the garbage collector knows nothing of the bytes behind them, so that a crowd could leave several
 * times of what it holds.
 */

/** Smallest buffer. Few different sizes make it likely that an unused one fits. */
const MIN_CAPACITY_BYTES = 4096
const GROWTH = 4
/** Unused buffers are kept up to this many bytes in total, and for so long after one was used. */
const MAX_UNUSED_BYTES = 16_777_216
const UNUSED_MS = 10_000

const unusedByCapacity = new Map<number, Buffer[]>()
let unusedBytes = 0
let unusedTimer: NodeJS.Timeout | undefined

function take (capacity: number): Buffer {
  const unused = unusedByCapacity.get(capacity)?.pop()
  // A buffer from the shared pool of Node would keep the whole pool alive.
  if (unused === undefined) return Buffer.allocUnsafeSlow(capacity)
  unusedBytes -= capacity
  return unused
}

function giveBack (buffer: Buffer): void {
  if (unusedBytes + buffer.length > MAX_UNUSED_BYTES) return
  unusedBytes += buffer.length
  const others = unusedByCapacity.get(buffer.length)
  if (others === undefined) unusedByCapacity.set(buffer.length, [buffer])
  else others.push(buffer)
  if (unusedTimer === undefined) unusedTimer = setTimeout(freeUnused, UNUSED_MS).unref()
  else unusedTimer.refresh()
}

function freeUnused (): void {
  unusedTimer = undefined
  unusedBytes = 0
  unusedByCapacity.clear()
}

/** Bytes that arrive in pieces. */
export class GrowingBuffer {
  private buffer: Buffer | undefined
  /** Bytes that have been collected. */
  length = 0

  /** @returns the size of the buffer, which is what the collected bytes cost */
  get capacity (): number {
    return this.buffer?.length ?? 0
  }

  /** Copies a piece to the end. */
  append (piece: Uint8Array): void {
    const needed = this.length + piece.length
    if (needed > this.capacity) this.grow(needed)
    this.buffer?.set(piece, this.length)
    this.length = needed
  }

  /** @returns the bytes collected so far, valid until the next change */
  bytes (): Buffer {
    return this.buffer?.subarray(0, this.length) ?? Buffer.alloc(0)
  }

  /** Forgets all bytes; the buffer may be used for others from now on. */
  clear (): void {
    if (this.buffer !== undefined) giveBack(this.buffer)
    this.buffer = undefined
    this.length = 0
  }

  private grow (needed: number): void {
    let capacity = Math.max(MIN_CAPACITY_BYTES, this.capacity)
    while (capacity < needed) capacity *= GROWTH
    const larger = take(capacity)
    if (this.buffer !== undefined) {
      larger.set(this.bytes())
      giveBack(this.buffer)
    }
    this.buffer = larger
  }
}
