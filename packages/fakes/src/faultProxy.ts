/**
 * A TCP proxy that injects faults on one link: delay, cuts, holds and connection resets. A cut drops bytes silently and keeps
 * connections open. A hold keeps them instead and delivers them later, as TCP does after a partition: also those whose sender
 * has closed its connection in the meantime and uses a new one. Then the connections overtake each other.
 */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

/** Faults of a link. A change applies to bytes that arrive at the proxy after it. */
export interface LinkFaults {
  /** Delay of bytes and of the ends of connections. */
  delayMs: number
  /** The delay applies to connections whose first bytes contain this text; messages between instances begin with their sender's name. */
  delayFrom: string
  /** Drops bytes from the connecting side to the target. */
  cutForward: boolean
  /** Drops bytes from the target to the connecting side. */
  cutBackward: boolean
}

/** Bytes on their way, or the end of their direction of the connection if undefined. */
interface Parcel {
  readonly bytes: Buffer | undefined
  readonly dueAt: number
}

type Direction = 'forward' | 'backward'

interface ProxiedConnection {
  readonly client: Socket
  /** Undefined while a hold keeps the connection from being established. */
  upstream: Socket | undefined
  /** The first bytes that the client has sent. */
  opening: string
  /** Number of bytes that the client has sent. */
  bytesSent: number
  held: boolean
  readonly queues: Record<Direction, Parcel[]>
  readonly timers: Record<Direction, NodeJS.Timeout | undefined>
}

/** Number of bytes at the start of a connection that tell where it comes from. */
const OPENING_BYTES = 16
/** Size of the parts that a narrow link delivers, as of packets. */
const NARROW_PART_BYTES = 1460
/** Longest time between the releases of two held connections. */
const RELEASE_GAP_MAX_MS = 300

/** A proxy for one link, on a loopback port. */
export class FaultProxy {
  readonly faults: LinkFaults = { delayMs: 0, delayFrom: '', cutForward: false, cutBackward: false }
  /** What each connection carries in one direction; a narrow link delivers in small parts. */
  bytesPerMs = Infinity
  /** Number of bytes forwarded in both directions together. */
  bytes = 0
  private readonly connections = new Set<ProxiedConnection>()
  private server: Server | undefined
  private heldFrom: string | undefined

  constructor (private readonly targetPort: number) {}

  /** Listens on loopback; port 0 picks a free port. @returns the port */
  async listen (port = 0): Promise<number> {
    const server = createServer(client => this.accept(client))
    this.server = server
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, '127.0.0.1', resolve)
    })
    const address = server.address()
    return typeof address === 'object' && address !== null ? address.port : port
  }

  /** Drops all bytes in both directions until `heal` is called. */
  cut (): void {
    this.faults.cutForward = true
    this.faults.cutBackward = true
  }

  /** Ends cuts and resets all connections, because the byte streams of those that were open during the cut have gaps. */
  heal (): void {
    this.faults.cutForward = false
    this.faults.cutBackward = false
    this.reset()
  }

  /** Keeps the bytes of all connections, or of those whose first bytes contain `from`, until `release` is called. */
  hold (from = ''): void {
    this.heldFrom = from
    for (const connection of this.connections) connection.held = this.isHeld(connection)
  }

  /** Ends a hold: delivers what it kept, one connection after the other in random order. */
  release (randomBelow: (n: number) => number): void {
    this.heldFrom = undefined
    const held = [...this.connections].filter(connection => connection.held).map(connection => ({ connection, rank: randomBelow(1 << 20) }))
    let afterMs = 0
    for (const { connection } of held.sort((a, b) => a.rank - b.rank)) {
      setTimeout(() => {
        connection.held = this.isHeld(connection)
        this.deliver(connection, 'forward')
        this.deliver(connection, 'backward')
      }, afterMs)
      afterMs += randomBelow(RELEASE_GAP_MAX_MS + 1)
    }
  }

  /** @returns the number of bytes that the present connections whose first bytes contain `from` have sent, delivered or not */
  bytesFrom (from: string): number {
    return [...this.connections].filter(({ opening }) => opening.includes(from)).reduce((sum, { bytesSent }) => sum + bytesSent, 0)
  }

  reset (): void {
    for (const { client, upstream, timers } of this.connections) {
      clearTimeout(timers.forward)
      clearTimeout(timers.backward)
      client.resetAndDestroy()
      upstream?.resetAndDestroy()
    }
    this.connections.clear()
  }

  /** Refuses new connections until `listen` is called again, as a machine does on which no process listens. */
  refuse (): void {
    this.server?.close()
    this.server = undefined
  }

  /** Resets all connections and stops listening. */
  async close (): Promise<void> {
    this.reset()
    await new Promise<void>(resolve => this.server === undefined ? resolve() : this.server.close(() => resolve()))
  }

  private isHeld ({ opening }: ProxiedConnection): boolean {
    return this.heldFrom !== undefined && opening.includes(this.heldFrom)
  }

  private accept (client: Socket): void {
    const connection: ProxiedConnection = { client, upstream: undefined, opening: '', bytesSent: 0, held: this.heldFrom !== undefined, queues: { forward: [], backward: [] }, timers: { forward: undefined, backward: undefined } }
    this.connections.add(connection)
    client.once('data', (chunk) => {
      connection.opening = chunk.toString('latin1', 0, OPENING_BYTES)
      connection.held = this.isHeld(connection)
    })
    client.on('data', (chunk) => {
      connection.bytesSent += chunk.length
    })
    this.pipe(connection, client, 'forward', () => this.faults.cutForward)
    if (!connection.held) this.connectUpstream(connection)
  }

  private connectUpstream (connection: ProxiedConnection): Socket {
    const upstream = connect(this.targetPort, '127.0.0.1')
    connection.upstream = upstream
    this.pipe(connection, upstream, 'backward', () => this.faults.cutBackward)
    return upstream
  }

  private pipe (connection: ProxiedConnection, from: Socket, direction: Direction, isCut: () => boolean): void {
    from.setNoDelay(true)
    from.on('error', () => {})
    from.on('data', (chunk) => {
      if (isCut()) return
      this.bytes += chunk.length
      this.enqueue(connection, direction, chunk)
    })
    from.on('close', () => {
      // A cut hides the end of a connection.
      if (this.faults.cutForward || this.faults.cutBackward) return
      this.enqueue(connection, direction, undefined)
    })
  }

  /** Nothing overtakes what was sent before it on the same connection, so a shorter delay counts from the last parcel on. */
  private enqueue (connection: ProxiedConnection, direction: Direction, bytes: Buffer | undefined): void {
    const { delayMs, delayFrom } = this.faults
    const queue = connection.queues[direction]
    const ownDueAt = performance.now() + (connection.opening.includes(delayFrom) ? delayMs : 0)
    for (const part of this.partsOf(bytes)) {
      const transferMs = (part?.length ?? 0) / this.bytesPerMs
      queue.push({ bytes: part, dueAt: Math.max(ownDueAt, queue.at(-1)?.dueAt ?? 0) + transferMs })
    }
    this.deliver(connection, direction)
  }

  private partsOf (bytes: Buffer | undefined): (Buffer | undefined)[] {
    if (bytes === undefined || this.bytesPerMs === Infinity) return [bytes]
    return Array.from({ length: Math.ceil(bytes.length / NARROW_PART_BYTES) }, (_, i) => bytes.subarray(i * NARROW_PART_BYTES, (i + 1) * NARROW_PART_BYTES))
  }

  private deliver (connection: ProxiedConnection, direction: Direction): void {
    const { queues, timers, client } = connection
    clearTimeout(timers[direction])
    if (connection.held || !this.connections.has(connection)) return
    const upstream = connection.upstream ?? this.connectUpstream(connection)
    const to = direction === 'forward' ? upstream : client
    for (let parcel = queues[direction][0]; parcel !== undefined; parcel = queues[direction][0]) {
      const waitMs = parcel.dueAt - performance.now()
      if (waitMs > 0) {
        timers[direction] = setTimeout(() => this.deliver(connection, direction), waitMs)
        return
      }
      queues[direction].shift()
      if (parcel.bytes === undefined) to.end()
      else if (to.writable) to.write(parcel.bytes)
    }
    if (client.destroyed && upstream.destroyed) this.connections.delete(connection)
  }
}
