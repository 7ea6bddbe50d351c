/**
 * Makes HTTP calls with a deadline each. A call without an answer in time gives its connection up, since a silent
 * connection may stay silent for good.
 */
import type { Ms } from '@cranberryyard/protocol'
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import type { HttpCall, HttpReply } from './wires.js'

/** How a call ended. `refused`: nobody listens; nothing was sent. `silent`: no complete answer; it may take effect. */
export type CallResult =
  | { readonly type: 'reply', readonly reply: HttpReply }
  | { readonly type: 'refused' }
  | { readonly type: 'silent' }

/** Idle connections are closed after this time. */
const KEEP_ALIVE_MS = 10_000
/** Longest time to connect; a few round trips. */
const CONNECT_TIMEOUT_MS = 400

/** What a call may take. A large answer over a slow link is late, not lost, as long as more of it arrives. */
export interface CallTimes {
  /** Longest silence: until the answer begins, and between two parts of it. */
  readonly silenceMs: Ms
  /** Longest time until the answer is complete. */
  readonly totalMs: Ms
}

/** One call on its way: collects the answer and reports once, at the latest when its time is up. */
class PendingCall implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined
  private status = 0
  private readonly chunks: Buffer[] = []
  private ended = false
  private readonly silence: NodeJS.Timeout
  private readonly total: NodeJS.Timeout | undefined
  /** Parts of the answer that have arrived. */
  private parts = 0

  constructor ({ silenceMs, totalMs }: CallTimes, private readonly report: (result: CallResult) => void) {
    this.silence = setTimeout(() => this.checkSilence(), silenceMs)
    this.total = totalMs > silenceMs ? setTimeout(() => this.giveUp(), totalMs) : undefined
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.controller = controller
    // The time was up while the call waited for a connection: nothing is sent.
    if (this.ended) this.abort()
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number): void {
    this.status = status
    this.progressed()
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.chunks.push(chunk)
    this.progressed()
  }

  onResponseEnd (): void {
    const body = this.chunks.length === 1 ? this.chunks[0] as Buffer : Buffer.concat(this.chunks)
    this.end({ type: 'reply', reply: { status: this.status, body: body.toString('utf8') } })
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    this.end({ type: isRefusal(err) ? 'refused' : 'silent' })
  }

  private progressed (): void {
    this.parts++
    if (this.total !== undefined && !this.ended) this.silence.refresh()
  }

  /** An event loop that is behind runs timers before it reads what has arrived; the answer may be waiting there. */
  private checkSilence (): void {
    const seen = this.parts
    setImmediate(() => {
      if (this.total === undefined || this.parts === seen) this.giveUp()
    })
  }

  private giveUp (): void {
    if (this.ended) return
    this.end({ type: 'silent' })
    this.abort()
  }

  private abort (): void {
    this.controller?.abort(new Error('no answer in time'))
  }

  private end (result: CallResult): void {
    if (this.ended) return
    this.ended = true
    clearTimeout(this.silence)
    clearTimeout(this.total)
    this.report(result)
  }
}

/** Connections to any number of addresses. */
export class HttpCaller {
  private readonly pools = new Map<string, Pool>()

  /** @param connections - most connections to one address */
  constructor (private readonly connections: number) {}

  /**
   * Makes a call.
   * @param address - IP number and port
   * @param call - what to send
   * @param times - what it may take; one number is the longest time until the answer is complete
   */
  call (address: string, call: HttpCall, times: CallTimes | Ms): Promise<CallResult> {
    return new Promise((resolve) => {
      const pending = new PendingCall(typeof times === 'number' ? { silenceMs: times, totalMs: times } : times, resolve)
      this.pool(address).dispatch({
        method: call.method,
        path: call.path,
        headers: { 'content-type': 'application/json', ...call.headers },
        body: call.body ?? null
      }, pending)
    })
  }

  /** Closes everything. */
  async close (): Promise<void> {
    const pools = [...this.pools.values()]
    this.pools.clear()
    await Promise.all(pools.map(pool => pool.destroy()))
  }

  private pool (address: string): Pool {
    const known = this.pools.get(address)
    if (known !== undefined) return known
    const pool = new Pool(`http://${address}`, {
      connections: this.connections,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: 0
    })
    this.pools.set(address, pool)
    return pool
  }
}

function isRefusal (err: unknown): boolean {
  return err instanceof Error && 'code' in err && err.code === 'ECONNREFUSED'
}
