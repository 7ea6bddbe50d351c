/**
 * Client of the platform: reads, watches and writes the fleet value in the platform's store, archives chunks of the
 * audit trail there, and polls the list of instances and endpoints. Tells a write that failed before it was sent from
 * one that may have taken effect.
 */
import type { EndpointInfo, Fleet, Settings } from '@cranberryyard/protocol'
import { EMPTY_FLEET } from '@cranberryyard/protocol'
import type { CasResult, PeerAddress } from '@cranberryyard/core'
import { Pool } from 'undici'
import type { EffectOf, Post } from '../messages.js'
import type { AnswerBudget } from '../shard/answerBudget.js'
import { AnswerCollector } from '../shard/answerCollector.js'
import { MAX_ANSWER_BYTES } from '../shard/httpCaller.js'

const FLEET_KEY = 'fleet'
/** Time allowed for the response to a watch in addition to the wait that the request states. */
const WATCH_MARGIN_MS = 2000
/** Longest time for a whole answer, as a multiple of the time that it may stand still. */
const TOTAL_TIMEOUT_FACTOR = 4
/** Errors that occur before anything is sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Response of the platform to a request for the instance list. */
interface InstanceList {
  readonly endpoints: readonly EndpointInfo[]
  readonly instances: readonly PeerAddress[]
}

/** Holds the connections to the platform and the timer that polls the instance list. */
export class PlatformTask {
  private readonly pool: Pool
  private listTimer: NodeJS.Timeout | undefined
  private closed = false

  constructor (private readonly settings: Settings['platform'], private readonly failureDomain: string, private readonly post: Post, private readonly budget: AnswerBudget) {
    this.pool = new Pool(`http://${settings.address}`, { connections: 8, connect: { timeout: settings.requestTimeoutMs } })
  }

  /** Reads the instance list at once, then again `listPeriodMs` after each read has ended. */
  startInstancePolling (): void {
    void this.readInstanceList().finally(() => {
      if (!this.closed) this.listTimer = setTimeout(() => this.startInstancePolling(), this.settings.listPeriodMs)
    })
  }

  /** Reads the fleet value and reports it; a missing key counts as an empty fleet at revision 0. */
  async readFleet (): Promise<void> {
    try {
      const { status, text, revision } = await this.request('GET', `/v1/kv/${FLEET_KEY}`, undefined, this.settings.requestTimeoutMs)
      if (status === 200) this.post({ type: 'storeValue', source: 'read', revision, fleet: JSON.parse(text) as Fleet })
      else if (status === 404) this.post({ type: 'storeValue', source: 'read', revision: 0, fleet: EMPTY_FLEET })
      else this.post({ type: 'storeFailed', operation: 'read' })
    } catch {
      this.post({ type: 'storeFailed', operation: 'read' })
    }
  }

  /** Waits up to `watchWaitMs` for a fleet value after the given revision and reports what came. */
  async watchFleet (effect: EffectOf<'storeWatch'>): Promise<void> {
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

  /** Writes the fleet value by compare-and-swap and reports the outcome. */
  async casFleet (effect: EffectOf<'storeCas'>): Promise<void> {
    const result = await this.put(FLEET_KEY, effect.expectedRevision, JSON.stringify(effect.fleet))
    this.post({ type: 'casOutcome', attempt: effect.attempt, result })
  }

  /** Writes a chunk of the audit trail under a new key; a conflict with the same chunk, written before, is a success. */
  async archiveAuditChunk (effect: EffectOf<'storeArchive'>): Promise<void> {
    const result = await this.put(effect.key, 0, effect.value)
    const ok = result.type === 'written' || (result.type === 'conflict' && await this.storedValueEquals(effect.key, effect.value))
    this.post({ type: 'archiveOutcome', through: effect.through, ok })
  }

  /** Reads any key of the store. @returns the parsed value, or undefined when it is missing or the read failed */
  async readKey (key: string): Promise<unknown> {
    try {
      const { status, text } = await this.request('GET', `/v1/kv/${key}`, undefined, this.settings.requestTimeoutMs)
      return status === 200 ? JSON.parse(text) : undefined
    } catch {
      return undefined
    }
  }

  /** Stops polling and aborts all open requests. */
  async close (): Promise<void> {
    this.closed = true
    clearTimeout(this.listTimer)
    await this.pool.destroy()
  }

  private async storedValueEquals (key: string, value: string): Promise<boolean> {
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

  private async readInstanceList (): Promise<void> {
    try {
      const { status, text } = await this.request('GET', `/v1/instances?from=${this.failureDomain}`, undefined, this.settings.requestTimeoutMs)
      if (status !== 200) return
      const list = JSON.parse(text) as InstanceList
      this.post({ type: 'instanceList', endpoints: list.endpoints, peers: list.instances })
    } catch {
      // The previous list stays in use until the platform responds again.
    }
  }

  private async request (method: 'GET' | 'PUT', path: string, body: string | undefined, timeoutMs: number): Promise<{ status: number, text: string, revision: number }> {
    const ending = new AbortController()
    const giveUp = (reason: string): void => ending.abort(new Error(reason))
    const timer = setTimeout(() => giveUp('the answer takes too long'), timeoutMs * TOTAL_TIMEOUT_FACTOR)
    const answer = new AnswerCollector({ maxBytes: MAX_ANSWER_BYTES, budget: this.budget }, giveUp)
    try {
      const res = await this.pool.request({ method, path, body: body ?? null, headersTimeout: timeoutMs, bodyTimeout: timeoutMs, signal: ending.signal })
      for await (const part of res.body) answer.add(part as Buffer)
      return { status: res.statusCode, text: answer.body().toString('utf8'), revision: Number(res.headers['x-revision'] ?? 0) }
    } finally {
      clearTimeout(timer)
      answer.close()
    }
  }
}
