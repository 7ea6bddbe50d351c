/**
 * Runs one instance as a process. The tasks own sockets and timers and post inputs; this module passes each input to the
 * decisions in `core` and routes the effects that they return to the tasks. All I/O stays on this side, so that the
 * decisions can be tested without sockets and clocks.
 */
import { DEFAULT_MACHINE, ShardInstance, allowancesFor, backlogsFor, readsFresh } from '@cranberryyard/core/shard'
import type { CloseReason, ListPace, MachineLimits, ShardEffect, ShardGaugeName, ShardInput, ShardSelf, ShardSettings } from '@cranberryyard/core/shard'
import type { Clock } from '@cranberryyard/protocol'
import { ConnectionGuard } from '../utils/connectionGuard.js'
import { listen } from '../utils/plainServer.js'
import { StructuredLog } from '../utils/structuredLog.js'
import type { SocketAddress } from './address.js'
import { AnswerBudget } from './answerBudget.js'
import { JobServerTask } from './jobServerTask.js'
import type { LogFailedCall } from './httpCaller.js'
import { LinkTask } from './linkTask.js'
import { MetricsServer } from './metricsServer.js'
import { OrderTask } from './orderTask.js'
import { SocketReads } from './socketReads.js'
import { StoreTask } from './storeTask.js'
import type { StoreList } from './storeTask.js'
import type { PlatformWires, StoreWire } from './wires.js'

/** Tick period of a shard owner. On each tick it repeats unanswered orders and decides on waiting jobs. */
const OWNER_TICK_MS = 25
/** Tick period of an instance that owns no shard but has open jobs of callers; longer, since each tick costs processor time. */
const ACTIVE_TICK_MS = 50
/** Tick period of an instance on which only pings and succession depend on the tick. */
const IDLE_TICK_MS = 100
/** Period at which buffered log lines are flushed to standard output. */
const LOG_FLUSH_MS = 250
/** After a request to stop, callers' connections stay open at least this long, so that requests already in transit are received. */
const MIN_DRAIN_MS = 1200
/** Time to send the last answers once `leaveMs`, the limit for finishing jobs, has passed. */
const CLOSE_GRACE_MS = 200

/** Identity, settings and dependencies of a daemon. */
export interface ShardDaemonOptions {
  readonly self: ShardSelf
  readonly cfg: ShardSettings
  /** Addresses of peers to ask at start while the store does not answer. */
  readonly seeds: readonly string[]
  readonly listen: {
    readonly callers: SocketAddress
    readonly readiness: SocketAddress
    readonly peers: SocketAddress
    readonly metrics: SocketAddress | undefined
  }
  readonly wires: PlatformWires
  readonly clock: Clock
  readonly random: () => number
  /** Limits of the machine, from which the budgets of connections are derived. */
  readonly machine?: MachineLimits
  /** Called while the store cannot be reached, for each failed read: its address may have changed. */
  readonly storeUnreachable?: () => void
}

/** One instance with its sockets, timers and log. */
export class ShardDaemon {
  private readonly core: ShardInstance
  private readonly log: StructuredLog
  private readonly links: LinkTask
  private readonly orders: OrderTask
  private readonly store: StoreTask
  private readonly jobs: JobServerTask
  private readonly metrics: MetricsServer
  private readonly reads: SocketReads
  private listPace: ListPace = 'near'
  private resolveDrained: () => void = () => {}

  constructor (private readonly options: ShardDaemonOptions) {
    const { self, cfg, seeds, wires, clock, random } = options
    const post = (input: ShardInput): void => this.post(input)
    this.core = new ShardInstance({ self, cfg, seeds })
    this.reads = new SocketReads(clock)
    this.log = new StructuredLog({ instance: self.instance, incarnation: self.incarnation, failureDomain: self.failureDomain }, () => clock.now())
    const allowances = allowancesFor(options.machine ?? DEFAULT_MACHINE)
    const callers = new ConnectionGuard(allowances.callers, clock, reason => this.connectionClosed('callers', reason), this.reads)
    const peers = new ConnectionGuard(allowances.peers, clock, reason => this.connectionClosed('peers', reason))
    const answers = new AnswerBudget(allowances.answers, clock, reason => this.connectionClosed('answers', reason))
    this.links = new LinkTask(self.instance, post, (peer, why) => this.brokenLink(peer, why), peers)
    const failedCall: LogFailedCall = (address, reason) => this.log.writeRepeated('call.failed', `${address} ${reason}`, { address, reason })
    this.orders = new OrderTask(wires.endpoints, post, failedCall, answers)
    this.store = new StoreTask(wires.store, post, random, clock, {
      unreadable: (list, entries) => this.log.write('warn', 'store.unreadable', { list, entries }),
      unreadableEntry: (list, { key, reason }) => this.unreadableEntry(list, key, reason),
      failedCall,
      failedRead: (list, { why, isWatch, tookMs, receivedBytes }) => this.log.write('warn', 'store.readFailed', { list, why, isWatch, tookMs, receivedBytes }),
      unreachable: () => options.storeUnreachable?.(),
      desiredRead: (version, { isWatch, tookMs, receivedBytes }) => this.log.write('info', 'store.desiredRead', { version, isWatch, tookMs, receivedBytes })
    }, answers)
    this.jobs = new JobServerTask(wires.callers, post, (host, path) => this.core.refusalFor(host, path), this.reads, callers)
    this.metrics = new MetricsServer(this.core.ctx.out.counters, () => ({ ...Object.fromEntries(this.core.ctx.out.gauges), ...gaugesOf(callers, peers, answers) }), reason => this.connectionClosed('metrics', reason))
  }

  /** Binds the ports, starts the decision logic and the store loops, and begins to tick. */
  async start (): Promise<void> {
    const { listen: addresses, clock, self } = this.options
    const backlogs = backlogsFor(this.options.machine ?? DEFAULT_MACHINE)
    await this.links.listen(addresses.peers.ip, addresses.peers.port, backlogs.peers)
    await listen(this.jobs.callers, addresses.callers.ip, addresses.callers.port, backlogs.callers)
    await listen(this.jobs.readiness, addresses.readiness.ip, addresses.readiness.port, backlogs.others)
    if (addresses.metrics !== undefined) this.metrics.listen(addresses.metrics.ip, addresses.metrics.port, backlogs.others)
    this.log.write('info', 'process.started', { address: self.address, callers: `${addresses.callers.ip}:${addresses.callers.port}`, uptimeMs: Math.round(process.uptime() * 1000) })
    this.executeEffects(this.core.start(clock.now()))
    this.store.start()
    this.tick()
    setInterval(() => this.log.flush(), LOG_FLUSH_MS)
  }

  /** Goes on with the store at another address. */
  moveStore (wire: StoreWire): void {
    this.log.write('info', 'store.moved', { address: wire.address })
    this.store.moveTo(wire)
  }

  /** Logs that the settings were reloaded. */
  logReload (fields: Readonly<Record<string, string | number | boolean>>): void {
    this.log.write('info', 'process.reloaded', fields)
  }

  /** Finishes open jobs, hands owned shards over to successors, and closes the callers' connections. */
  async stop (signal: string): Promise<void> {
    const startedAt = this.options.clock.now()
    this.log.write('info', 'process.stopping', { signal, openCalls: this.jobs.openCalls() })
    this.jobs.leave()
    const drained = new Promise<void>((resolve) => {
      this.resolveDrained = resolve
    })
    this.post({ type: 'leave' })
    await Promise.race([Promise.all([drained, sleep(MIN_DRAIN_MS)]), sleep(this.options.cfg.leaveMs)])
    await this.closeCallers(startedAt)
    this.log.write('info', 'process.stopped', { openCalls: this.jobs.openCalls(), tookMs: Math.round(this.options.clock.now() - startedAt) })
    this.log.flushSync()
  }

  /** Logs the error that ends the process. */
  logCrash (err: unknown): void {
    this.log.write('warn', 'process.crashed', { message: err instanceof Error ? err.stack ?? err.message : String(err) })
    this.log.flushSync()
  }

  /** Closes idle connections at once and the others after their answer, but waits no longer than the time that is left. */
  private async closeCallers (startedAt: number): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.jobs.callers.close(() => resolve())
    })
    this.jobs.callers.closeIdleConnections()
    const remainingMs = Math.max(0, this.options.cfg.leaveMs + CLOSE_GRACE_MS - (this.options.clock.now() - startedAt))
    await Promise.race([closed, sleep(remainingMs)])
  }

  /** Anyone may connect without a name, so lines about these are bounded further. */
  private brokenLink (peer: string | undefined, why: string): void {
    if (peer === undefined) this.log.writeRepeated('link.broken', why, { why })
    else this.log.write('warn', 'link.broken', { peer, why })
  }

  private connectionClosed (kind: string, reason: CloseReason): void {
    this.core.ctx.out.count(`shard.connections.${reason}`)
    this.log.writeRepeated('connection.closed', `${kind} ${reason}`, { kind, reason })
  }

  private unreadableEntry (list: StoreList, key: string, reason: string): void {
    this.core.ctx.out.count('shard.store.unreadable')
    this.log.writeRepeated('store.unreadableEntry', `${key} ${reason}`, { list, key, reason })
  }

  private tick (): void {
    this.post({ type: 'tick' })
    setTimeout(() => this.tickOnceRead(), this.core.isIdle() ? IDLE_TICK_MS : readsFresh(this.listPace) ? OWNER_TICK_MS : ACTIVE_TICK_MS)
  }

  /** Ticks when the callers' connections were read, so that no job is confirmed whose caller has left. Without calls as well: the next one counts from the last read. */
  private tickOnceRead (): void {
    this.reads.afterNextRead(() => this.tick())
  }

  private setPace (pace: ListPace): void {
    this.listPace = pace
    this.store.setPace(pace)
  }

  private post (input: ShardInput): void {
    const { clock } = this.options
    this.executeEffects(this.core.handle(input, clock.now(), clock.wall(), this.reads))
  }

  private executeEffects (effects: readonly ShardEffect[]): void {
    for (const effect of effects) this.executeEffect(effect)
  }

  private executeEffect (effect: ShardEffect): void {
    switch (effect.type) {
      case 'reply': return this.jobs.reply(effect)
      case 'send': return this.links.send(effect)
      case 'resetLink': return this.links.reset(effect.peer)
      case 'renewLink': return this.links.renew(effect.peer)
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
    if (name === 'drained') this.resolveDrained()
    else this.jobs.setReady(name === 'ready')
  }
}

function gaugesOf (callers: ConnectionGuard, peers: ConnectionGuard, answers: AnswerBudget): Partial<Record<ShardGaugeName, number>> {
  return {
    'shard.connections.callers': callers.usage().connections,
    'shard.connections.callerBytes': callers.usage().bytes,
    'shard.connections.peers': peers.usage().connections,
    'shard.connections.peerBytes': peers.usage().bytes,
    'shard.connections.answerBytes': answers.usage().bytes
  }
}

function sleep (durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}
