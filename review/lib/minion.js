/**
 * Stand-in for a minion, as PROTOCOL.md describes it: fencing by generation number, one lease for all runs, ends that are
 * listed until `lastSeen` reaches them, and its entry in the store. It starts what it is told to start (`rejectsOverload`
 * is false). It calls `on.start` and `on.end` with each run.
 */
import { createServer } from 'node:http'
import { readBody, sendJson } from './http.js'

const LEASE_MAX_MS = 1000
const STOP_MS = 30
const LISTED_ENDS = 500
const MAX_WAIT_MS = 2000

export class Minion {
  up = true
  state = 'ready'
  runs = new Map()
  ends = []
  sequence = 0
  highestToken = 0
  highestRun = new Map()
  leaseUntil = 0
  endWaiters = new Set()

  /**
   * @param id - id in the store
   * @param options - `zone`, `cpu` (thousandths of a core), `labels`, `work` (task and spec to milliseconds), `on` (listener)
   */
  constructor (id, { zone, cpu, labels = ['a', 'r-1'], work, on }) {
    Object.assign(this, { id, zone, cpu, labels, work, on })
    this.bornAt = performance.now()
    this.born = Date.now()
  }

  async listen (ip, store) {
    this.store = store
    this.server = createServer((req, res) => void this.handle(req, res))
    this.server.keepAliveTimeout = 60_000
    await new Promise(resolve => this.server.listen(0, ip, resolve))
    this.address = `${ip}:${this.server.address().port}`
    this.publish()
  }

  /** Writes the entry. Only what changes it besides `sequence` matters, so the ping itself is left out. */
  publish () {
    const { zone, address, cpu, labels, state, born } = this
    this.store.put(`servers/${this.id}`, { service: this.service ?? 'workers', address, zone, version: 'v1', slots: 8, state, coldRemainingMs: 0, sequence: 1, capacity: { cpu, memMb: 131_072, gpu: 0 }, labels, born })
  }

  /** Changes the capacity and writes the entry. */
  resize (cpu) {
    this.cpu = cpu
    this.publish()
  }

  close () {
    this.up = false
    for (const run of this.runs.values()) clearTimeout(run.timer)
    clearTimeout(this.leaseTimer)
    this.server.closeAllConnections()
    this.server.close()
  }

  clock () {
    return Math.floor(performance.now() - this.bornAt)
  }

  async handle (req, res) {
    const body = JSON.parse(await readBody(req))
    if (!this.up) return
    if (req.headers['expect-instance'] !== undefined && req.headers['expect-instance'] !== this.id) return sendJson(res, 421, {})
    const token = body.fencingToken ?? 0
    if (token < this.highestToken) return sendJson(res, 409, { clockMs: this.clock(), reason: 'fence', born: this.born })
    this.highestToken = token
    if (req.url === '/-/run-start') return this.start(res, body)
    if (req.url === '/-/run-stop') return this.stop(res, body)
    if (req.url === '/-/hold') return this.hold(res, body)
    sendJson(res, 400, {})
  }

  start (res, { task, run, spec, untilMs, fencingToken }) {
    const clockMs = this.clock()
    const present = this.runs.get(task)
    if (present?.run === run) {
      this.extend(untilMs)
      return sendJson(res, 200, { clockMs })
    }
    if (run <= (this.highestRun.get(task) ?? 0)) {
      this.extend(untilMs)
      return sendJson(res, 409, { clockMs, reason: 'old' })
    }
    if (untilMs <= clockMs) return sendJson(res, 409, { clockMs, reason: 'late' })
    this.highestRun.set(task, run)
    const workMs = this.work(task, spec)
    const entry = { task, run, spec, fencingToken, startedAt: performance.now(), workMs }
    entry.timer = setTimeout(() => this.end(entry, 'done'), workMs)
    this.runs.set(task, entry)
    this.on.start(this, entry)
    this.extend(untilMs)
    sendJson(res, 200, { clockMs })
  }

  stop (res, { task, run }) {
    this.highestRun.set(task, Math.max(run, this.highestRun.get(task) ?? 0))
    const entry = this.runs.get(task)
    if (entry?.run === run) setTimeout(() => this.end(entry, 'stopped'), STOP_MS)
    sendJson(res, 200, { clockMs: this.clock() })
  }

  hold (res, { lastSeen = 0, untilMs, waitMs = 0 }) {
    if (untilMs !== undefined) this.extend(untilMs)
    this.ends = this.ends.filter(([sequence]) => sequence > lastSeen)
    const answer = () => {
      clearTimeout(timer)
      this.endWaiters.delete(answer)
      const running = [...this.runs.values()].map(({ task, run, startedAt, workMs }) => [task, run, '', Math.min(99, Math.floor(100 * (performance.now() - startedAt) / workMs)), 0])
      sendJson(res, 200, { clockMs: this.clock(), born: this.born, running, finished: this.ends.slice(0, LISTED_ENDS) })
    }
    const timer = setTimeout(answer, Math.min(MAX_WAIT_MS, waitMs))
    if (waitMs === 0 || this.ends.length > 0) answer()
    else this.endWaiters.add(answer)
  }

  extend (untilMs) {
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(untilMs, this.clock() + LEASE_MAX_MS))
    clearTimeout(this.leaseTimer)
    this.leaseTimer = setTimeout(() => this.lapse(), Math.max(0, this.leaseUntil - this.clock()))
  }

  lapse () {
    if (this.clock() < this.leaseUntil) return this.extend(this.leaseUntil)
    for (const entry of [...this.runs.values()]) this.end(entry, 'lapsed')
  }

  end (entry, how) {
    if (this.runs.get(entry.task) !== entry) return
    clearTimeout(entry.timer)
    this.runs.delete(entry.task)
    this.ends.push([++this.sequence, entry.task, entry.run, how, ''])
    this.on.end(this, entry, how)
    for (const answer of [...this.endWaiters]) answer()
  }
}
