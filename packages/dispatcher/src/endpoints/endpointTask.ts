/**
 * Talks to endpoints through docs/ENDPOINT.md: starts, renewals, stops, probes. The one place that decides
 * whether a start is known not to have been sent.
 */
import type { EndpointId, RefusalReason, StartOutcome } from '@cranberryyard/protocol'
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import type { EffectOf, Post } from '../messages.js'

/** A connection that is not made after this span counts as not made; nothing was sent. */
const CONNECT_TIMEOUT_MS = 1000
/** Renewals, stops and probes are small; an endpoint that takes longer is treated as not reached. */
const CONTROL_TIMEOUT_MS = 1000
/** Idle connections are closed, so that sixty-four connections of an endpoint serve all instances. */
const IDLE_CLOSE_MS = 10_000

/** Errors before anything was written on a connection. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Owns the connections to endpoints. */
export class EndpointTask {
  private readonly pools = new Map<string, Pool>()

  constructor (private readonly connections: number, private readonly post: Post) {}

  /** Starts a task and reports its outcome. */
  start (effect: EffectOf<'start'>): void {
    const { endpoint, request, address } = effect
    const handler = new StartHandler(outcome => this.post({ type: 'startOutcome', taskId: request.taskId, endpoint, outcome }))
    this.pool(address).dispatch({ path: '/v1/start', method: 'POST', headers: JSON_HEADERS, body: JSON.stringify(request), headersTimeout: 0, bodyTimeout: 0 }, handler)
  }

  /** Renews leases and reports whether the endpoint answered. */
  renew (effect: EffectOf<'renew'>): void {
    const { endpoint, tasks, notAfter, address } = effect
    void this.control(address, 'POST', '/v1/renew', { tasks, notAfter })
      .then(ok => this.post({ type: 'renewOutcome', endpoint, tasks, renewed: ok }))
  }

  /** Stops tasks; their start requests are answered by that. */
  stop (effect: EffectOf<'stop'>): void {
    void this.control(effect.address, 'POST', '/v1/stop', { tasks: effect.tasks, notAfter: effect.notAfter })
  }

  /** Asks an endpoint whether it is healthy. */
  probe (effect: EffectOf<'probe'>): void {
    void this.control(effect.address, 'GET', '/v1/health', undefined)
      .then(healthy => this.post({ type: 'probeOutcome', endpoint: effect.endpoint as EndpointId, healthy }))
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await Promise.all([...this.pools.values()].map(p => p.destroy()))
  }

  private async control (address: string, method: 'GET' | 'POST', path: string, body: unknown): Promise<boolean> {
    try {
      const options = { path, method, headers: JSON_HEADERS, headersTimeout: CONTROL_TIMEOUT_MS, bodyTimeout: CONTROL_TIMEOUT_MS }
      const res = await this.pool(address).request(body === undefined ? options : { ...options, body: JSON.stringify(body) })
      await res.body.dump()
      return res.statusCode === 200
    } catch {
      return false
    }
  }

  private pool (address: string): Pool {
    const known = this.pools.get(address)
    if (known !== undefined) return known
    const pool = new Pool(`http://${address}`, {
      connections: this.connections,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: IDLE_CLOSE_MS,
      headersTimeout: 0,
      bodyTimeout: 0
    })
    this.pools.set(address, pool)
    return pool
  }
}

const JSON_HEADERS = { 'content-type': 'application/json' }

/** Collects one response; whatever goes wrong once bytes may have been sent is an unknown outcome. */
class StartHandler implements Dispatcher.DispatchHandler {
  private status = 0
  private readonly chunks: Buffer[] = []
  private ended = false

  constructor (private readonly done: (outcome: StartOutcome) => void) {}

  onConnect (): void {}

  onHeaders (statusCode: number): boolean {
    this.status = statusCode
    return true
  }

  onData (chunk: Buffer): boolean {
    this.chunks.push(chunk)
    return true
  }

  onComplete (): void {
    this.finish(readOutcome(this.status, Buffer.concat(this.chunks).toString('utf8')))
  }

  onError (err: Error): void {
    const code = (err as NodeJS.ErrnoException).code ?? ''
    this.finish(NOT_SENT_CODES.has(code) ? { type: 'notSent' } : { type: 'unknown' })
  }

  private finish (outcome: StartOutcome): void {
    if (this.ended) return
    this.ended = true
    this.done(outcome)
  }
}

function readOutcome (status: number, text: string): StartOutcome {
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
