/**
 * Stand-in for a minion, as PROTOCOL.md describes it ("Running tasks"). It starts whatever it is told to start, and reports each start
 * and each end to the test. A task's spec holds its behaviour as JSON: `cpu`, `workMs`, and `steps` with the work of each step.
 */
import { createServer } from 'node:http'

const HOLD_MAX_MS = 1000
const STOP_MS = 30
const ENDS_LISTED = 500

export class Minion {
  runs = new Map()
  ends = []
  highestRun = new Map()
  sequence = 0
  fence = 0
  leaseUntil = 0
  bornAt = Date.now()
  startedAt = performance.now()
  waiting = new Set()

  constructor (id, { ip, port, cpu, labels, onStart = () => {}, onEnd = () => {} }) {
    Object.assign(this, { id, ip, port, cpu, labels, onStart, onEnd })
  }

  async listen () {
    this.server = createServer((req, res) => {
      const chunks = []
      req.on('data', chunk => chunks.push(chunk))
      req.on('error', () => {})
      req.on('end', () => this.handle(req, res, JSON.parse(Buffer.concat(chunks).toString())))
    })
    this.server.keepAliveTimeout = 60_000
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(this.port, this.ip, resolve)
    })
    this.timer = setInterval(() => this.advance(), 2)
  }

  close () {
    clearInterval(this.timer)
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Crashes, and starts again under the same id after a while; what it knew is gone. */
  async crash (downMs) {
    this.server.closeAllConnections()
    this.server.close()
    clearInterval(this.timer)
    this.runs.clear()
    await new Promise(resolve => setTimeout(resolve, downMs))
    Object.assign(this, { ends: [], highestRun: new Map(), sequence: 0, fence: 0, leaseUntil: 0, waiting: new Set(), bornAt: Date.now(), startedAt: performance.now() })
    await this.listen()
  }

  clock () {
    return Math.floor(performance.now() - this.startedAt)
  }

  report (service, zone, state = 'ready') {
    return { service, address: `${this.ip}:${this.port}`, zone, version: 'v1', slots: 8, state, coldRemainingMs: 0, capacity: { cpu: this.cpu, memMb: 131_072, gpu: 0 }, labels: this.labels, born: this.bornAt, clockMs: this.clock(), sequence: this.sequence++ }
  }

  usedCpu () {
    return [...this.runs.values()].reduce((sum, { cpu }) => sum + cpu, 0)
  }

  handle (req, res, order) {
    const answer = (status, value) => {
      if (res.destroyed || res.headersSent) return
      const text = JSON.stringify({ clockMs: this.clock(), born: this.bornAt, ...value })
      res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
    }
    if ((req.headers['expect-instance'] ?? this.id) !== this.id) return answer(421, {})
    this.advance()
    const token = order.fencingToken ?? 0
    if (token < this.fence) return answer(409, { reason: 'fence' })
    this.fence = token
    if (req.url === '/-/run-start') return this.start(order, answer)
    if (req.url === '/-/run-stop') return this.stop(order, answer)
    if (req.url === '/-/hold') {
      this.heldAt = performance.now()
      return this.hold(order, answer)
    }
    answer(404, {})
  }

  extend (untilMs) {
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(untilMs, this.clock() + HOLD_MAX_MS))
  }

  start ({ task, run, spec, untilMs, fencingToken }, answer) {
    if (this.runs.get(task)?.run === run) {
      this.extend(untilMs)
      return answer(200, {})
    }
    if (run <= (this.highestRun.get(task) ?? 0)) {
      this.extend(untilMs)
      return answer(409, { reason: 'old' })
    }
    if (untilMs <= this.clock()) return answer(409, { reason: 'late' })
    this.extend(untilMs)
    this.highestRun.set(task, run)
    const { cpu, workMs, steps } = JSON.parse(spec)
    const work = steps?.[Number(task.split('.')[2])] ?? workMs
    const now = performance.now()
    this.runs.set(task, { task, run, cpu, token: fencingToken, startedAt: now, endsAt: now + work, stopAt: Infinity })
    this.onStart(this, task, run, fencingToken)
    answer(200, {})
  }

  stop ({ task, run }, answer) {
    this.highestRun.set(task, Math.max(run, this.highestRun.get(task) ?? 0))
    const running = this.runs.get(task)
    if (running?.run === run) running.stopAt = Math.min(running.stopAt, performance.now() + STOP_MS)
    answer(200, {})
  }

  hold ({ lastSeen = 0, untilMs, waitMs = 0 }, answer) {
    if (untilMs !== undefined) this.extend(untilMs)
    this.ends = this.ends.filter(([sequence]) => sequence > lastSeen)
    const tell = () => {
      this.waiting.delete(tell)
      clearTimeout(timer)
      const now = performance.now()
      const running = [...this.runs.values()].map(({ task, run, startedAt, endsAt }) => [task, run, '', Math.min(99, Math.floor(100 * (now - startedAt) / (endsAt - startedAt))), 0])
      answer(200, { running, finished: this.ends.slice(0, ENDS_LISTED) })
    }
    const timer = setTimeout(tell, waitMs)
    if (this.ends.length > 0 || waitMs === 0) tell()
    else this.waiting.add(tell)
  }

  advance () {
    if (this.runs.size === 0) return
    const now = performance.now()
    const leaseEndsAt = this.startedAt + this.leaseUntil
    let ended = false
    for (const run of [...this.runs.values()]) {
      const at = Math.min(run.endsAt, run.stopAt, leaseEndsAt)
      if (at > now) continue
      const how = at === run.endsAt ? 'done' : at === run.stopAt ? 'stopped' : 'lapsed'
      this.runs.delete(run.task)
      this.ends.push([++this.sequence, run.task, run.run, how, ''])
      this.onEnd(this, run, how)
      ended = true
    }
    if (ended) for (const tell of [...this.waiting]) tell()
  }
}
