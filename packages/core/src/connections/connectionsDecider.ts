/**
 * Decides which connections are closed when they use up the budget of their kind, or when they make too little progress. When the budget is used
 * up, those are closed first that have their last answer, then those that hold most for longest with least progress. A connection that has just come with a small request, or that waits for an
 * answer of this instance, comes last: its hold is small or new, or not its fault.
 */
import type { Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { ConnectionsDb } from './connectionsDb.js'
import type { Allowance, Connection, ConnectionAllowances, ConnectionBacklogs, ConnectionPhase, ConnectionSettings, MachineLimits } from './types.js'

/** Defaults for settings that do not depend on the machine. */
export const CONNECTION_DEFAULTS: ConnectionSettings = {
  stallGraceMs: ms(15_000),
  leastBytesPerS: 1024
}
/** The machine if the settings do not state its limits. */
export const DEFAULT_MACHINE: MachineLimits = { memoryMb: 350, maxFds: 4100 }
/** Bytes that an open connection costs by itself: its socket, its parser and their buffers. */
export const CONNECTION_BYTES = 8192
/** Bytes that may wait unread for a connection that is not read at present: the receive buffer of a socket. */
export const RECEIVE_BUFFER_BYTES = 131_072

/** What one read of a socket brings at most. */
const LONG_PART_BYTES = 65_536
/** Descriptors that the platform reserves for files. */
const FILE_DESCRIPTORS = 200
const BYTES_PER_MB = 1_048_576
/** Shares of the memory that each kind may hold; the rest is for the program, the jobs and what the garbage collector has not freed yet. */
const MEMORY_SHARES = { callers: 0.1, peers: 0.05, operators: 0.02, answers: 0.05 } as const
/** Shares of the descriptors for sockets; the rest is for connections that this instance opens. */
const DESCRIPTOR_SHARES = { callers: 0.5, peers: 0.25, operators: 0.05 } as const
/** Connections of callers for each megabyte of memory. */
const CALLERS_PER_MB = 8
/** Connections that may wait to be accepted, for each megabyte of memory, and the most. */
const BACKLOG_PER_MB = { callers: 1.5, peers: 0.6 } as const
const MAX_BACKLOG = 511
const OTHERS_BACKLOG = 16
/** Calls to endpoints and to the store whose answers are received at the same time. */
const MAX_ANSWERS = 10_000
/** After an excess, so much of the allowance is freed at once that the next connections do not each cause a search. */
const FREED_SHARE = 0.125
/** Shortest time that counts. */
const SHORTEST_WAIT_MS = 1
/** Stands for all of the time for which a connection waits for this instance, since it owes no progress then. It comes after those that have just opened with as much. */
const SERVED_WAIT_MS = 0.5
const SECOND_MS = 1000

/**
 * @param bytes - what has arrived of a message or an answer and waits for the rest
 * @returns what this costs. Behind a long one more waits unread while the event loop does other work.
 */
export function costOfPart (bytes: number): number {
  return bytes <= LONG_PART_BYTES ? bytes : bytes + RECEIVE_BUFFER_BYTES
}

/** Derives the allowances from the limits of the machine. */
export function allowancesFor ({ memoryMb, maxFds }: MachineLimits): ConnectionAllowances {
  const sockets = Math.max(8, maxFds - FILE_DESCRIPTORS)
  const bytes = memoryMb * BYTES_PER_MB
  return {
    callers: { connections: Math.floor(Math.min(sockets * DESCRIPTOR_SHARES.callers, memoryMb * CALLERS_PER_MB)), bytes: bytes * MEMORY_SHARES.callers },
    peers: { connections: Math.floor(sockets * DESCRIPTOR_SHARES.peers), bytes: bytes * MEMORY_SHARES.peers },
    operators: { connections: Math.max(1, Math.floor(sockets * DESCRIPTOR_SHARES.operators)), bytes: bytes * MEMORY_SHARES.operators },
    answers: { connections: MAX_ANSWERS, bytes: bytes * MEMORY_SHARES.answers }
  }
}

/** Derives how many connections may wait to be accepted from the memory of the machine. */
export function backlogsFor ({ memoryMb }: MachineLimits): ConnectionBacklogs {
  const backlog = (perMb: number): number => Math.min(MAX_BACKLOG, Math.ceil(memoryMb * perMb))
  return { callers: backlog(BACKLOG_PER_MB.callers), peers: backlog(BACKLOG_PER_MB.peers), others: OTHERS_BACKLOG }
}

/** Decides about the connections of one kind. */
export class ConnectionsDecider {
  readonly db = new ConnectionsDb()

  constructor (private readonly allowance: Allowance, private readonly cfg: ConnectionSettings = CONNECTION_DEFAULTS) {}

  /** Adds a connection on which nothing has arrived yet. */
  open (now: Ms): Connection {
    const connection: Connection = { openedAt: now, phase: 'idle', since: now, bytes: 0, received: 0, awaitsTurn: false }
    this.db.add(connection)
    return connection
  }

  close (connection: Connection): void {
    this.db.remove(connection)
  }

  /** Sets what a connection does from now on; its progress is measured anew. One that has its last answer does nothing else. */
  enter (connection: Connection, phase: ConnectionPhase, now: Ms): void {
    if (connection.phase === 'answered') return
    connection.phase = phase
    connection.since = now
    connection.received = 0
  }

  /** Sets the bytes that are held for a connection. */
  hold (connection: Connection, bytes: number): void {
    this.db.setBytes(connection, bytes)
  }

  /** @returns why connections have to be closed now, or undefined while all fit */
  excess (): 'tooMany' | 'memory' | undefined {
    if (this.db.open.size > this.allowance.connections) return 'tooMany'
    return this.db.bytes > this.allowance.bytes ? 'memory' : undefined
  }

  /**
   * Chooses the connections to close so that the others fit again, the worst first. Of equal ones the earliest goes first, but the latest of those that wait
   * for their turn: what came before is nearer its end.
   */
  victims (now: Ms): Connection[] {
    const ranked = [...this.db.open]
      .map((connection, index) => ({ connection, score: scoreOf(connection, this.cfg, now), order: connection.awaitsTurn ? -index : index }))
      .sort((a, b) => (a.score === b.score ? a.order - b.order : b.score - a.score))
    let { size: count } = this.db.open
    let { bytes } = this.db
    const countGoal = count > this.allowance.connections ? this.allowance.connections * (1 - FREED_SHARE) : Infinity
    const bytesGoal = bytes > this.allowance.bytes ? this.allowance.bytes * (1 - FREED_SHARE) : Infinity
    const victims: Connection[] = []
    for (const { connection } of ranked) {
      if (count <= countGoal && bytes <= bytesGoal) break
      victims.push(connection)
      count--
      bytes -= connection.bytes
    }
    return victims
  }

  /** @returns the connections on which a request or message arrives too slowly */
  stalled (now: Ms): Connection[] {
    return [...this.db.open].filter(({ phase, since, received, awaitsTurn }) => {
      const lateMs = now - since - this.cfg.stallGraceMs
      return phase === 'receiving' && !awaitsTurn && lateMs > 0 && received < lateMs / SECOND_MS * this.cfg.leastBytesPerS
    })
  }
}

/** What a connection holds weighs more than for how long: one that holds much is worth more to close than many that hold little. */
function scoreOf ({ phase, since, bytes, received, awaitsTurn }: Connection, { leastBytesPerS }: ConnectionSettings, now: Ms): number {
  if (phase === 'answered') return Infinity
  const elapsedMs = now - since
  const bytesPerS = elapsedMs > 0 ? received / elapsedMs * SECOND_MS : 0
  const waitMs = phase === 'served' || awaitsTurn ? SERVED_WAIT_MS : Math.max(SHORTEST_WAIT_MS, elapsedMs / (1 + bytesPerS / leastBytesPerS))
  return (CONNECTION_BYTES + bytes) ** 2 * waitMs
}
