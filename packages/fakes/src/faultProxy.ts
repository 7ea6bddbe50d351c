/**
 * A TCP proxy that injects faults on one link: delay, cuts in one direction or both, resets.
 * A cut drops bytes silently and keeps connections open, as a partition does.
 */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

/** Faults of a link; they apply to bytes that arrive from now on. */
export interface LinkFaults {
  delayMs: number
  /** Bytes from the connecting side are dropped. */
  cutForward: boolean
  /** Bytes towards the connecting side are dropped. */
  cutBackward: boolean
}

interface Pair {
  readonly client: Socket
  readonly upstream: Socket
}

/** A proxied link on a port. */
export class FaultProxy {
  readonly faults: LinkFaults = { delayMs: 0, cutForward: false, cutBackward: false }
  /** Bytes passed on in both directions. */
  bytes = 0
  private readonly pairs = new Set<Pair>()
  private server: Server | undefined

  constructor (private readonly targetPort: number) {}

  /** Starts to listen on loopback. @returns the port */
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

  /** Cuts both directions. */
  cut (): void {
    this.faults.cutForward = true
    this.faults.cutBackward = true
  }

  /** Ends cuts. Bytes of old connections were lost, so these are reset. */
  heal (): void {
    this.faults.cutForward = false
    this.faults.cutBackward = false
    this.reset()
  }

  /** Resets every connection. */
  reset (): void {
    for (const { client, upstream } of this.pairs) {
      client.resetAndDestroy()
      upstream.resetAndDestroy()
    }
    this.pairs.clear()
  }

  /** Stops. */
  async close (): Promise<void> {
    this.reset()
    await new Promise<void>(resolve => this.server === undefined ? resolve() : this.server.close(() => resolve()))
  }

  private accept (client: Socket): void {
    const upstream = connect(this.targetPort, '127.0.0.1')
    const pair = { client, upstream }
    this.pairs.add(pair)
    this.pipe(client, upstream, () => this.faults.cutForward)
    this.pipe(upstream, client, () => this.faults.cutBackward)
    for (const socket of [client, upstream]) {
      socket.setNoDelay(true)
      socket.on('error', () => {})
      socket.on('close', () => this.closed(pair))
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

  /** The end of a connection is not passed on through a cut. */
  private closed (pair: Pair): void {
    if (this.faults.cutForward || this.faults.cutBackward) return
    pair.client.destroy()
    pair.upstream.destroy()
    this.pairs.delete(pair)
  }
}
