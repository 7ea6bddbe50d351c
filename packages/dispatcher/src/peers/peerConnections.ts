/**
 * Keeps the connections that peers opened inside their budget. gRPC collects messages by itself and doesn't tell what it holds of one that is not
 * complete; it is taken from the bytes that a connection has brought and the messages that have come out of it.
 */
import { costOfPart } from '@cranberryyard/core/shard'
import type { Socket } from 'node:net'
import type { ConnectionGuard, GuardedSocket } from '../utils/connectionGuard.js'

/** Interval at which the bytes of the connections are read. */
const SAMPLE_MS = 25
/** At least what HTTP/2, gRPC and TLS add to a message: a part for each message, and one byte in so many. */
const MESSAGE_OVERHEAD_BYTES = 64
const BYTES_PER_OVERHEAD_BYTE = 256

/** A connection with the bytes of it that are not part of a complete message. */
interface PeerConnection {
  readonly guarded: GuardedSocket
  readBytes: number
  incompleteBytes: number
}

const nameOf = (address: string | undefined, port: number | undefined): string => `${address}:${port}`

/** The connections that peers opened. */
export class PeerConnections {
  private readonly byName = new Map<string, PeerConnection>()
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly guard: ConnectionGuard) {}

  /** Counts a connection from now on. @returns false if it does not fit and has been closed */
  add (socket: Socket): boolean {
    const guarded = this.guard.add(socket)
    if (socket.destroyed) return false
    this.guard.enter(guarded, 'receiving')
    const name = nameOf(socket.remoteAddress, socket.remotePort)
    const connection = { guarded, readBytes: 0, incompleteBytes: 0 }
    this.byName.set(name, connection)
    socket.once('close', () => {
      if (this.byName.get(name) === connection) this.byName.delete(name)
    })
    this.timer ??= setInterval(() => this.sampleAll(), SAMPLE_MS).unref()
    return true
  }

  /** Counts a message that has arrived in full. @param name - the connection, as gRPC names it: address and port */
  completed (name: string, messageBytes: number): void {
    const connection = this.byName.get(name)
    if (connection === undefined) return
    this.sample(connection)
    const bytes = messageBytes + MESSAGE_OVERHEAD_BYTES + messageBytes / BYTES_PER_OVERHEAD_BYTE
    connection.incompleteBytes = Math.max(0, connection.incompleteBytes - bytes)
    this.guard.enter(connection.guarded, 'served')
    this.count(connection)
  }

  close (): void {
    clearInterval(this.timer)
    for (const { guarded } of this.byName.values()) guarded.socket.destroy()
  }

  private sampleAll (): void {
    for (const connection of this.byName.values()) {
      this.sample(connection)
      this.count(connection)
    }
    if (this.byName.size > 0) return
    clearInterval(this.timer)
    this.timer = undefined
  }

  private sample (connection: PeerConnection): void {
    const { bytesRead } = connection.guarded.socket
    const bytes = bytesRead - connection.readBytes
    connection.readBytes = bytesRead
    connection.incompleteBytes += bytes
    connection.guarded.connection.received += bytes
  }

  private count ({ guarded, incompleteBytes }: PeerConnection): void {
    this.guard.hold(guarded, costOfPart(incompleteBytes))
  }
}
