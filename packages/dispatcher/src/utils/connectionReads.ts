/**
 * Knows up to when one connection has been read. What has arrived on it may wait for its turn, and behind that, in the process or in the kernel, may be
 * the end of the connection. An end that arrives with the last bytes is read after them, with the next read of the process. All of it may have arrived
 * long before the connection was accepted.
 */
import type { Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'

/** Up to when the process has read all sockets. */
export interface ProcessReads {
  /** Everything that had arrived by then on connections that are accepted has been read. */
  readonly upTo: Ms
  /** Every connection that had been made by then has been accepted. */
  readonly acceptedUpTo: Ms
  /** Notes that a connection was accepted. */
  accepted (): void
}

/** What a socket has taken from the kernel and nobody has read. `full`: so much that it takes no more. */
export type UnreadInput = 'none' | 'some' | 'full'

/** Tracks the reads of one connection. */
export class ConnectionReads {
  /** All that had arrived by then has been read, while that may not be so for what arrived later. */
  private behindSince: Ms | undefined
  /** What `behindSince` becomes if further input arrives before the process has read once more: then the end was not right behind what was read. */
  private nextBehindSince: Ms
  /** When nothing was left to read; whether the kernel had more shows with the next read of the process. */
  private emptiedAt: Ms | undefined
  private isFull = false
  /** When the socket took input from the kernel again that may have been there for long. */
  private resumedAt: Ms = ms(-Infinity)

  constructor (private readonly process: ProcessReads, acceptedAt: Ms) {
    this.behindSince = process.acceptedUpTo
    this.nextBehindSince = process.acceptedUpTo
    this.emptiedAt = acceptedAt
  }

  /** Notes what is unread now. To be called when input arrives, before any of it is read, and after each read. */
  update (unread: UnreadInput, now: Ms): void {
    if (this.isFull && unread !== 'full') this.resumedAt = now
    this.isFull = unread === 'full'
    if (unread === 'none') return this.emptied(now)
    if (!this.isBehind()) this.behindSince = this.process.upTo
    else if (this.emptiedAt !== undefined) this.behindSince = this.nextBehindSince
    this.emptiedAt = undefined
  }

  /** @returns up to when everything on the connection has been read, if that is behind the process */
  behindAt (): Ms | undefined {
    return this.isBehind() ? this.behindSince : undefined
  }

  private emptied (now: Ms): void {
    if (this.emptiedAt !== undefined || this.behindSince === undefined) return
    this.emptiedAt = now
    this.nextBehindSince = this.process.upTo >= this.resumedAt ? this.process.upTo : this.behindSince
  }

  private isBehind (): boolean {
    if (this.emptiedAt !== undefined && this.process.upTo >= this.emptiedAt) this.behindSince = undefined
    return this.behindSince !== undefined
  }
}
