/**
 * Keeps the connections that others opened inside the budget of their kind. The decisions are in `core`; this module knows the sockets, counts what
 * is held for each, and closes those that the decisions name. A connection that is closed gets no answer: what it had sent was not complete, or its
 * caller sees a broken connection, after which nothing is taken for granted.
 */
import { ConnectionsDecider } from '@cranberryyard/core/shard'
import type { Allowance, CloseReason, Connection, Turn } from '@cranberryyard/core/shard'
import type { Clock, Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { ConnectionReads } from './connectionReads.js'
import type { ProcessReads, UnreadInput } from './connectionReads.js'
import { GuardedStream } from './guardedStream.js'
import type { InputCounts } from './guardedStream.js'
import { InputTurns } from './inputTurns.js'
import { countPiece } from './pieceCollection.js'
import { hasUnreadBody } from './requestBody.js'

/** Bytes that an open request costs beside its body: the request, its response and what waits for it. */
const REQUEST_BYTES = 8192
/** Bytes that a header costs in addition. */
const HEADER_BYTES = 128
/** Cost of a request in units of the turns. */
const REQUEST_UNITS = 50
/** Bytes of a body that cost a unit in addition to the piece in which they come. */
const PIECE_BYTES_PER_UNIT = 1024
/** Interval at which connections without progress are looked for. */
const SWEEP_MS = 1000
/** Time after which a connection is closed whose other side has not read any of what waits for it. */
const UNREAD_MS = 15_000

/** For servers that decide nothing by it. */
const ALL_READ: ProcessReads = { upTo: ms(Infinity), acceptedUpTo: ms(Infinity), accepted () {} }

/** Reports each connection that is closed. */
export type ReportClosed = (reason: CloseReason) => void

/** One connection with what is held for it. */
export class GuardedSocket implements InputCounts {
  readonly turn: Turn
  readonly reads: ConnectionReads
  /** What an HTTP server reads in place of the socket. */
  stream: GuardedStream | undefined
  /** Called once when the other side has left or the connection has closed. */
  private readonly onLeft = new Set<() => void>()
  private refusesInput = false
  private openRequests = 0
  private drainedBytes = 0
  private drainedAt: number

  constructor (readonly socket: Socket, readonly connection: Connection, private readonly guard: ConnectionGuard) {
    this.drainedAt = connection.openedAt
    this.turn = guard.turns.open()
    this.reads = new ConnectionReads(guard.processReads, guard.now())
    const left = (): void => this.leave()
    socket.on('end', left).on('error', left).on('close', left)
  }

  /** Calls back when the other side has ended the connection or it has closed. @returns a function that takes this back */
  whenLeft (callback: () => void): () => void {
    this.onLeft.add(callback)
    this.closeUnlessRead()
    return () => this.onLeft.delete(callback)
  }

  /** Counts a request from its head until its response has closed. */
  begin (req: IncomingMessage, res: ServerResponse): void {
    const cost = REQUEST_BYTES + req.rawHeaders.length / 2 * HEADER_BYTES
    this.openRequests++
    this.guard.enter(this, 'receiving')
    this.hold(cost)
    this.guard.turns.spend(this.turn, REQUEST_UNITS)
    // Each answer before the end of a body closes its connection.
    res.once('prefinish', () => {
      if (hasUnreadBody(req)) this.stream?.leaveInput()
    })
    res.once('close', () => {
      this.hold(-cost)
      if (--this.openRequests === 0) this.guard.enter(this, 'idle')
    })
  }

  /** Counts a part of a body that has arrived. */
  receive (bytes: number): void {
    this.connection.received += bytes
    countPiece(bytes)
    this.guard.turns.spend(this.turn, 1 + bytes / PIECE_BYTES_PER_UNIT)
  }

  /** Takes no further input. */
  refuseInput (): void {
    this.refusesInput = true
    if (this.stream === undefined) this.socket.pause()
    else this.stream.leaveInput()
    this.closeUnlessRead()
  }

  /** Whatever has arrived is complete; this instance owes the answer. @param units - what reading the request costs */
  completed (units: number): void {
    this.guard.turns.spend(this.turn, units)
    this.guard.enter(this, 'served')
  }

  /** Adds to what is held for the connection; it or others are closed if that is too much. */
  hold (bytes: number): void {
    this.guard.hold(this, this.connection.bytes + bytes)
  }

  setAwaitsTurn (awaitsTurn: boolean): void {
    this.connection.awaitsTurn = awaitsTurn
  }

  noteUnread (unread: UnreadInput): void {
    this.reads.update(unread, this.guard.now())
  }

  noteAnswered (): void {
    this.guard.enter(this, 'answered')
  }

  /** @returns whether something waits for the other side and it has read none of it for too long */
  isUnread (now: number): boolean {
    const drained = this.socket.bytesWritten - this.socket.writableLength
    if (this.socket.writableLength === 0 || drained !== this.drainedBytes) {
      this.drainedBytes = drained
      this.drainedAt = now
    }
    return now - this.drainedAt > UNREAD_MS
  }

  /** The end of a connection that is not read on would not be noticed. */
  private closeUnlessRead (): void {
    const connection = this.stream ?? this.socket
    if (this.refusesInput && this.onLeft.size > 0) connection.destroy()
  }

  private leave (): void {
    const isAwaited = this.onLeft.size > 0
    for (const callback of [...this.onLeft]) callback()
    this.onLeft.clear()
    // Nobody waits for that answer any more, and whatever the stream still holds is behind it.
    if (isAwaited) this.stream?.destroySoon()
  }
}

/** The connections of one kind. */
export class ConnectionGuard {
  readonly turns: InputTurns
  private readonly decider: ConnectionsDecider
  private readonly sockets = new Map<Connection, GuardedSocket>()
  private readonly byStream = new WeakMap<Duplex, GuardedSocket>()
  /** Connections whose TLS handshake goes on, by the address and port of the other side: the socket that results is another object. */
  private readonly handshakes = new Map<string, GuardedSocket>()
  private sweepTimer: NodeJS.Timeout | undefined

  /** @param processReads - up to when this process has read its sockets, by default all */
  constructor (allowance: Allowance, private readonly clock: Pick<Clock, 'now'>, readonly report: ReportClosed, readonly processReads: ProcessReads = ALL_READ) {
    this.decider = new ConnectionsDecider(allowance)
    this.turns = new InputTurns(clock)
  }

  /** Guards all connections of a server, from the event that gives them to the handler of requests. */
  watch (server: Server, event: 'connection' | 'secureConnection' = 'connection'): void {
    if (event === 'secureConnection') server.prependListener('connection', (socket: Socket) => this.addHandshake(socket))
    const handlers = server.listeners(event)
    server.removeAllListeners(event)
    server.on(event, (socket: Socket) => {
      this.endHandshake(socket)
      const stream = this.streamOf(socket)
      for (const handler of handlers) handler.call(server, stream)
    })
  }

  /** Guards a connection that has just been accepted. */
  add (socket: Socket): GuardedSocket {
    this.processReads.accepted()
    const connection = this.decider.open(this.clock.now())
    const guarded = new GuardedSocket(socket, connection, this)
    this.sockets.set(connection, guarded)
    this.byStream.set(socket, guarded)
    socket.once('close', () => this.remove(guarded))
    this.sweepTimer ??= setInterval(() => this.sweep(), SWEEP_MS).unref()
    this.closeExcess()
    return guarded
  }

  /** @returns what guards the connection of a request; that of a server that is not watched is guarded from now on */
  of ({ socket }: IncomingMessage): GuardedSocket {
    return this.byStream.get(socket) ?? this.add(socket)
  }

  now (): Ms {
    return this.clock.now()
  }

  enter ({ connection }: GuardedSocket, phase: Connection['phase']): void {
    this.decider.enter(connection, phase, this.clock.now())
  }

  hold ({ connection }: GuardedSocket, bytes: number): void {
    this.decider.hold(connection, bytes)
    this.closeExcess()
  }

  /** Closes a connection and reports why. */
  close (guarded: GuardedSocket, reason: CloseReason): void {
    if (!this.sockets.has(guarded.connection)) return
    this.remove(guarded)
    // What the stream holds is free at once, not only when the socket has closed.
    if (guarded.stream === undefined) guarded.socket.destroy()
    else guarded.stream.destroy()
    this.report(reason)
  }

  /** @returns the connections and the bytes that are held for them */
  usage (): Allowance {
    return { connections: this.decider.db.open.size, bytes: this.decider.db.bytes }
  }

  private addHandshake (socket: Socket): void {
    const guarded = this.add(socket)
    this.enter(guarded, 'receiving')
    const name = nameOf(socket)
    this.handshakes.set(name, guarded)
    socket.once('close', () => {
      if (this.handshakes.get(name) === guarded) this.handshakes.delete(name)
    })
  }

  private endHandshake (socket: Socket): void {
    const guarded = this.handshakes.get(nameOf(socket))
    if (guarded === undefined) return
    this.handshakes.delete(nameOf(socket))
    this.remove(guarded)
  }

  /** Guards a connection of an HTTP server. @returns what the server reads in place of the socket */
  private streamOf (socket: Socket): GuardedStream {
    const guarded = this.add(socket)
    guarded.stream = new GuardedStream(socket, this.turns, guarded.turn, guarded)
    this.byStream.set(guarded.stream, guarded)
    return guarded.stream
  }

  private closeExcess (): void {
    const reason = this.decider.excess()
    if (reason === undefined) return
    for (const victim of this.decider.victims(this.clock.now())) this.closeConnection(victim, reason)
  }

  private closeConnection (connection: Connection, reason: CloseReason): void {
    const guarded = this.sockets.get(connection)
    if (guarded !== undefined) this.close(guarded, reason)
  }

  private sweep (): void {
    const now = this.clock.now()
    for (const connection of this.decider.stalled(now)) this.closeConnection(connection, 'stalled')
    for (const guarded of [...this.sockets.values()]) if (guarded.isUnread(now)) this.close(guarded, 'unread')
    if (this.sockets.size > 0) return
    clearInterval(this.sweepTimer)
    this.sweepTimer = undefined
  }

  private remove (guarded: GuardedSocket): void {
    this.decider.close(guarded.connection)
    this.sockets.delete(guarded.connection)
    this.turns.close(guarded.turn)
  }
}

/** @returns the other side of a connection */
function nameOf ({ remoteAddress, remotePort }: Socket): string {
  return `${remoteAddress}:${remotePort}`
}
