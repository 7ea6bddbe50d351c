/**
 * Stand-in for the platform's store, after PROTOCOL.md, "The platform's metadata store". It is always sound: it loses nothing,
 * its answers are linearizable, and it keeps its whole history.
 */
import { listenJson, sendJson } from './http.js'

export class Store {
  #items = new Map()
  #history = []
  #watches = new Set()
  #leases = new Map()
  #leaseCounter = 0
  #server
  revision = 1

  /** Starts to listen. */
  async listen (ip) {
    this.#server = await listenJson(ip, (req, res, body) => this.#handle(req, res, body))
    this.address = `${ip}:${this.#server.port}`
  }

  close () {
    for (const { timer } of this.#watches) clearTimeout(timer)
    for (const lease of this.#leases.values()) clearTimeout(lease?.timer)
    return this.#server?.close()
  }

  /** Writes a key as a minion or the operator does. */
  put (key, value) {
    this.#change([{ key, value: Buffer.from(JSON.stringify(value)).toString('base64'), lease: 0 }], [])
  }

  #change (setKeys, removed) {
    const revision = ++this.revision
    for (const { key, value, lease = 0 } of setKeys) {
      const item = { key, value, revision, created: this.#items.get(key)?.created ?? revision, lease }
      this.#items.set(key, item)
      this.#history.push(item)
    }
    for (const key of removed) {
      if (this.#items.delete(key)) this.#history.push({ key, revision, deleted: true })
    }
    for (const watch of [...this.#watches]) watch.check()
    return revision
  }

  #handle (req, res, body) {
    const url = new URL(req.url, 'http://store')
    const query = url.searchParams
    if (req.method === 'GET') {
      switch (url.pathname) {
        case '/-/kv-key': return this.#key(res, query.get('key'))
        case '/-/kv-range': return this.#range(res, query.get('prefix') ?? '', query.get('after'))
        case '/-/kv-watch': return this.#watch(res, query.get('prefix') ?? '', Number(query.get('after')), Number(query.get('waitMs')))
      }
    }
    if (req.method === 'POST' && url.pathname === '/-/kv-txn') return this.#txn(res, body)
    if (req.method === 'POST' && url.pathname === '/-/kv-lease') return this.#grant(res, body.ttlMs)
    const [, call, id] = /^\/-\/(kv-keep|kv-lease-end)\/(\d+)$/.exec(url.pathname) ?? []
    if (call === 'kv-keep') return this.#leases.has(Number(id)) ? this.#keep(res, Number(id)) : sendJson(res, 404, {})
    if (call === 'kv-lease-end') {
      this.#endLease(Number(id))
      return sendJson(res, 200, {})
    }
    sendJson(res, 404, {})
  }

  #key (res, key) {
    const item = this.#items.get(key)
    sendJson(res, item === undefined ? 404 : 200, { ...item, asOf: this.revision })
  }

  #range (res, prefix, after) {
    const all = [...this.#items.values()].filter(({ key }) => key.startsWith(prefix) && (after === null || key > after))
    all.sort((a, b) => a.key < b.key ? -1 : 1)
    sendJson(res, 200, { items: all.slice(0, 500), hasMore: all.length > 500, asOf: this.revision })
  }

  #watch (res, prefix, after, waitMs) {
    const watch = {
      check: () => {
        const events = this.#history.filter(({ key, revision }) => key.startsWith(prefix) && revision > after)
        if (events.length > 0) watch.answer(events)
      },
      answer: (events) => {
        clearTimeout(watch.timer)
        this.#watches.delete(watch)
        sendJson(res, 200, { events, asOf: this.revision })
      },
      timer: setTimeout(() => watch.answer([]), Math.min(waitMs, 30_000))
    }
    this.#watches.add(watch)
    res.once('close', () => {
      clearTimeout(watch.timer)
      this.#watches.delete(watch)
    })
    watch.check()
  }

  #txn (res, { expectedRev = [], setKeys = [], remove = [] }) {
    if (setKeys.some(({ key }) => key.startsWith('op/') || key.startsWith('servers/'))) return sendJson(res, 403, {})
    if (setKeys.some(({ lease }) => lease > 0 && !this.#leases.has(lease))) return sendJson(res, 404, {})
    if (expectedRev.some(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
      return sendJson(res, 412, { items: expectedRev.flatMap(({ key }) => this.#items.get(key) ?? []) })
    }
    sendJson(res, 200, { revision: this.#change(setKeys, remove) })
  }

  #grant (res, ttlMs) {
    const lease = ++this.#leaseCounter
    this.#leases.set(lease, undefined)
    this.#keep(res, lease, ttlMs)
  }

  #keep (res, lease, ttlMs = this.#leases.get(lease)?.ttlMs) {
    clearTimeout(this.#leases.get(lease)?.timer)
    this.#leases.set(lease, { ttlMs, timer: setTimeout(() => this.#endLease(lease), ttlMs) })
    sendJson(res, 200, { lease, ttlMs })
  }

  #endLease (lease) {
    if (!this.#leases.has(lease)) return
    clearTimeout(this.#leases.get(lease)?.timer)
    this.#leases.delete(lease)
    const keys = [...this.#items.values()].filter(item => item.lease === lease).map(({ key }) => key)
    if (keys.length > 0) this.#change([], keys)
  }
}
