/**
 * One instance as a process: the tasks own sockets and timers, post inputs to the decisions and carry out effects.
 */
import { ShardInstance } from '@cranberryyard/core/shard'
import type { ListPace, ShardEffect, ShardInput, ShardSelf, ShardSettings } from '@cranberryyard/core/shard'
import type { Clock } from '@cranberryyard/protocol'
import { listen } from '../utils/plainServer.js'
import { StructuredLog } from '../utils/structuredLog.js'
import { JobServerTask } from './jobServerTask.js'
import { LinkTask } from './linkTask.js'
import { MetricsServer } from './metricsServer.js'
import { OrderTask } from './orderTask.js'
import { StoreTask } from './storeTask.js'
import type { PlatformWires } from './wires.js'

/** Period of the decisions' clock at an owner, which repeats orders and judges waiting jobs. */
const OWNER_TICK_MS = 25
/** The same at a front with jobs; each wake-up costs processor time. */
const TICK_MS = 50
/** The same where only pings and succession wait for it. */
const IDLE_TICK_MS = 100
/** Period of handing collected log lines to the system. */
const LOG_FLUSH_MS = 250
/** After a request to stop, callers' connections stay open at least this long, so that requests on their way arrive. */
const LINGER_MS = 1200
/** Time for the last answers to leave, after the decisions' own limit for jobs. */
const CLOSE_MS = 200

/** An IP number and a port. */
export interface ListenAddress {
  readonly ip: string
  readonly port: number
}

/** What a daemon is made from. */
export interface ShardDaemonOptions {
  readonly self: ShardSelf
  readonly cfg: ShardSettings
  readonly listen: {
    readonly callers: ListenAddress
    readonly readiness: ListenAddress
    readonly peers: ListenAddress
    readonly metrics: ListenAddress | undefined
  }
  readonly wires: PlatformWires
  readonly clock: Clock
  readonly random: () => number
}

/** One instance with its sockets. */
export class ShardDaemon {
  private readonly core: ShardInstance
  private readonly log: StructuredLog
  private readonly links: LinkTask
  private readonly orders: OrderTask
  private readonly store: StoreTask
  private readonly jobs: JobServerTask
  private readonly metrics: MetricsServer
  private pace: ListPace = 'near'
  private drained: () => void = () => {}

  constructor (private readonly options: ShardDaemonOptions) {
    const { self, cfg, wires, clock, random } = options
    const post = (input: ShardInput): void => this.post(input)
    this.core = new ShardInstance({ self, cfg })
    this.log = new StructuredLog({ instance: self.instance, incarnation: self.incarnation, failureDomain: self.failureDomain }, () => clock.now())
    this.links = new LinkTask(self.instance, post, (peer, why) => this.log.write('warn', 'link.broken', { peer, why }))
    this.orders = new OrderTask(wires.endpoints, post)
    this.store = new StoreTask(wires.store, post, random, (list, entries) => this.log.write('warn', 'store.unreadable', { list, entries }))
    this.jobs = new JobServerTask(wires.callers, post, (host, path) => this.core.hasQueue(host, path))
    this.metrics = new MetricsServer(this.core.ctx.out.counters)
  }

  /** Binds the ports and starts to work. */
  async start (): Promise<void> {
    const { listen: at, clock, self } = this.options
    await this.links.listen(at.peers.ip, at.peers.port)
    await listen(this.jobs.callers, at.callers.ip, at.callers.port)
    await listen(this.jobs.readiness, at.readiness.ip, at.readiness.port)
    if (at.metrics !== undefined) this.metrics.listen(at.metrics.ip, at.metrics.port)
    this.log.write('info', 'process.started', { address: self.address, callers: `${at.callers.ip}:${at.callers.port}`, uptimeMs: Math.round(process.uptime() * 1000) })
    this.carryOutAll(this.core.start(clock.now()))
    this.store.start()
    this.tick()
    setInterval(() => this.log.flush(), LOG_FLUSH_MS)
  }

  /** Notes that settings were read again. */
  reloaded (fields: Readonly<Record<string, string | number | boolean>>): void {
    this.log.write('info', 'process.reloaded', fields)
  }

  /** Finishes what is in flight, hands shards over, and closes. */
  async stop (signal: string): Promise<void> {
    const startedAt = this.options.clock.now()
    this.log.write('info', 'process.stopping', { signal, openCalls: this.jobs.openCalls() })
    this.jobs.leave()
    const drained = new Promise<void>((resolve) => {
      this.drained = resolve
    })
    this.post({ type: 'leave' })
    await Promise.race([Promise.all([drained, sleep(LINGER_MS)]), sleep(this.options.cfg.leaveMs)])
    await this.closeCallers(startedAt)
    this.log.write('info', 'process.stopped', { openCalls: this.jobs.openCalls(), tookMs: Math.round(this.options.clock.now() - startedAt) })
    this.log.flushSync()
  }

  /** Notes why the process ends by itself. */
  crashed (err: unknown): void {
    this.log.write('warn', 'process.crashed', { message: err instanceof Error ? err.stack ?? err.message : String(err) })
    this.log.flushSync()
  }

  /** Idle connections close at once, busy ones with their answer. */
  private async closeCallers (startedAt: number): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.jobs.callers.close(() => resolve())
    })
    this.jobs.callers.closeIdleConnections()
    const left = Math.max(0, this.options.cfg.leaveMs + CLOSE_MS - (this.options.clock.now() - startedAt))
    await Promise.race([closed, sleep(left)])
  }

  private tick (): void {
    this.post({ type: 'tick' })
    setTimeout(() => this.tick(), this.core.isIdle() ? IDLE_TICK_MS : this.pace === 'owner' ? OWNER_TICK_MS : TICK_MS)
  }

  private setPace (pace: ListPace): void {
    this.pace = pace
    this.store.setPace(pace)
  }

  private post (input: ShardInput): void {
    const { clock } = this.options
    this.carryOutAll(this.core.handle(input, clock.now(), clock.wall()))
  }

  private carryOutAll (effects: readonly ShardEffect[]): void {
    for (const effect of effects) this.carryOut(effect)
  }

  private carryOut (effect: ShardEffect): void {
    switch (effect.type) {
      case 'reply': return this.jobs.reply(effect)
      case 'send': return this.links.send(effect)
      case 'resetLink': return this.links.reset(effect.peer)
      case 'hold': return void this.orders.hold(effect)
      case 'startTask': return void this.orders.start(effect)
      case 'stopTask': return void this.orders.stop(effect)
      case 'writeMember': return void this.store.writeMember(effect.record)
      case 'claimShard': return void this.store.claim(effect)
      case 'refreshRecords': return this.store.refreshRecords()
      case 'listPace': return this.setPace(effect.pace)
      case 'state': return this.enterState(effect.name)
      case 'log': return this.log.write(effect.level, effect.event, effect.fields)
      case 'observe': return this.metrics.observe(effect.histogram, effect.label, effect.valueMs)
    }
  }

  private enterState (name: 'ready' | 'notReady' | 'drained'): void {
    if (name === 'drained') this.drained()
    else this.jobs.setReady(name === 'ready')
  }
}

function sleep (span: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, span))
}
