/**
 * Runs one entry instance as a process. The core task makes all decisions and does no I/O; around it, there is one task
 * for each kind of socket. The daemon passes their inputs to the core task one at a time, and each effect to the task
 * that executes it.
 */
import { Instance, allowancesFor, backlogsFor } from '@cranberryyard/core'
import type { Allowance, Effect, Input } from '@cranberryyard/core'
import type { FailureDomain, InstanceId, Settings } from '@cranberryyard/protocol'
import { systemClock } from '@cranberryyard/protocol'
import { CallerTask } from './callers/callerTask.js'
import { EndpointTask } from './endpoints/endpointTask.js'
import { MetricsTask } from './metrics/metricsTask.js'
import { OperatorTask } from './operators/operatorTask.js'
import { PeerTask } from './peers/peerTask.js'
import { PlatformTask } from './platform/platformTask.js'
import { AnswerBudget } from './shard/answerBudget.js'
import { ConnectionGuard } from './utils/connectionGuard.js'
import type { ReportClosed } from './utils/connectionGuard.js'
import { makeServer } from './utils/httpServer.js'
import { listen } from './utils/plainServer.js'
import { log } from './utils/log.js'

/** Interval between ticks of the core task. */
const TICK_MS = 50

/** The ports that the daemon listens on. */
export interface BoundPorts {
  readonly caller: number
  readonly operator: number
  readonly peer: number
}

/** A running entry instance. */
export class Daemon {
  private readonly core: Instance
  private readonly callerGuard: ConnectionGuard
  private readonly operatorGuard: ConnectionGuard
  private readonly callers: CallerTask
  private readonly operators: OperatorTask
  private readonly peers: PeerTask
  private readonly endpoints: EndpointTask
  private readonly platform: PlatformTask
  private readonly metrics: MetricsTask
  private ticker: NodeJS.Timeout | undefined
  /** Called when the core task has drained; `stop` replaces it. */
  private resolveDrained: () => void = () => {}

  constructor (private readonly settings: Settings) {
    const { instance, listen: ports } = settings
    const post = (input: Input): void => this.post(input)
    this.core = new Instance({
      instance: instance.id as InstanceId,
      incarnation: Date.now(),
      failureDomain: instance.failureDomain as FailureDomain,
      address: `${instance.address}:${ports.peerPort}`,
      cfg: settings,
      seed: Date.now() & 0x7fffffff
    })
    const allowances = allowancesFor(settings.machine)
    this.callerGuard = makeGuard('callers', allowances.callers)
    this.operatorGuard = makeGuard('operators', allowances.operators)
    this.callers = new CallerTask(post, this.callerGuard)
    this.operators = new OperatorTask(settings.operators, post, {
      status: () => this.core.status(),
      fleet: () => this.core.contracts.db.fleet,
      readArchive: key => this.platform.readKey(key)
    }, this.operatorGuard)
    this.peers = new PeerTask(instance.id as InstanceId, settings.peerTls, post, makeGuard('peers', allowances.peers))
    const answers = new AnswerBudget(allowances.answers, systemClock, closedReporter('answers'))
    this.endpoints = new EndpointTask(settings.routing.connectionsPerEndpoint, post, answers)
    this.platform = new PlatformTask(settings.platform, instance.failureDomain, post, answers)
    this.metrics = new MetricsTask(settings.metrics, () => this.core.status())
  }

  /** Binds the ports, starts polling the platform and starts the tick. @returns the ports */
  async start (): Promise<BoundPorts> {
    const { instance, listen: ports, callerTls, operatorTls, jobs, machine, peers } = this.settings
    const backlogs = backlogsFor(machine)
    this.callers.server = makeServer(callerTls, jobs.senderTimeoutMs, (req, res) => this.callers.handle(req, res), this.callerGuard)
    this.operators.server = makeServer(operatorTls, jobs.senderTimeoutMs, (req, res) => this.operators.handle(req, res), this.operatorGuard)
    const peer = await this.peers.listen(instance.address, ports.peerPort, backlogs.peers)
    const caller = await listen(this.callers.server, instance.address, ports.callerPort, backlogs.callers)
    const operator = await listen(this.operators.server, instance.address, ports.operatorPort, backlogs.others)
    const configuredPeers = peers.map(p => ({ instance: p.id as InstanceId, address: p.address }))
    this.post({ type: 'peers', peers: configuredPeers })
    this.platform.startInstancePolling()
    this.ticker = setInterval(() => this.post({ type: 'tick' }), TICK_MS)
    this.post({ type: 'tick' })
    log.info('daemon.started', { instance: instance.id, caller, operator, peer })
    return { caller, operator, peer }
  }

  /**
   * Shuts down gracefully. The health check fails at once, but new requests are served for `announceMs`, until the load
   * balancer has noticed. Then requests in flight get up to `drainMs` before everything is closed.
   * @returns true when all requests in flight were finished within that time
   */
  async stop (): Promise<boolean> {
    const { announceMs, drainMs } = this.settings.shutdown
    this.callers.healthy = false
    log.info('daemon.leaving', {})
    await sleep(announceMs)
    const drained = new Promise<boolean>((resolve) => {
      this.resolveDrained = () => resolve(true)
    })
    this.post({ type: 'leave' })
    const clean = await Promise.race([drained, sleep(drainMs).then(() => false)])
    await this.finishOpenCalls()
    await this.close()
    log.info('daemon.stopped', { clean })
    return clean
  }

  /** Closes all ports and connections at once, without draining. */
  async close (): Promise<void> {
    clearInterval(this.ticker)
    this.metrics.close()
    this.callers.server?.close()
    this.callers.server?.closeAllConnections()
    this.operators.server?.close()
    this.operators.server?.closeAllConnections()
    this.peers.close()
    await Promise.all([this.endpoints.close(), this.platform.close()])
  }

  /** Waits up to about 2 s for answers that are already decided to be sent, before the connections are closed. */
  private async finishOpenCalls (): Promise<void> {
    this.callers.server?.close()
    for (let i = 0; i < 100 && this.callers.openCalls > 0; i++) await sleep(20)
    await sleep(50)
  }

  private post (input: Input): void {
    for (const effect of this.core.handle(input, systemClock.now(), systemClock.wall())) this.executeEffect(effect)
  }

  private executeEffect (effect: Effect): void {
    switch (effect.type) {
      case 'accepted': return this.callers.onAccepted(effect)
      case 'refused': return this.callers.onRefused(effect)
      case 'answer': return this.callers.onAnswer(effect)
      case 'pending': return this.callers.onPending(effect)
      case 'send': return this.peers.send(effect)
      case 'start': return this.endpoints.start(effect)
      case 'renew': return this.endpoints.renew(effect)
      case 'stop': return this.endpoints.stop(effect)
      case 'probe': return this.endpoints.probe(effect)
      case 'storeRead': return void this.platform.readFleet()
      case 'storeWatch': return void this.platform.watchFleet(effect)
      case 'storeCas': return void this.platform.casFleet(effect)
      case 'storeArchive': return void this.platform.archiveAuditChunk(effect)
      case 'changeResult': return this.operators.onChangeResult(effect)
      case 'state': return this.enterState(effect.name)
      case 'log': return log.info(effect.event, effect.fields)
    }
  }

  private enterState (state: 'serving' | 'leaving' | 'drained'): void {
    this.callers.healthy = state === 'serving'
    if (state === 'drained') this.resolveDrained()
  }
}

function sleep (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

function makeGuard (port: string, allowance: Allowance): ConnectionGuard {
  return new ConnectionGuard(allowance, systemClock, closedReporter(port))
}

/** Counts the connections closed for each reason; a line is written for the first and then for each tenfold number. */
function closedReporter (port: string): ReportClosed {
  const closed = new Map<string, number>()
  return (reason) => {
    const count = (closed.get(reason) ?? 0) + 1
    closed.set(reason, count)
    if (Number.isInteger(Math.log10(count))) log.info('connection.closed', { port, reason, count })
  }
}
