/**
 * Makes HTTP calls, each with a deadline, over a pool of connections for each address. A call that times out closes its
 * connection, since a connection that has stopped answering may never recover. The outcome tells a refused connection
 * from a missing answer, because only a refused call is certain to have had no effect. A call that cannot even be sent, for
 * example because its address is not one, ends like a call to an address that is out of reach.
 */
import type { Ms } from '@cranberryyard/protocol'
import { validateHeaderValue } from 'node:http'
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import { parseAddress } from './address.js'
import { AnswerBudget } from './answerBudget.js'
import type { AnswerLimits } from './answerBudget.js'
import { AnswerCollector } from './answerCollector.js'
import type { HttpCall, HttpReply } from './wires.js'

/**
 * How a call ended. `refused`: nothing listens at the address, so nothing was sent. `silent`: no complete answer arrived in
 * time, or the network failed; the call may still take effect.
 */
export type CallResult =
  | { readonly type: 'reply', readonly reply: HttpReply }
  | { readonly type: 'refused' }
  | {
    readonly type: 'silent'
    /** Bytes of the answer's body that had arrived. */
    readonly receivedBytes: number
    /** False if the call was given up before any of it was sent. */
    readonly sent: boolean
  }

/** Logs why a call failed in another way than by a refused connection or a timeout. */
export type LogFailedCall = (address: string, reason: string) => void

/** Time after which an idle connection is closed. */
const KEEP_ALIVE_MS = 10_000
/** Longest time to connect; allows a few round trips. */
export const CONNECT_TIMEOUT_MS = 400
/** Largest answer of the store: a page of 1 MB, or a watch with a few of the largest values. */
export const MAX_ANSWER_BYTES = 8_388_608
/** Timeouts of connections; a call has its own. */
export const CONNECTION_OPTIONS = { keepAliveTimeout: KEEP_ALIVE_MS, headersTimeout: 0, bodyTimeout: 0 } as const

/** Timeouts of a call. There are two, so that a large answer over a slow link is not given up while data still arrives. */
export interface CallTimeouts {
  /** Longest time without data: until the answer begins, and between two parts of it. */
  readonly idleTimeoutMs: Ms
  /** Longest time until the answer is complete. If this is not longer than the idle timeout, arriving data does not prolong the call. */
  readonly totalTimeoutMs: Ms
}

/** A call in flight: collects the answer and reports exactly once, at the latest when it times out. */
class PendingCall implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined
  private sent = false
  private status = 0
  private readonly answer: AnswerCollector
  private finished = false
  private readonly idleTimer: NodeJS.Timeout
  private readonly totalTimer: NodeJS.Timeout | undefined
  /** Number of parts of the answer received so far; the status line counts as one. */
  private partsReceived = 0

  constructor ({ idleTimeoutMs, totalTimeoutMs }: CallTimeouts, private readonly report: (result: CallResult) => void, private readonly logFailure: (reason: string) => void, limits: AnswerLimits) {
    this.answer = new AnswerCollector(limits, reason => this.giveUp(reason))
    this.idleTimer = setTimeout(() => this.checkIdle(), idleTimeoutMs)
    this.totalTimer = totalTimeoutMs > idleTimeoutMs ? setTimeout(() => this.timeOut(), totalTimeoutMs) : undefined
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.controller = controller
    // The call timed out while it waited for a connection, so it must not be sent any more.
    if (this.finished) this.abort()
    else this.sent = true
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number): void {
    this.status = status
    this.recordProgress()
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.finished) return
    this.recordProgress()
    this.answer.add(chunk)
  }

  onResponseEnd (): void {
    this.finish({ type: 'reply', reply: { status: this.status, body: this.answer.body().toString('utf8') } })
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    this.fail(err)
  }

  /** Ends the call with the outcome for an error of the network, or one that kept the call from being sent. */
  fail (err: unknown): void {
    const refused = isConnectionRefused(err)
    if (!refused && !this.finished) this.logFailure(err instanceof Error ? err.message : String(err))
    if (refused) this.finish({ type: 'refused' })
    else this.finishSilent()
  }

  /** Ends the call, whose answer is not read any further. */
  private giveUp (reason: string): void {
    if (this.finished) return
    this.logFailure(reason)
    this.finishSilent()
    this.abort(reason)
  }

  private recordProgress (): void {
    this.partsReceived++
    if (this.totalTimer !== undefined && !this.finished) this.idleTimer.refresh()
  }

  /** Defers the check by one turn: a delayed event loop runs timers before it reads sockets, so the answer may have arrived unread. */
  private checkIdle (): void {
    const partsBefore = this.partsReceived
    setImmediate(() => {
      if (this.totalTimer === undefined || this.partsReceived === partsBefore) this.timeOut()
    })
  }

  private timeOut (): void {
    if (this.finished) return
    this.finishSilent()
    this.abort()
  }

  private finishSilent (): void {
    this.finish({ type: 'silent', receivedBytes: this.answer.receivedBytes, sent: this.sent })
  }

  private abort (reason = 'the call timed out'): void {
    this.controller?.abort(new Error(reason))
  }

  private finish (result: CallResult): void {
    if (this.finished) return
    this.finished = true
    clearTimeout(this.idleTimer)
    clearTimeout(this.totalTimer)
    this.answer.close()
    this.report(result)
  }
}

/**
 * Makes a call. Network failures and calls that cannot be sent are outcomes and do not reject the promise.
 * @param connect - returns what dispatches the call; may throw if the address cannot be used
 * @param call - the request
 * @param timeouts - both timeouts, or one number for the longest time until the answer is complete
 * @param logFailure - called with the reason if the call fails in another way than by a refused connection or a timeout
 * @param limits - bounds on the answer
 */
export function sendCall (connect: () => Dispatcher, call: HttpCall, timeouts: CallTimeouts | Ms, logFailure: (reason: string) => void, limits: AnswerLimits): Promise<CallResult> {
  return new Promise((resolve) => {
    const pending = new PendingCall(typeof timeouts === 'number' ? { idleTimeoutMs: timeouts, totalTimeoutMs: timeouts } : timeouts, resolve, logFailure, limits)
    try {
      checkHeaders(call)
      connect().dispatch({
        method: call.method,
        path: call.path,
        headers: { 'content-type': 'application/json', ...call.headers },
        body: call.body ?? null
      }, pending)
    } catch (err) {
      pending.fail(err)
    }
  })
}

/** Returns the origin of an address, or throws if it is not an IP address with a port. */
export function originOf (address: string): string {
  if (parseAddress(address) === undefined) throw new Error('the address is not an IP address with a port')
  return `http://${address}`
}

/** Makes calls to any number of addresses, with a connection pool for each. */
export class HttpCaller {
  private readonly pools = new Map<string, Pool>()

  /**
   * @param connections - maximum number of connections to one address
   * @param limits - bounds on the answers
   */
  constructor (private readonly connections: number, private readonly logFailure: LogFailedCall, private readonly limits: AnswerLimits = { maxBytes: MAX_ANSWER_BYTES, budget: new AnswerBudget() }) {}

  /**
   * Makes a call over any connection.
   * @param address - IP address and port; may be any text
   */
  call (address: string, call: HttpCall, timeouts: CallTimeouts | Ms): Promise<CallResult> {
    return sendCall(() => this.pool(address), call, timeouts, reason => this.logFailure(address, reason), this.limits)
  }

  /** Closes all connections; calls in flight end as `silent`. */
  async close (): Promise<void> {
    const pools = [...this.pools.values()]
    this.pools.clear()
    await Promise.all(pools.map(pool => pool.destroy()))
  }

  private pool (address: string): Pool {
    const existing = this.pools.get(address)
    if (existing !== undefined) return existing
    const pool = new Pool(originOf(address), { ...CONNECTION_OPTIONS, connections: this.connections, connect: { timeout: CONNECT_TIMEOUT_MS } })
    this.pools.set(address, pool)
    return pool
  }
}

/** Throws for a header that cannot be sent. A request that undici rejects itself would occupy a connection of its pool for ever. */
function checkHeaders ({ headers = {} }: HttpCall): void {
  for (const [name, value] of Object.entries(headers)) validateHeaderValue(name, value)
}

function isConnectionRefused (err: unknown): boolean {
  return err instanceof Error && 'code' in err && err.code === 'ECONNREFUSED'
}
