/**
 * A TCP proxy that injects faults on one link: delay, cuts of one or both directions, and connection resets.
 * A cut drops bytes silently and keeps connections open, as a network partition does.
 */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

/** Faults of a link. A change applies to bytes that arrive at the proxy after it. */
export interface LinkFaults {
  delayMs: number
  /** Drops bytes from the connecting side to the target. */
  cutForward: boolean
  /** Drops bytes from the target to the connecting side. */
  cutBackward: boolean
}

interface ProxiedConnection {
  readonly client: Socket
  readonly upstream: Socket
}

/** A proxy for one link, on a loopback port. */
export class FaultProxy {
  readonly faults: LinkFaults = { delayMs: 0, cutForward: false, cutBackward: false }
  /** Number of bytes forwarded in both directions together. */
  bytes = 0
  private readonly connections = new Set<ProxiedConnection>()
  private server: Server | undefined

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

  reset (): void {
    for (const { client, upstream } of this.connections) {
      client.resetAndDestroy()
      upstream.resetAndDestroy()
    }
    this.connections.clear()
  }

  /** Resets all connections and stops listening. */
  async close (): Promise<void> {
    this.reset()
    await new Promise<void>(resolve => this.server === undefined ? resolve() : this.server.close(() => resolve()))
  }

  private accept (client: Socket): void {
    const upstream = connect(this.targetPort, '127.0.0.1')
    const connection = { client, upstream }
    this.connections.add(connection)
    this.pipe(client, upstream, () => this.faults.cutForward)
    this.pipe(upstream, client, () => this.faults.cutBackward)
    for (const socket of [client, upstream]) {
      socket.setNoDelay(true)
      socket.on('error', () => {})
      socket.on('close', () => this.onSocketClosed(connection))
    }
  }

  private pipe (from: Socket, to: Socket, isCut: () => boolean): void {
    from.on('data', (chunk) => {
      if (isCut()) return
      this.bytes += chunk.length
      if (this.faults.delayMs <= 0) to.write(chunk)
      else setTimeout(() => to.writable && to.write(chunk), this.faults.delayMs)
    })
  }

  /** Closes the other side of the connection too, except during a cut: a partition hides the end of a connection. */
  private onSocketClosed (connection: ProxiedConnection): void {
    if (this.faults.cutForward || this.faults.cutBackward) return
    connection.client.destroy()
    connection.upstream.destroy()
    this.connections.delete(connection)
  }
}
