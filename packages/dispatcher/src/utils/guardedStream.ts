/**
 * What an HTTP server reads instead of a socket: bytes that have arrived wait in the socket until it is their connection's turn, and are handed on in
 * slices. A socket in which many bytes wait is not read on; its connection is then counted with all that its receive buffer may hold. After the last
 * answer, input that the server leaves is dropped for a while.
 */
import { RECEIVE_BUFFER_BYTES } from '@cranberryyard/core/shard'
import type { Turn } from '@cranberryyard/core/shard'
import { Duplex } from 'node:stream'
import type { Socket } from 'node:net'
import type { UnreadInput } from './connectionReads.js'
import type { InputReader, InputTurns } from './inputTurns.js'
import { countPiece } from './pieceCollection.js'

/** Bytes that are handed on at once. In chunks of one byte, they take a millisecond or two. */
const SLICE_BYTES = 4096
/** Cost of handing on a slice, and the bytes that cost a unit in addition. */
const SLICE_UNITS = 1
const BYTES_PER_UNIT = 1024
/** Most bytes that are read and dropped after the last answer of a connection whose other side goes on sending. */
const MAX_DISCARDED_BYTES = 4_194_304
/** Longest time for which that goes on. */
const MAX_DISCARDING_MS = 1000

/** Counts what waits on a connection. */
export interface InputCounts {
  /** Adds to the bytes that are held. */
  hold (bytes: number): void
  /** Sets whether bytes wait for their turn. */
  setAwaitsTurn (awaitsTurn: boolean): void
  /** Notes what has arrived and is not read yet, for whatever reason; called when input arrives and after each read. */
  noteUnread (unread: UnreadInput): void
  /** Notes that the last answer is written, and that what arrives is dropped from now on. */
  noteAnswered (): void
}

/** A connection as an HTTP server reads and writes it. */
export class GuardedStream extends Duplex implements InputReader {
  private heldBytes = 0
  /** Whether the reader takes more. */
  private wanted = false
  /** Whether the reader has left input that the other side may still be sending. */
  private leavesInput = false
  /** Bytes that may still be read and dropped; undefined while the reader gets what arrives. */
  private discardableBytes: number | undefined
  private discardTimer: NodeJS.Timeout | undefined

  constructor (private readonly socket: Socket, private readonly turns: InputTurns, private readonly turn: Turn, private readonly counts: InputCounts) {
    super({ allowHalfOpen: true, decodeStrings: false })
    socket.on('readable', () => this.receive())
    socket.on('timeout', () => this.emit('timeout'))
    socket.once('end', () => this.endInput()).once('error', err => this.destroy(err)).once('close', () => this.destroy())
  }

  /** As for a socket: ends after all that was written, then closes, or drops input that was left and closes after that. */
  destroySoon (): void {
    if (this.writable) this.end()
    if (this.writableFinished) this.closeInput()
    else this.once('finish', () => this.closeInput())
  }

  /** Stops handing on input, though the other side may go on sending. */
  leaveInput (): void {
    this.leavesInput = true
    this.pause()
  }

  /** As for a socket: emits `timeout` after a time without activity. */
  setTimeout (idleMs: number, callback?: () => void): this {
    this.socket.setTimeout(idleMs)
    if (callback !== undefined) this.once('timeout', callback)
    return this
  }

  readSlice (): void {
    if (this.destroyed) return
    this.counts.setAwaitsTurn(false)
    if (this.discardableBytes !== undefined) return this.discardInput()
    // A socket that fills again after a slice emits no event.
    this.noteUnread()
    const slice = this.socket.read(Math.min(SLICE_BYTES, this.socket.readableLength)) as Buffer | null
    this.count()
    if (slice !== null) this.handOn(slice)
    // A socket whose end arrived while bytes waited emits it only with a read after the last of them.
    if (this.socket.readableLength === 0) this.socket.read(0)
  }

  override _read (): void {
    this.wanted = true
    if (this.socket.readableLength > 0) this.wait()
  }

  override _write (chunk: string | Buffer, encoding: BufferEncoding, callback: (err?: Error | null) => void): void {
    this.socket.write(chunk, encoding, callback)
  }

  override _final (callback: (err?: Error | null) => void): void {
    this.socket.end(() => callback())
  }

  override _destroy (err: Error | null, callback: (err?: Error | null) => void): void {
    clearTimeout(this.discardTimer)
    this.turns.close(this.turn)
    // Frees what waits; the socket stays in memory until it has closed.
    this.socket.read()
    this.socket.destroy()
    callback(err)
  }

  private receive (): void {
    if (this.destroyed) return
    const { readableLength } = this.socket
    if (readableLength === 0) {
      // Has the socket emit `end`, if this is what has arrived.
      this.socket.read()
      return
    }
    countPiece(readableLength)
    this.noteUnread()
    if (this.wanted && readableLength <= SLICE_BYTES && this.turns.readAtOnce(this.turn, readableLength)) return this.readSlice()
    this.wait()
    this.count()
  }

  private wait (): void {
    if (!this.wanted) return
    this.counts.setAwaitsTurn(true)
    this.turns.wait(this.turn, this.socket.readableLength, this)
  }

  /** Counts what waits, and the receive buffer of a socket that is not read on. */
  private count (): void {
    const { readableLength, readableHighWaterMark } = this.socket
    const bytes = readableLength >= readableHighWaterMark ? readableLength + RECEIVE_BUFFER_BYTES : readableLength
    this.noteUnread()
    const grownBytes = bytes - this.heldBytes
    this.heldBytes = bytes
    if (grownBytes !== 0) this.counts.hold(grownBytes)
  }

  private noteUnread (): void {
    const { readableLength, readableHighWaterMark } = this.socket
    this.counts.noteUnread(readableLength === 0 ? 'none' : readableLength < readableHighWaterMark ? 'some' : 'full')
  }

  private handOn (slice: Buffer): void {
    this.wanted = false
    this.turns.spend(this.turn, SLICE_UNITS + slice.length / BYTES_PER_UNIT)
    this.push(slice)
  }

  private endInput (): void {
    if (this.discardableBytes !== undefined) this.destroy()
    else if (!this.destroyed) this.push(null)
  }

  /** Closes the socket, at once or once the input that was left is dropped: closed with input unread it is reset, and the other side may lose the answer. */
  private closeInput (): void {
    if (!this.leavesInput || this.socket.readableEnded || this.destroyed) {
      this.destroy()
      return
    }
    this.counts.noteAnswered()
    this.discardableBytes = MAX_DISCARDED_BYTES
    this.discardTimer = setTimeout(() => this.destroy(), MAX_DISCARDING_MS)
    this.wanted = true
    // The socket emits no event for what it holds already.
    if (this.socket.readableLength > 0) this.wait()
    else this.socket.read(0)
  }

  private discardInput (): void {
    const bytes = (this.socket.read() as Buffer | null)?.length ?? 0
    this.count()
    this.turns.spend(this.turn, SLICE_UNITS + bytes / BYTES_PER_UNIT)
    this.discardableBytes = (this.discardableBytes ?? 0) - bytes
    if (this.discardableBytes < 0) this.destroy()
    else this.socket.read(0)
  }
}
