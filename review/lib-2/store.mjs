/**
 * Stand-in for the platform's metadata store, as PROTOCOL.md describes it. It listens on one address for each machine, so that a test
 * can tell the callers apart and can disturb the store for all of them or for some.
 */
import { createServer } from 'node:http'

/** Time that a call takes, from the pages ("4 ms an answer"). */
const ANSWER_MS = 4
const LIST_LIMIT = 500

export class Store {
  revision = 100
  items = new Map()
  history = []
  /** Factor on the time of an answer. */
  slowness = 1
  /** Time by which the way to the store is longer for some machines. */
  extraMs = new Map()
  /** While set, no call is answered and none has an effect. */
  silent = false
  /** Called before the store reads what it answers to a list. */
  onList = () => {}
  /** Returns whether the answer to a transaction is lost; the transaction takes effect all the same. */
  losesAnswer = () => false
  wakeups = new Set()
  servers = []

  async listen (ip, port) {
    const server = createServer((req, res) => {
      const chunks = []
      req.on('data', chunk => chunks.push(chunk))
      req.on('error', () => {})
      req.on('end', () => this.handle(ip, req, res, Buffer.concat(chunks).toString()))
    })
    server.keepAliveTimeout = 60_000
    this.servers.push(server)
    await new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, ip, resolve)
    })
  }

  close () {
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections()
    }
  }

  read (key) {
    const item = this.items.get(key)
    return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, 'base64').toString())
  }

  put (key, value) {
    this.commit([[key, Buffer.from(JSON.stringify(value)).toString('base64')]], [])
  }

  remove (key) {
    if (this.items.has(key)) this.commit([], [key])
  }

  commit (sets, removes) {
    this.revision++
    for (const [key, value] of sets) {
      const item = { key, value, revision: this.revision, created: this.items.get(key)?.created ?? this.revision, lease: 0 }
      this.items.set(key, item)
      this.history.push(item)
    }
    for (const key of removes) {
      this.items.delete(key)
      this.history.push({ key, revision: this.revision, deleted: true })
    }
    const keys = [...sets.map(([key]) => key), ...removes]
    for (const wake of [...this.wakeups]) wake(keys)
    return this.revision
  }

  handle (ip, req, res, body) {
    if (this.silent) return
    const answer = (status, value) => setTimeout(() => {
      if (this.silent || res.destroyed) return
      const text = JSON.stringify(value)
      res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
    }, ANSWER_MS * this.slowness + (this.extraMs.get(ip) ?? 0))
    const url = new URL(req.url, 'http://store')
    const query = url.searchParams
    switch (url.pathname) {
      case '/-/kv-key': {
        const item = this.items.get(query.get('key'))
        return answer(item === undefined ? 404 : 200, { ...item, asOf: this.revision })
      }
      case '/-/kv-range': {
        const [prefix, after] = [query.get('prefix'), query.get('after') ?? '']
        this.onList(ip, prefix)
        const all = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
        return answer(200, { items: all.slice(0, LIST_LIMIT), hasMore: all.length > LIST_LIMIT, asOf: this.revision })
      }
      case '/-/kv-watch': return this.watch(res, answer, query.get('prefix'), Number(query.get('after')), Number(query.get('waitMs')))
      case '/-/kv-txn': return this.transact(ip, JSON.parse(body), answer)
      default: return answer(404, {})
    }
  }

  watch (res, answer, prefix, after, waitMs) {
    const tell = (keys) => {
      if (keys?.some(key => key.startsWith(prefix)) === false) return false
      const events = this.history.filter(({ key, revision }) => key.startsWith(prefix) && revision > after)
      if (events.length === 0) return false
      finish(events)
      return true
    }
    const finish = (events) => {
      this.wakeups.delete(tell)
      clearTimeout(timer)
      answer(200, { events, asOf: this.revision })
    }
    const timer = setTimeout(() => finish([]), waitMs)
    if (!tell()) this.wakeups.add(tell)
    res.once('close', () => {
      clearTimeout(timer)
      this.wakeups.delete(tell)
    })
  }

  transact (ip, txn, answer) {
    if ((txn.setKeys ?? []).some(({ key }) => key.startsWith('op/') || key.startsWith('servers/'))) return answer(403, {})
    const revision = this.execute(txn)
    if (this.losesAnswer(ip, txn)) return
    if (revision === undefined) answer(412, { items: (txn.expectedRev ?? []).flatMap(({ key }) => this.items.get(key) ?? []) })
    else answer(200, { revision })
  }

  /** Returns the new revision, or undefined if a condition does not hold. */
  execute ({ expectedRev = [], setKeys = [], remove = [] }) {
    if (expectedRev.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) return undefined
    return this.commit(setKeys.map(({ key, value }) => [key, value]), remove)
  }
}
