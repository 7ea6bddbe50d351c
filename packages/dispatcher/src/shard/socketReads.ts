/**
 * Knows up to when this process has read its sockets. When the event loop was blocked, timers run before sockets are read, so a timer may act on
 * calls whose end has arrived long ago.
 */
import type { CallerReads } from '@cranberryyard/core/shard'
import type { Clock, Ms } from '@cranberryyard/protocol'
import type { ConnectionReads, ProcessReads } from '../utils/connectionReads.js'

/** Tracks the reads of one process. */
export class SocketReads implements CallerReads, ProcessReads {
  upTo: Ms
  acceptedUpTo: Ms
  /** When that was done. */
  endedAt: Ms

  private readonly calls = new Map<string, ConnectionReads>()
  private acceptedCount = 0

  /** @param clock - the process must not listen yet */
  constructor (private readonly clock: Pick<Clock, 'now'>) {
    this.upTo = clock.now()
    this.acceptedUpTo = this.upTo
    this.endedAt = this.upTo
  }

  accepted (): void {
    this.acceptedCount++
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
   * Calls back once everything has been read that has arrived by now on accepted connections. Call it from a timer or an immediate: the event loop reads
   * all sockets between them and the immediates that follow. Of the connections that wait to be accepted it accepts one in each turn.
   */
  afterNextRead (callback: () => void): void {
    const calledAt = this.clock.now()
    const { acceptedCount } = this
    setImmediate(() => {
      this.upTo = calledAt
      if (this.acceptedCount === acceptedCount) this.acceptedUpTo = calledAt
      this.endedAt = this.clock.now()
      callback()
    })
  }
}
