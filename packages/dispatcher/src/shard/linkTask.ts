/**
 * Owns the connections between the instances of a shard fleet: plain TCP, one connection for each direction, on which
 * MessagePack envelopes follow each other. gRPC is not used here: loading and running it costs a third of the start-up
 * time and eight megabytes of each process, which the platform charges.
 * A message counts as not sent only while no connection to its peer has been made.
 */
import { decodeMultiStream } from '@msgpack/msgpack'
import type { InstanceId, ShardMessage } from '@cranberryyard/protocol'
import { createServer, connect } from 'node:net'
import type { Server, Socket } from 'node:net'
import { encodeEnvelope, readEnvelope } from '../peers/peerCodec.js'
import { listen } from '../utils/plainServer.js'
import { isShardMessage } from './messageCheck.js'

/** A peer that cannot be connected to within this span does not get what waits for it; a few round trips. */
const CONNECT_TIMEOUT_MS = 800
/** Bytes that may wait for a peer that does not read; some thousand jobs. */
const WAITING_BYTES_MAX = 8 * 1024 * 1024
/** Longest text and largest list in a message: a desired state of some thousand queues. */
const DECODE_LIMITS = { context: undefined, maxStrLength: 1_048_576, maxArrayLength: 100_000, maxMapLength: 1000, maxBinLength: 0, maxExtLength: 16 }

/** What happens on the links. */
export type LinkEvent =
  | { readonly type: 'peer', readonly from: InstanceId, readonly message: ShardMessage }
  /** The message was not sent: the peer cannot be connected to. */
  | { readonly type: 'sendFailed', readonly to: InstanceId, readonly message: ShardMessage }
  /** A connection from or to the peer broke; what was on its way may be lost. */
  | { readonly type: 'linkDown', readonly peer: InstanceId }

/** Logs a connection that broke or carried something else; the peer is unknown before its first envelope. */
export type LogBroken = (peer: InstanceId | undefined, why: string) => void

interface Link {
  readonly address: string
  readonly socket: Socket
  connected: boolean
  /** Messages written since the latest turn of the event loop leave together. */
  corked: boolean
  /** Messages that wait for the connection. */
  readonly waiting: ShardMessage[]
}

/** Owns the peers' port and the links to peers. */
export class LinkTask {
  private readonly links = new Map<InstanceId, Link>()
  private readonly inbound = new Set<Socket>()
  private readonly server: Server
  private closed = false

  constructor (private readonly self: InstanceId, private readonly post: (event: LinkEvent) => void, private readonly log: LogBroken) {
    this.server = createServer({ noDelay: true }, socket => void this.receive(socket))
  }

  /** Listens. @returns the port */
  listen (ip: string, port: number): Promise<number> {
    return listen(this.server, ip, port)
  }

  /** Sends a message, connecting first if need be. */
  send ({ to, address, message }: { readonly to: InstanceId, readonly address: string, readonly message: ShardMessage }): void {
    if (this.closed) return
    const link = this.link(to, address)
    if (!link.connected) link.waiting.push(message)
    else if (link.socket.writableLength > WAITING_BYTES_MAX) this.reset(to)
    else this.write(link, message)
  }

  /** Replaces the connection to a peer; messages that were on their way may be lost. */
  reset (peer: InstanceId): void {
    const link = this.links.get(peer)
    if (link === undefined) return
    this.links.delete(peer)
    link.socket.destroy()
    this.post({ type: 'linkDown', peer })
  }

  /** Closes all connections. */
  close (): void {
    this.closed = true
    for (const link of this.links.values()) link.socket.destroy()
    for (const socket of this.inbound) socket.destroy()
    this.server.close()
  }

  /** Whatever is no envelope ends its connection and harms nothing else. */
  private async receive (socket: Socket): Promise<void> {
    let from: InstanceId | undefined
    this.inbound.add(socket)
    // The loop below ends with the same error.
    socket.on('error', () => {})
    try {
      for await (const value of decodeMultiStream(socket, DECODE_LIMITS)) {
        const envelope = readEnvelope(value)
        if (envelope === undefined) throw new Error('not an envelope')
        from = envelope.from
        if (!isShardMessage(envelope.message)) throw new Error(`'${envelope.message.type}' is not a message that can be used`)
        this.deliver(from, envelope.message)
      }
    } catch (err) {
      if (!this.closed) this.log(from, err instanceof Error ? err.message : String(err))
    }
    socket.destroy()
    this.inbound.delete(socket)
    if (from !== undefined && !this.closed) this.post({ type: 'linkDown', peer: from })
  }

  /** A fault of the decisions is no fault of the connection: it ends the process like any other. */
  private deliver (from: InstanceId, message: ShardMessage): void {
    try {
      this.post({ type: 'peer', from, message })
    } catch (err) {
      process.nextTick(() => {
        throw err
      })
    }
  }

  private link (peer: InstanceId, address: string): Link {
    const known = this.links.get(peer)
    if (known !== undefined && known.address === address) return known
    known?.socket.destroy()
    const [host, port] = address.split(':')
    const socket = connect({ host: host ?? '', port: Number(port), noDelay: true })
    const link: Link = { address, socket, connected: false, corked: false, waiting: known?.waiting ?? [] }
    this.links.set(peer, link)
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => socket.destroy())
    socket.once('connect', () => this.connected(link))
    socket.on('error', (err) => {
      if (link.connected) this.log(peer, err.message)
      socket.destroy()
    })
    socket.once('close', () => this.ended(peer, link))
    return link
  }

  private connected (link: Link): void {
    link.socket.setTimeout(0)
    link.socket.resume()
    link.connected = true
    for (const message of link.waiting.splice(0)) this.write(link, message)
  }

  private write (link: Link, message: ShardMessage): void {
    const { socket } = link
    if (!link.corked) {
      link.corked = true
      socket.cork()
      setImmediate(() => {
        link.corked = false
        socket.uncork()
      })
    }
    socket.write(encodeEnvelope({ from: this.self, message }))
  }

  private ended (peer: InstanceId, link: Link): void {
    if (this.links.get(peer) !== link || this.closed) return
    this.links.delete(peer)
    if (link.connected) this.post({ type: 'linkDown', peer })
    else for (const message of link.waiting.splice(0)) this.post({ type: 'sendFailed', to: peer, message })
  }
}
