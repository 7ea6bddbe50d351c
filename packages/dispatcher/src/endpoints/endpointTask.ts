/**
 * Sends starts, lease renewals, stops and probes to endpoints by the API in docs/ENDPOINT.md. This is the only place
 * that decides whether a start was certainly not sent. Any other failure leaves its outcome unknown: the task may run.
 */
import type { EndpointId, RefusalReason, StartOutcome } from '@cranberryyard/protocol'
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import type { EffectOf, Post } from '../messages.js'
import type { AnswerBudget } from '../shard/answerBudget.js'
import { AnswerCollector } from '../shard/answerCollector.js'

/** An attempt to connect fails after this time; nothing has been sent then. */
const CONNECT_TIMEOUT_MS = 1000
/** Renewals, stops and probes are small; an endpoint that takes longer counts as unreachable. */
const CONTROL_TIMEOUT_MS = 1000
/** Idle connections are closed so that the 64 connections of an endpoint suffice for all instances. */
const IDLE_CONNECTION_TIMEOUT_MS = 10_000

/** Largest answer to a start, which carries the result of a task. */
const MAX_RESULT_BYTES = 8_388_608

/** Errors that occur before anything is written to a connection. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Keeps one connection pool for each endpoint address. */
export class EndpointTask {
  private readonly pools = new Map<string, Pool>()

  constructor (private readonly connectionsPerEndpoint: number, private readonly post: Post, private readonly budget: AnswerBudget) {}

  /** Starts a task and reports its outcome. The endpoint responds when the task ends, so there is no response timeout. */
  start (effect: EffectOf<'start'>): void {
    const { endpoint, request, address } = effect
    const handler = new StartResponseHandler(this.budget, outcome => this.post({ type: 'startOutcome', taskId: request.taskId, endpoint, outcome }))
    this.poolFor(address).dispatch({ path: '/v1/start', method: 'POST', headers: JSON_HEADERS, body: JSON.stringify(request), headersTimeout: 0, bodyTimeout: 0 }, handler)
  }

  /** Renews the leases of tasks and reports whether the endpoint responded with status 200. */
  renew (effect: EffectOf<'renew'>): void {
    const { endpoint, tasks, notAfter, address } = effect
    void this.sendControlRequest(address, 'POST', '/v1/renew', { tasks, notAfter })
      .then(ok => this.post({ type: 'renewOutcome', endpoint, tasks, renewed: ok }))
  }

  /** Stops tasks. Reports nothing: the stop makes the endpoint respond to their start requests. */
  stop (effect: EffectOf<'stop'>): void {
    void this.sendControlRequest(effect.address, 'POST', '/v1/stop', { tasks: effect.tasks, notAfter: effect.notAfter })
  }

  /** Checks an endpoint's health and reports the result. */
  probe (effect: EffectOf<'probe'>): void {
    void this.sendControlRequest(effect.address, 'GET', '/v1/health', undefined)
      .then(healthy => this.post({ type: 'probeOutcome', endpoint: effect.endpoint as EndpointId, healthy }))
  }

  /** Closes all connections at once; start requests still open end with an unknown outcome. */
  async close (): Promise<void> {
    await Promise.all([...this.pools.values()].map(p => p.destroy()))
  }

  private async sendControlRequest (address: string, method: 'GET' | 'POST', path: string, body: unknown): Promise<boolean> {
    try {
      const options = { path, method, headers: JSON_HEADERS, headersTimeout: CONTROL_TIMEOUT_MS, bodyTimeout: CONTROL_TIMEOUT_MS }
      const res = await this.poolFor(address).request(body === undefined ? options : { ...options, body: JSON.stringify(body) })
      await res.body.dump()
      return res.statusCode === 200
    } catch {
      return false
    }
  }

  private poolFor (address: string): Pool {
    const known = this.pools.get(address)
    if (known !== undefined) return known
    const pool = new Pool(`http://${address}`, {
      connections: this.connectionsPerEndpoint,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0
    })
    this.pools.set(address, pool)
    return pool
  }
}

const JSON_HEADERS = { 'content-type': 'application/json' }

/** Collects the response to one start. Any error after bytes may have been sent gives an unknown outcome. */
class StartResponseHandler implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined
  private status = 0
  private readonly answer: AnswerCollector
  private reported = false

  constructor (budget: AnswerBudget, private readonly report: (outcome: StartOutcome) => void) {
    this.answer = new AnswerCollector({ maxBytes: MAX_RESULT_BYTES, budget }, reason => this.giveUp(reason))
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.controller = controller
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number): void {
    this.status = status
  }

  onResponseData (_controller: Dispatcher.DispatchController, part: Buffer): void {
    if (!this.reported) this.answer.add(part)
  }

  onResponseEnd (): void {
    this.finish(parseStartOutcome(this.status, this.answer.body().toString('utf8')))
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    const code = (err as NodeJS.ErrnoException).code ?? ''
    this.finish(NOT_SENT_CODES.has(code) ? { type: 'notSent' } : { type: 'unknown' })
  }

  /** Ends the call. The task may have run, whatever its answer was to say. */
  private giveUp (reason: string): void {
    this.finish({ type: 'unknown' })
    this.controller?.abort(new Error(reason))
  }

  private finish (outcome: StartOutcome): void {
    if (this.reported) return
    this.reported = true
    this.answer.close()
    this.report(outcome)
  }
}

function parseStartOutcome (status: number, text: string): StartOutcome {
  let body: { result?: unknown, runMs?: number, message?: string, reason?: RefusalReason }
  try {
    body = JSON.parse(text) as typeof body
  } catch {
    return { type: 'unknown' }
  }
  switch (status) {
    case 200: return { type: 'done', result: body.result, runMs: body.runMs ?? 0 }
    case 409: return body.reason === 'known' ? { type: 'unknown' } : { type: 'refused', reason: body.reason ?? 'busy' }
    case 410: return { type: 'stopped' }
    case 500: return { type: 'failed', message: body.message ?? 'failed', runMs: body.runMs ?? 0 }
    default: return { type: 'unknown' }
  }
}
