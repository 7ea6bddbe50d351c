/**
 * A small deployment on loopback for one script: the project's program as separate processes, started with the command of the deploy
 * file, and stand-ins for the store, the minions and the clients. What was sent, answered and run goes to `record.txt`.
 */
import { spawn } from 'node:child_process'
import { randomBytes } from 'node:crypto'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Minion } from './minion.mjs'
import { PeerNet } from './peerNet.mjs'
import { Store } from './store.mjs'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const BEAT_MS = 1500
const RESEND_MS = 1300
/** "A process that exits or is killed is restarted after a short delay". */
const RESTART_MS = 500
/** Bounds as the pages give them for the small deployments. */
const BOUNDS = { seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackTimeoutMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, recoveryS: 12, holdMaxMs: 1000, stopMs: 50, gangMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, spreadFactor: 2, checkpointS: 1, restoreMs: 100, noticeMs: 4500, moveS: 1.5, maintenanceS: 2, fencingRequired: true, leaseMs: 3000, thawMs: 300, paceMs: 100, harmMs: 4000, resendMs: RESEND_MS }

export const TROUBLE = process.env.TROUBLE !== '0'
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))
export const newId = () => randomBytes(8).toString('hex')

/** Returns the words of the deploy file's `run`. */
function deployCommand () {
  const [, run] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')) ?? []
  if (run === undefined) throw new Error('deploy/system.toml has no run command')
  return run.split(' ')
}

function isFree (ip, port) {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, ip, () => server.close(() => resolve(true)))
  })
}

export class Deployment {
  store = new Store()
  net = new PeerNet()
  machines = new Map()
  minions = []
  lines = []
  violations = []
  startedAt = performance.now()
  folder = mkdtempSync(join(tmpdir(), 'review-'))
  block = 20 + Math.floor(Math.random() * 200)
  closing = false
  /** Whether processes that end by themselves are started again. */
  restarts = false
  runsByTask = new Map()
  /** Calls of clients by job. */
  jobs = new Map()
  counts = new Map()

  note (text) {
    this.lines.push(`${((performance.now() - this.startedAt) / 1000).toFixed(3)} ${text}`)
  }

  count (name) {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1)
  }

  violate (rule, text) {
    this.violations.push(rule)
    this.note(`BROKEN ${rule}: ${text}`)
  }

  /** Chooses ports that are free at the first machine's address; the other addresses belong to this test alone. */
  async choosePorts () {
    for (let attempt = 0; attempt < 50; attempt++) {
      const base = 20_000 + 20 * Math.floor(Math.random() * 1000)
      const free = await Promise.all(Array.from({ length: 20 }, (_, i) => isFree(`127.${this.block}.0.1`, base + i)))
      if (free.every(Boolean)) {
        this.port = base
        return
      }
    }
    throw new Error('no free ports')
  }

  /** Adds a machine; its process starts with `startProcess`. */
  async addMachine (name, zone, ip, { seeds = [], proxied = false } = {}) {
    const storeIp = ip.replace(/^127\.(\d+)\.0\./, '127.$1.9.')
    await this.store.listen(storeIp, this.port)
    const settingsFile = join(this.folder, `${name}.json`)
    const settings = {
      nodeName: name,
      role: 'entry',
      machineClass: 'edge',
      serves: ['edge', 'control_plane'],
      ip,
      zone,
      region: 'r',
      zones: Object.fromEntries([...new Set([...[...this.machines.values()].map(machine => machine.zone), zone])].map(z => [z, 'r'])),
      listen: { frontend: `${ip}:${this.port + 1}`, readiness: `${ip}:${this.port + 2}`, control: `${ip}:${this.port + 3}` },
      internalPorts: [this.port + 4, this.port + 12],
      seedNodes: seeds.map(seed => `${seed}:${this.port + 3}`),
      bootstrap: this.machines.size === 0 || seeds.length > 0,
      faultCounted: false,
      limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
      dataDir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeatMs: BEAT_MS,
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'platform', 'advice', 'upkeep', 'sharing'],
      faultTolerance: { machines: 1, zones: 1, regionCount: 0 },
      bounds: BOUNDS,
      orders: 'invoke',
      platform: { address: `${storeIp}:${this.port}`, form: 'kv', writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1_048_576, ttlMinMs: 1000 }
    }
    writeFileSync(settingsFile, JSON.stringify(settings))
    const peerIp = proxied ? ip.replace(/^127\.(\d+)\.0\./, '127.$1.8.') : ip
    if (proxied) await this.net.add(name, { ip: peerIp, port: this.port + 4 }, { ip, port: this.port + 4 })
    const args = proxied ? ['--peer-address', `${peerIp}:${this.port + 4}`, ...seeds.flatMap(seed => ['--seed-address', `${seed.replace(/^127\.(\d+)\.0\./, '127.$1.8.')}:${this.port + 4}`])] : []
    const machine = { name, zone, ip, storeIp, settingsFile, args, child: undefined, log: [], exitExpected: false, ownExits: 0 }
    this.machines.set(name, machine)
    return machine
  }

  startProcess (name) {
    const machine = this.machines.get(name)
    const [program, ...args] = deployCommand()
    const child = spawn(program === 'node' ? process.execPath : program, [...args, ...machine.args], { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, CRANBERRYYARD_SETTINGS: machine.settingsFile }, stdio: ['ignore', 'pipe', 'pipe'] })
    machine.child = child
    machine.exitExpected = false
    for (const stream of [child.stdout, child.stderr]) stream.on('data', chunk => machine.log.push(chunk.toString()))
    child.once('exit', (code, signal) => {
      if (machine.child === child) machine.child = undefined
      this.note(`${name} exited: ${code ?? signal}`)
      if (machine.exitExpected || this.closing) return
      machine.ownExits++
      this.violate('EXIT', `${name} exited by itself: ${code ?? signal}`)
      if (this.restarts) setTimeout(() => this.closing || this.startProcess(name), RESTART_MS)
    })
    this.note(`${name} started`)
  }

  signal (name, signal) {
    const machine = this.machines.get(name)
    if (signal === 'SIGKILL' || signal === 'SIGTERM') machine.exitExpected = true
    this.note(`${name} gets ${signal}`)
    machine.child?.kill(signal)
  }

  async addMinion (id, zone, ip, cpu = 32_000) {
    const minion = new Minion(id, { ip, port: this.port + 15, cpu, labels: ['a', 'r1-1'], onStart: (...args) => this.taskStarted(...args), onEnd: (m, { task, run }, how) => this.note(`${m.id} ended ${task} run ${run}: ${how}`) })
    await minion.listen()
    const beat = () => this.store.put(`servers/${id}`, minion.report('svc', zone, minion.state))
    beat()
    minion.beatTimer = setInterval(() => this.store.silent || beat(), BEAT_MS)
    this.minions.push(minion)
    return minion
  }

  publish (version, routes = [{ name: 'r-1', prefix: '/q1/' }], extra = {}) {
    const full = routes.map(route => ({ host: 'a.example', kind: 'non_idempotent', timeoutMs: 1500, targetLatencyMs: 60, priority: 0, service: 'svc', maxAttempts: 4, stretch: 1.6, ...route }))
    this.store.put('op/config', { version, routes: full, services: [{ name: 'svc', healthPath: '/healthz', maxConns: 64, protocol: 'h1', tls: false, rejectsOverload: false, standby: false }], limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }, ...extra })
  }

  /** Checks LIMIT and TWICE at each start of a task. */
  taskStarted (minion, task, run, token) {
    this.count('starts')
    this.note(`${minion.id} started ${task} run ${run} token ${token}, ${minion.usedCpu()} of ${minion.cpu} in use`)
    if (minion.usedCpu() > minion.cpu) this.violate('LIMIT', `${minion.id} has ${minion.usedCpu()} of ${minion.cpu} in use after the start of ${task}: ${[...minion.runs.values()].map(r => `${r.task} run ${r.run} token ${r.token}`).join(', ')}`)
    const others = this.minions.filter(other => other !== minion && other.runs.has(task))
    for (const other of others) this.violate('TWICE', `${task} runs at ${minion.id} (run ${run}) and at ${other.id} (run ${other.runs.get(task).run})`)
  }

  /** Sends one HTTP request to a machine's frontend. Resolves with the status and the body, or with status 0 if there was no answer. */
  call (name, method, path, { body, deadlineMs = 1500, host = 'a.example', id = '' } = {}) {
    const { ip } = this.machines.get(name)
    return new Promise((resolve) => {
      const text = body === undefined ? undefined : JSON.stringify(body)
      const req = request({ host: ip, port: this.port + 1, method, path, agent: false, headers: { host, 'deadline-ms': String(deadlineMs), ...(text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }) } })
      const timer = setTimeout(() => req.destroy(), deadlineMs)
      const done = (status, answer) => {
        clearTimeout(timer)
        this.note(`client got ${status === 0 ? 'no answer' : status} ${answer} to ${method} ${path} from ${name}${id}`)
        resolve({ status, answer })
      }
      req.on('error', err => done(0, err.code ?? err.message))
      req.on('response', (res) => {
        const chunks = []
        res.on('data', chunk => chunks.push(chunk))
        res.on('error', err => done(0, err.code ?? err.message))
        res.on('end', () => done(res.statusCode, Buffer.concat(chunks).toString()))
      })
      this.note(`client sends ${method} ${path} to ${name}${text === undefined ? '' : ` ${text}`}`)
      req.end(text)
    })
  }

  /** Submits a job that is not stored, and sends it again as PROTOCOL.md says until it has an answer that settles it. */
  async runJob (chooseMachine, { prefix = '/q1/', tasks = 2, cpu = 14_000, workMs = 200, deadlineMs = 1500, attempts = 3, request = {} } = {}) {
    const id = newId()
    const body = { spec: JSON.stringify({ cpu, workMs }), steps: [{ count: tasks, ...(cpu > 0 ? { cpu } : {}), memMb: 64, ...request, estimateMs: workMs }], bestEffort: true }
    for (let attempt = 0; attempt < attempts; attempt++) {
      const { status } = await this.call(chooseMachine(), 'POST', `${prefix}${id}`, { body, deadlineMs })
      this.count(`answer ${status}`)
      if (![0, 502, 504].includes(status)) return status
      await sleep(RESEND_MS)
    }
    return 0
  }

  /** Keeps sending jobs at a rate until the returned function is called. */
  traffic (chooseMachine, perS, options) {
    const pending = new Set()
    const timer = setInterval(() => {
      const job = this.runJob(chooseMachine, options).finally(() => pending.delete(job))
      pending.add(job)
    }, 1000 / perS)
    return async () => {
      clearInterval(timer)
      await Promise.all(pending)
    }
  }

  async waitReady (names, timeoutMs = 15_000) {
    const until = performance.now() + timeoutMs
    for (const name of names) {
      while (!await this.isReady(name)) {
        if (performance.now() > until) throw new Error(`${name} is not ready`)
        await sleep(50)
      }
    }
  }

  isReady (name, timeoutMs = 500) {
    const { ip } = this.machines.get(name)
    return new Promise((resolve) => {
      const req = request({ host: ip, port: this.port + 2, path: '/-/readyz', agent: false, timeout: timeoutMs }, (res) => {
        res.resume()
        resolve(res.statusCode === 200)
      })
      req.on('timeout', () => req.destroy())
      req.on('error', () => resolve(false))
      req.end()
    })
  }

  async close () {
    this.closing = true
    const exits = [...this.machines.values()].map(({ child }) => child === undefined ? undefined : new Promise(resolve => child.once('exit', resolve)))
    for (const { child } of this.machines.values()) {
      child?.kill('SIGCONT')
      child?.kill('SIGKILL')
    }
    await Promise.all(exits)
    for (const minion of this.minions) {
      clearInterval(minion.beatTimer)
      minion.close()
    }
    this.store.close()
    this.net.close()
    rmSync(this.folder, { recursive: true, force: true })
  }
}

/**
 * Runs a case: exits with 1 if one of the given rules was broken, 0 if they held, and 2 if the case could not run.
 * @param rules the rules that the case is about; other broken rules are recorded only
 */
export async function runCase (folder, rules, play) {
  const deployment = new Deployment()
  let code = 2
  try {
    await deployment.choosePorts()
    await play(deployment)
    code = deployment.violations.some(rule => rules.includes(rule)) ? 1 : 0
  } catch (err) {
    deployment.note(`the case could not run: ${err.stack}`)
  }
  await deployment.close()
  const logs = [...deployment.machines.values()].flatMap(({ name, log }) => log.join('').split('\n').filter(line => line !== '' && /shard\.|process\.|peer\.lost|store\.(lost|regained)|cannot/.test(line)).map(line => `log of ${name}: ${line}`))
  const summary = [...deployment.counts].map(([name, n]) => `${name}: ${n}`).sort()
  writeFileSync(join(folder, 'record.txt'), [...deployment.lines, ...logs, ...summary, `broken: ${deployment.violations.join(' ') || 'none'}`, `exit ${code}`, ''].join('\n'))
  console.log(`${[...new Set(deployment.violations)].map(rule => `${rule} x${deployment.violations.filter(r => r === rule).length}`).join(', ') || 'no rule broken'}; ${summary.join(', ')}; exit ${code}`)
  process.exit(code)
}
