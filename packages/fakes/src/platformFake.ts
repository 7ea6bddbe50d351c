/**
 * A stand-in for the platform: the key-value service and the lagging list of instances, over HTTP, with rate
 * caps, outages, slowness and replies lost after the write. docs/PLATFORM.md publishes the interface.
 */
import type { EndpointInfo, InstanceId } from '@cranberryyard/protocol'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { listenHttp, sendJson } from './httpServer.js'
import type { Listening } from './httpServer.js'
import { StoreModel } from './storeModel.js'

/** Rates the service allows. */
export interface RateCaps {
  readonly writesPerSecond: number
  readonly readsPerSecond: number
}

/** Faults that can be switched on. */
export interface PlatformFaults {
  /** Requests are not answered. */
  down: boolean
  /** Every request waits this long. */
  delayMs: number
  /** This many writes take effect without a reply. */
  loseReplies: number
}

/** An entry instance in the platform's list. */
export interface ListedInstance {
  readonly instance: InstanceId
  readonly address: string
}

const DEFAULT_CAPS: RateCaps = { writesPerSecond: 400, readsPerSecond: 2000 }

/** The platform on a port. */
export class PlatformFake {
  readonly store = new StoreModel()
  readonly faults: PlatformFaults = { down: false, delayMs: 0, loseReplies: 0 }
  readonly calls = { reads: 0, writes: 0, watches: 0, lists: 0, overRate: 0 }
  endpoints: EndpointInfo[] = []
  instances: ListedInstance[] = []
  /** Addresses of endpoints as a failure domain reaches them. */
  endpointsFrom: (failureDomain: string) => EndpointInfo[] = () => this.endpoints
  private readonly watchers = new Set<{ key: string, after: number, wake: () => void }>()
  private second = 0
  private inSecond = { reads: 0, writes: 0 }
  private server: Listening | undefined

  constructor (private readonly caps: RateCaps = DEFAULT_CAPS) {
    this.store.onChange = key => this.wakeWatchers(key)
  }

  /** Starts to listen. @returns the port */
  async listen (port = 0): Promise<number> {
    this.server = await listenHttp(port, (req, res, body) => {
      if (this.faults.delayMs > 0) setTimeout(() => this.handle(req, res, body), this.faults.delayMs)
      else this.handle(req, res, body)
    })
    return this.server.port
  }

  /** Stops. */
  async close (): Promise<void> {
    await this.server?.close()
  }

  private handle (req: IncomingMessage, res: ServerResponse, body: string): void {
    const url = new URL(req.url ?? '/', 'http://platform')
    if (url.pathname.startsWith('/fake/')) return this.control(url, res, body)
    if (this.faults.down) {
      req.socket.destroy()
      return
    }
    if (url.pathname === '/v1/instances') {
      this.calls.lists++
      return sendJson(res, 200, { endpoints: this.endpointsFrom(url.searchParams.get('from') ?? ''), instances: this.instances })
    }
    const key = decodeURIComponent(url.pathname.replace(/^\/v1\/(kv|watch)\//, ''))
    if (url.pathname.startsWith('/v1/watch/')) return this.watch(key, url, res)
    if (req.method === 'PUT') return this.put(key, url, res, body)
    return this.get(key, res)
  }

  private get (key: string, res: ServerResponse): void {
    this.calls.reads++
    if (this.isOverRate('reads')) return sendJson(res, 429, {})
    this.sendValue(key, res)
  }

  private sendValue (key: string, res: ServerResponse): void {
    const found = this.store.get(key)
    if (found === undefined) return sendJson(res, 404, {})
    res.writeHead(200, { 'content-type': 'application/json', 'x-revision': String(found.revision) })
    res.end(found.value)
  }

  private put (key: string, url: URL, res: ServerResponse, body: string): void {
    this.calls.writes++
    if (this.isOverRate('writes')) return sendJson(res, 429, {})
    const result = this.store.write(key, body, Number(url.searchParams.get('ifRevision') ?? 0))
    if (this.faults.loseReplies > 0) {
      this.faults.loseReplies--
      res.destroy()
      return
    }
    switch (result.type) {
      case 'written': return sendJson(res, 200, { revision: result.revision })
      case 'conflict': return sendJson(res, 409, { revision: result.revision })
      case 'tooLarge': return sendJson(res, 413, {})
      case 'noLease': return sendJson(res, 410, {})
    }
  }

  private watch (key: string, url: URL, res: ServerResponse): void {
    this.calls.watches++
    if (this.isOverRate('reads')) return sendJson(res, 429, {})
    const after = Number(url.searchParams.get('after') ?? 0)
    if ((this.store.get(key)?.revision ?? 0) > after) return this.sendValue(key, res)
    const entry = { key, after, wake: () => {} }
    const timer = setTimeout(() => {
      this.watchers.delete(entry)
      res.writeHead(204).end()
    }, Number(url.searchParams.get('waitMs') ?? 30_000))
    entry.wake = () => {
      clearTimeout(timer)
      this.watchers.delete(entry)
      if (this.faults.down) res.destroy()
      else this.sendValue(key, res)
    }
    this.watchers.add(entry)
    res.on('close', () => {
      clearTimeout(timer)
      this.watchers.delete(entry)
    })
  }

  private wakeWatchers (key: string): void {
    for (const w of [...this.watchers]) if (w.key === key) w.wake()
  }

  private isOverRate (type: 'reads' | 'writes'): boolean {
    const second = Math.floor(Date.now() / 1000)
    if (second !== this.second) this.inSecond = { reads: 0, writes: 0 }
    this.second = second
    this.inSecond[type]++
    const cap = type === 'reads' ? this.caps.readsPerSecond : this.caps.writesPerSecond
    if (this.inSecond[type] > cap) this.calls.overRate++
    return this.inSecond[type] > cap
  }

  /** Lets a local run's operator switch faults on: `POST /fake/faults` with a PlatformFaults part. */
  private control (url: URL, res: ServerResponse, body: string): void {
    if (url.pathname === '/fake/faults') {
      Object.assign(this.faults, JSON.parse(body))
      if (this.faults.down) for (const w of [...this.watchers]) w.wake()
    }
    sendJson(res, 200, { faults: this.faults, calls: this.calls })
  }
}
