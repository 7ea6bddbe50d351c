/**
 * Makes HTTP calls with a deadline each. A call without an answer in time gives its connection up, since a silent
 * connection may stay silent for good.
 */
import type { Ms } from '@cranberryyard/protocol'
import { Pool } from 'undici'
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

/** Connections to any number of addresses. */
export class HttpCaller {
  private readonly pools = new Map<string, Pool>()

  /** @param connections - most connections to one address */
  constructor (private readonly connections: number) {}

  /**
   * Makes a call.
   * @param address - IP number and port
   * @param call - what to send
   * @param timeoutMs - longest time until the answer is complete
   */
  async call (address: string, call: HttpCall, timeoutMs: Ms): Promise<CallResult> {
    const abort = new AbortController()
    const timer = setTimeout(() => abort.abort(), timeoutMs)
    try {
      const res = await this.pool(address).request({
        method: call.method,
        path: call.path,
        headers: { 'content-type': 'application/json', ...call.headers },
        body: call.body ?? null,
        signal: abort.signal
      })
      return { type: 'reply', reply: { status: res.statusCode, body: await res.body.text() } }
    } catch (err) {
      return { type: isRefusal(err) ? 'refused' : 'silent' }
    } finally {
      clearTimeout(timer)
    }
  }

  /** Closes the connections to an address. */
  drop (address: string): void {
    const pool = this.pools.get(address)
    this.pools.delete(address)
    if (pool !== undefined) void pool.destroy()
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
    const pool = new Pool(`http://${address}`, { connections: this.connections, keepAliveTimeout: KEEP_ALIVE_MS, connect: { timeout: CONNECT_TIMEOUT_MS } })
    this.pools.set(address, pool)
    return pool
  }
}

function isRefusal (err: unknown): boolean {
  return err instanceof Error && 'code' in err && err.code === 'ECONNREFUSED'
}
