/**
 * Starts the system's processes with the command of the deploy file on loopback addresses, one for each machine, together
 * with stand-ins for the store and the minions. Signals go only to processes that it has started. Everything that is
 * sent, answered and run is noted in `record.txt`.
 */
import { fork, spawn } from 'node:child_process'
import { createWriteStream, existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import process from 'node:process'
import { fileURLToPath } from 'node:url'
import { Minion } from './minion.js'
import { Store } from './store.js'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
const READY_TIMEOUT_MS = 20_000
const HOST = 'queue.example'
export const PREFIX = '/q/'

/** Bounds of sites/bantay-yard.toml, as the settings file states them. */
const BOUNDS = { seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackTimeoutMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, recoveryS: 12, holdMaxMs: 1000, stopMs: 50, gangMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, spreadFactor: 2, checkpointS: 1, restoreMs: 100, noticeMs: 4500, moveS: 1.5, maintenanceS: 2, fencingRequired: true, leaseMs: 3000, thawMs: 300, paceMs: 100, harmMs: 4000, resendMs: 1300 }

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** The case could not be run, which says nothing about the rule. */
export class CannotRun extends Error {}

/** Returns the command of the deploy file's role. */
function deployCommand () {
  const line = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))
  if (line === null) throw new CannotRun('deploy/system.toml has no run command')
  return line[1].split(' ')
}

function isFree (ip, port) {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, ip, () => server.close(() => resolve(true)))
  })
}

export class Fleet {
  folder = mkdtempSync(join(tmpdir(), 'review-'))
  machines = []
  minions = []
  store = new Store()
  startedAt = performance.now()

  /** @param recordFile - path of `record.txt` */
  constructor (recordFile) {
    this.record = createWriteStream(recordFile)
    this.subnet = `127.${16 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`
  }

  note (text) {
    this.record.write(`${((performance.now() - this.startedAt) / 1000).toFixed(3)} ${text}\n`)
  }

  /**
   * Starts the store, the minions and the machines, and waits until every machine is ready.
   * @param shape - `zones` (zone to number of machines), `minionsPerZone`, `cpu`, `work`, `on`, `limits`
   */
  async start ({ zones, minionsPerZone, cpu = 32_000, work, workMs, on, limits = { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 } }) {
    if (!existsSync(join(ROOT, 'target/cranberryyard.cjs'))) throw new CannotRun('target/cranberryyard.cjs is missing: run the build of the deploy file')
    this.publishConfig(3, [PREFIX])
    for (const zone of Object.keys(zones)) {
      for (let i = 0; i < minionsPerZone; i++) {
        if (workMs === undefined) await this.addMinion(`i-${zone}-${i}`, { zone, cpu, work, on })
        else await this.addMinionProcess(`i-${zone}-${i}`, { zone, cpu, workMs, on })
      }
    }
    await this.choosePorts()
    const zoneRegions = Object.fromEntries(Object.keys(zones).map(zone => [zone, 'region']))
    for (const [zone, count] of Object.entries(zones)) {
      for (let i = 1; i <= count; i++) this.machines.push({ name: `edge-${zone}-${i}`, zone, ip: `${this.subnet}.${10 + this.machines.length}`, exits: [] })
    }
    const seedNodes = this.machines.slice(0, 3).map(({ ip }) => `${ip}:${this.ports.control}`)
    for (const machine of this.machines) {
      const { name, zone, ip } = machine
      machine.storeIp = `${this.subnet}.${200 + this.machines.indexOf(machine)}`
      const storeAddress = await this.store.listen(machine.storeIp)
      machine.settingsFile = join(this.folder, `${name}.json`)
      writeFileSync(machine.settingsFile, JSON.stringify({
        nodeName: name,
        role: 'entry',
        machineClass: 'edge',
        serves: ['edge', 'control_plane'],
        ip,
        zone,
        region: 'region',
        zones: zoneRegions,
        listen: { frontend: `${ip}:${this.ports.frontend}`, readiness: `${ip}:${this.ports.readiness}`, control: `${ip}:${this.ports.control}` },
        internalPorts: [this.ports.internal, this.ports.internal + 15],
        seedNodes,
        bootstrap: true,
        faultCounted: false,
        limits,
        dataDir: null,
        discovery: 'platform',
        entry: 'vip',
        heartbeatMs: 1500,
        contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'platform', 'advice', 'upkeep', 'sharing'],
        faultTolerance: { machines: 1, zones: 1, regionCount: 0 },
        bounds: BOUNDS,
        orders: 'invoke',
        platform: { address: storeAddress, form: 'kv', writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1_048_576, ttlMinMs: 1000 }
      }))
      this.startProcess(machine)
    }
    await this.allReady()
  }

  /** Writes a desired state with a route for each prefix. */
  publishConfig (version, prefixes) {
    this.note(`the operator writes version ${version} with the routes ${prefixes.join(' ')}`)
    this.store.put('op/config', {
      version,
      routes: prefixes.map((prefix, i) => ({ name: `route-${i}`, host: HOST, prefix, kind: 'non_idempotent', timeoutMs: 10_000, targetLatencyMs: 60, priority: 0, service: 'workers', maxAttempts: 4, stretch: 1.6 })),
      services: [{ name: 'workers', rejectsOverload: false }],
      limits: {}
    })
  }

  async addMinion (id, options) {
    const minion = new Minion(id, options)
    await minion.listen(`${this.subnet}.${100 + this.minions.length}`, this.store)
    this.minions.push(minion)
    return minion
  }

  /** Starts a minion as a process of its own, whose tasks all take `workMs`. */
  async addMinionProcess (id, { zone, cpu, workMs, on }) {
    const child = fork(fileURLToPath(new URL('minionProcess.js', import.meta.url)))
    const minion = { id, close: () => child.kill('SIGKILL') }
    const listening = new Promise((resolve) => {
      child.on('message', ({ type, key, entry, run, how }) => {
        if (type === 'entry') this.store.put(key, entry)
        if (type === 'start') on.start(minion, run)
        if (type === 'end') on.end(minion, run, how)
        if (type === 'listening') resolve()
      })
    })
    child.send({ id, ip: `${this.subnet}.${100 + this.minions.length}`, options: { zone, cpu, workMs } })
    this.minions.push(minion)
    await listening
    return minion
  }

  /** All machines have the same ports, at addresses of their own. */
  async choosePorts () {
    for (let attempt = 0; attempt < 20; attempt++) {
      const base = 20_000 + Math.floor(Math.random() * 10_000)
      const ports = { frontend: base, readiness: base + 1, control: base + 2, internal: base + 3 }
      const free = await Promise.all([...Object.values(ports), 9464].map(port => isFree(`${this.subnet}.10`, port)))
      if (free.every(Boolean)) {
        this.ports = ports
        return
      }
    }
    throw new CannotRun('no free ports')
  }

  startProcess (machine) {
    const [command, ...args] = deployCommand()
    const log = createWriteStream(join(this.folder, `${machine.name}.log`), { flags: 'a' })
    const child = spawn(command === 'node' ? process.execPath : command, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, CRANBERRYYARD_SETTINGS: machine.settingsFile },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    child.stdout.pipe(log)
    child.stderr.pipe(log, { end: false })
    machine.child = child
    this.note(`${machine.name} started as process ${child.pid}`)
    child.once('exit', (code, signal) => {
      machine.child = undefined
      machine.exits.push({ code, signal, expected: machine.killed === true })
      machine.killed = false
      this.note(`${machine.name} exited with ${code ?? signal}`)
    })
  }

  /** Signals a machine's process. After SIGKILL and SIGTERM its end is expected. */
  signal (machine, signal) {
    if (signal === 'SIGKILL' || signal === 'SIGTERM') machine.killed = true
    this.note(`${signal} to ${machine.name}`)
    machine.child?.kill(signal)
  }

  /** Starts processes that have ended again, as the platform does. */
  restartEnded (delayMs) {
    this.restarts = setInterval(() => {
      for (const machine of this.machines) {
        if (machine.child !== undefined || machine.restarting === true) continue
        machine.restarting = true
        setTimeout(() => {
          machine.restarting = false
          if (!this.closing) this.startProcess(machine)
        }, delayMs)
      }
    }, 20)
  }

  async allReady () {
    for (const until = performance.now() + READY_TIMEOUT_MS; performance.now() < until; await sleep(100)) {
      const answers = await Promise.all(this.machines.map(machine => this.isReady(machine)))
      if (answers.every(Boolean)) {
        this.note('all machines are ready')
        return
      }
    }
    throw new CannotRun('the machines are not ready')
  }

  isReady ({ ip }) {
    return new Promise((resolve) => {
      const req = request({ host: ip, port: this.ports.readiness, path: '/-/readyz', timeout: 1000 }, (res) => {
        res.resume()
        resolve(res.statusCode === 200)
      })
      req.once('error', () => resolve(false))
      req.once('timeout', () => req.destroy())
      req.end()
    })
  }

  /** Returns the machine that the store's records name as the owner of a zone. The record's format is the project's own. */
  ownerOf (zone) {
    const owner = this.store.read(`cranberryyard/shards/${zone}`)?.owner?.instance
    return this.machines.find(({ name }) => name === owner)
  }

  /**
   * Sends a request of a client on a channel of its own. The client waits for an answer until the deadline.
   * @returns status and body, or `status: 0` if the channel ended without an answer
   */
  call (machine, method, id, body, { deadlineMs = 10_000, prefix = PREFIX } = {}) {
    const text = body === undefined ? '' : JSON.stringify(body)
    this.note(`client ${method} ${prefix}${id} to ${machine.name}${body === undefined ? '' : ` ${text.slice(0, 200)}`}`)
    return new Promise((resolve) => {
      const finish = (status, answer) => {
        this.note(`client ${method} ${prefix}${id} at ${machine.name} got ${status === 0 ? `no answer (${answer})` : `${status} ${answer}`}`)
        resolve({ status, body: answer })
      }
      const headers = { host: HOST, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), 'deadline-ms': String(deadlineMs) }
      const req = request({ host: machine.ip, port: this.ports.frontend, method, path: `${prefix}${id}`, headers, agent: false }, (res) => {
        const chunks = []
        res.on('data', chunk => chunks.push(chunk))
        res.once('end', () => finish(res.statusCode, Buffer.concat(chunks).toString()))
        res.once('error', err => finish(0, err.message))
      })
      const timer = setTimeout(() => req.destroy(new Error('the deadline has passed')), deadlineMs)
      req.once('close', () => clearTimeout(timer))
      req.once('error', err => finish(0, err.message))
      req.end(text)
    })
  }

  /** Exits of processes that nobody has killed. */
  unexpectedExits () {
    return this.machines.flatMap(({ name, exits }) => exits.filter(({ expected }) => !expected).map(({ code, signal }) => `${name}: ${code ?? signal}`))
  }

  /** Ends all processes and stand-ins. */
  async close () {
    this.closing = true
    clearInterval(this.restarts)
    const ends = this.machines.map(({ child }) => child === undefined ? undefined : new Promise(resolve => child.once('exit', resolve)))
    for (const machine of this.machines) if (machine.child !== undefined) this.signal(machine, 'SIGKILL')
    await Promise.all(ends)
    for (const minion of this.minions) minion.close()
    this.store.close()
    await new Promise(resolve => this.record.end(resolve))
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true })
    else console.log(`logs are in ${this.folder}`)
  }
}

/**
 * Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * @param folder - URL of the case's module, beside which `record.txt` is written
 * @param play - plays the case on a fleet and returns the breaks that it has seen
 */
export async function runCase (moduleUrl, play) {
  const fleet = new Fleet(process.env.RECORD ?? fileURLToPath(new URL('record.txt', moduleUrl)))
  const limit = setTimeout(() => {
    fleet.note('the case took too long')
    for (const machine of fleet.machines) machine.child?.kill('SIGKILL')
    process.exit(2)
  }, 115_000)
  let exitCode = 2
  try {
    const breaks = await play(fleet, process.env.TROUBLE !== '0')
    for (const text of breaks) fleet.note(`BROKEN ${text}`)
    fleet.note(breaks.length === 0 ? 'the rule held' : `${breaks.length} breaks`)
    console.log(breaks.length === 0 ? 'held' : breaks.slice(0, 5).join('\n'))
    exitCode = breaks.length === 0 ? 0 : 1
  } catch (err) {
    fleet.note(`the case could not run: ${err.stack}`)
    console.error(err)
  }
  await fleet.close()
  clearTimeout(limit)
  process.exit(exitCode)
}
