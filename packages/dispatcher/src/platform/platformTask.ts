/**
 * Talks to the platform: the store's key with the fleet value, and the list of instances.
 */
import type { EndpointInfo, Fleet, Settings } from '@cranberryyard/protocol'
import { EMPTY_FLEET } from '@cranberryyard/protocol'
import type { CasResult, PeerAddress } from '@cranberryyard/core'
import { Pool } from 'undici'
import type { EffectOf, Post } from '../messages.js'

const FLEET_KEY = 'fleet'
/** Margin that a watch gets beyond its own waiting time. */
const WATCH_MARGIN_MS = 2000
/** Errors that say nothing was sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

interface PlatformList {
  readonly endpoints: readonly EndpointInfo[]
  readonly instances: readonly PeerAddress[]
}

/** Owns the connections to the platform. */
export class PlatformTask {
  private readonly pool: Pool
  private timer: NodeJS.Timeout | undefined
  private closed = false

  constructor (private readonly settings: Settings['platform'], private readonly failureDomain: string, private readonly post: Post) {
    this.pool = new Pool(`http://${settings.address}`, { connections: 8, connect: { timeout: settings.requestTimeoutMs } })
  }

  /** Reads the instance list now and then periodically. */
  startListing (): void {
    void this.list().finally(() => {
      if (!this.closed) this.timer = setTimeout(() => this.startListing(), this.settings.listPeriodMs)
    })
  }

  /** Reads the fleet value. */
  async read (): Promise<void> {
    try {
      const { status, text, revision } = await this.request('GET', `/v1/kv/${FLEET_KEY}`, undefined, this.settings.requestTimeoutMs)
      if (status === 200) this.post({ type: 'storeValue', source: 'read', revision, fleet: JSON.parse(text) as Fleet })
      else if (status === 404) this.post({ type: 'storeValue', source: 'read', revision: 0, fleet: EMPTY_FLEET })
      else this.post({ type: 'storeFailed', operation: 'read' })
    } catch {
      this.post({ type: 'storeFailed', operation: 'read' })
    }
  }

  /** Waits for a newer fleet value. */
  async watch (effect: EffectOf<'storeWatch'>): Promise<void> {
    const { watchWaitMs } = this.settings
    try {
      const path = `/v1/watch/${FLEET_KEY}?after=${effect.afterRevision}&waitMs=${watchWaitMs}`
      const { status, text, revision } = await this.request('GET', path, undefined, watchWaitMs + WATCH_MARGIN_MS)
      if (status === 200) this.post({ type: 'storeValue', source: 'watch', revision, fleet: JSON.parse(text) as Fleet })
      else if (status === 204) this.post({ type: 'storeUnchanged' })
      else this.post({ type: 'storeFailed', operation: 'watch' })
    } catch {
      this.post({ type: 'storeFailed', operation: 'watch' })
    }
  }

  /** Writes the fleet value by compare-and-swap. */
  async cas (effect: EffectOf<'storeCas'>): Promise<void> {
    const result = await this.put(FLEET_KEY, effect.expectedRevision, JSON.stringify(effect.fleet))
    this.post({ type: 'casOutcome', attempt: effect.attempt, result })
  }

  /** Writes a chunk of the audit trail; the same chunk written before counts as written. */
  async archive (effect: EffectOf<'storeArchive'>): Promise<void> {
    const result = await this.put(effect.key, 0, effect.value)
    const ok = result.type === 'written' || (result.type === 'conflict' && await this.holds(effect.key, effect.value))
    this.post({ type: 'archiveOutcome', through: effect.through, ok })
  }

  /** Reads any key. */
  async readKey (key: string): Promise<unknown> {
    try {
      const { status, text } = await this.request('GET', `/v1/kv/${key}`, undefined, this.settings.requestTimeoutMs)
      return status === 200 ? JSON.parse(text) : undefined
    } catch {
      return undefined
    }
  }

  /** Ends all calls. */
  async close (): Promise<void> {
    this.closed = true
    clearTimeout(this.timer)
    await this.pool.destroy()
  }

  private async holds (key: string, value: string): Promise<boolean> {
    return JSON.stringify(await this.readKey(key)) === value
  }

  private async put (key: string, expectedRevision: number, value: string): Promise<CasResult> {
    try {
      const { status, text } = await this.request('PUT', `/v1/kv/${key}?ifRevision=${expectedRevision}`, value, this.settings.requestTimeoutMs)
      if (status === 200) return { type: 'written', revision: (JSON.parse(text) as { revision: number }).revision }
      return status === 409 ? { type: 'conflict' } : { type: 'unavailable' }
    } catch (err) {
      const code = (err as NodeJS.ErrnoException).code ?? ''
      return { type: NOT_SENT_CODES.has(code) ? 'unavailable' : 'unknown' }
    }
  }

  private async list (): Promise<void> {
    try {
      const { status, text } = await this.request('GET', `/v1/instances?from=${this.failureDomain}`, undefined, this.settings.requestTimeoutMs)
      if (status !== 200) return
      const list = JSON.parse(text) as PlatformList
      this.post({ type: 'instanceList', endpoints: list.endpoints, peers: list.instances })
    } catch {
      // The last list stays in use until the platform answers again.
    }
  }

  private async request (method: 'GET' | 'PUT', path: string, body: string | undefined, timeoutMs: number): Promise<{ status: number, text: string, revision: number }> {
    const res = await this.pool.request({ method, path, body: body ?? null, headersTimeout: timeoutMs, bodyTimeout: timeoutMs })
    const text = await res.body.text()
    return { status: res.statusCode, text, revision: Number(res.headers['x-revision'] ?? 0) }
  }
}
