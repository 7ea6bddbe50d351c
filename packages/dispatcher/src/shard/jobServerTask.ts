/**
 * Owns the callers' port and the readiness port. It turns requests into inputs, writes one answer to each, and reports
 * callers that disconnect before their answer. Sockets and body limits stay here, so that the decision logic in `core`
 * knows a call only by its id.
 */
import { DEFAULT_MACHINE, allowancesFor } from '@cranberryyard/core/shard'
import type { CallerReply, ShardEffect, ShardInput } from '@cranberryyard/core/shard'
import { ms, systemClock } from '@cranberryyard/protocol'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { ConnectionGuard } from '../utils/connectionGuard.js'
import type { GuardedSocket } from '../utils/connectionGuard.js'
import { headerLimits, makePlainServer } from '../utils/plainServer.js'
import { hasUnreadBody, readBody } from '../utils/requestBody.js'
import type { SocketReads } from './socketReads.js'
import type { CallerAnswer, CallerRequest, CallerWire } from './wires.js'

type EffectOf<T extends ShardEffect['type']> = Extract<ShardEffect, { type: T }>

/** Longest time that a caller may take to send the headers of its request. */
const HEADERS_TIMEOUT_MS = 5000
/** Largest request body; a few times the size of a job with the longest text. */
const MAX_BODY_BYTES = 1_048_576
/** What probes of the readiness port may use: they are few, and each is one small request. */
const PROBE_ALLOWANCE = { connections: 32, bytes: MAX_BODY_BYTES }

/** Returns the answer to a request for a path of a queue that is not known; undefined if it is known. */
export type GetRefusal = (host: string, path: string) => CallerReply | undefined

/** Serves callers and readiness probes. */
export class JobServerTask {
  readonly callers: Server
  readonly readiness: Server
  private readonly openResponses = new Map<string, ServerResponse>()
  private callCounter = 0
  private ready = false
  private leaving = false

  constructor (
    private readonly wire: CallerWire,
    private readonly post: (input: ShardInput) => void,
    private readonly refusalFor: GetRefusal,
    private readonly reads: SocketReads,
    private readonly guard = new ConnectionGuard(allowancesFor(DEFAULT_MACHINE).callers, systemClock, () => {})
  ) {
    this.callers = makePlainServer(headerLimits(HEADERS_TIMEOUT_MS), (req, res) => this.receive(req, res))
    guard.watch(this.callers)
    const probes = new ConnectionGuard(PROBE_ALLOWANCE, systemClock, guard.report)
    this.readiness = makePlainServer(headerLimits(HEADERS_TIMEOUT_MS), (req, res) => {
      probes.of(req).begin(req, res)
      res.writeHead(this.ready ? 200 : 503, hasUnreadBody(req) ? { connection: 'close' } : {}).end()
    })
    probes.watch(this.readiness)
  }

  /** Sets whether the readiness port reports that this instance accepts new connections. */
  setReady (ready: boolean): void {
    this.ready = ready
  }

  /** Reports this instance as not ready and makes every further answer close its connection. */
  leave (): void {
    this.leaving = true
    this.ready = false
  }

  /** @returns the number of calls that have no answer yet */
  openCalls (): number {
    return this.openResponses.size
  }

  /** Writes the answer to a submission, unless the caller has disconnected. */
  reply (effect: EffectOf<'reply'>): void {
    const res = this.openResponses.get(effect.callId)
    this.openResponses.delete(effect.callId)
    this.reads.callEnded(effect.callId)
    if (res !== undefined) this.send(res, this.wire.answer(effect.reply))
  }

  private receive (req: IncomingMessage, res: ServerResponse): void {
    const guarded = this.guard.of(req)
    guarded.begin(req, res)
    readBody(req, res, guarded, MAX_BODY_BYTES, (outcome) => {
      switch (outcome.type) {
        case 'complete': return this.handleRequest(req, res, guarded, outcome.body.toString('utf8'))
        case 'tooLarge':
          this.guard.report('tooLarge')
          return this.send(res, this.wire.answerTooLarge())
        case 'broken': res.destroy()
      }
    })
  }

  private handleRequest (req: IncomingMessage, res: ServerResponse, guarded: GuardedSocket, body: string): void {
    const host = (req.headers.host ?? '').replace(/:\d+$/, '')
    const request = this.wire.read(req.method ?? 'GET', req.url ?? '/', req.headers, body)
    if (request.type === 'malformed') this.send(res, this.wire.answerMalformed(request.message))
    else if (request.type === 'submit') this.submit(res, guarded, host, request)
    else this.answerAboutJob(res, request.type, this.refusalFor(host, request.path))
  }

  /** Answers a request about a job; no job is known once it has ended, and none waits unseen. */
  private answerAboutJob (res: ServerResponse, type: 'state' | 'cancel' | 'waitingCount', refusal: CallerReply | undefined): void {
    if (refusal !== undefined) this.send(res, this.wire.answer(refusal))
    else this.send(res, type === 'waitingCount' ? this.wire.answerWaitingCount(0) : this.wire.answerUnknownJob())
  }

  /**
   * Submits a job once everything else that has arrived was read: a request that was held up on its way may be followed by the end of its connection.
   * Its caller may have sent the job again elsewhere by now.
   */
  private submit (res: ServerResponse, guarded: GuardedSocket, host: string, request: Extract<CallerRequest, { type: 'submit' }>): void {
    const callId = `c${++this.callCounter}`
    let submitted = false
    const left = (): void => {
      this.reads.callEnded(callId)
      if (this.openResponses.delete(callId) && submitted) this.post({ type: 'callerLeft', callId })
    }
    this.openResponses.set(callId, res)
    this.reads.callBegan(callId, guarded.reads)
    // The response closes some turns after the end of its connection was read, and not at all if it is not the first of its connection.
    const forget = guarded.whenLeft(left)
    res.once('close', () => {
      forget()
      left()
    })
    // What was read in this turn may be followed by the end of its connection, which the next turn reads.
    setImmediate(() => this.reads.afterNextRead(() => {
      if (!this.openResponses.has(callId) || guarded.socket.readableEnded) return
      submitted = true
      this.post({ type: 'submit', callId, host, path: request.path, job: request.job, deadlineMs: ms(request.deadlineMs) })
    }))
  }

  private send (res: ServerResponse, answer: CallerAnswer): void {
    if (res.headersSent || res.destroyed) return
    const connectionHeader = this.leaving || hasUnreadBody(res.req) ? { connection: 'close' } : {}
    res.writeHead(answer.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(answer.body), ...answer.headers, ...connectionHeader })
    res.end(answer.body)
  }
}
