/**
 * Knows up to when this process has read its sockets. When the event loop was blocked, timers run before sockets are read, so a timer may act on
 * calls whose end has arrived long ago.
 */
import type { CallerReads } from '@cranberryyard/core/shard'
import type { Clock, Ms } from '@cranberryyard/protocol'
import type { ConnectionReads } from '../utils/connectionReads.js'

/** Tracks the reads of one process. */
export class SocketReads implements CallerReads {
  /** Everything that had arrived by then has been read. */
  upTo: Ms
  /** When that was done. */
  endedAt: Ms

  private readonly calls = new Map<string, ConnectionReads>()

  /** @param clock - the process must not listen yet */
  constructor (private readonly clock: Pick<Clock, 'now'>) {
    this.upTo = clock.now()
    this.endedAt = this.upTo
  }

  /** Tracks the connection of a call until the call has ended. */
  callBegan (callId: string, connection: ConnectionReads): void {
    this.calls.set(callId, connection)
  }

  callEnded (callId: string): void {
    this.calls.delete(callId)
  }

  behindAt (callId: string): Ms | undefined {
    return this.calls.get(callId)?.behindAt()
  }

  /**
   * Calls back once everything has been read that has arrived by now. Call it from a timer or an immediate: the event loop reads all sockets between
   * them and the immediates that follow.
   */
  afterNextRead (callback: () => void): void {
    const calledAt = this.clock.now()
    setImmediate(() => {
      this.upTo = calledAt
      this.endedAt = this.clock.now()
      callback()
    })
  }
}
