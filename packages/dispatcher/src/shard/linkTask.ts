/**
 * Owns the connections between the instances of a shard fleet. Each direction has its own plain TCP connection, which
 * carries a stream of MessagePack envelopes. gRPC is not used: loading and running it costs a third of the start-up time
 * and 8 MB of memory in each process, which the platform charges for.
 *
 * A message is reported as not sent only if no connection to its peer was established. Once it has been written to a
 * connection that breaks, the peer may or may not have received it.
 */
import { DEFAULT_MACHINE, allowancesFor, costOfPart } from '@cranberryyard/core/shard'
import { Decoder } from '@msgpack/msgpack'
import { systemClock } from '@cranberryyard/protocol'
import type { InstanceId, ShardMessage } from '@cranberryyard/protocol'
import { createServer, connect } from 'node:net'
import type { Server, Socket } from 'node:net'
import { encodeEnvelope, readEnvelope } from '../peers/peerCodec.js'
import { ConnectionGuard } from '../utils/connectionGuard.js'
import type { GuardedSocket } from '../utils/connectionGuard.js'
import { countPiece } from '../utils/pieceCollection.js'
import { listen } from '../utils/plainServer.js'
import { parseAddress } from './address.js'
import { isShardMessage } from './messageCheck.js'
import { MessageFramer } from './messageFramer.js'

/** Longest time to connect to a peer before its pending messages are reported as not sent; allows a few round trips. */
const CONNECT_TIMEOUT_MS = 800
/** Bytes buffered for a peer that does not read, enough for a few thousand jobs; beyond this the connection is reset. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024
/** Time without progress after which a connection is closed that later messages no longer use. */
const RENEWED_IDLE_MS = 5000
/** Messages that wait for a connection to be established; beyond this the attempt ends and they are reported as not sent. */
const MAX_PENDING_MESSAGES = 10_000
/** Characters of an unusable address that are logged. */
const MAX_LOGGED_ADDRESS = 100
/** Bounds on decoded messages; the largest message is a desired state with a few thousand queues. */
const DECODE_LIMITS = { maxStrLength: 1_048_576, maxArrayLength: 100_000, maxMapLength: 1000, maxBinLength: 0, maxExtLength: 16 }

/** Inputs that the link task posts to the decision logic. */
export type LinkEvent =
  | { readonly type: 'peer', readonly from: InstanceId, readonly message: ShardMessage }
  /** The message was not sent, since no connection to the peer could be established. */
  | { readonly type: 'sendFailed', readonly to: InstanceId, readonly message: ShardMessage }
  /** A connection from or to the peer broke; messages in transit may be lost. */
  | { readonly type: 'linkDown', readonly peer: InstanceId }

/** Logs a connection that broke or carried invalid data; the peer is undefined until its first envelope has arrived. */
export type LogBrokenLink = (peer: InstanceId | undefined, reason: string) => void

/** A connection that a peer has opened. */
interface Inbound {
  readonly socket: Socket
  readonly guarded: GuardedSocket
  readonly framer: MessageFramer
  /** The peer, once its first message has arrived. */
  from: InstanceId | undefined
}

interface Link {
  readonly address: string
  readonly socket: Socket
  connected: boolean
  /** True while the socket collects the messages of one turn of the event loop, which are sent together at its end. */
  corked: boolean
  /** Messages to send once the connection is established. */
  readonly pending: ShardMessage[]
}

/** Listens on the peer port and maintains the connections to peers. */
export class LinkTask {
  private readonly links = new Map<InstanceId, Link>()
  /** Connections that later messages no longer use, until they end. */
  private readonly renewed = new Set<Socket>()
  private readonly inbound = new Set<Socket>()
  /** The latest connection from each peer. An earlier one was renewed by the peer, so its end means nothing. */
  private readonly latestInbound = new Map<InstanceId, Socket>()
  private readonly server: Server
  /** The unusable address with which each peer was last addressed, so that it is logged once. */
  private readonly unusableAddresses = new Map<InstanceId, string>()
  private readonly decoder = new Decoder(DECODE_LIMITS)
  private closed = false

  constructor (
    private readonly self: InstanceId,
    private readonly post: (event: LinkEvent) => void,
    private readonly logBrokenLink: LogBrokenLink,
    private readonly guard = new ConnectionGuard(allowancesFor(DEFAULT_MACHINE).peers, systemClock, () => {})
  ) {
    this.server = createServer({ noDelay: true }, socket => this.accept(socket))
  }

  /** @returns the port on which it now listens */
  listen (ip: string, port: number, backlog?: number): Promise<number> {
    return listen(this.server, ip, port, backlog)
  }

  /** Sends a message and connects first if there is no connection; resets a connection whose buffer is full. */
  send ({ to, address, message }: { readonly to: InstanceId, readonly address: string, readonly message: ShardMessage }): void {
    if (this.closed) return
    const link = this.getOrConnect(to, address)
    if (link === undefined) this.rejectAddress(to, address, message)
    else if (!link.connected) this.enqueue(to, link, message)
    else if (link.socket.writableLength > MAX_BUFFERED_BYTES) this.reset(to)
    else this.write(to, link, message)
  }

  /** Closes the connection to a peer, so that the next message opens a new one; messages in transit may be lost. */
  reset (peer: InstanceId): void {
    const link = this.links.get(peer)
    if (link === undefined) return
    this.links.delete(peer)
    link.socket.destroy()
    this.post({ type: 'linkDown', peer })
  }

  /** Sends later messages to a peer on a new connection. What has been written to the present one may still arrive. */
  renew (peer: InstanceId): void {
    const link = this.links.get(peer)
    if (link === undefined || !link.connected) return
    const { socket } = link
    this.links.delete(peer)
    this.renewed.add(socket)
    socket.setTimeout(RENEWED_IDLE_MS, () => socket.destroy())
    socket.once('close', () => this.renewed.delete(socket))
  }

  /** Closes all connections. */
  close (): void {
    this.closed = true
    for (const socket of [...[...this.links.values()].map(link => link.socket), ...this.renewed, ...this.inbound]) socket.destroy()
    this.server.close()
  }

  /** Reads envelopes until the connection ends. Invalid data closes this connection and has no other effect. */
  private accept (socket: Socket): void {
    const inbound: Inbound = { socket, guarded: this.guard.add(socket), framer: new MessageFramer(), from: undefined }
    this.inbound.add(socket)
    this.guard.enter(inbound.guarded, 'receiving')
    socket.on('data', (piece: Buffer) => this.receive(inbound, piece))
    socket.on('error', err => this.logBroken(inbound, err))
    socket.once('close', () => this.onInboundClosed(inbound))
  }

  private receive (inbound: Inbound, piece: Buffer): void {
    const { framer, guarded, socket } = inbound
    if (socket.destroyed) return
    const wasInside = framer.isInside
    guarded.connection.received += piece.length
    countPiece(piece.length)
    try {
      framer.receive(piece, message => this.readMessage(inbound, message))
    } catch (err) {
      this.logBroken(inbound, err)
      socket.destroy()
      return
    }
    if (framer.isInside || wasInside) this.guard.hold(guarded, costOfPart(framer.heldBytes))
    if (framer.isInside !== wasInside) this.guard.enter(guarded, framer.isInside ? 'receiving' : 'served')
  }

  private readMessage (inbound: Inbound, bytes: Buffer): void {
    const envelope = readEnvelope(this.decoder.decode(bytes))
    if (envelope === undefined) throw new Error('received data that is not a message envelope')
    if (inbound.from === undefined) {
      this.latestInbound.set(envelope.from, inbound.socket)
      this.guard.enter(inbound.guarded, 'served')
    }
    inbound.from = envelope.from
    if (!isShardMessage(envelope.message)) throw new Error(`received an invalid message of type '${envelope.message.type}'`)
    this.deliver(envelope.from, envelope.message)
  }

  private logBroken ({ from }: Inbound, err: unknown): void {
    if (!this.closed) this.logBrokenLink(from, err instanceof Error ? err.message : String(err))
  }

  private onInboundClosed ({ socket, from, framer }: Inbound): void {
    framer.close()
    this.inbound.delete(socket)
    if (from === undefined || this.latestInbound.get(from) !== socket) return
    this.latestInbound.delete(from)
    if (!this.closed) this.post({ type: 'linkDown', peer: from })
  }

  /**
   * Posts a message. An exception in the decision logic must not count as a connection error, so it is rethrown outside the
   * read loop and ends the process.
   */
  private deliver (from: InstanceId, message: ShardMessage): void {
    try {
      this.post({ type: 'peer', from, message })
    } catch (err) {
      process.nextTick(() => {
        throw err
      })
    }
  }

  /** @returns undefined if nothing can connect to the address */
  private getOrConnect (peer: InstanceId, address: string): Link | undefined {
    const existing = this.links.get(peer)
    if (existing !== undefined && existing.address === address) return existing
    const target = parseAddress(address)
    if (target === undefined) return undefined
    this.unusableAddresses.delete(peer)
    existing?.socket.destroy()
    const socket = connect({ host: target.ip, port: target.port, noDelay: true })
    const link: Link = { address, socket, connected: false, corked: false, pending: existing?.pending ?? [] }
    this.links.set(peer, link)
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => socket.destroy())
    socket.once('connect', () => this.onConnected(peer, link))
    socket.on('error', (err) => {
      if (link.connected) this.logBrokenLink(peer, err.message)
      socket.destroy()
    })
    socket.once('close', () => this.onClosed(peer, link))
    return link
  }

  /** Reports the message as not sent, in a later turn, as for a peer that refuses the connection. */
  private rejectAddress (to: InstanceId, address: string, message: ShardMessage): void {
    if (this.unusableAddresses.get(to) !== address) this.logBrokenLink(to, `'${address.slice(0, MAX_LOGGED_ADDRESS)}' is not an IP address with a port`)
    this.unusableAddresses.set(to, address)
    setImmediate(() => {
      if (!this.closed) this.post({ type: 'sendFailed', to, message })
    })
  }

  private enqueue (to: InstanceId, { pending, socket }: Link, message: ShardMessage): void {
    pending.push(message)
    if (pending.length < MAX_PENDING_MESSAGES || socket.destroyed) return
    this.logBrokenLink(to, `${pending.length} messages waited for a connection`)
    socket.destroy()
  }

  private onConnected (peer: InstanceId, link: Link): void {
    link.socket.setTimeout(0)
    link.socket.resume()
    link.connected = true
    for (const message of link.pending.splice(0)) this.write(peer, link, message)
  }

  /** Writes a message; one that cannot be encoded is left out. It holds fields of a peer that were passed on unread, for example very deeply nested ones. */
  private write (peer: InstanceId, link: Link, message: ShardMessage): void {
    const { socket } = link
    const bytes = this.encode(peer, message)
    if (bytes === undefined) return
    if (!link.corked) {
      link.corked = true
      socket.cork()
      setImmediate(() => {
        link.corked = false
        socket.uncork()
      })
    }
    socket.write(bytes)
  }

  private encode (peer: InstanceId, message: ShardMessage): Buffer | undefined {
    try {
      return encodeEnvelope({ from: this.self, message })
    } catch (err) {
      this.logBrokenLink(peer, `cannot encode a message of type '${message.type}': ${err instanceof Error ? err.message : String(err)}`)
      return undefined
    }
  }

  private onClosed (peer: InstanceId, link: Link): void {
    if (this.links.get(peer) !== link || this.closed) return
    this.links.delete(peer)
    if (link.connected) this.post({ type: 'linkDown', peer })
    else for (const message of link.pending.splice(0)) this.post({ type: 'sendFailed', to: peer, message })
  }
}
