/**
 * A stand-in for the platform over HTTP: the key-value service and the list of instances and endpoints. It applies rate caps
 * and can simulate outages, slow replies and replies that are lost after the write took effect. docs/PLATFORM.md describes
 * the interface.
 */
import type { EndpointInfo, InstanceId } from '@cranberryyard/protocol'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { listenHttp, sendJson, sendWithoutEnd } from './httpServer.js'
import type { ListeningServer } from './httpServer.js'
import { StoreModel } from './storeModel.js'

/** Request rates above which the service answers 429. */
export interface RateCaps {
  readonly writesPerSecond: number
  readonly readsPerSecond: number
}

/** Faults that a test can switch on. */
export interface PlatformFaults {
  /** Closes the connection of every request without an answer. */
  down: boolean
  /** Delay before each request is handled. */
  delayMs: number
  /** Number of coming writes that take effect but get no reply. */
  loseReplies: number
  /** Answers every request with a body without end. */
  endless: boolean
}

/** The entry of an instance in the platform's list. */
export interface ListedInstance {
  readonly instance: InstanceId
  readonly address: string
}

const DEFAULT_CAPS: RateCaps = { writesPerSecond: 400, readsPerSecond: 2000 }

/** A platform that listens on a loopback port. */
export class PlatformFake {
  readonly store = new StoreModel()
  readonly faults: PlatformFaults = { down: false, delayMs: 0, loseReplies: 0, endless: false }
  readonly calls = { reads: 0, writes: 0, watches: 0, lists: 0, overRate: 0 }
  endpoints: EndpointInfo[] = []
  instances: ListedInstance[] = []
  /** Lists the endpoints with the addresses at which a failure domain reaches them. */
  endpointsFrom: (failureDomain: string) => EndpointInfo[] = () => this.endpoints
  private readonly watchers = new Set<{ key: string, after: number, wake: () => void }>()
  private currentSecond = 0
  private requestsInSecond = { reads: 0, writes: 0 }
  private server: ListeningServer | undefined

  constructor (private readonly caps: RateCaps = DEFAULT_CAPS) {
    this.store.onChange = key => this.wakeWatchers(key)
  }

  /** @returns the port on which the platform listens */
  async listen (port = 0): Promise<number> {
    this.server = await listenHttp(port, (req, res, body) => {
      if (this.faults.delayMs > 0) setTimeout(() => this.handle(req, res, body), this.faults.delayMs)
      else this.handle(req, res, body)
    })
    return this.server.port
  }

  async close (): Promise<void> {
    await this.server?.close()
  }

  private handle (req: IncomingMessage, res: ServerResponse, body: string): void {
    const url = new URL(req.url ?? '/', 'http://platform')
    if (url.pathname.startsWith('/fake/')) return this.handleControl(url, res, body)
    if (this.faults.down) {
      req.socket.destroy()
      return
    }
    if (this.faults.endless) return sendWithoutEnd(res)
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
    const watcher = { key, after, wake: () => {} }
    const timer = setTimeout(() => {
      this.watchers.delete(watcher)
      res.writeHead(204).end()
    }, Number(url.searchParams.get('waitMs') ?? 30_000))
    watcher.wake = () => {
      clearTimeout(timer)
      this.watchers.delete(watcher)
      if (this.faults.down) res.destroy()
      else this.sendValue(key, res)
    }
    this.watchers.add(watcher)
    res.on('close', () => {
      clearTimeout(timer)
      this.watchers.delete(watcher)
    })
  }

  private wakeWatchers (key: string): void {
    for (const watcher of [...this.watchers]) if (watcher.key === key) watcher.wake()
  }

  private isOverRate (type: 'reads' | 'writes'): boolean {
    const second = Math.floor(Date.now() / 1000)
    if (second !== this.currentSecond) this.requestsInSecond = { reads: 0, writes: 0 }
    this.currentSecond = second
    this.requestsInSecond[type]++
    const cap = type === 'reads' ? this.caps.readsPerSecond : this.caps.writesPerSecond
    if (this.requestsInSecond[type] > cap) this.calls.overRate++
    return this.requestsInSecond[type] > cap
  }

  /** Handles the control interface. `POST /fake/faults` with some members of PlatformFaults as JSON switches faults of a local run on and off. */
  private handleControl (url: URL, res: ServerResponse, body: string): void {
    if (url.pathname === '/fake/faults') {
      Object.assign(this.faults, JSON.parse(body))
      if (this.faults.down) for (const watcher of [...this.watchers]) watcher.wake()
    }
    sendJson(res, 200, { faults: this.faults, calls: this.calls })
  }
}
