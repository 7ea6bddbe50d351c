/**
 * Stand-in for the platform's metadata store: kv-key, kv-range, kv-watch, kv-txn and leases over HTTP, as PROTOCOL.md
 * describes them. All calls are linearizable; a call with `serializable` is answered with the present state as well.
 */
import { createServer } from 'node:http'
import { readBody, sendJson } from './http.js'

const PAGE_ITEMS = 500
const MAX_WAIT_MS = 30_000

export class Store {
  revision = 100
  /** Key to item. */
  items = new Map()
  /** Changes in order: items as written, or `{ key, revision, deleted }`. */
  history = []
  /** @type {'serves' | 'silent' | 'busy'} */
  mode = 'serves'
  /** Own addresses at which no call is answered. Each machine has an address of the store of its own. */
  cutOff = new Set()
  servers = []
  /** Called with the own address and the prefix of each reading of a list that is answered. */
  onRange = () => {}
  watchers = new Set()

  /** Serves one more address and returns it with its port. */
  async listen (ip) {
    const server = createServer((req, res) => void this.handle(req, res))
    server.keepAliveTimeout = 60_000
    await new Promise(resolve => server.listen(0, ip, resolve))
    this.servers.push(server)
    return `${ip}:${server.address().port}`
  }

  /** Writes as the operator or a minion does. */
  put (key, value) {
    const text = typeof value === 'string' ? value : JSON.stringify(value)
    this.set(key, Buffer.from(text).toString('base64'), ++this.revision)
    this.wake()
  }

  remove (key) {
    if (!this.items.delete(key)) return
    this.history.push({ key, revision: ++this.revision, deleted: true })
    this.wake()
  }

  /** Returns the decoded value of a key, or undefined. */
  read (key) {
    const item = this.items.get(key)
    return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, 'base64').toString())
  }

  close () {
    for (const server of this.servers) {
      server.closeAllConnections()
      server.close()
    }
  }

  set (key, value, revision) {
    const item = { key, value, revision, created: this.items.get(key)?.created ?? revision, lease: 0 }
    this.items.set(key, item)
    this.history.push(item)
  }

  wake () {
    for (const watcher of [...this.watchers]) watcher()
  }

  async handle (req, res) {
    const body = await readBody(req)
    if (this.mode === 'silent' || this.cutOff.has(req.socket.localAddress)) return
    if (this.mode === 'busy') return sendJson(res, 503, {})
    const url = new URL(req.url, 'http://store')
    const query = url.searchParams
    if (url.pathname === '/-/kv-key') return this.readKey(res, query.get('key'))
    if (url.pathname === '/-/kv-range') return this.range(res, query.get('prefix') ?? '', query.get('after') ?? undefined, req.socket.localAddress)
    if (url.pathname === '/-/kv-watch') return this.watch(res, query.get('prefix') ?? '', Number(query.get('after')), Math.min(MAX_WAIT_MS, Number(query.get('waitMs'))))
    if (url.pathname === '/-/kv-txn') return this.txn(res, JSON.parse(body))
    sendJson(res, 404, {})
  }

  readKey (res, key) {
    const item = this.items.get(key)
    sendJson(res, item === undefined ? 404 : 200, { ...item, asOf: this.revision })
  }

  range (res, prefix, after, ownAddress) {
    this.onRange(ownAddress, prefix)
    const keys = [...this.items.keys()].filter(key => key.startsWith(prefix) && (after === undefined || key > after)).sort()
    sendJson(res, 200, { items: keys.slice(0, PAGE_ITEMS).map(key => this.items.get(key)), hasMore: keys.length > PAGE_ITEMS, asOf: this.revision })
  }

  watch (res, prefix, after, waitMs) {
    const answer = (mayBeEmpty) => {
      const events = this.history.filter(event => event.revision > after && event.key.startsWith(prefix))
      if (events.length === 0 && !mayBeEmpty) return
      clearTimeout(timer)
      this.watchers.delete(wake)
      if (this.mode === 'serves' && !this.cutOff.has(res.socket?.localAddress)) sendJson(res, 200, { events, asOf: this.revision })
    }
    const wake = () => answer(false)
    const timer = setTimeout(() => answer(true), waitMs)
    this.watchers.add(wake)
    res.once('close', () => {
      clearTimeout(timer)
      this.watchers.delete(wake)
    })
    answer(false)
  }

  txn (res, { expectedRev = [], setKeys = [], remove = [] }) {
    if ([...setKeys.map(({ key }) => key), ...remove].some(key => key.startsWith('op/') || key.startsWith('servers/'))) return sendJson(res, 403, {})
    if (expectedRev.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
      return sendJson(res, 412, { items: expectedRev.flatMap(({ key }) => this.items.get(key) ?? []) })
    }
    const revision = ++this.revision
    for (const { key, value } of setKeys) this.set(key, value, revision)
    for (const key of remove) if (this.items.delete(key)) this.history.push({ key, revision, deleted: true })
    this.wake()
    sendJson(res, 200, { revision })
  }
}
