/**
 * A fleet of shard instances in memory on virtual time, over the stand-ins of endpoints and store, with faults on
 * every link. The same seed gives the same run.
 */
import type { ListPace, ShardEffect, ShardInput, ShardSettings } from '@cranberryyard/core/shard'
import { ENDPOINT_LIST_PERIODS_MS, RECORD_LIST_PERIODS_MS, SHARD_DEFAULTS, ShardInstance, seededRandom } from '@cranberryyard/core/shard'
import type { Random } from '@cranberryyard/core'
import { FencedEndpointModel, RecordStoreModel, ShardOracle } from '@cranberryyard/fakes'
import type { ModelTask } from '@cranberryyard/fakes'
import type {
  DesiredState,
  EndpointClockMs,
  EndpointId,
  EndpointReport,
  FailureDomain,
  InstanceId,
  JobId,
  JobRequest,
  MemberRecord,
  QueueName,
  Revised,
  ServiceName,
  ShardMessage,
  ShardRecord,
  TaskName
} from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { Timeline } from '../memory/timeline.js'

type EffectOf<T extends ShardEffect['type']> = Extract<ShardEffect, { type: T }>

const TICK_MS = 25
const WATCH_DELAY_MS = 50
const CALLER_RESEND_MS = 1300
/** One instance of each domain has more processor time than the others; owners hand their shards to it. */
const STRONG_CPU_MILLI = 1350
const WEAK_CPU_MILLI = 324
/** A process counts as in touch after this long without trouble. */
const CONTACT_MS = 3000
const SERVICE = 'workers' as ServiceName

/** Size of a fleet. */
export interface FleetShape {
  readonly domains: readonly string[]
  readonly instancesPerDomain: number
  readonly endpointsPerDomain: number
  readonly seed: number
  readonly cfg?: Partial<ShardSettings>
}

interface Process {
  readonly name: InstanceId
  readonly domain: FailureDomain
  core: ShardInstance
  life: number
  up: boolean
  frozen: boolean
  pace: ListPace
  /** Counts changes of the pace, so that the loops of an earlier one end. */
  paceChanges: number
  /** Inputs that arrived while the process stood still. */
  backlog: ShardInput[]
  /** Latest moment at which the process did not run or did not reach the store. */
  troubledAt: number
  /** Calls of callers that wait for a reply, by call id. */
  calls: Map<string, (reply: 'completed' | 'failed' | 'refused' | 'other') => void>
}

/** Faults of the store. */
export interface StoreFaults {
  down: boolean
  /** Instances that the store does not serve. */
  readonly deaf: Set<string>
  lostReplyShare: number
}

/** A caller's view of one job. */
export interface CallerJob {
  readonly id: JobId
  readonly tasks: number
  readonly sentAt: number
  reply: 'completed' | 'failed' | 'refused' | 'other' | undefined
  tookMs: number | undefined
}

/** The fleet. */
export class ShardFleet {
  readonly time = new Timeline()
  readonly oracle = new ShardOracle()
  readonly processes = new Map<InstanceId, Process>()
  readonly endpoints = new Map<string, FencedEndpointModel>()
  readonly drainingEndpoints = new Set<string>()
  readonly goneEndpoints = new Set<string>()
  /** Endpoints whose entry in the store lapsed and is not back yet. */
  readonly lapsedEntries = new Set<string>()
  readonly store = new RecordStoreModel()
  readonly storeFaults: StoreFaults = { down: false, deaf: new Set(), lostReplyShare: 0 }
  readonly jobs: CallerJob[] = []
  readonly logs: { readonly at: number, readonly instance: string, readonly event: string, readonly fields: object }[] = []
  /** Called with each message between instances as it is sent. */
  onMessage: (from: InstanceId, to: InstanceId, message: ShardMessage) => void = () => {}
  /** Pairs `from>to` between which nothing arrives. */
  readonly cuts = new Set<string>()
  /** Share of orders to endpoints that get no answer and take effect seconds later. */
  lateOrderShare = 0
  /** Share of orders that take effect at once and whose answer is lost. */
  lostAnswerShare = 0
  private readonly domainOf = new Map<string, FailureDomain>()
  private readonly random: Random
  private desired: DesiredState
  private jobCounter = 0
  private callCounter = 0

  constructor (private readonly shape: FleetShape) {
    this.random = seededRandom(shape.seed)
    this.desired = makeDesired(1)
    for (const domain of shape.domains) {
      for (let i = 0; i < shape.instancesPerDomain; i++) this.addProcess(`${domain}-${i}`, domain as FailureDomain)
      for (let i = 0; i < shape.endpointsPerDomain; i++) this.addEndpoint(`e-${domain}-${i}`, domain as FailureDomain)
    }
    for (const process of this.processes.values()) this.boot(process)
    this.sweepEndpoints()
  }

  /** Runs the fleet for a while. */
  run (forMs: number): void {
    this.time.runUntil(this.time.now + forMs)
  }

  /** @returns a whole number below n */
  below (n: number): number {
    return this.random.below(n)
  }

  /** Submits a job to an instance; a submission without a truthful end is sent again to any instance. */
  submit (at: InstanceId, tasks: number, spec: ModelTask): CallerJob {
    const job: CallerJob = { id: (++this.jobCounter).toString(16).padStart(16, '0') as JobId, tasks, sentAt: this.time.now, reply: undefined, tookMs: undefined }
    this.jobs.push(job)
    this.send(job, at, spec, 1)
    return job
  }

  /** Kills a process; it starts again after a while, with another life. */
  kill (name: InstanceId, downMs: number): void {
    const process = this.process(name)
    if (!process.up) return
    process.up = false
    process.frozen = false
    this.breakCalls(process)
    this.time.after(0.3, () => {
      for (const other of this.processes.values()) this.post(other, { type: 'linkDown', peer: name })
    })
    this.time.after(downMs, () => this.boot(process))
  }

  /** A process stands still for a while; its clocks go on. */
  freeze (name: InstanceId, forMs: number): void {
    const process = this.process(name)
    if (!process.up || process.frozen) return
    process.frozen = true
    const { life } = process
    this.time.after(forMs, () => {
      if (process.life !== life) return
      process.frozen = false
      for (const input of process.backlog.splice(0)) this.post(process, input)
    })
  }

  /** Asks a process to stop gracefully; it starts again. */
  terminate (name: InstanceId, downMs: number): void {
    const process = this.process(name)
    this.post(process, { type: 'leave' })
    this.time.after(1500, () => this.kill(name, downMs))
  }

  /** Cuts a failure domain off from the others and the store. */
  cutDomain (domain: string, forMs: number): void {
    const inside = [...this.processes.values()].filter(p => p.domain === domain)
    for (const process of inside) this.storeFaults.deaf.add(process.name)
    const pairs: string[] = []
    for (const [node, nodeDomain] of this.domainOf) {
      if (nodeDomain === domain) continue
      for (const [other, otherDomain] of this.domainOf) {
        if (otherDomain === domain) pairs.push(`${node}>${other}`, `${other}>${node}`)
      }
    }
    this.cutPairs(pairs, forMs)
    this.time.after(forMs, () => inside.forEach(process => this.storeFaults.deaf.delete(process.name)))
  }

  /** Nothing arrives between the pairs for a while. */
  cutPairs (pairs: readonly string[], forMs: number): void {
    for (const pair of pairs) this.cuts.add(pair)
    this.time.after(forMs, () => pairs.forEach(pair => this.cuts.delete(pair)))
  }

  /** Entries of a domain's endpoints lapse and come back one by one. */
  lapseEntries (domain: string): void {
    for (const id of this.endpoints.keys()) {
      if (this.domainOf.get(id) !== domain) continue
      this.lapsedEntries.add(id)
      this.time.after(300 + this.below(1500), () => this.lapsedEntries.delete(id))
    }
  }

  /** The connections of two instances are replaced. */
  relink (a: InstanceId, b: InstanceId): void {
    this.post(this.process(a), { type: 'linkDown', peer: b })
    this.post(this.process(b), { type: 'linkDown', peer: a })
  }

  /** An endpoint crashes and is back under the same id. */
  rebirth (id: string): void {
    this.endpoints.get(id)?.rebirth(this.time.now)
  }

  /** An endpoint reports that it drains, and leaves later. */
  drain (id: string, leaveAfterMs: number): void {
    this.drainingEndpoints.add(id)
    this.oracle.draining(id, this.time.now)
    this.time.after(leaveAfterMs, () => {
      this.goneEndpoints.add(id)
      this.endpoints.get(id)?.runs.clear()
    })
  }

  /** Operators bring another version of the desired state. */
  changeDesired (): void {
    this.desired = makeDesired(this.desired.version + 1 + this.below(3))
  }

  private addProcess (name: string, domain: FailureDomain): void {
    this.domainOf.set(name, domain)
    this.processes.set(name as InstanceId, { name: name as InstanceId, domain, core: this.makeCore(name as InstanceId, domain, 1), life: 0, up: false, frozen: false, pace: 'near', paceChanges: 0, backlog: [], troubledAt: 0, calls: new Map() })
  }

  private addEndpoint (id: string, domain: FailureDomain): void {
    this.domainOf.set(id, domain)
    this.endpoints.set(id, new FencedEndpointModel(id, this.below(3) === 0 ? 48_000 : 32_000, this.time.now, (run, how) => this.oracle.ended(run, how)))
  }

  private makeCore (name: InstanceId, domain: FailureDomain, life: number): ShardInstance {
    const cfg = { ...SHARD_DEFAULTS, ...this.shape.cfg }
    return new ShardInstance({ self: { instance: name, incarnation: life, failureDomain: domain, address: name, cpuMilli: name.endsWith('-1') ? STRONG_CPU_MILLI : WEAK_CPU_MILLI }, cfg })
  }

  private process (name: InstanceId): Process {
    const process = this.processes.get(name)
    if (process === undefined) throw new Error(`no instance ${name}`)
    return process
  }

  private boot (process: Process): void {
    process.life++
    process.up = true
    process.frozen = false
    process.backlog = []
    process.core = this.makeCore(process.name, process.domain, process.life)
    const { life } = process
    this.carryOut(process, process.core.start(ms(this.time.now)))
    const every = (period: number, step: () => void): void => {
      if (process.life !== life || !process.up) return
      step()
      this.time.after(period, () => every(period, step))
    }
    every(TICK_MS, () => this.post(process, { type: 'tick' }))
    this.setPace(process, 'near')
    every(WATCH_DELAY_MS, () => this.storeServes(process) && this.post(process, { type: 'desired', state: this.desired }))
  }

  /** Reads the lists now and at the new pace. */
  private setPace (process: Process, pace: ListPace): void {
    const slower = ENDPOINT_LIST_PERIODS_MS[pace] > ENDPOINT_LIST_PERIODS_MS[process.pace]
    process.pace = pace
    const change = ++process.paceChanges
    const every = (period: number, step: () => void, first: number): void => {
      this.time.after(first, () => {
        if (process.paceChanges !== change || !process.up) return
        step()
        every(period, step, period)
      })
    }
    every(RECORD_LIST_PERIODS_MS[pace], () => this.readRecords(process), slower ? RECORD_LIST_PERIODS_MS[pace] : 0)
    every(ENDPOINT_LIST_PERIODS_MS[pace], () => this.readEndpoints(process), slower ? ENDPOINT_LIST_PERIODS_MS[pace] : 0)
  }

  private storeServes (process: Process): boolean {
    return !this.storeFaults.down && !this.storeFaults.deaf.has(process.name)
  }

  /** @returns true when the process ran and reached the store all through the span that the rules with a time bound ask for */
  private inTouch (process: Process): boolean {
    return !process.frozen && this.time.now - process.troubledAt > CONTACT_MS
  }

  /** Notes processes that are in trouble now. */
  private noteTrouble (): void {
    for (const process of this.processes.values()) {
      if (!process.up || process.frozen || !this.storeServes(process) || this.storeFaults.lostReplyShare > 0) process.troubledAt = this.time.now
    }
  }

  private readRecords (process: Process): void {
    this.time.after(4, () => {
      const reachable = this.storeServes(process)
      this.post(process, { type: 'storeReachable', reachable })
      if (!reachable) return
      const items = this.store.range('')
      const parse = <T>(prefix: string): Revised<T>[] => items.filter(item => item.key.startsWith(prefix)).map(item => ({ revision: item.revision, value: JSON.parse(item.value) as T }))
      this.post(process, { type: 'records', members: parse<MemberRecord>('member/'), shards: parse<ShardRecord>('shard/') })
    })
  }

  private readEndpoints (process: Process): void {
    const fresh = process.pace === 'owner'
    this.time.after(4, () => {
      if (this.storeServes(process)) this.post(process, { type: 'endpoints', reports: this.reports(), fresh })
    })
  }

  private reports (): EndpointReport[] {
    return [...this.endpoints.values()].filter(endpoint => !this.goneEndpoints.has(endpoint.id) && !this.lapsedEntries.has(endpoint.id)).map(endpoint => ({
      id: endpoint.id as EndpointId,
      service: SERVICE,
      address: endpoint.id,
      failureDomain: this.domainOf.get(endpoint.id) as FailureDomain,
      draining: this.drainingEndpoints.has(endpoint.id),
      capacity: { cpuMilli: endpoint.cpuMilli, memoryMb: 131_072, accelerators: 0 },
      labels: [],
      bornAt: endpoint.bornAt
    }))
  }

  private post (process: Process, input: ShardInput): void {
    if (!process.up) return
    if (process.frozen) {
      if (input.type !== 'tick') process.backlog.push(input)
      return
    }
    const now = ms(this.time.now)
    const effects = process.core.handle(input, now, now)
    this.oracle.version(`${process.name}#${process.life}`, process.core.desired.db.version(), now)
    this.carryOut(process, effects)
  }

  private carryOut (process: Process, effects: readonly ShardEffect[]): void {
    for (const effect of effects) this.carryOutOne(process, effect)
  }

  private carryOutOne (process: Process, effect: ShardEffect): void {
    switch (effect.type) {
      case 'reply': return this.reply(process, effect)
      case 'send': return this.deliver(process, effect.to, effect.message)
      case 'resetLink': return this.later(process, 0, () => ({ type: 'linkDown', peer: effect.peer }))
      case 'hold': return this.hold(process, effect)
      case 'startTask': return this.startTask(process, effect)
      case 'stopTask': return this.stopTask(process, effect)
      case 'writeMember':
        if (this.storeServes(process)) this.store.write(`member/${process.name}`, JSON.stringify(effect.record), undefined)
        return this.time.after(5, () => this.readRecords(process))
      case 'claimShard': return this.claim(process, effect)
      case 'refreshRecords': return this.readRecords(process)
      case 'log':
        this.logs.push({ at: this.time.now, instance: process.name, event: effect.event, fields: effect.fields })
        return
      case 'listPace': return this.setPace(process, effect.pace)
      case 'state':
      case 'observe': return
    }
  }

  /** Posts an input to the same life of a process after a delay. */
  private later (process: Process, delay: number, input: () => ShardInput): void {
    const { life } = process
    this.time.after(delay, () => process.life === life && this.post(process, input()))
  }

  private delay (from: string, to: string): number {
    return (this.domainOf.get(from) === this.domainOf.get(to) ? 0.1 : 1.4) + this.below(10) / 10
  }

  private isCut (from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`)
  }

  private deliver (process: Process, to: InstanceId, message: ShardMessage): void {
    const target = this.process(to)
    this.onMessage(process.name, to, message)
    if (this.isCut(process.name, to)) return
    const delay = this.delay(process.name, to)
    this.time.after(delay, () => {
      if (target.up) this.post(target, { type: 'peer', from: process.name, message })
      else this.later(process, delay, () => ({ type: 'sendFailed', to, message }))
    })
  }

  /** Carries an order to an endpoint: lost, late, or answered. */
  private order<T> (process: Process, id: EndpointId, timeoutMs: number, execute: (endpoint: FencedEndpointModel, answer: (outcome: T) => void) => void, report: (outcome: T | { type: 'silent' }) => ShardInput): void {
    const endpoint = this.endpoints.get(id)
    let settled = false
    const settle = (outcome: T | { type: 'silent' }): void => {
      if (settled) return
      settled = true
      this.later(process, 0, () => report(outcome))
    }
    this.time.after(timeoutMs, () => settle({ type: 'silent' }))
    if (endpoint === undefined || this.isCut(process.name, id)) return
    const late = this.below(1000) < this.lateOrderShare * 1000
    const lost = this.below(1000) < this.lostAnswerShare * 1000
    const there = this.delay(process.name, id)
    const { bornAt } = endpoint
    this.time.after(late ? 2000 + this.below(10_000) : there, () => {
      if (this.goneEndpoints.has(id) || endpoint.bornAt !== bornAt) return
      execute(endpoint, (outcome) => {
        if (late || lost || this.isCut(id, process.name)) return
        this.time.after(this.delay(id, process.name), () => settle(outcome))
      })
    })
  }

  private hold (process: Process, effect: EffectOf<'hold'>): void {
    type Outcome = Extract<ShardInput, { type: 'holdOutcome' }>['outcome']
    this.order<Outcome>(process, effect.endpoint, effect.timeoutMs, (endpoint, answer) => {
      if (!endpoint.hold(this.time.now, effect.token, effect.acknowledged, effect.extendTo)) {
        answer({ type: 'fenced' })
        return
      }
      let answered = false
      const list = (): void => {
        if (answered) return
        answered = true
        const { clock, bornAt, running, ended } = endpoint.listing(this.time.now)
        answer({ type: 'listed', listing: { clock: clock as EndpointClockMs, bornAt, running: running.map(row => ({ ...row, task: row.task as TaskName })), ended: ended.map(row => ({ ...row, task: row.task as TaskName })) } })
      }
      if (effect.waitMs === 0) return list()
      endpoint.onNextEnd(list)
      this.time.after(effect.waitMs, list)
    }, outcome => ({ type: 'holdOutcome', endpoint: effect.endpoint, orderId: effect.orderId, outcome }))
  }

  private startTask (process: Process, effect: EffectOf<'startTask'>): void {
    type Outcome = Extract<ShardInput, { type: 'taskStartOutcome' }>['outcome']
    const spec = JSON.parse(effect.spec) as ModelTask
    this.order<Outcome>(process, effect.endpoint, effect.timeoutMs, (endpoint, answer) => {
      const known = endpoint.runs.get(effect.task)
      const reply = endpoint.start(this.time.now, { token: effect.token, task: effect.task, run: effect.run, spec, untilMs: effect.notAfter })
      if (reply === 'started' && endpoint.runs.get(effect.task) !== known) this.oracle.started(endpoint, effect.task, this.time.now, this.inTouch(process))
      answer(reply === 'started' ? { type: 'started', clock: endpoint.clock(this.time.now) as EndpointClockMs } : { type: reply })
    }, outcome => ({ type: 'taskStartOutcome', endpoint: effect.endpoint, orderId: effect.orderId, outcome }))
  }

  private stopTask (process: Process, effect: EffectOf<'stopTask'>): void {
    type Outcome = Extract<ShardInput, { type: 'taskStopOutcome' }>['outcome']
    this.order<Outcome>(process, effect.endpoint, effect.timeoutMs, (endpoint, answer) => {
      answer({ type: endpoint.stop(this.time.now, effect.token, effect.task, effect.run) })
    }, outcome => ({ type: 'taskStopOutcome', endpoint: effect.endpoint, orderId: effect.orderId, outcome }))
  }

  private claim (process: Process, effect: EffectOf<'claimShard'>): void {
    if (!this.storeServes(process)) return this.later(process, 4, () => ({ type: 'claimOutcome', claimId: effect.claimId, result: { type: 'unavailable' } }))
    const lost = this.below(1000) < this.storeFaults.lostReplyShare * 1000
    this.time.after(lost ? this.below(3000) : 2, () => {
      const revision = this.store.write(`shard/${effect.record.failureDomain}`, JSON.stringify(effect.record), effect.expectedRevision)
      if (lost) return
      this.later(process, 2, () => ({ type: 'claimOutcome', claimId: effect.claimId, result: revision === undefined ? { type: 'conflict' } : { type: 'written', revision } }))
    })
  }

  private send (job: CallerJob, at: InstanceId, spec: ModelTask, attempt: number): void {
    const process = this.process(at)
    const callId = `${at}-${++this.callCounter}`
    this.oracle.submitted(job.id, job.tasks)
    const done = (reply: 'completed' | 'failed' | 'refused' | 'other'): void => {
      this.oracle.replied(job.id, reply, this.time.now)
      if (reply === 'other' && attempt < 4) {
        const names = [...this.processes.keys()]
        this.time.after(CALLER_RESEND_MS, () => this.send(job, names[this.below(names.length)] ?? at, spec, attempt + 1))
        return
      }
      job.reply = reply
      job.tookMs = this.time.now - job.sentAt
    }
    this.time.after(3, () => {
      if (!process.up) return done('other')
      process.calls.set(callId, done)
      this.post(process, { type: 'submit', callId, host: 'queue.example', path: `/q/${job.id}`, job: makeJob(job, spec), deadlineMs: ms(6000) })
    })
  }

  private reply (process: Process, effect: EffectOf<'reply'>): void {
    const done = process.calls.get(effect.callId)
    process.calls.delete(effect.callId)
    const { reply } = effect
    this.time.after(3, () => done?.(reply.type === 'ended' ? reply.outcome : reply.type === 'refused' ? 'refused' : 'other'))
  }

  private breakCalls (process: Process): void {
    const calls = [...process.calls.values()]
    process.calls.clear()
    for (const done of calls) this.time.after(3, () => done('other'))
  }

  /** Brings endpoints up to date often, so that waiting holds end at the right time. */
  private sweepEndpoints (): void {
    this.noteTrouble()
    for (const endpoint of this.endpoints.values()) endpoint.advance(this.time.now)
    this.time.after(1, () => this.sweepEndpoints())
  }
}

function makeJob (job: CallerJob, spec: ModelTask): JobRequest {
  const needs = { cpuMilli: spec.cpuMilli, memoryMb: 64, accelerators: 0 }
  return { id: job.id, spec: JSON.stringify(spec), features: [], steps: [{ count: job.tasks, needs, estimateMs: ms(spec.workMs), after: [], requiredLabel: '', preferredRack: '', maxPerEndpoint: 0 }] }
}

function makeDesired (version: number): DesiredState {
  const queue = { name: 'q' as QueueName, host: 'queue.example', prefix: '/q/', service: SERVICE, priority: 0, maxAttempts: 4, stretch: 1.6, latencyObjectiveMs: ms(60), needsAdvice: false }
  return { version, queues: [queue], services: [{ name: SERVICE, guardsCapacity: false }] }
}
