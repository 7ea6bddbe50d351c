/**
 * Knows up to when one connection has been read. What has arrived on it may wait for its turn, and behind that, in the process or in the kernel, may be
 * the end of the connection.
 */
import type { Ms } from '@cranberryyard/protocol'

/** Up to when the process has read all sockets. */
export interface ProcessReads {
  readonly upTo: Ms
}

/** Tracks the reads of one connection. */
export class ConnectionReads {
  /** Everything on the connection that had arrived by then has been read, while that may not be so for what arrived later. */
  private behindSince: Ms | undefined
  /** When nothing was left to read; whether the kernel has more shows with the next read of the process. */
  private emptiedAt: Ms | undefined

  constructor (private readonly process: ProcessReads) {}

  /** Something has arrived that is not read yet. */
  waits (): void {
    if (!this.isBehind()) this.behindSince = this.process.upTo
    this.emptiedAt = undefined
  }

  /** All that had been taken from the kernel has been read. */
  emptied (now: Ms): void {
    this.emptiedAt ??= now
  }

  /** @returns up to when everything on the connection has been read, if that is behind the process */
  behindAt (): Ms | undefined {
    return this.isBehind() ? this.behindSince : undefined
  }

  private isBehind (): boolean {
    if (this.emptiedAt !== undefined && this.process.upTo >= this.emptiedAt) this.behindSince = undefined
    return this.behindSince !== undefined
  }
}
