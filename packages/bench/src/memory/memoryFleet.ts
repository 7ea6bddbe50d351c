/**
 * Several core instances over in-memory links, with stand-in endpoints and store, on virtual time. Small on
 * purpose: it carries effects out and injects faults; it knows nothing of the decisions.
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
const STORE_MS = 4
/** Wall time at the start of virtual time. */
const WALL_START_MS = 1_700_000_000_000

/** Shape of an in-memory fleet. */
export interface MemoryOptions {
  readonly seed: number
  readonly domains: number
  readonly instancesPerDomain: number
  readonly endpointsPerDomain: number
  readonly endpointSize: EndpointSize
  readonly contracts: readonly Contract[]
  readonly link: LinkProfile
  /** Changes to the default settings. */
  readonly settings?: Record<string, unknown>
  readonly teamKeyHash: string
  /** Largest difference of a machine's wall clock from the true time. */
  readonly skewMs: number
  /** Lets a test wrap an instance, for seeded mutations. */
  readonly mutate?: (instance: Instance) => void
}

/** A call and what came of it. */
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
  life: number
  left: boolean
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
  wakeAt: number
}

/** Counts of messages by purpose. */
export interface MessageCounts {
  starts: number
  startAnswers: number
  endpointControl: number
  peerJob: number
  peerControl: number
  peerBytes: number
  storeCalls: number
}

const JOB_TYPES = new Set(['forward', 'forwardCheck', 'forwardCancel', 'forwardReturn', 'forwardAnswer', 'answerRequest', 'answerReply', 'claimRequest', 'claimVote', 'claimRelease'])

/** The fleet. */
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
  /** Starts out of a thousand whose connection breaks after the request was sent. */
  brokenStartsPerMille = 0
  /** Longest extra delay of a start on its way. */
  startDelayMs = 0
  /** Counting bytes costs time; only measurements of slopes turn it on. */
  countsBytes = false
  /** Told of every start that an endpoint accepts. */
  onStart: (endpoint: MemoryEndpoint, request: StartRequest) => void = () => {}
  /** Told of every effect, before it is carried out. */
  onEffect: (node: MemoryNode, effect: Effect) => void = () => {}
  private readonly byInstance = new Map<InstanceId, MemoryNode>()
  private readonly byEndpoint = new Map<EndpointId, MemoryEndpoint>()
  private watchers: { node: MemoryNode, life: number, after: number }[] = []
  private readonly byCall = new Map<string, CallRecord>()
  private counter = 0

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

  /** Starts an instance, as a new life if it lived before. */
  start (node: MemoryNode): void {
    node.life++
    node.incarnation = WALL_START_MS + Math.floor(this.time.now) + node.life
    node.pausedUntil = 0
    node.inbox = []
    node.left = false
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
    this.listFor(node)
    this.tickLater(node, node.life, this.random.below(TICK_MS))
  }

  /** Kills an instance at once. */
  kill (node: MemoryNode): void {
    node.core = undefined
    node.inbox = []
  }

  /** Freezes an instance; what arrives meanwhile waits. */
  pause (node: MemoryNode, durationMs: number): void {
    if (node.core === undefined || node.pausedUntil > this.time.now) return
    node.pausedUntil = this.time.now + durationMs
    this.time.after(durationMs, () => this.resume(node))
  }

  /** Ends all cuts; connections across them break, as both sides then notice. */
  heal (): void {
    const broken = this.nodes.flatMap(a => this.nodes.filter(b => !this.links.reaches(a.domain, b.domain)).map(b => [a, b] as const))
    this.links.heal()
    for (const [a, b] of broken) {
      this.post(a, { type: 'linkDown', peer: b.id })
      this.post(b, { type: 'linkDown', peer: a.id })
    }
  }

  /** From now on nothing that an instance says reaches other instances or the store; it hears and works on. */
  silence (node: MemoryNode): void {
    node.silenced = true
  }

  /** Kills an endpoint with all that runs on it. */
  killEndpoint (endpoint: MemoryEndpoint): void {
    endpoint.alive = false
    endpoint.model.stop(endpoint.model.log.filter(e => e.endedAt === undefined).map(e => e.taskId), this.time.now)
  }

  /** Submits a job. @returns the call's record */
  submit (node: MemoryNode, keyHash: string, customer: string, job: JobSpec): CallRecord {
    const call: CallRecord = { callId: `call-${++this.counter}`, instance: node.id, job, customer, at: this.time.now, submissionId: undefined, answers: [], refusals: [] }
    this.calls.push(call)
    this.byCall.set(call.callId, call)
    this.post(node, { type: 'submit', callId: call.callId, keyHash, job })
    return call
  }

  /** Cancels a call's submission. */
  cancel (node: MemoryNode, keyHash: string, call: CallRecord): void {
    if (call.submissionId !== undefined) this.post(node, { type: 'cancel', callId: `cancel-${++this.counter}`, keyHash, submissionId: call.submissionId })
  }

  /** Hands an input to an instance, or keeps it while the instance is frozen. */
  post (node: MemoryNode, input: Input): void {
    if (node.core === undefined) return
    if (this.time.now < node.pausedUntil) {
      if (input.type !== 'tick') node.inbox.push(input)
      return
    }
    const effects = node.core.handle(input, ms(this.time.now), ms(this.wall(node.skewMs)))
    for (const effect of effects) this.carryOut(node, effect)
  }

  /** @returns the present fleet value in the store */
  storedFleet (): Fleet {
    return JSON.parse(this.store.get(FLEET_KEY)?.value ?? '{}') as Fleet
  }

  /** @returns an instance by name */
  node (id: InstanceId): MemoryNode | undefined {
    return this.byInstance.get(id)
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
    const node: MemoryNode = { id, domain, core: undefined, incarnation: 0, skewMs: this.skew(), pausedUntil: 0, inbox: [], life: 0, left: false, silenced: false }
    this.nodes.push(node)
    this.byInstance.set(id, node)
  }

  private addEndpoint (id: EndpointId, domain: FailureDomain, size: EndpointSize): void {
    const endpoint: MemoryEndpoint = { id, domain, model: new EndpointModel(size), skewMs: this.skew(), alive: true, listed: true, wakeAt: Infinity }
    this.endpoints.push(endpoint)
    this.byEndpoint.set(id, endpoint)
  }

  private skew (): number {
    return (this.random.below(1001) / 1000 - 0.5) * this.options.skewMs
  }

  private wall (skewMs: number): number {
    return WALL_START_MS + this.time.now + skewMs
  }

  /** The platform's list reaches an instance at its start and then periodically. */
  private listFor (node: MemoryNode): void {
    const { life } = node
    const endpoints = this.endpoints.filter(e => e.listed).map(e => ({ id: e.id, failureDomain: e.domain, rack: 'rack', address: e.id, leaving: false, ...e.model.size }))
    const peers = this.nodes.map(n => ({ instance: n.id, address: n.id }))
    this.post(node, { type: 'instanceList', endpoints, peers })
    this.time.after(this.cfg.platform.listPeriodMs, () => {
      if (node.core !== undefined && node.life === life) this.listFor(node)
    })
  }

  private tickLater (node: MemoryNode, life: number, delayMs: number): void {
    this.time.after(delayMs, () => {
      if (node.life !== life || node.core === undefined) return
      this.post(node, { type: 'tick' })
      this.tickLater(node, life, TICK_MS)
    })
  }

  private resume (node: MemoryNode): void {
    if (node.core === undefined || this.time.now < node.pausedUntil) return
    const waiting = node.inbox
    node.inbox = []
    if (this.random.below(2) === 0) this.post(node, { type: 'tick' })
    for (const input of waiting) this.post(node, input)
  }

  private carryOut (node: MemoryNode, effect: Effect): void {
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
        if (effect.name === 'drained') node.left = true
        return
      case 'pending':
      case 'log':
    }
  }

  private callOf (callId: string): CallRecord | undefined {
    return this.byCall.get(callId)
  }

  private noteAccepted (effect: Extract<Effect, { type: 'accepted' }>): void {
    const call = this.callOf(effect.callId)
    if (call !== undefined) call.submissionId = effect.submissionId
  }

  private send (node: MemoryNode, effect: Extract<Effect, { type: 'send' }>): void {
    if (JOB_TYPES.has(effect.message.type)) this.counts.peerJob++
    else this.counts.peerControl++
    this.counts.peerBytes += this.countsBytes ? JSON.stringify(effect.message).length : 0
    const to = this.byInstance.get(effect.to)
    if (to === undefined || node.silenced || !this.links.reaches(node.domain, to.domain) || this.links.loses()) return
    this.deliver(node, to, effect)
    if (this.links.doubles()) this.deliver(node, to, effect)
  }

  private deliver (node: MemoryNode, to: MemoryNode, effect: Extract<Effect, { type: 'send' }>): void {
    const { life } = node
    const target = to.life
    this.time.after(this.links.delay(node.domain, to.domain), () => {
      if (to.core !== undefined && to.life === target && !to.left) this.post(to, { type: 'peer', from: node.id, message: effect.message })
      else if (node.life === life) this.time.after(1, () => this.postTo(node, life, { type: 'sendFailed', to: to.id, message: effect.message }))
    })
  }

  private postTo (node: MemoryNode, life: number, input: Input): void {
    if (node.life === life) this.post(node, input)
  }

  private startTask (node: MemoryNode, effect: Extract<Effect, { type: 'start' }>): void {
    this.counts.starts++
    const endpoint = this.byEndpoint.get(effect.endpoint)
    const { taskId } = effect.request
    const { life } = node
    const report = (outcome: StartOutcome): void => {
      if (endpoint === undefined || !this.links.reaches(endpoint.domain, node.domain)) return
      this.counts.startAnswers++
      const delay = this.links.delay(endpoint.domain, node.domain)
      this.time.after(delay, () => this.postTo(node, life, { type: 'startOutcome', taskId, endpoint: effect.endpoint, outcome }))
    }
    if (endpoint === undefined || !this.links.reaches(node.domain, endpoint.domain)) return
    const broken = this.random.below(1000) < this.brokenStartsPerMille
    const extra = this.startDelayMs > 0 ? this.random.below(this.startDelayMs) : 0
    if (broken) this.time.after(extra + 2, () => report({ type: 'unknown' }))
    this.time.after(this.links.delay(node.domain, endpoint.domain) + extra, () => this.arrive(endpoint, effect, broken ? () => {} : report))
  }

  private arrive (endpoint: MemoryEndpoint, effect: Extract<Effect, { type: 'start' }>, report: (outcome: StartOutcome) => void): void {
    if (!endpoint.alive) return report({ type: 'notSent' })
    const before = endpoint.model.log.length
    endpoint.model.advance(this.time.now)
    endpoint.model.start(effect.request, this.time.now, this.wall(endpoint.skewMs), outcome => report(knownAsUnknown(outcome)))
    if (endpoint.model.log.length > before) this.onStart(endpoint, effect.request)
    this.wakeEndpoint(endpoint)
  }

  private wakeEndpoint (endpoint: MemoryEndpoint): void {
    const next = endpoint.model.nextEventAt()
    if (next === undefined || next === Infinity || next >= endpoint.wakeAt) return
    endpoint.wakeAt = next
    this.time.after(next - this.time.now, () => {
      endpoint.wakeAt = Infinity
      endpoint.model.advance(this.time.now)
      this.wakeEndpoint(endpoint)
    })
  }

  private renew (node: MemoryNode, effect: Extract<Effect, { type: 'renew' }>): void {
    const { endpoint: id, tasks, notAfter } = effect
    this.control(node, effect.endpoint, (endpoint) => {
      endpoint.model.renew(tasks, this.time.now, this.wall(endpoint.skewMs), notAfter)
      this.wakeEndpoint(endpoint)
      return { type: 'renewOutcome', endpoint: id, tasks, renewed: true }
    })
  }

  private stopTasks (node: MemoryNode, effect: Extract<Effect, { type: 'stop' }>): void {
    this.control(node, effect.endpoint, (endpoint) => {
      endpoint.model.stop(effect.tasks, this.time.now)
      return undefined
    })
  }

  private probe (node: MemoryNode, effect: Extract<Effect, { type: 'probe' }>): void {
    const { life } = node
    const endpoint = this.byEndpoint.get(effect.endpoint)
    const reached = endpoint !== undefined && endpoint.alive && this.links.reaches(node.domain, endpoint.domain) && this.links.reaches(endpoint.domain, node.domain)
    this.counts.endpointControl++
    this.time.after(reached ? 3 : 1000, () => this.postTo(node, life, { type: 'probeOutcome', endpoint: effect.endpoint, healthy: reached }))
  }

  private control (node: MemoryNode, id: EndpointId, act: (endpoint: MemoryEndpoint) => Input | undefined): void {
    this.counts.endpointControl++
    const endpoint = this.byEndpoint.get(id)
    const { life } = node
    if (endpoint === undefined || !endpoint.alive || !this.links.reaches(node.domain, endpoint.domain)) return
    this.time.after(this.links.delay(node.domain, endpoint.domain), () => {
      endpoint.model.advance(this.time.now)
      const reply = act(endpoint)
      if (reply === undefined || !this.links.reaches(endpoint.domain, node.domain)) return
      this.time.after(this.links.delay(endpoint.domain, node.domain), () => this.postTo(node, life, reply))
    })
  }

  private storeCall (node: MemoryNode, failure: Input, act: () => Input | undefined): void {
    this.counts.storeCalls++
    const { life } = node
    const down = this.storeDown || node.silenced || !this.links.reaches(node.domain, PLATFORM) || !this.links.reaches(PLATFORM, node.domain)
    const delay = STORE_MS + this.storeSlowMs + this.random.below(4)
    this.time.after(delay, () => {
      const input = down ? failure : act()
      if (input !== undefined) this.time.after(1, () => this.postTo(node, life, input))
    })
  }

  private storeRead (node: MemoryNode): void {
    this.storeCall(node, { type: 'storeFailed', operation: 'read' }, () => this.storeValue('read'))
  }

  private storeValue (source: 'read' | 'watch'): Input {
    const stored = this.store.get(FLEET_KEY)
    return { type: 'storeValue', source, revision: stored?.revision ?? 0, fleet: JSON.parse(stored?.value ?? JSON.stringify(EMPTY_FLEET)) as Fleet }
  }

  private storeWatch (node: MemoryNode, after: number): void {
    this.storeCall(node, { type: 'storeFailed', operation: 'watch' }, () => {
      if ((this.store.get(FLEET_KEY)?.revision ?? 0) > after) return this.storeValue('watch')
      const watcher = { node, life: node.life, after }
      this.watchers.push(watcher)
      this.time.after(this.cfg.platform.watchWaitMs, () => this.endWatch(watcher, this.storeDown ? { type: 'storeFailed', operation: 'watch' } : { type: 'storeUnchanged' }))
      return undefined
    })
  }

  private endWatch (watcher: MemoryFleet['watchers'][number], input: Input): void {
    if (!this.watchers.includes(watcher)) return
    this.watchers = this.watchers.filter(w => w !== watcher)
    this.postTo(watcher.node, watcher.life, input)
  }

  private wakeWatchers (): void {
    for (const w of [...this.watchers]) {
      const reached = !this.storeDown && this.links.reaches(PLATFORM, w.node.domain)
      this.time.after(1, () => this.endWatch(w, reached ? this.storeValue('watch') : { type: 'storeFailed', operation: 'watch' }))
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

/** A repeated start says only that the task ran or runs. */
function knownAsUnknown (outcome: StartOutcome): StartOutcome {
  return outcome.type === 'refused' && outcome.reason === 'known' ? { type: 'unknown' } : outcome
}
