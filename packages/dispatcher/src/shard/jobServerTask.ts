/**
 * Owns the callers' port and the readiness port: turns requests into inputs, writes one answer to each, and notices
 * callers that leave.
 */
import type { ShardEffect, ShardInput } from '@cranberryyard/core/shard'
import { ms } from '@cranberryyard/protocol'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { makePlainServer } from '../utils/plainServer.js'
import type { CallerAnswer, CallerRequest, CallerWire } from './wires.js'

type EffectOf<T extends ShardEffect['type']> = Extract<ShardEffect, { type: T }>

/** Longest time a caller may take to send its request. */
const SENDER_TIMEOUT_MS = 3000
/** Largest body; a few times what a job with the longest text takes. */
const BODY_BYTES_MAX = 1_048_576

/** Answers whether a path belongs to a queue. */
export type HasQueue = (host: string, path: string) => boolean

/** Owns the callers' connections. */
export class JobServerTask {
  readonly callers: Server
  readonly readiness: Server
  private readonly open = new Map<string, ServerResponse>()
  private callCounter = 0
  private ready = false
  private leaving = false

  constructor (private readonly wire: CallerWire, private readonly post: (input: ShardInput) => void, private readonly hasQueue: HasQueue) {
    this.callers = makePlainServer(SENDER_TIMEOUT_MS, (req, res) => this.handle(req, res))
    this.readiness = makePlainServer(SENDER_TIMEOUT_MS, (req, res) => {
      req.resume()
      res.writeHead(this.ready ? 200 : 503).end()
    })
  }

  /** Says on the readiness port whether this instance takes new connections. */
  setReady (ready: boolean): void {
    this.ready = ready
  }

  /** From now on every answer closes its connection. */
  leave (): void {
    this.leaving = true
    this.ready = false
  }

  /** @returns calls without an answer yet */
  openCalls (): number {
    return this.open.size
  }

  /** Writes the answer to a submission. */
  reply (effect: EffectOf<'reply'>): void {
    const res = this.open.get(effect.callId)
    this.open.delete(effect.callId)
    if (res !== undefined) this.send(res, this.wire.answer(effect.reply))
  }

  private handle (req: IncomingMessage, res: ServerResponse): void {
    const chunks: Buffer[] = []
    let bytes = 0
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes <= BODY_BYTES_MAX) chunks.push(chunk)
    })
    req.on('end', () => {
      if (bytes > BODY_BYTES_MAX) this.send(res, this.wire.answerTooLarge())
      else this.understood(req, res, Buffer.concat(chunks).toString('utf8'))
    })
    req.on('error', () => res.destroy())
  }

  private understood (req: IncomingMessage, res: ServerResponse, body: string): void {
    const host = (req.headers.host ?? '').replace(/:\d+$/, '')
    const request = this.wire.read(req.method ?? 'GET', req.url ?? '/', req.headers, body)
    if (request.type === 'malformed') this.send(res, this.wire.answerMalformed(request.message))
    else if (request.type === 'submit') this.submit(res, host, request)
    else if (!this.hasQueue(host, request.path)) this.send(res, this.wire.answerNoQueue())
    else this.send(res, request.type === 'waitingCount' ? this.wire.answerWaitingCount(0) : this.wire.answerUnknownJob())
  }

  private submit (res: ServerResponse, host: string, request: Extract<CallerRequest, { type: 'submit' }>): void {
    const callId = `c${++this.callCounter}`
    this.open.set(callId, res)
    res.on('close', () => {
      if (this.open.delete(callId)) this.post({ type: 'callerLeft', callId })
    })
    this.post({ type: 'submit', callId, host, path: request.path, job: request.job, deadlineMs: ms(request.deadlineMs) })
  }

  private send (res: ServerResponse, answer: CallerAnswer): void {
    if (res.headersSent || res.destroyed) return
    const closing = this.leaving ? { connection: 'close' } : {}
    res.writeHead(answer.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(answer.body), ...answer.headers, ...closing })
    res.end(answer.body)
  }
}
