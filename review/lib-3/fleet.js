/**
 * A small deployment on loopback: one machine in each of three zones, started with the command of the deploy file and with
 * settings as DEPLOY.md describes them, a store, and minions. Each machine has a loopback address of its own, as the command
 * fixes the port of the metrics.
 */
import { spawn } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { sleep } from './http.js'
import { Minion } from './minion.js'
import { Store } from './store.js'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
const ZONES = { pampanga: 'central-luzon', tarlac: 'central-luzon', bulacan: 'central-luzon' }
const PORTS = { frontend: 8161, readiness: 8167, control: 8166, metrics: 9464, internalFrom: 7720, internalTo: 7735 }
const READY_PATIENCE_MS = 40_000
const HOST = 'nony24.example'
export const PREFIX = '/lohu930/'
const SERVICE = 'huvo11a'
/** The bounds of the deployment in SYSTEM.md. */
const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  contactMs: 3000,
  ackTimeoutMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxSkewMs: 5000,
  recoveryS: 12,
  holdMaxMs: 1000,
  stopMs: 50,
  gangMs: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  spreadFactor: 2,
  checkpointS: 1,
  restoreMs: 100,
  noticeMs: 4500,
  moveS: 1.5,
  maintenanceS: 2,
  fencingRequired: true,
  leaseMs: 3000,
  thawMs: 300,
  paceMs: 100,
  harmMs: 4000,
  resendMs: 1300
}

/** Returns whether all ports of a machine are free at a loopback address. */
async function portsAreFree (ip) {
  const ports = [PORTS.frontend, PORTS.readiness, PORTS.control, PORTS.metrics]
  for (let port = PORTS.internalFrom; port <= PORTS.internalTo; port++) ports.push(port)
  const results = await Promise.all(ports.map(port => new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, ip, () => server.close(() => resolve(true)))
  })))
  return results.every(Boolean)
}

async function freeAddress (last) {
  for (let i = 0; i < 20; i++) {
    const ip = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}.${last}`
    if (await portsAreFree(ip)) return ip
  }
  throw new Error('no loopback address has all ports free')
}

/** Returns the words of the command that the deploy file states. */
function deployedCommand () {
  const [, words] = /^run = "([^"]*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')) ?? []
  if (words === undefined) throw new Error('the deploy file has no command')
  return words.split(' ')
}

export class Fleet {
  machines = []
  minions = []
  store = new Store()
  lines = []
  #folder = mkdtempSync(join(tmpdir(), 'review-'))
  #closing = false
  #startedAt = performance.now()

  /** Adds a line to the record. */
  note (text) {
    this.lines.push(`${((performance.now() - this.#startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}`)
  }

  /** Starts store, minions and machines, and waits until all machines are ready. */
  async start ({ minionsPerZone, cpu, timeoutMs }) {
    this.minionIp = await freeAddress(100)
    await this.store.listen(this.minionIp)
    this.store.put('op/config', {
      version: 7,
      routes: [{ name: 'r-3hwrr6x', host: HOST, prefix: PREFIX, kind: 'non_idempotent', timeoutMs, targetLatencyMs: 60, priority: 0, service: SERVICE, maxAttempts: 4, stretch: 1.6 }],
      services: [{ name: SERVICE, healthPath: '/healthz', maxConns: 64, protocol: 'h1', tls: false, rejectsOverload: false, standby: false }],
      limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }
    })
    for (const zone of Object.keys(ZONES)) {
      for (let i = 0; i < minionsPerZone; i++) {
        const id = `i-${(this.minions.length + 1).toString(16).padStart(8, 'a')}`
        const minion = new Minion({ id, service: SERVICE, zone, capacity: { cpu, memMb: 131072, gpu: 0 }, labels: ['a', `r1-${i}`], holdMaxMs: BOUNDS.holdMaxMs, store: this.store, note: text => this.note(text) })
        await minion.listen(this.minionIp)
        this.minions.push(minion)
      }
    }
    const zones = Object.keys(ZONES)
    const ips = []
    for (let i = 0; i < zones.length; i++) ips.push(await freeAddress(i + 1))
    for (const [i, zone] of zones.entries()) {
      const ip = ips[i]
      const settings = {
        nodeName: `edge-${zone}-1`,
        role: 'entry',
        machineClass: 'edge',
        serves: ['edge', 'control_plane'],
        ip,
        zone,
        region: ZONES[zone],
        zones: ZONES,
        listen: { frontend: `${ip}:${PORTS.frontend}`, readiness: `${ip}:${PORTS.readiness}`, control: `${ip}:${PORTS.control}` },
        internalPorts: [PORTS.internalFrom, PORTS.internalTo],
        seedNodes: ips.map(seed => `${seed}:${PORTS.control}`),
        bootstrap: true,
        faultCounted: false,
        limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
        dataDir: null,
        discovery: 'platform',
        entry: 'vip',
        heartbeatMs: 1500,
        contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'platform', 'advice', 'upkeep', 'sharing'],
        faultTolerance: { machines: 1, zones: 1, regionCount: 0 },
        bounds: BOUNDS,
        orders: 'invoke',
        advice: `${this.minionIp}:9`,
        platform: { address: this.store.address, form: 'kv', writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000 },
        cloudApi: { address: `${this.minionIp}:9`, ratePerS: 60, duties: [], dutyPerS: 60 }
      }
      const settingsFile = join(this.#folder, `${zone}.json`)
      writeFileSync(settingsFile, JSON.stringify(settings))
      const [program, ...words] = deployedCommand()
      const log = openSync(join(this.#folder, `${zone}.log`), 'a')
      const child = spawn(program, words, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', CRANBERRYYARD_SETTINGS: settingsFile }, stdio: ['ignore', log, log] })
      closeSync(log)
      const machine = { name: settings.nodeName, zone, ip, child, ended: false }
      child.once('error', () => {
        machine.ended = true
      })
      child.once('exit', (code, signal) => {
        machine.ended = true
        if (!this.#closing) this.note(`${machine.name} ends by itself with ${code ?? signal}`)
      })
      this.machines.push(machine)
    }
    const end = performance.now() + READY_PATIENCE_MS
    for (const machine of this.machines) {
      while (await this.#readiness(machine) !== 200) {
        if (performance.now() > end || machine.ended) throw new Error(`${machine.name} is not ready`)
        await sleep(100)
      }
    }
    this.note('all machines are ready')
  }

  /** Sends a request to a machine as a client does. @returns status and body, or status 0 when no answer came */
  call (machine, method, path, { body, deadlineMs = 1500 } = {}) {
    return new Promise((resolve) => {
      const text = body === undefined ? '' : JSON.stringify(body)
      const req = request({
        host: machine.ip,
        port: PORTS.frontend,
        method,
        path,
        agent: false,
        timeout: deadlineMs + 1000,
        headers: { host: HOST, 'deadline-ms': String(deadlineMs), 'content-length': Buffer.byteLength(text), ...(text === '' ? {} : { 'content-type': 'application/json' }) }
      }, (res) => {
        let answer = ''
        res.on('data', (part) => {
          answer += part
        })
        res.once('end', () => resolve({ status: res.statusCode, body: answer }))
        res.once('error', () => resolve({ status: 0, body: '' }))
      })
      req.once('error', () => resolve({ status: 0, body: '' }))
      req.once('timeout', () => req.destroy())
      req.end(text)
    })
  }

  #readiness ({ ip }) {
    return new Promise((resolve) => {
      const req = request({ host: ip, port: PORTS.readiness, path: '/-/readyz', agent: false, timeout: 1000 }, (res) => {
        res.resume()
        resolve(res.statusCode)
      })
      req.once('error', () => resolve(0))
      req.once('timeout', () => req.destroy())
      req.end()
    })
  }

  /** Ends all processes and stand-ins. */
  async close () {
    this.#closing = true
    await Promise.all(this.machines.map(({ child, ended }) => ended
      ? undefined
      : new Promise((resolve) => {
          child.once('exit', resolve)
          child.kill('SIGKILL')
        })))
    await Promise.all(this.minions.map(minion => minion.close()))
    await this.store.close()
    rmSync(this.#folder, { recursive: true, force: true })
  }
}
