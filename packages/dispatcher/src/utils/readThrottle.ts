/**
 * Divides the turns of the event loop between connections. One read of a socket brings up to 64 KiB, which may be ten thousand chunks of one byte or
 * a thousand requests; many such reads in one turn would hold up everything else for seconds. A connection whose read was costly waits in a queue for
 * its next one, and once a turn has cost too much all others wait for the next turn. Nobody waits for good: the queue goes on in order, for half of the time.
 */
import type { Socket } from 'node:net'

/** Cost of a turn after which no further connection is read. One unit is about the cost of a chunk of a body. */
const TURN_UNITS = 4000
/** Cost of a read after which the connection waits in the queue. */
const READ_UNITS = 1000
/** New connections that are read in the turn that accepts them, while none waits in the queue. */
const ADMITTED_PER_TURN = 8
/** New connections of the queue that are read in a turn. They come before those that had a costly read. */
const FRESH_PER_TURN = 4
const COSTLY_PER_TURN = 1
/** Longest pause of the queue after a costly read, which is as long as the read took. */
const MAX_PAUSE_MS = 100

/** A connection as the throttle sees it. */
export interface Throttled {
  readonly socket: Socket
  /** Whether the connection must not be read now. */
  held: boolean
  /** Cost of its reads in this turn. */
  units: number
}

/** Decides in which turn each of a server's connections is read. */
export class ReadThrottle {
  private readonly connections = new Set<Throttled>()
  private readonly costly = new Set<Throttled>()
  private readonly fresh = new Set<Throttled>()
  private readonly othersOfTurn = new Set<Throttled>()
  private readonly touched: Throttled[] = []
  private spent = 0
  private admitted = 0
  private turnScheduled = false
  /** When the last costly connection was let go on. */
  private releasedAt: number | undefined
  private pausedUntil = 0
  private pauseTimer: NodeJS.Timeout | undefined

  /** Adds a connection. It is read at once unless others wait. */
  add (connection: Throttled): void {
    this.connections.add(connection)
    const { socket } = connection
    // A stream that wants more data resumes its socket.
    socket.on('resume', () => {
      if (connection.held) socket.pause()
    })
    this.scheduleTurn()
    if (++this.admitted > ADMITTED_PER_TURN || this.fresh.size > 0 || this.costly.size > 0 || this.spent > TURN_UNITS) this.hold(connection, this.fresh)
  }

  /** Forgets a connection, in the queues as well: what it holds must not stay until its turn. */
  remove (connection: Throttled): void {
    for (const connections of [this.connections, this.costly, this.fresh, this.othersOfTurn]) connections.delete(connection)
  }

  /** Counts what a read has cost so far. */
  spend (connection: Throttled, units: number): void {
    if (connection.units === 0) this.touched.push(connection)
    connection.units += units
    const spentBefore = this.spent
    this.spent += units
    this.scheduleTurn()
    if (connection.units > READ_UNITS && !connection.held) this.hold(connection, this.costly)
    if (spentBefore <= TURN_UNITS && this.spent > TURN_UNITS) for (const other of this.connections) if (!other.held) this.hold(other, this.othersOfTurn)
  }

  private hold (connection: Throttled, queue: Set<Throttled>): void {
    if (!this.connections.has(connection)) return
    connection.held = true
    connection.socket.pause()
    queue.add(connection)
  }

  private scheduleTurn (): void {
    if (this.turnScheduled) return
    this.turnScheduled = true
    setImmediate(() => this.startTurn())
  }

  private startTurn (): void {
    this.turnScheduled = false
    this.spent = 0
    this.admitted = 0
    for (const connection of this.touched.splice(0)) connection.units = 0
    this.release(this.othersOfTurn, Infinity)
    this.release(this.fresh, FRESH_PER_TURN)
    const now = performance.now()
    if (this.releasedAt !== undefined) this.pausedUntil = now + Math.min(now - this.releasedAt, MAX_PAUSE_MS)
    this.releasedAt = undefined
    if (this.costly.size > 0 && now >= this.pausedUntil) {
      this.release(this.costly, COSTLY_PER_TURN)
      this.releasedAt = now
    }
    if (this.fresh.size > 0 || this.releasedAt !== undefined) this.scheduleTurn()
    else if (this.costly.size > 0) this.scheduleAfterPause(now)
  }

  private scheduleAfterPause (now: number): void {
    if (this.pauseTimer !== undefined) return
    this.pauseTimer = setTimeout(() => {
      this.pauseTimer = undefined
      this.scheduleTurn()
    }, this.pausedUntil - now)
  }

  private release (queue: Set<Throttled>, most: number): void {
    let released = 0
    for (const connection of queue) {
      if (released++ === most) return
      queue.delete(connection)
      connection.held = false
      connection.socket.resume()
    }
  }
}
