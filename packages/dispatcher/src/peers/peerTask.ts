/**
 * Owns the connections between this entry instance and its peers. All messages to one peer share one stream, so they
 * keep their order. The task reports a message as failed (`sendFailed`) only when no stream to the peer was open; once
 * written to a stream, the message may have arrived, and the task reports the loss of the stream as `linkDown`.
 */
import { Server, ServerCredentials, credentials } from '@grpc/grpc-js'
import type { ClientWritableStream, ServerReadableStream, sendUnaryData, Client } from '@grpc/grpc-js'
import type { InstanceId, PeerMessage, Settings } from '@cranberryyard/protocol'
import { readFileSync } from 'node:fs'
import { createServer } from 'node:net'
import type { Server as NetServer } from 'node:net'
import type { EffectOf, Post } from '../messages.js'
import type { ConnectionGuard } from '../utils/connectionGuard.js'
import { listen } from '../utils/plainServer.js'
import { PeerConnections } from './peerConnections.js'
import { PeerClient, peerService } from './peerService.js'
import type { ReceivedEnvelope } from './peerService.js'
import type { Envelope } from './peerCodec.js'

/** When no connection is made within this time, the messages queued for the peer fail. */
const CONNECT_TIMEOUT_MS = 800
/** Bound on the messages queued for a connection, so that heartbeats to a dead peer do not pile up. */
const MAX_QUEUED_MESSAGES = 2000

/** A peer has one stream on a connection, and another one for a moment when it opens it anew. */
const MAX_STREAMS = 16

const CHANNEL_OPTIONS = {
  'grpc.enable_http_proxy': 0,
  'grpc.keepalive_time_ms': 2000,
  'grpc.keepalive_timeout_ms': 2000,
  'grpc.initial_reconnect_backoff_ms': 200,
  'grpc.max_reconnect_backoff_ms': 1000,
  'grpc.max_receive_message_length': 16 * 1024 * 1024
}

const SERVER_OPTIONS = { ...CHANNEL_OPTIONS, 'grpc.max_concurrent_streams': MAX_STREAMS }

type Stream = ClientWritableStream<Envelope>

interface ChannelClient extends Client {
  channel (callback: (err: Error | null) => void): Stream
}

/** The outgoing connection to a peer. */
interface Link {
  readonly client: ChannelClient
  readonly address: string
  stream: Stream | undefined
  connecting: boolean
  /** Messages that wait for the connection. */
  readonly queuedMessages: PeerMessage[]
}

/** Listens on the peer port and holds one link to each peer. */
export class PeerTask {
  private readonly links = new Map<InstanceId, Link>()
  private readonly server = new Server(SERVER_OPTIONS)
  private readonly connections: PeerConnections
  private listener: NetServer | undefined
  /** Total size of the messages sent, encoded. */
  bytesSent = 0
  private closed = false

  constructor (private readonly self: InstanceId, private readonly tls: Settings['peerTls'], private readonly post: Post, guard: ConnectionGuard) {
    this.connections = new PeerConnections(guard)
    this.server.addService(peerService, { channel: (call: ServerReadableStream<ReceivedEnvelope, unknown>, done: sendUnaryData<unknown>) => this.receive(call, done) })
  }

  /** Binds the peer port. @returns the port, which differs from the given one when that is 0 */
  listen (address: string, port: number, backlog: number): Promise<number> {
    const injector = this.server.createConnectionInjector(this.serverCredentials())
    this.listener = createServer({ noDelay: true }, (socket) => {
      if (this.connections.add(socket)) injector.injectConnection(socket)
    })
    return listen(this.listener, address, port, backlog)
  }

  /** Sends a message. Without an open stream, queues it and connects first; when the queue is full, it fails at once. */
  send (effect: EffectOf<'send'>): void {
    if (this.closed) return
    const link = this.linkTo(effect.to, effect.address)
    if (link.stream !== undefined) {
      this.write(link.stream, effect.message)
      return
    }
    if (link.queuedMessages.length >= MAX_QUEUED_MESSAGES) this.reportSendFailed(effect.to, [effect.message])
    else link.queuedMessages.push(effect.message)
    if (!link.connecting) this.connect(effect.to, link)
  }

  /** Closes all links and the peer port. */
  close (): void {
    this.closed = true
    for (const link of this.links.values()) {
      link.stream?.end()
      link.client.close()
    }
    this.listener?.close()
    this.connections.close()
    this.server.forceShutdown()
  }

  private receive (call: ServerReadableStream<ReceivedEnvelope, unknown>, done: sendUnaryData<unknown>): void {
    let from: InstanceId | undefined
    call.on('data', ({ envelope, bytes }: ReceivedEnvelope) => {
      this.connections.completed(call.getPeer(), bytes)
      if (envelope === undefined) return
      from = envelope.from
      this.post({ type: 'peer', from, message: envelope.message as PeerMessage })
    })
    call.on('end', () => done(null, {}))
    call.on('error', () => {})
    call.on('cancelled', () => {
      if (from !== undefined && !this.closed) this.post({ type: 'linkDown', peer: from })
    })
  }

  private linkTo (peer: InstanceId, address: string): Link {
    const known = this.links.get(peer)
    if (known !== undefined && known.address === address) return known
    known?.client.close()
    const client = new PeerClient(address, this.clientCredentials(), CHANNEL_OPTIONS) as unknown as ChannelClient
    const link: Link = { client, address, stream: undefined, connecting: false, queuedMessages: known?.queuedMessages ?? [] }
    this.links.set(peer, link)
    return link
  }

  private connect (peer: InstanceId, link: Link): void {
    link.connecting = true
    link.client.waitForReady(Date.now() + CONNECT_TIMEOUT_MS, (err) => {
      if (this.links.get(peer) !== link) return
      link.connecting = false
      const messages = link.queuedMessages.splice(0)
      if (err !== undefined && err !== null) {
        this.reportSendFailed(peer, messages)
        return
      }
      const stream = this.openStream(peer, link)
      for (const message of messages) this.write(stream, message)
    })
  }

  private openStream (peer: InstanceId, link: Link): Stream {
    const stream = link.client.channel(() => this.handleStreamLoss(peer, link, stream))
    stream.on('error', () => this.handleStreamLoss(peer, link, stream))
    link.stream = stream
    return stream
  }

  private write (stream: Stream, message: PeerMessage): void {
    stream.write({ from: this.self, message })
  }

  private handleStreamLoss (peer: InstanceId, link: Link, stream: Stream): void {
    if (link.stream !== stream || this.closed) return
    link.stream = undefined
    this.post({ type: 'linkDown', peer })
  }

  private reportSendFailed (to: InstanceId, messages: readonly PeerMessage[]): void {
    if (this.closed) return
    for (const message of messages) this.post({ type: 'sendFailed', to, message })
  }

  private serverCredentials (): ServerCredentials {
    if (this.tls.plain) return ServerCredentials.createInsecure()
    const pair = { private_key: readFileSync(this.tls.keyFile), cert_chain: readFileSync(this.tls.certFile) }
    return ServerCredentials.createSsl(readFileSync(this.tls.caFile), [pair], true)
  }

  private clientCredentials (): ReturnType<typeof credentials.createInsecure> {
    if (this.tls.plain) return credentials.createInsecure()
    return credentials.createSsl(readFileSync(this.tls.caFile), readFileSync(this.tls.keyFile), readFileSync(this.tls.certFile))
  }
}
