/**
 * Stand-in for a minion, after PROTOCOL.md, "Running tasks". It is sound, and starts whatever it is told to start
 * (`rejectsOverload` is false). The spec of a job is JSON with `workMs`, the duration of each task.
 */
import { listenJson, sendJson } from './http.js'
import { Link } from './link.js'

const HEARTBEAT_MS = 1500
const TICK_MS = 5
const STOP_MS = 20

export class Minion {
  #running = new Map()
  #highestEnded = new Map()
  #finished = []
  #sequence = 0
  #entrySequence = 0
  #token = 0
  #leaseEnd = 0
  #waiting = new Set()
  #server
  #timers = []
  /** The way of all machines to this minion. */
  link = new Link()

  /**
   * @param options.id - its id in the store
   * @param options.zone - its zone
   * @param options.capacity - what its entry says of its room
   * @param options.holdMaxMs - longest lease
   * @param options.note - called with each line for the record
   */
  constructor ({ id, service, zone, capacity, labels, holdMaxMs, store, note }) {
    Object.assign(this, { id, service, zone, capacity, labels, holdMaxMs, store, note })
    this.born = Date.now()
    this.startedAt = performance.now()
    /** Each run with `task`, `run`, `cpu`, `from` and `to` (milliseconds of `performance.now()`; `to` is undefined while it works). */
    this.runs = []
  }

  async listen (ip) {
    this.#server = await listenJson(ip, (req, res, body) => this.#handle(req, res, body))
    await this.link.listen(ip, `${ip}:${this.#server.port}`)
    this.address = this.link.address
    this.publish()
    this.#timers = [setInterval(() => this.publish(), HEARTBEAT_MS), setInterval(() => this.#tick(), TICK_MS)]
  }

  async close () {
    for (const timer of this.#timers) clearInterval(timer)
    await Promise.all([this.link.close(), this.#server?.close()])
  }

  /** Writes the entry in the store. */
  publish () {
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      capacity: this.capacity,
      labels: this.labels,
      born: this.born,
      clockMs: this.#clock(),
      sequence: ++this.#entrySequence
    })
  }

  #clock () {
    return Math.floor(performance.now() - this.startedAt)
  }

  #handle (req, res, body) {
    if (req.method === 'GET' && req.url === '/healthz') {
      res.setHeader('instance-id', this.id)
      return sendJson(res, 200, {})
    }
    if (req.headers['expect-instance'] !== undefined && req.headers['expect-instance'] !== this.id) return sendJson(res, 421, {})
    this.#tick()
    const token = body.fencingToken ?? 0
    if (token < this.#token) return sendJson(res, 409, { clockMs: this.#clock(), reason: 'fence' })
    this.#token = token
    switch (req.url) {
      case '/-/run-start': return this.#start(res, body)
      case '/-/run-stop': return this.#stop(res, body)
      case '/-/hold': return this.#hold(res, body)
      default: return sendJson(res, 404, {})
    }
  }

  #extend (untilMs) {
    if (untilMs !== undefined) this.#leaseEnd = Math.max(this.#leaseEnd, Math.min(untilMs, this.#clock() + this.holdMaxMs))
  }

  #start (res, { task, run, spec, untilMs }) {
    const clockMs = this.#clock()
    if (typeof task !== 'string' || !Number.isInteger(run) || !Number.isInteger(untilMs)) return sendJson(res, 400, {})
    if (untilMs <= clockMs) return sendJson(res, 409, { clockMs, reason: 'late' })
    this.#extend(untilMs)
    const present = this.#running.get(task)
    if (present?.run === run) return sendJson(res, 200, { clockMs })
    if (run <= Math.max(present?.run ?? 0, this.#highestEnded.get(task) ?? 0)) return sendJson(res, 409, { clockMs, reason: 'old' })
    if (present !== undefined) this.#end(present, 'stopped')
    const { workMs, cpu } = JSON.parse(spec)
    const entry = { task, run, cpu, workMs, minion: this.id, from: performance.now(), to: undefined, how: undefined }
    this.#running.set(task, entry)
    this.runs.push(entry)
    this.note(`${this.id} starts ${task} run ${run}`)
    sendJson(res, 200, { clockMs })
  }

  #stop (res, { task, run }) {
    const entry = this.#running.get(task)
    this.note(`${this.id} is told to stop ${task} run ${run}`)
    this.#highestEnded.set(task, Math.max(run, this.#highestEnded.get(task) ?? 0))
    if (entry !== undefined && entry.run <= run) setTimeout(() => this.#end(entry, 'stopped'), STOP_MS)
    sendJson(res, 200, { clockMs: this.#clock() })
  }

  #hold (res, { lastSeen = 0, untilMs, waitMs = 0 }) {
    this.#extend(untilMs)
    this.#finished = this.#finished.filter(([n]) => n > lastSeen)
    const answer = () => {
      clearTimeout(timer)
      this.#waiting.delete(answer)
      this.#tick()
      const running = [...this.#running.values()].map(entry => [entry.task, entry.run, '', this.#percent(entry), entry.cpu])
      sendJson(res, 200, { clockMs: this.#clock(), born: this.born, running, finished: this.#finished.slice(0, 500) })
    }
    const timer = setTimeout(answer, Math.min(waitMs, 2000))
    if (waitMs === 0 || this.#finished.length > 0) return answer()
    this.#waiting.add(answer)
  }

  #percent ({ from, workMs }) {
    return Math.min(99, Math.floor((performance.now() - from) / workMs * 100))
  }

  #tick () {
    const now = performance.now()
    const lapsed = this.#clock() > this.#leaseEnd
    for (const entry of [...this.#running.values()]) {
      if (now - entry.from >= entry.workMs) this.#end(entry, 'done')
      else if (lapsed) this.#end(entry, 'lapsed')
    }
  }

  #end (entry, how) {
    if (entry.to !== undefined) return
    entry.to = performance.now()
    entry.how = how
    this.#running.delete(entry.task)
    this.#highestEnded.set(entry.task, Math.max(entry.run, this.#highestEnded.get(entry.task) ?? 0))
    this.#finished.push([++this.#sequence, entry.task, entry.run, how, ''])
    this.note(`${this.id} ends ${entry.task} run ${entry.run}: ${how}`)
    for (const answer of [...this.#waiting]) answer()
  }
}
