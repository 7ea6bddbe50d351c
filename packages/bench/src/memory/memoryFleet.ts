/**
 * Runs several core instances over in-memory links on virtual time, with stand-ins for endpoints and store. It executes
 * the effects of the instances and injects faults. It contains no decision logic, so that a run tests core alone.
 */
import { Instance, seededRandom } from '@cranberryyard/core'
import type { CoreConfig, Effect, Input, Random } from '@cranberryyard/core'
import { EndpointModel, StoreModel } from '@cranberryyard/fakes'
import type { EndpointSize } from '@cranberryyard/fakes'
import { EMPTY_FLEET, ms, settingsSchema } from '@cranberryyard/protocol'
import type { Answer, CodedError, Contract, EndpointId, FailureDomain, Fleet, InstanceId, JobSpec, StartOutcome, StartRequest, SubmissionId } from '@cranberryyard/protocol'
import { Links, PLATFORM } from './link.js'
import type { LinkProfile } from './link.js'
import { Timeline } from './timeline.js'

const TICK_MS = 25
const FLEET_KEY = 'fleet'
const STORE_LATENCY_MS = 4
/** Wall-clock time at the start of virtual time. */
const WALL_START_MS = 1_700_000_000_000

/** Size, contracts and network of an in-memory fleet. */
export interface MemoryOptions {
  readonly seed: number
  readonly domains: number
  readonly instancesPerDomain: number
  readonly endpointsPerDomain: number
  readonly endpointSize: EndpointSize
  readonly contracts: readonly Contract[]
  readonly link: LinkProfile
  /** Settings that override the defaults. */
  readonly settings?: Record<string, unknown>
  readonly teamKeyHash: string
  /** Width of the range of wall-clock skews: a machine differs from the true time by at most half of it. */
  readonly skewMs: number
  /** Called with every new instance, so that a test can replace parts of it to seed a mutation. */
  readonly mutate?: (instance: Instance) => void
}

/** A call with its answers and refusals; a correct run gives a call at most one of them. */
export interface CallRecord {
  readonly callId: string
  readonly instance: InstanceId
  readonly job: JobSpec
  readonly customer: string
  readonly at: number
  submissionId: SubmissionId | undefined
  readonly answers: { readonly at: number, readonly answer: Answer }[]
  readonly refusals: { readonly at: number, readonly error: CodedError }[]
}

/** An entry instance in memory. */
export interface MemoryNode {
  readonly id: InstanceId
  readonly domain: FailureDomain
  core: Instance | undefined
  incarnation: number
  skewMs: number
  pausedUntil: number
  inbox: Input[]
  /** Number of starts of this instance. Replies to an earlier generation are dropped. */
  generation: number
  hasLeft: boolean
  silenced: boolean
}

/** An endpoint in memory. */
export interface MemoryEndpoint {
  readonly id: EndpointId
  readonly domain: FailureDomain
  readonly model: EndpointModel
  readonly skewMs: number
  alive: boolean
  listed: boolean
  nextWakeMs: number
}

/** Number of messages by purpose, with the bytes between peers. */
export interface MessageCounts {
  starts: number
  startAnswers: number
  endpointControl: number
  peerJob: number
  peerControl: number
  peerBytes: number
  storeCalls: number
}

const JOB_MESSAGE_TYPES = new Set(['forward', 'forwardCheck', 'forwardCancel', 'forwardReturn', 'forwardAnswer', 'answerRequest', 'answerReply', 'claimRequest', 'claimVote', 'claimRelease'])

/** A fleet of instances and endpoints with one store. */
export class MemoryFleet {
  readonly time = new Timeline()
  readonly random: Random
  readonly links: Links
  readonly store = new StoreModel()
  readonly nodes: MemoryNode[] = []
  readonly endpoints: MemoryEndpoint[] = []
  readonly calls: CallRecord[] = []
  readonly counts: MessageCounts = { starts: 0, startAnswers: 0, endpointControl: 0, peerJob: 0, peerControl: 0, peerBytes: 0, storeCalls: 0 }
  readonly changeResults: { readonly callId: string, readonly result: Extract<Effect, { type: 'changeResult' }>['result'] }[] = []
  readonly states: { readonly instance: InstanceId, readonly state: string, readonly at: number }[] = []
  readonly cfg: CoreConfig
  storeDown = false
  storeSlowMs = 0
  loseStoreReplies = 0
  /** Starts, out of a thousand, whose connection breaks after the request was sent. */
  brokenStartsPerMille = 0
  /** Largest extra delay of a start request. */
  startDelayMs = 0
  /** Turns on counting of bytes between peers. It costs time, so only measurements of slopes need it. */
  countsBytes = false
  /** Called after an endpoint accepted a start. */
  onStart: (endpoint: MemoryEndpoint, request: StartRequest) => void = () => {}
  /** Called with every effect before it is executed. */
  onEffect: (node: MemoryNode, effect: Effect) => void = () => {}
  private readonly nodesById = new Map<InstanceId, MemoryNode>()
  private readonly endpointsById = new Map<EndpointId, MemoryEndpoint>()
  private watchers: { node: MemoryNode, generation: number, after: number }[] = []
  private readonly callsById = new Map<string, CallRecord>()
  private callCount = 0

  constructor (readonly options: MemoryOptions) {
    this.random = seededRandom(options.seed)
    this.links = new Links(options.link, this.random)
    this.cfg = settingsSchema.parse({
      instance: { id: 'x', failureDomain: 'x' },
      listen: { callerPort: 0, operatorPort: 0, peerPort: 0 },
      operators: { teamKeys: [{ name: 'team', keyHash: options.teamKeyHash }] },
      ...options.settings
    })
    this.store.onChange = () => this.wakeWatchers()
    this.store.write(FLEET_KEY, JSON.stringify(initialFleet(options.contracts)), 0)
    this.build()
  }

  /** Advances virtual time. */
  run (durationMs: number): void {
    this.time.runUntil(this.time.now + durationMs)
  }

  /** Starts an instance as a new incarnation with a new generation. */
  start (node: MemoryNode): void {
    node.generation++
    node.incarnation = WALL_START_MS + Math.floor(this.time.now) + node.generation
    node.pausedUntil = 0
    node.inbox = []
    node.hasLeft = false
    node.silenced = false
    node.core = new Instance({
      instance: node.id,
      incarnation: node.incarnation,
      failureDomain: node.domain,
      address: node.id,
      cfg: this.cfg,
      seed: this.random.below(0x7fffffff)
    })
    this.options.mutate?.(node.core)
    this.postInstanceList(node)
    this.scheduleTick(node, node.generation, this.random.below(TICK_MS))
  }

  /** Kills an instance without a shutdown; its queued inputs are lost. */
  kill (node: MemoryNode): void {
    node.core = undefined
    node.inbox = []
  }

  /** Freezes an instance. Inputs that arrive meanwhile wait until it resumes, except ticks. */
  pause (node: MemoryNode, durationMs: number): void {
    if (node.core === undefined || node.pausedUntil > this.time.now) return
    node.pausedUntil = this.time.now + durationMs
    this.time.after(durationMs, () => this.resume(node))
  }

  /** Ends all cuts. Connections that crossed a cut break, and both sides get `linkDown`. */
  heal (): void {
    const cutPairs = this.nodes.flatMap(a => this.nodes.filter(b => !this.links.reaches(a.domain, b.domain)).map(b => [a, b] as const))
    this.links.heal()
    for (const [a, b] of cutPairs) {
      this.post(a, { type: 'linkDown', peer: b.id })
      this.post(b, { type: 'linkDown', peer: a.id })
    }
  }

  /** Drops everything that an instance sends to other instances and the store from now on. It still receives and works. */
  silence (node: MemoryNode): void {
    node.silenced = true
  }

  /** Kills an endpoint and all tasks that run on it. */
  killEndpoint (endpoint: MemoryEndpoint): void {
    endpoint.alive = false
    endpoint.model.stop(endpoint.model.log.filter(e => e.endedAt === undefined).map(e => e.taskId), this.time.now)
  }

  /** Submits a job. @returns the call's record */
  submit (node: MemoryNode, keyHash: string, customer: string, job: JobSpec): CallRecord {
    const call: CallRecord = { callId: `call-${++this.callCount}`, instance: node.id, job, customer, at: this.time.now, submissionId: undefined, answers: [], refusals: [] }
    this.calls.push(call)
    this.callsById.set(call.callId, call)
    this.post(node, { type: 'submit', callId: call.callId, keyHash, job })
    return call
  }

  /** Cancels a call's submission. */
  cancel (node: MemoryNode, keyHash: string, call: CallRecord): void {
    if (call.submissionId !== undefined) this.post(node, { type: 'cancel', callId: `cancel-${++this.callCount}`, keyHash, submissionId: call.submissionId })
  }

  /** Passes an input to an instance and executes the effects, or queues the input while the instance is frozen. */
  post (node: MemoryNode, input: Input): void {
    if (node.core === undefined) return
    if (this.time.now < node.pausedUntil) {
      if (input.type !== 'tick') node.inbox.push(input)
      return
    }
    const effects = node.core.handle(input, ms(this.time.now), ms(this.wallClockMs(node.skewMs)))
    for (const effect of effects) this.execute(node, effect)
  }

  /** @returns the fleet value that the store holds now */
  storedFleet (): Fleet {
    return JSON.parse(this.store.get(FLEET_KEY)?.value ?? '{}') as Fleet
  }

  node (id: InstanceId): MemoryNode | undefined {
    return this.nodesById.get(id)
  }

  private build (): void {
    const { domains, instancesPerDomain, endpointsPerDomain, endpointSize } = this.options
    for (let d = 0; d < domains; d++) {
      const domain = `domain-${d + 1}` as FailureDomain
      for (let i = 0; i < endpointsPerDomain; i++) this.addEndpoint(`endpoint-${d + 1}-${i + 1}` as EndpointId, domain, endpointSize)
      for (let i = 0; i < instancesPerDomain; i++) this.addNode(`entry-${d + 1}-${i + 1}` as InstanceId, domain)
    }
    for (const node of this.nodes) this.time.after(this.random.below(50), () => this.start(node))
  }

  private addNode (id: InstanceId, domain: FailureDomain): void {
    const node: MemoryNode = { id, domain, core: undefined, incarnation: 0, skewMs: this.drawSkewMs(), pausedUntil: 0, inbox: [], generation: 0, hasLeft: false, silenced: false }
    this.nodes.push(node)
    this.nodesById.set(id, node)
  }

  private addEndpoint (id: EndpointId, domain: FailureDomain, size: EndpointSize): void {
    const endpoint: MemoryEndpoint = { id, domain, model: new EndpointModel(size), skewMs: this.drawSkewMs(), alive: true, listed: true, nextWakeMs: Infinity }
    this.endpoints.push(endpoint)
    this.endpointsById.set(id, endpoint)
  }

  private drawSkewMs (): number {
    return (this.random.below(1001) / 1000 - 0.5) * this.options.skewMs
  }

  private wallClockMs (skewMs: number): number {
    return WALL_START_MS + this.time.now + skewMs
  }

  /** Posts the platform's list of endpoints and peers now and then periodically, as long as this generation lives. */
  private postInstanceList (node: MemoryNode): void {
    const { generation } = node
    const endpoints = this.endpoints.filter(e => e.listed).map(e => ({ id: e.id, failureDomain: e.domain, rack: 'rack', address: e.id, leaving: false, ...e.model.size }))
    const peers = this.nodes.map(n => ({ instance: n.id, address: n.id }))
    this.post(node, { type: 'instanceList', endpoints, peers })
    this.time.after(this.cfg.platform.listPeriodMs, () => {
      if (node.core !== undefined && node.generation === generation) this.postInstanceList(node)
    })
  }

  private scheduleTick (node: MemoryNode, generation: number, delayMs: number): void {
    this.time.after(delayMs, () => {
      if (node.generation !== generation || node.core === undefined) return
      this.post(node, { type: 'tick' })
      this.scheduleTick(node, generation, TICK_MS)
    })
  }

  private resume (node: MemoryNode): void {
    if (node.core === undefined || this.time.now < node.pausedUntil) return
    const waiting = node.inbox
    node.inbox = []
    if (this.random.below(2) === 0) this.post(node, { type: 'tick' })
    for (const input of waiting) this.post(node, input)
  }

  private execute (node: MemoryNode, effect: Effect): void {
    this.onEffect(node, effect)
    switch (effect.type) {
      case 'accepted': return this.noteAccepted(effect)
      case 'refused': return void this.callOf(effect.callId)?.refusals.push({ at: this.time.now, error: effect.error })
      case 'answer': return void this.callOf(effect.callId)?.answers.push({ at: this.time.now, answer: effect.answer })
      case 'send': return this.send(node, effect)
      case 'start': return this.startTask(node, effect)
      case 'renew': return this.renew(node, effect)
      case 'stop': return this.stopTasks(node, effect)
      case 'probe': return this.probe(node, effect)
      case 'storeRead': return this.storeRead(node)
      case 'storeWatch': return this.storeWatch(node, effect.afterRevision)
      case 'storeCas': return this.storeCas(node, effect)
      case 'storeArchive': return this.storeArchive(node, effect)
      case 'changeResult': return void this.changeResults.push({ callId: effect.callId, result: effect.result })
      case 'state':
        this.states.push({ instance: node.id, state: effect.name, at: this.time.now })
        if (effect.name === 'drained') node.hasLeft = true
        return
      case 'pending':
      case 'log':
    }
  }

  private callOf (callId: string): CallRecord | undefined {
    return this.callsById.get(callId)
  }

  private noteAccepted (effect: Extract<Effect, { type: 'accepted' }>): void {
    const call = this.callOf(effect.callId)
    if (call !== undefined) call.submissionId = effect.submissionId
  }

  private send (node: MemoryNode, effect: Extract<Effect, { type: 'send' }>): void {
    if (JOB_MESSAGE_TYPES.has(effect.message.type)) this.counts.peerJob++
    else this.counts.peerControl++
    this.counts.peerBytes += this.countsBytes ? JSON.stringify(effect.message).length : 0
    const to = this.nodesById.get(effect.to)
    if (to === undefined || node.silenced || !this.links.reaches(node.domain, to.domain) || this.links.drawLoss()) return
    this.deliver(node, to, effect)
    if (this.links.drawDuplicate()) this.deliver(node, to, effect)
  }

  private deliver (node: MemoryNode, to: MemoryNode, effect: Extract<Effect, { type: 'send' }>): void {
    const { generation } = node
    const targetGeneration = to.generation
    this.time.after(this.links.delay(node.domain, to.domain), () => {
      if (to.core !== undefined && to.generation === targetGeneration && !to.hasLeft) this.post(to, { type: 'peer', from: node.id, message: effect.message })
      else if (node.generation === generation) this.time.after(1, () => this.postToGeneration(node, generation, { type: 'sendFailed', to: to.id, message: effect.message }))
    })
  }

  private postToGeneration (node: MemoryNode, generation: number, input: Input): void {
    if (node.generation === generation) this.post(node, input)
  }

  private startTask (node: MemoryNode, effect: Extract<Effect, { type: 'start' }>): void {
    this.counts.starts++
    const endpoint = this.endpointsById.get(effect.endpoint)
    const { taskId } = effect.request
    const { generation } = node
    const report = (outcome: StartOutcome): void => {
      if (endpoint === undefined || !this.links.reaches(endpoint.domain, node.domain)) return
      this.counts.startAnswers++
      const delay = this.links.delay(endpoint.domain, node.domain)
      this.time.after(delay, () => this.postToGeneration(node, generation, { type: 'startOutcome', taskId, endpoint: effect.endpoint, outcome }))
    }
    if (endpoint === undefined || !this.links.reaches(node.domain, endpoint.domain)) return
    const broken = this.random.below(1000) < this.brokenStartsPerMille
    const extraMs = this.startDelayMs > 0 ? this.random.below(this.startDelayMs) : 0
    if (broken) this.time.after(extraMs + 2, () => report({ type: 'unknown' }))
    this.time.after(this.links.delay(node.domain, endpoint.domain) + extraMs, () => this.startAtEndpoint(endpoint, effect, broken ? () => {} : report))
  }

  private startAtEndpoint (endpoint: MemoryEndpoint, effect: Extract<Effect, { type: 'start' }>, report: (outcome: StartOutcome) => void): void {
    if (!endpoint.alive) return report({ type: 'notSent' })
    const before = endpoint.model.log.length
    endpoint.model.advance(this.time.now)
    endpoint.model.start(effect.request, this.time.now, this.wallClockMs(endpoint.skewMs), outcome => report(withoutKnownReason(outcome)))
    if (endpoint.model.log.length > before) this.onStart(endpoint, effect.request)
    this.wakeEndpoint(endpoint)
  }

  private wakeEndpoint (endpoint: MemoryEndpoint): void {
    const next = endpoint.model.nextEventAt()
    if (next === undefined || next === Infinity || next >= endpoint.nextWakeMs) return
    endpoint.nextWakeMs = next
    this.time.after(next - this.time.now, () => {
      endpoint.nextWakeMs = Infinity
      endpoint.model.advance(this.time.now)
      this.wakeEndpoint(endpoint)
    })
  }

  private renew (node: MemoryNode, effect: Extract<Effect, { type: 'renew' }>): void {
    const { endpoint: id, tasks, notAfter } = effect
    this.callEndpoint(node, effect.endpoint, (endpoint) => {
      endpoint.model.renew(tasks, this.time.now, this.wallClockMs(endpoint.skewMs), notAfter)
      this.wakeEndpoint(endpoint)
      return { type: 'renewOutcome', endpoint: id, tasks, renewed: true }
    })
  }

  private stopTasks (node: MemoryNode, effect: Extract<Effect, { type: 'stop' }>): void {
    this.callEndpoint(node, effect.endpoint, (endpoint) => {
      endpoint.model.stop(effect.tasks, this.time.now)
      return undefined
    })
  }

  private probe (node: MemoryNode, effect: Extract<Effect, { type: 'probe' }>): void {
    const { generation } = node
    const endpoint = this.endpointsById.get(effect.endpoint)
    const reached = endpoint !== undefined && endpoint.alive && this.links.reaches(node.domain, endpoint.domain) && this.links.reaches(endpoint.domain, node.domain)
    this.counts.endpointControl++
    this.time.after(reached ? 3 : 1000, () => this.postToGeneration(node, generation, { type: 'probeOutcome', endpoint: effect.endpoint, healthy: reached }))
  }

  private callEndpoint (node: MemoryNode, id: EndpointId, operation: (endpoint: MemoryEndpoint) => Input | undefined): void {
    this.counts.endpointControl++
    const endpoint = this.endpointsById.get(id)
    const { generation } = node
    if (endpoint === undefined || !endpoint.alive || !this.links.reaches(node.domain, endpoint.domain)) return
    this.time.after(this.links.delay(node.domain, endpoint.domain), () => {
      endpoint.model.advance(this.time.now)
      const reply = operation(endpoint)
      if (reply === undefined || !this.links.reaches(endpoint.domain, node.domain)) return
      this.time.after(this.links.delay(endpoint.domain, node.domain), () => this.postToGeneration(node, generation, reply))
    })
  }

  private storeCall (node: MemoryNode, failure: Input, operation: () => Input | undefined): void {
    this.counts.storeCalls++
    const { generation } = node
    const down = this.storeDown || node.silenced || !this.links.reaches(node.domain, PLATFORM) || !this.links.reaches(PLATFORM, node.domain)
    const delay = STORE_LATENCY_MS + this.storeSlowMs + this.random.below(4)
    this.time.after(delay, () => {
      const input = down ? failure : operation()
      if (input !== undefined) this.time.after(1, () => this.postToGeneration(node, generation, input))
    })
  }

  private storeRead (node: MemoryNode): void {
    this.storeCall(node, { type: 'storeFailed', operation: 'read' }, () => this.storeValueInput('read'))
  }

  private storeValueInput (source: 'read' | 'watch'): Input {
    const stored = this.store.get(FLEET_KEY)
    return { type: 'storeValue', source, revision: stored?.revision ?? 0, fleet: JSON.parse(stored?.value ?? JSON.stringify(EMPTY_FLEET)) as Fleet }
  }

  private storeWatch (node: MemoryNode, after: number): void {
    this.storeCall(node, { type: 'storeFailed', operation: 'watch' }, () => {
      if ((this.store.get(FLEET_KEY)?.revision ?? 0) > after) return this.storeValueInput('watch')
      const watcher = { node, generation: node.generation, after }
      this.watchers.push(watcher)
      this.time.after(this.cfg.platform.watchWaitMs, () => this.endWatch(watcher, this.storeDown ? { type: 'storeFailed', operation: 'watch' } : { type: 'storeUnchanged' }))
      return undefined
    })
  }

  private endWatch (watcher: MemoryFleet['watchers'][number], input: Input): void {
    if (!this.watchers.includes(watcher)) return
    this.watchers = this.watchers.filter(w => w !== watcher)
    this.postToGeneration(watcher.node, watcher.generation, input)
  }

  private wakeWatchers (): void {
    for (const w of [...this.watchers]) {
      const reached = !this.storeDown && this.links.reaches(PLATFORM, w.node.domain)
      this.time.after(1, () => this.endWatch(w, reached ? this.storeValueInput('watch') : { type: 'storeFailed', operation: 'watch' }))
    }
  }

  private storeCas (node: MemoryNode, effect: Extract<Effect, { type: 'storeCas' }>): void {
    const { attempt } = effect
    this.storeCall(node, { type: 'casOutcome', attempt, result: { type: 'unavailable' } }, () => {
      const result = this.store.write(FLEET_KEY, JSON.stringify(effect.fleet), effect.expectedRevision)
      if (this.loseStoreReplies > 0) {
        this.loseStoreReplies--
        return { type: 'casOutcome', attempt, result: { type: 'unknown' } }
      }
      if (result.type === 'written') return { type: 'casOutcome', attempt, result: { type: 'written', revision: result.revision } }
      return { type: 'casOutcome', attempt, result: { type: 'conflict' } }
    })
  }

  private storeArchive (node: MemoryNode, effect: Extract<Effect, { type: 'storeArchive' }>): void {
    const { through } = effect
    this.storeCall(node, { type: 'archiveOutcome', through, ok: false }, () => {
      const result = this.store.write(effect.key, effect.value, 0)
      const ok = result.type === 'written' || this.store.get(effect.key)?.value === effect.value
      return { type: 'archiveOutcome', through, ok }
    })
  }
}

function initialFleet (contracts: readonly Contract[]): Fleet {
  return { ...EMPTY_FLEET, version: 1, contracts: contracts.map(contract => ({ revision: 1, contract })) }
}

/** Turns the refusal of a repeated start into `unknown`: it says only that the task ran or still runs. */
function withoutKnownReason (outcome: StartOutcome): StartOutcome {
  return outcome.type === 'refused' && outcome.reason === 'known' ? { type: 'unknown' } : outcome
}
