/**
 * Simulates a fleet of shard instances in memory on virtual time. The real decision code of ShardInstance runs against models
 * of the endpoints and the store, and every link can have faults. All random choices come from one seed, so a run can be
 * repeated exactly.
 */
import type { ListPace, RefusalCause, ShardEffect, ShardInput } from '@cranberryyard/core/shard'
import { ENDPOINT_LIST_PERIODS_MS, RECORD_LIST_PERIODS_MS, SHARD_DEFAULTS, ShardInstance, readsFresh, seededRandom } from '@cranberryyard/core/shard'
import type { Random } from '@cranberryyard/core'
import { decodeEnvelope, encodeEnvelope } from '@cranberryyard/dispatcher/shard'
import { FencedEndpointModel, RecordStoreModel, SLOWEST_CLOCK_RATE, ShardOracle, taskSpec, withByteOrderMark } from '@cranberryyard/fakes'
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
  Ms,
  QueueName,
  QueueTerms,
  Revised,
  ServiceName,
  ShardMessage,
  ShardRecord,
  TaskName
} from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { Timeline } from '../memory/timeline.js'
import { EvacuationFeed } from './evacuationFeed.js'
import { FleetContact } from './fleetContact.js'
import type { AddedQueue, CallerJob, FleetOptions, HeldMessage, JobVariant, MessageScatter, Process, QueueUse, ReplyKind, StoreFaults, Submission } from './fleetTypes.js'

export type { CallerJob, EndpointKind, FleetOptions, JobVariant, ReplyKind, StoreFaults, Submission } from './fleetTypes.js'

type EffectOf<T extends ShardEffect['type']> = Extract<ShardEffect, { type: T }>

const TICK_MS = 25
const DESIRED_STATE_PERIOD_MS = 50
const CALLER_RESEND_DELAY_MS = 1300
/** Instance 1 of each domain has more processor time than the others, so owners hand their shard over to it. */
const STRONG_CPU_MILLI = 1350
const WEAK_CPU_MILLI = 324
/** Number of the first instance that is added to a fleet; as text it comes before those of some of the first instances. */
const FIRST_ADDED_NUMBER = 10
export const SERVICE = 'workers' as ServiceName
/** One-way delay between callers and instances. */
const CALLER_DELAY_MS = 3
/** How often a caller sends a job whose submissions get neither an outcome nor a refusal. */
const ATTEMPTS_MAX = 4
/** An instance addresses a seed, whose name it does not know, by this and the address; here an address is the instance's name. */
const SEED_PREFIX = /^seed /
/** Shortest time for which an endpoint is down after a crash, and the range of longer times. */
const CRASH_DOWN_MIN_MS = 2500
const CRASH_DOWN_SPREAD_MS = 1000
const DEFAULT_DEADLINE_MS = 6000
/** Longest time for which tests delay a link. */
const LINK_DELAY_MAX_MS = 4000
/** Difference between the monotonic clocks of two processes. */
const CLOCK_STEP_MS = 12_345
/** Connections of a link that was held up deliver their messages up to this much later than the link works again. */
const RETRANSMIT_SPREAD_MS = 300
export const DEFAULT_QUEUE: QueueTerms = { name: 'q' as QueueName, host: 'queue.example', prefix: '/q/', service: SERVICE, priority: 0, maxAttempts: 4, stretch: 1.6, latencyObjectiveMs: ms(60), needsAdvice: false }

/** Time within which a version is in force at instances that are in contact with the store and their peers (bound of the platform). */
const CONFIG_APPLY_MS = 2000
/** Time within which nothing more starts in a failure domain that is evacuated (bound of the platform). */
const EVACUATE_MS = ms(5000)
/** Period of an endpoint's pings to the store, and the silence after which its entry lapses. */
const PING_PERIOD_MS = 1500
const ENTRY_LIFE_MS = 3 * PING_PERIOD_MS
/** The store sends values as base64 in JSON. */
const BASE64_FACTOR = 4 / 3

/** Types of the messages about single jobs. */
const SCATTERED_TYPES = new Set<ShardMessage['type']>(['submit', 'checkJobs', 'cancelJob', 'declined', 'notOwner', 'ended', 'moved'])

/** Number of queues beside the one that all versions have. */
const ADDED_QUEUES_MAX = 2

/** A simulated fleet with its endpoints, store, callers and oracle. */
export class ShardFleet {
  readonly time = new Timeline()
  readonly oracle = new ShardOracle()
  /** Label of the endpoints of each kind. */
  private readonly kindOf = new Map<string, string>()
  readonly processes = new Map<InstanceId, Process>()
  readonly endpoints = new Map<string, FencedEndpointModel>()
  readonly drainingEndpoints = new Set<string>()
  readonly departedEndpoints = new Set<string>()
  /** Endpoints whose entry in the store has lapsed and has not been restored yet. */
  readonly lapsedEntries = new Set<string>()
  /** Entries of endpoints that do not reach the store, as they were before. */
  private readonly frozenEntries = new Map<string, EndpointReport>()
  readonly store = new RecordStoreModel()
  readonly storeFaults: StoreFaults = { down: false, unservedInstances: new Set(), lostReplyShare: 0, staleEndpoints: undefined }
  readonly jobs: CallerJob[] = []
  readonly logs: { readonly at: number, readonly instance: string, readonly event: string, readonly fields: object }[] = []
  /** Called with each message between instances when it is sent, even if it is lost afterwards. */
  onMessage: (from: InstanceId, to: InstanceId, message: ShardMessage) => void = () => {}
  /** Directed links that lose everything, as `from>to` with the names of instances or endpoints. */
  readonly cutLinks = new Set<string>()
  /** Messages on links that hold them up, by directed link; as TCP does during a partition, the link delivers them afterwards. */
  private readonly heldMessages = new Map<string, HeldMessage[]>()
  /** Added to the delay of directed links, as queues on a full link do. */
  private readonly linkQueueMs = new Map<string, number>()
  /** Number of the present connection of each directed link. */
  private readonly connections = new Map<string, number>()
  /** Number of the latest connection of a directed link that loses everything for good. */
  private readonly silentConnections = new Map<string, number>()
  /** Messages about jobs that take their own time and overtake each other, as on connections that are replaced again and again, or are lost; in shares of all. */
  scatter: MessageScatter | undefined
  /** Whether crashed endpoints give no sign, as machines without power do, in place of refused and broken connections. */
  crashesAreSilent = false
  /** Share of orders to endpoints that take effect 2 to 12 s late and get no answer. */
  lateOrderShare = 0
  /** The same for stop orders alone. */
  lateStopShare = 0
  /** Share of orders to endpoints that take effect at the usual time but whose answer is lost. */
  lostAnswerShare = 0
  /** Which instances could know what the store holds. */
  private readonly contact = new FleetContact(this.time, this.processes, this.storeFaults)
  /** What the operator writes about failure domains, and how instances read it. */
  private readonly evacuations = new EvacuationFeed({ time: this.time, store: this.store, oracle: this.oracle, faults: this.storeFaults, randomBelow: n => this.randomBelow(n), canRead: process => this.contact.canReachStore(process), waitMs: ({ name }) => Math.max(0, (this.connectionFreeAt.get(`store>${name}`) ?? 0) - this.time.now), post: (process, input) => this.postFromOutside(process, input) })
  private readonly domainOf = new Map<string, FailureDomain>()
  /** Orders without an outcome yet, by endpoint; a crash of the endpoint breaks their connections. */
  private readonly openOrders = new Map<string, Set<() => void>>()
  private readonly random: Random
  private desired: DesiredState
  private readonly queues: readonly QueueTerms[]
  /** The queues that versions of the desired state have added, with the version that removed each. */
  private readonly addedQueues = new Map<number, AddedQueue>()
  /** The added queue of a job. */
  private readonly queueOfJob = new Map<string, QueueUse>()
  /** When each connection with a narrow link has carried what was sent on it so far, by directed link. */
  private readonly connectionFreeAt = new Map<string, number>()
  private jobCounter = 0
  private callCounter = 0
  private addedInstances = 0

  constructor (private readonly options: FleetOptions) {
    this.random = seededRandom(options.seed)
    this.queues = options.queues ?? [DEFAULT_QUEUE]
    this.desired = this.makeDesiredState(1)
    for (const domain of options.domains) {
      for (let i = 0; i < options.instancesPerDomain; i++) this.addProcess(`${domain}-${i}`, domain as FailureDomain)
      this.addEndpoints(domain as FailureDomain)
    }
    for (const process of this.processes.values()) this.boot(process)
    this.advanceEndpoints()
  }

  /** Advances virtual time. */
  run (durationMs: number): void {
    this.time.runUntil(this.time.now + durationMs)
  }

  /** @returns a random whole number from 0 up to but not including n */
  randomBelow (n: number): number {
    return this.random.below(n)
  }

  /**
   * Submits a job to an instance. If the reply is neither an outcome nor a refusal, or the instance is killed before it
   * replies, the caller submits the same job again to a random instance, up to four times in all.
   */
  submit (at: InstanceId, tasks: number, spec: ModelTask, { hasByteOrderMark = false, queueVersion }: JobVariant = {}): CallerJob {
    const job: CallerJob = { id: this.nextJobId(), tasks, sentAt: this.time.now, reply: undefined, latencyMs: undefined }
    if (queueVersion !== undefined) this.queueOfJob.set(job.id, { addedIn: queueVersion, sentAt: this.time.now, mayBeAccepted: false })
    const submission = { host: DEFAULT_QUEUE.host, path: `${queueVersion === undefined ? DEFAULT_QUEUE.prefix : addedPrefix(queueVersion)}${job.id}`, job: makeJob(job, spec, hasByteOrderMark), deadlineMs: DEFAULT_DEADLINE_MS, retries: 0 }
    return this.track(job, at, submission)
  }

  /** Submits a job of one step whose tasks behave differently from each other. */
  submitTasks (at: InstanceId, tasks: readonly ModelTask[], deadlineMs = DEFAULT_DEADLINE_MS): CallerJob {
    const job: CallerJob = { id: this.nextJobId(), tasks: tasks.length, sentAt: this.time.now, reply: undefined, latencyMs: undefined }
    const largest = tasks.reduce((a, b) => a.cpuMilli >= b.cpuMilli ? a : b)
    return this.track(job, at, { host: DEFAULT_QUEUE.host, path: `${DEFAULT_QUEUE.prefix}${job.id}`, job: { ...makeJob(job, largest), spec: JSON.stringify(tasks) }, deadlineMs, retries: 0 })
  }

  private nextJobId (): JobId {
    return (++this.jobCounter).toString(16).padStart(16, '0') as JobId
  }

  /** Submits a job that the test has made itself, whose spec is the JSON of one `ModelTask` a task. */
  submitJob (at: InstanceId, submission: Submission): CallerJob {
    const tasks = submission.job.steps.reduce((sum, step) => sum + step.count, 0)
    return this.track({ id: submission.job.id, tasks, sentAt: this.time.now, reply: undefined, latencyMs: undefined }, at, submission)
  }

  /** @returns the instances that own a shard now, as they see it themselves */
  owners (): InstanceId[] {
    return [...this.processes.values()].filter(process => process.up && process.core.ownership.owns()).map(process => process.name)
  }

  /** @returns the instances that answer for a job at present */
  fronts (id: JobId): InstanceId[] {
    return [...this.processes.values()].filter(process => process.up && process.core.intake.db.jobs.has(id)).map(process => process.name)
  }

  private track (job: CallerJob, at: InstanceId, submission: Submission): CallerJob {
    this.jobs.push(job)
    this.sendSubmission(job, at, submission, 1, submission.retries)
    return job
  }

  /** Kills a process and fails its pending calls. It restarts after `downMs` with a new incarnation. */
  kill (name: InstanceId, downMs: number): void {
    const process = this.process(name)
    if (!process.up) return
    process.up = false
    process.frozen = false
    this.failPendingCalls(process)
    this.time.after(0.3, () => {
      for (const other of this.processes.values()) this.post(other, { type: 'linkDown', peer: name })
    })
    this.time.after(downMs, () => this.boot(process))
  }

  /** Starts an instance on a machine that is added to a failure domain. */
  addInstance (domain: string): InstanceId {
    const name = `${domain}-${FIRST_ADDED_NUMBER + this.addedInstances++}` as InstanceId
    this.addProcess(name, domain as FailureDomain)
    this.boot(this.process(name))
    return name
  }

  /** Asks a process to leave, and takes its machine away for good 1.5 s later. */
  removeInstance (name: InstanceId): void {
    const process = this.process(name)
    this.post(process, { type: 'leave' })
    this.time.after(1500, () => {
      process.removed = true
      this.losePower(name, 0)
    })
  }

  /** @returns the processes whose machines have not been taken away */
  present (): Process[] {
    return [...this.processes.values()].filter(process => !process.removed)
  }

  /**
   * Cuts the power of an instance. Its callers' connections break, but its peers get no sign of it. It restarts after `downMs` with a
   * new incarnation.
   */
  losePower (name: InstanceId, downMs: number): void {
    const process = this.process(name)
    if (!process.up) return
    Object.assign(process, { up: false, frozen: false, silent: true })
    this.failPendingCalls(process)
    this.time.after(downMs, () => this.boot(process))
  }

  /** Breaks the connections of an instance's callers, which it notices only when it reads them. */
  breakCallers (name: InstanceId): void {
    const process = this.process(name)
    for (const callId of process.pendingCalls.keys()) this.postFromOutside(process, { type: 'callerLeft', callId })
    this.failPendingCalls(process)
  }

  /** Makes an instance handle everything that arrives from outside late, by a constant time. Its timers run on time, before it reads. */
  slowDown (name: InstanceId, backlogMs: number, durationMs: number): void {
    const process = this.process(name)
    process.backlogMs = backlogMs
    process.backlogMaxMs = backlogMs
    process.linksDisturbedUntil = Math.max(process.linksDisturbedUntil, this.time.now + durationMs + backlogMs)
    this.time.after(durationMs, () => {
      process.backlogMs = 0
    })
  }

  /**
   * Holds up all messages on directed links, given as `from>to`. They arrive afterwards, in the order of each connection; the
   * connections of one link end their hold-up at different times, since each retransmits on its own.
   */
  holdUpLinks (pairs: readonly string[], durationMs: number): void {
    this.contact.noteLinkFaults(pairs, durationMs + RETRANSMIT_SPREAD_MS)
    for (const pair of pairs) {
      if (this.heldMessages.has(pair)) continue
      this.heldMessages.set(pair, [])
      this.time.after(durationMs, () => this.releaseLink(pair))
    }
  }

  /** Delays all messages on directed links, given as `from>to`, for good; each call replaces the delay before. */
  delayLinks (pairs: readonly string[], delayMs: number): void {
    // How long a delay lasts is not known here, only that it is no longer than this.
    this.contact.noteLinkFaults(pairs, delayMs > 0 ? LINK_DELAY_MAX_MS : 0)
    for (const pair of pairs) this.linkQueueMs.set(pair, delayMs)
  }

  private releaseLink (pair: string): void {
    const delayByConnection = new Map<number, number>()
    for (const { connection, deliver } of this.heldMessages.get(pair) ?? []) {
      const delayMs = delayByConnection.get(connection) ?? this.randomBelow(RETRANSMIT_SPREAD_MS)
      delayByConnection.set(connection, delayMs + 0.01)
      this.time.after(delayMs, deliver)
    }
    this.heldMessages.delete(pair)
  }

  /** Freezes a process, as a long pause of the operating system does: clocks go on and inputs other than ticks wait. */
  freeze (name: InstanceId, durationMs: number): void {
    const process = this.process(name)
    if (!process.up || process.frozen) return
    process.frozen = true
    const { incarnation } = process
    this.time.after(durationMs, () => {
      if (process.incarnation !== incarnation) return
      process.frozen = false
      for (const input of process.frozenInputs.splice(0)) this.post(process, input)
    })
  }

  /** Asks a process to leave, kills it 1.5 s later and restarts it after `downMs`. */
  terminate (name: InstanceId, downMs: number): void {
    const process = this.process(name)
    this.post(process, { type: 'leave' })
    this.time.after(1500, () => this.kill(name, downMs))
  }

  /** Isolates a failure domain from the other domains and from the store. */
  cutDomain (domain: string, durationMs: number): void {
    const isolatedProcesses = [...this.processes.values()].filter(p => p.domain === domain)
    for (const process of isolatedProcesses) this.storeFaults.unservedInstances.add(process.name)
    const pairs: string[] = []
    for (const [node, nodeDomain] of this.domainOf) {
      if (nodeDomain === domain) continue
      for (const [other, otherDomain] of this.domainOf) {
        if (otherDomain === domain) pairs.push(`${node}>${other}`, `${other}>${node}`)
      }
    }
    this.cutPairs(pairs, durationMs)
    this.time.after(durationMs, () => isolatedProcesses.forEach(process => this.storeFaults.unservedInstances.delete(process.name)))
  }

  /** Drops everything on directed links, given as `from>to`, for a while. */
  cutPairs (pairs: readonly string[], durationMs: number): void {
    this.contact.noteLinkFaults(pairs, durationMs)
    for (const pair of pairs) this.cutLinks.add(pair)
    this.time.after(durationMs, () => pairs.forEach(pair => this.cutLinks.delete(pair)))
  }

  /** Lapses the store entry of an endpoint that is cut off from the store and from nothing else. */
  missEntry (id: string, durationMs: number): void {
    this.lapsedEntries.add(id)
    this.time.after(durationMs, () => this.restoreEntry(id))
  }

  /** Cuts an endpoint off from the store: its entry stays as it is, and lapses once the endpoint has been silent for long enough. */
  cutOffFromStore (id: string, durationMs: number): void {
    const report = this.reports().find(entry => entry.id === id)
    if (report !== undefined) this.frozenEntries.set(id, report)
    this.time.after(this.randomBelow(PING_PERIOD_MS) + ENTRY_LIFE_MS - PING_PERIOD_MS, () => this.lapsedEntries.add(id))
    this.time.after(durationMs, () => {
      this.frozenEntries.delete(id)
      this.restoreEntry(id)
    })
  }

  /** Lets the store show the entry of an endpoint again, with what has changed meanwhile. */
  private restoreEntry (id: string): void {
    this.lapsedEntries.delete(id)
    if (this.drainingEndpoints.has(id)) this.oracle.recordDraining(id, this.time.now)
  }

  /** Lapses the store entries of all endpoints of a domain and restores each of them after 0.3 to 1.8 s. */
  lapseEntries (domain: string): void {
    for (const id of this.endpoints.keys()) {
      if (this.domainOf.get(id) !== domain) continue
      this.lapsedEntries.add(id)
      this.time.after(300 + this.randomBelow(1500), () => this.restoreEntry(id))
    }
  }

  /** Makes the present connections of directed links, given as `from>to`, lose everything for good; new ones work. */
  silenceConnections (pairs: readonly string[]): void {
    this.contact.noteLinkFaults(pairs, 0)
    for (const pair of pairs) this.silentConnections.set(pair, this.connections.get(pair) ?? 0)
  }

  /** Reports to two instances that their connection has been lost; both can send again at once. */
  replaceConnections (a: InstanceId, b: InstanceId): void {
    this.contact.noteLinkFaults([`${a}>${b}`], 0)
    this.renewConnection(a, b)
    this.renewConnection(b, a)
    this.post(this.process(a), { type: 'linkDown', peer: b })
    this.post(this.process(b), { type: 'linkDown', peer: a })
  }

  /** Crashes an endpoint and restarts it at once under the same id. */
  restartEndpoint (id: string): void {
    const endpoint = this.endpoints.get(id)
    if (endpoint === undefined) return
    this.oracle.recordCrash(endpoint)
    endpoint.restart(this.time.now)
  }

  /** Changes the capacity of an endpoint while it runs; its entry in the store shows the new one at once. */
  resizeEndpoint (id: string, cpuMilli: number): void {
    const endpoint = this.endpoints.get(id)
    if (endpoint === undefined) return
    this.oracle.recordResize(endpoint, this.time.now)
    endpoint.cpuMilli = cpuMilli
  }

  /** Marks an endpoint as draining and removes it with its runs after `leaveAfterMs`. Nobody can know of it while its entry is missing. */
  drain (id: string, leaveAfterMs: number): void {
    this.drainingEndpoints.add(id)
    if (!this.lapsedEntries.has(id)) this.oracle.recordDraining(id, this.time.now)
    this.time.after(leaveAfterMs, () => {
      this.departedEndpoints.add(id)
      this.endpoints.get(id)?.runs.clear()
    })
  }

  /** Lets the operator evacuate a failure domain; it counts from the store's answer, which may take until the store is back. */
  evacuate (domain: string): void {
    this.evacuations.evacuate(domain as FailureDomain)
  }

  /** Lets the operator take back a failure domain that is evacuated. */
  takeBack (domain: string): void {
    this.evacuations.takeBack(domain as FailureDomain)
  }

  /** Lets the store drop its history: watches hear nothing for a second, and then have to read everything again. */
  compactStore (): void {
    this.evacuations.compact()
  }

  /** Publishes a new version of the desired state, as operators do. Versions may skip numbers. */
  changeDesiredState (): void {
    this.desired = this.makeDesiredState(this.desired.version + 1 + this.randomBelow(3))
  }

  /**
   * Publishes a version of the desired state that adds a queue, and removes the one before the last.
   * @returns the version
   */
  addQueue (): number {
    const version = this.desired.version + 1
    const [oldest] = [...this.addedQueues].filter(([, { removedIn }]) => removedIn === undefined).slice(0, -ADDED_QUEUES_MAX + 1)
    if (oldest !== undefined) Object.assign(oldest[1], { removedIn: version, removedAt: this.time.now })
    this.addedQueues.set(version, { addedAt: this.time.now, removedIn: undefined, removedAt: Infinity })
    this.desired = this.makeDesiredState(version)
    return version
  }

  private addProcess (name: string, domain: FailureDomain): void {
    this.domainOf.set(name, domain)
    this.processes.set(name as InstanceId, { name: name as InstanceId, domain, core: this.makeCore(name as InstanceId, domain, 1), incarnation: 0, up: false, frozen: false, pace: 'near', paceChanges: 0, frozenInputs: [], silent: false, backlogMs: 0, backlogUntil: 0, backlogMaxMs: 0, callerReads: { upTo: 0, endedAt: 0 }, lastDisturbedAt: 0, lastStoppedAt: 0, linksDisturbedUntil: 0, readingVersion: 0, removed: false, reportedToken: undefined, reportedRecord: undefined, pendingCalls: new Map() })
  }

  private addEndpoints (domain: FailureDomain): void {
    const { endpointKinds, endpointsPerDomain } = this.options
    if (endpointKinds === undefined) {
      for (let i = 0; i < endpointsPerDomain; i++) this.addEndpoint(`e-${domain}-${i}`, domain, this.randomBelow(3) === 0 ? 48_000 : 32_000)
      return
    }
    let number = 0
    for (const [kind, { count, cpuMilli, speed }] of endpointKinds.entries()) {
      for (let i = 0; i < count; i++) {
        const id = `e-${domain}-${number++}`
        this.addEndpoint(id, domain, cpuMilli).faults.slowdownFactor = 1 / speed
        this.kindOf.set(id, `kind-${kind}`)
      }
    }
  }

  private addEndpoint (id: string, domain: FailureDomain, cpuMilli: number): FencedEndpointModel {
    const endpoint = new FencedEndpointModel(id, cpuMilli, this.time.now, (run, how) => this.oracle.recordEnd(run, how), this.endpoints.size % 2 === 1 ? SLOWEST_CLOCK_RATE : 1)
    endpoint.onCrash = () => this.endpointCrashed(endpoint)
    this.domainOf.set(id, domain)
    this.endpoints.set(id, endpoint)
    return endpoint
  }

  /** Records a crash and breaks the connections. The endpoint refuses new ones until it starts again under the same id. */
  private endpointCrashed (endpoint: FencedEndpointModel): void {
    this.oracle.recordCrash(endpoint)
    this.time.after(CRASH_DOWN_MIN_MS + this.randomBelow(CRASH_DOWN_SPREAD_MS), () => !endpoint.up && endpoint.restart(this.time.now))
    if (this.crashesAreSilent) return
    for (const breakConnection of [...this.openOrders.get(endpoint.id) ?? []]) breakConnection()
  }

  private makeDesiredState (version: number): DesiredState {
    const added = [...this.addedQueues].filter(([, { removedIn }]) => removedIn === undefined).map(([addedIn]) => ({ ...DEFAULT_QUEUE, name: `q${addedIn}` as QueueName, prefix: addedPrefix(addedIn) }))
    return { version, queues: [...this.queues, ...added], services: [{ name: SERVICE, guardsCapacity: false }] }
  }

  private makeCore (name: InstanceId, domain: FailureDomain, incarnation: number): ShardInstance {
    const cfg = { ...SHARD_DEFAULTS, evacuateMs: EVACUATE_MS, ...this.options.cfg }
    return new ShardInstance({ self: { instance: name, incarnation, failureDomain: domain, address: name, cpuMilli: name.endsWith('-1') ? STRONG_CPU_MILLI : WEAK_CPU_MILLI }, cfg, seeds: this.options.domains.map(seedDomain => `${seedDomain}-0`) })
  }

  private process (name: InstanceId): Process {
    const process = this.processes.get(name)
    if (process === undefined) throw new Error(`the fleet has no instance named ${name}`)
    return process
  }

  private boot (process: Process): void {
    if (process.removed) return
    process.incarnation++
    process.reportedToken = undefined
    process.up = true
    process.frozen = false
    process.silent = false
    process.frozenInputs = []
    process.core = this.makeCore(process.name, process.domain, process.incarnation)
    const { incarnation } = process
    this.executeEffects(process, process.core.start(this.monotonic(process)))
    const repeatEvery = (period: number, step: () => void): void => {
      if (process.incarnation !== incarnation || !process.up) return
      step()
      this.time.after(period, () => repeatEvery(period, step))
    }
    repeatEvery(TICK_MS, () => this.post(process, { type: 'tick' }))
    this.setPace(process, 'near')
    process.readingVersion = 0
    this.evacuations.watch(process)
    repeatEvery(DESIRED_STATE_PERIOD_MS, () => this.readDesired(process))
  }

  private readDesired (process: Process): void {
    if (!this.contact.canReachStore(process)) return
    const state = this.desired
    const link = `store>${process.name}`
    if (!this.isNarrow(link)) return this.post(process, { type: 'desired', state })
    if (process.readingVersion >= state.version || (this.connectionFreeAt.get(link) ?? 0) > this.time.now) return
    process.readingVersion = state.version
    const { incarnation } = process
    this.time.after(this.transferMs(link, () => JSON.stringify(state).length * BASE64_FACTOR), () => {
      if (process.incarnation !== incarnation) return
      if (this.contact.canReachStore(process)) this.post(process, { type: 'desired', state })
      else process.readingVersion = 0
    })
  }

  private isNarrow (link: string): boolean {
    return this.options.narrowLinks?.instances.some(name => link.startsWith(`${name}>`) || link.endsWith(`>${name}`)) === true
  }

  /** @returns how long a message takes on its connection, after those before it; 0 on a wide link */
  private transferMs (link: string, bytes: () => number): number {
    const { narrowLinks } = this.options
    if (narrowLinks === undefined || !this.isNarrow(link)) return 0
    const freeAt = Math.max(this.time.now, this.connectionFreeAt.get(link) ?? 0) + bytes() / narrowLinks.bytesPerMs
    this.connectionFreeAt.set(link, freeAt)
    return freeAt - this.time.now
  }

  /** Starts to read the lists at a new pace: the first time at once, or after one period when the pace slows down. */
  private setPace (process: Process, pace: ListPace): void {
    const slowsDown = ENDPOINT_LIST_PERIODS_MS[pace] > ENDPOINT_LIST_PERIODS_MS[process.pace]
    process.pace = pace
    const change = ++process.paceChanges
    const repeatEvery = (period: number, step: () => void, first: number): void => {
      this.time.after(first, () => {
        if (process.paceChanges !== change || !process.up) return
        step()
        repeatEvery(period, step, period)
      })
    }
    repeatEvery(RECORD_LIST_PERIODS_MS[pace], () => this.readRecords(process), slowsDown ? RECORD_LIST_PERIODS_MS[pace] : 0)
    repeatEvery(ENDPOINT_LIST_PERIODS_MS[pace], () => this.readEndpoints(process), slowsDown ? ENDPOINT_LIST_PERIODS_MS[pace] : 0)
  }

  private readRecords (process: Process): void {
    this.time.after(4, () => {
      const reachable = this.contact.canReachStore(process)
      this.post(process, { type: 'storeReachable', reachable })
      if (!reachable) return
      const items = this.store.range('')
      const parse = <T>(prefix: string): Revised<T>[] => items.filter(item => item.key.startsWith(prefix)).map(item => ({ revision: item.revision, value: JSON.parse(item.value) as T }))
      this.post(process, { type: 'records', members: parse<MemberRecord>('member/'), shards: parse<ShardRecord>('shard/') })
    })
  }

  private readEndpoints (process: Process): void {
    const fresh = readsFresh(process.pace)
    this.time.after(4, () => {
      if (this.contact.canReachStore(process)) this.post(process, { type: 'endpoints', reports: (fresh ? undefined : this.storeFaults.staleEndpoints) ?? this.reports(), fresh })
    })
  }

  /** @returns the entries of the endpoints, as the store lists them now */
  reports (): EndpointReport[] {
    return [...this.endpoints.values()].filter(endpoint => !this.departedEndpoints.has(endpoint.id) && !this.lapsedEntries.has(endpoint.id)).map(endpoint => this.frozenEntries.get(endpoint.id) ?? ({
      id: endpoint.id as EndpointId,
      service: SERVICE,
      address: endpoint.id,
      failureDomain: this.domainOf.get(endpoint.id) as FailureDomain,
      draining: this.drainingEndpoints.has(endpoint.id),
      capacity: { cpuMilli: endpoint.cpuMilli, memoryMb: 131_072, accelerators: 0 },
      labels: [this.kindOf.get(endpoint.id) ?? []].flat(),
      bornAt: endpoint.bornAt
    }))
  }

  /** @returns the monotonic time of a process; those of two incarnations have nothing in common */
  private monotonic (process: Process): Ms {
    return ms(this.time.now + CLOCK_STEP_MS * ([...this.processes.keys()].indexOf(process.name) + 7 * process.incarnation % 11))
  }

  private post (process: Process, input: ShardInput): void {
    if (!process.up) return
    if (process.frozen) {
      if (input.type !== 'tick') process.frozenInputs.push(input)
      return
    }
    const now = ms(this.time.now)
    const hasBacklog = process.backlogMs > 0 || process.backlogUntil > now
    if (input.type === 'tick' || input.type === 'submit') process.callerReads = { upTo: Math.max(process.callerReads.upTo, now - (hasBacklog ? process.backlogMaxMs : 0)), endedAt: now }
    const monotonic = this.monotonic(process)
    const callerReads = { upTo: ms(monotonic - now + process.callerReads.upTo), endedAt: ms(monotonic - now + process.callerReads.endedAt) }
    const effects = process.core.handle(input, monotonic, now, callerReads)
    this.oracle.recordDesiredVersion(`${process.name}#${process.incarnation}`, process.core.desired.db.version(), now)
    this.reportOwnership(process)
    this.executeEffects(process, effects)
  }

  /** Reports to the oracle what has changed in the ownership of the process's own shard. */
  private reportOwnership (process: Process): void {
    const { owned, records } = process.core.ownership.db
    const { domain, name } = process
    const record = records.get(domain)
    if (record !== undefined && record !== process.reportedRecord) this.oracle.recordCopy(domain, record.revision, ranksOf(record.value), name, this.time.now)
    const token = owned.get(domain)?.token
    if (token !== undefined && token !== process.reportedToken) this.oracle.recordOwner(domain, token, name, this.time.now)
    process.reportedRecord = record
    process.reportedToken = token
  }

  private executeEffects (process: Process, effects: readonly ShardEffect[]): void {
    for (const effect of effects) this.executeEffect(process, effect)
  }

  private executeEffect (process: Process, effect: ShardEffect): void {
    switch (effect.type) {
      case 'reply': return this.reply(process, effect)
      case 'send': return this.deliver(process, effect.to, effect.message)
      case 'resetLink':
        this.renewConnection(process.name, effect.peer)
        return this.postLater(process, 0, () => ({ type: 'linkDown', peer: effect.peer }))
      case 'renewLink': return this.renewConnection(process.name, effect.peer)
      case 'hold': return this.hold(process, effect)
      case 'startTask': return this.startTask(process, effect)
      case 'stopTask': return this.stopTask(process, effect)
      case 'writeMember':
        if (this.contact.canReachStore(process)) this.store.write(`member/${process.name}`, JSON.stringify(effect.record), undefined)
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

  private renewConnection (from: InstanceId, to: InstanceId): void {
    const pair = `${from}>${to}`
    this.connections.set(pair, (this.connections.get(pair) ?? 0) + 1)
  }

  /** Posts an input to a process after a delay, unless it has restarted meanwhile. */
  private postLater (process: Process, delayMs: number, input: () => ShardInput): void {
    const { incarnation } = process
    this.time.after(delayMs, () => process.incarnation === incarnation && this.postFromOutside(process, input()))
  }

  /** Posts an input once the process has handled those before it. */
  private postFromOutside (process: Process, input: ShardInput): void {
    const handledAt = Math.max(process.backlogUntil, this.time.now + process.backlogMs)
    if (handledAt <= this.time.now) return this.post(process, input)
    process.backlogUntil = handledAt
    const { incarnation } = process
    this.time.after(handledAt - this.time.now, () => process.incarnation === incarnation && this.post(process, input))
  }

  private linkDelayMs (from: string, to: string): number {
    return (this.domainOf.get(from) === this.domainOf.get(to) ? 0.1 : 1.4) + this.randomBelow(10) / 10
  }

  /** @returns how much longer a message takes; it never arrives if that is for ever */
  private scatterMs ({ type }: ShardMessage): number {
    if (this.scatter === undefined || !SCATTERED_TYPES.has(type)) return 0
    const { lostShare, lateShare, delayMaxMs } = this.scatter
    if (this.randomBelow(1000) < lostShare * 1000) return Infinity
    return this.randomBelow(1000) < lateShare * 1000 ? this.randomBelow(delayMaxMs) : 0
  }

  private isCut (from: string, to: string): boolean {
    return this.cutLinks.has(`${from}>${to}`)
  }

  private deliver (process: Process, to: InstanceId, sent: ShardMessage): void {
    const message = this.options.encodesJobs === true && sent.type === 'submit' ? decodeEnvelope(encodeEnvelope({ from: process.name, message: sent }))?.message as ShardMessage : sent
    const target = this.process(to.replace(SEED_PREFIX, '') as InstanceId)
    this.onMessage(process.name, to, message)
    const pair = `${process.name}>${target.name}`
    if (this.isCut(process.name, target.name) || this.silentConnections.get(pair) === (this.connections.get(pair) ?? 0)) return
    const delayMs = this.linkDelayMs(process.name, target.name) + (this.linkQueueMs.get(pair) ?? 0) + this.transferMs(pair, () => encodeEnvelope({ from: process.name, message }).length)
    const arrive = (): void => {
      if (target.up) this.postFromOutside(target, { type: 'peer', from: process.name, message })
      else if (!target.silent) this.postLater(process, delayMs, () => ({ type: 'sendFailed', to, message }))
    }
    const held = this.heldMessages.get(pair)
    const scatterMs = this.scatterMs(message)
    if (scatterMs === Infinity) return
    if (held === undefined) this.time.after(delayMs + scatterMs, arrive)
    else held.push({ connection: this.connections.get(pair) ?? 0, deliver: arrive })
  }

  /**
   * Sends an order to an endpoint. A cut link loses the order or its answer, and the configured shares of orders are late or
   * lose their answer. An order that is not answered within the timeout, or whose connection breaks, is reported as `silent`.
   */
  private sendOrder<T> (process: Process, id: EndpointId, timeoutMs: number, lateShare: number, execute: (endpoint: FencedEndpointModel, answer: (outcome: T) => void, late: boolean) => void, toInput: (outcome: T | { type: 'silent' | 'refused' }) => ShardInput): void {
    const endpoint = this.endpoints.get(id)
    const openOrders = this.openOrders.get(id) ?? new Set()
    this.openOrders.set(id, openOrders)
    let settled = false
    const settle = (outcome: T | { type: 'silent' | 'refused' }): void => {
      if (settled) return
      settled = true
      openOrders.delete(breakConnection)
      this.postLater(process, 0, () => toInput(outcome))
    }
    const breakConnection = (): void => settle({ type: 'silent' })
    openOrders.add(breakConnection)
    this.time.after(timeoutMs, breakConnection)
    if (endpoint === undefined || this.isCut(process.name, id)) return
    const late = this.randomBelow(1000) < lateShare * 1000
    const lost = this.randomBelow(1000) < this.lostAnswerShare * 1000
    const deliveryDelayMs = this.linkDelayMs(process.name, id)
    const { bornAt } = endpoint
    this.time.after(late ? 2000 + this.randomBelow(10_000) : deliveryDelayMs, () => {
      endpoint.advance(this.time.now)
      if (!endpoint.up && !late && !this.crashesAreSilent) return this.time.after(deliveryDelayMs, () => settle({ type: 'refused' }))
      if (this.departedEndpoints.has(id) || !endpoint.up || endpoint.bornAt !== bornAt) return
      execute(endpoint, (outcome) => {
        if (late || lost || this.isCut(id, process.name)) return
        this.time.after(this.linkDelayMs(id, process.name), () => settle(outcome))
      }, late)
    })
  }

  private hold (process: Process, effect: EffectOf<'hold'>): void {
    type Outcome = Extract<ShardInput, { type: 'holdOutcome' }>['outcome']
    this.sendOrder<Outcome>(process, effect.endpoint, effect.timeoutMs, this.lateOrderShare, (endpoint, answer) => {
      if (!endpoint.hold(this.time.now, effect.token, effect.acknowledged, effect.extendTo)) {
        answer({ type: 'fenced' })
        return
      }
      let answered = false
      const answerListing = (): void => {
        if (answered || !endpoint.up) return
        answered = true
        const { clock, bornAt, running, ended } = endpoint.listing(this.time.now)
        answer({ type: 'listed', listing: { clock: clock as EndpointClockMs, bornAt, running: running.map(row => ({ ...row, task: row.task as TaskName })), ended: ended.map(row => ({ ...row, task: row.task as TaskName })) } })
      }
      if (effect.waitMs === 0) return answerListing()
      endpoint.onNextEnd(answerListing)
      this.time.after(effect.waitMs, answerListing)
    }, outcome => ({ type: 'holdOutcome', endpoint: effect.endpoint, orderId: effect.orderId, outcome }))
  }

  private startTask (process: Process, effect: EffectOf<'startTask'>): void {
    type Outcome = Extract<ShardInput, { type: 'taskStartOutcome' }>['outcome']
    const spec = taskSpec(effect.spec, effect.task)
    this.oracle.recordSpec(effect.task, effect.spec, this.time.now)
    this.sendOrder<Outcome>(process, effect.endpoint, effect.timeoutMs, this.lateOrderShare, (endpoint, answer, late) => {
      if (!this.reaches(endpoint, effect.bornAt)) return answer({ type: 'otherLife' })
      const previousRun = endpoint.runs.get(effect.task)
      const reply = endpoint.start(this.time.now, { token: effect.token, task: effect.task, run: effect.run, spec, untilMs: effect.notAfter })
      if (reply === 'started') this.recordQueueUse(process, effect.task)
      if (reply === 'started' && endpoint.runs.get(effect.task) !== previousRun) {
        this.oracle.recordStart(endpoint, effect.task, this.time.now, this.contact.hadSteadyContact(process))
        if (!late) this.oracle.recordStartInDomain(this.domainOf.get(endpoint.id) as FailureDomain, effect.task, this.time.now, this.contact.ofStarter(process))
      }
      answer(reply === 'started' ? { type: 'started', clock: endpoint.clock(this.time.now) as EndpointClockMs } : { type: reply })
    }, outcome => ({ type: 'taskStartOutcome', endpoint: effect.endpoint, orderId: effect.orderId, outcome }))
  }

  /** @returns whether a start that is meant for an incarnation of an endpoint is sent to the present one; a restart breaks the connections to the one before */
  private reaches (endpoint: FencedEndpointModel, bornAt: number): boolean {
    return endpoint.bornAt === bornAt
  }

  /** Tells the oracle what a start shows of the version by which the instance acts. */
  private recordQueueUse (process: Process, task: string): void {
    const id = task.slice(0, task.indexOf('.'))
    const queue = this.queueOfJob.get(id)
    if (queue === undefined) return
    const incarnation = `${process.name}#${process.incarnation}`
    const { removedIn, removedAt } = this.addedQueues.get(queue.addedIn) as AddedQueue
    if (removedIn !== undefined && !queue.mayBeAccepted) this.oracle.recordLateVersion(process.name, removedIn, queue.sentAt - removedAt, this.time.now)
    if (removedIn !== undefined && !this.oracle.jobs.get(id)?.started) this.oracle.recordRemovedQueueUsed(incarnation, removedIn, queue.sentAt, this.time.now)
    this.oracle.recordQueueUsed(incarnation, queue.addedIn, this.time.now)
  }

  private stopTask (process: Process, effect: EffectOf<'stopTask'>): void {
    type Outcome = Extract<ShardInput, { type: 'taskStopOutcome' }>['outcome']
    this.sendOrder<Outcome>(process, effect.endpoint, effect.timeoutMs, Math.max(this.lateOrderShare, this.lateStopShare), (endpoint, answer) => {
      answer({ type: endpoint.stop(this.time.now, effect.token, effect.task, effect.run) })
    }, outcome => ({ type: 'taskStopOutcome', endpoint: effect.endpoint, orderId: effect.orderId, outcome }))
  }

  private claim (process: Process, effect: EffectOf<'claimShard'>): void {
    if (!this.contact.canReachStore(process)) return this.postLater(process, 4, () => ({ type: 'claimOutcome', claimId: effect.claimId, result: { type: 'unavailable' } }))
    const lost = this.randomBelow(1000) < this.storeFaults.lostReplyShare * 1000
    this.time.after(lost ? this.randomBelow(3000) : 2, () => {
      const revision = this.store.write(`shard/${effect.record.failureDomain}`, JSON.stringify(effect.record), effect.expectedRevision)
      if (revision !== undefined) this.oracle.recordWritten(effect.record.failureDomain, revision, ranksOf(effect.record))
      if (lost) return
      this.postLater(process, 2, () => ({ type: 'claimOutcome', claimId: effect.claimId, result: revision === undefined ? { type: 'conflict' } : { type: 'written', revision } }))
    })
  }

  private sendSubmission (job: CallerJob, at: InstanceId, submission: Submission, attempt: number, retries: number): void {
    const process = this.process(at)
    const callId = `${at}-${++this.callCounter}`
    this.oracle.recordSubmission(job.id, job.tasks, submission.job.spec)
    const submittedAt = this.time.now
    const hadContact = this.contact.isInformed(process)
    const use = this.queueOfJob.get(job.id)
    if (use !== undefined && (!hadContact || submittedAt - (this.addedQueues.get(use.addedIn)?.removedAt ?? Infinity) <= CONFIG_APPLY_MS)) use.mayBeAccepted = true
    const onReply = (reply: ReplyKind, retryAfterMs = 0, cause?: RefusalCause): void => {
      const queue = this.queueOfJob.get(job.id)
      if (cause === 'noQueue' && queue !== undefined) this.recordDenial(process, queue.addedIn, submittedAt, hadContact)
      this.oracle.recordReply(job.id, reply, this.time.now)
      const comesBack = (reply === 'other' && attempt < ATTEMPTS_MAX) || (reply === 'refused' && retries > 0)
      if (comesBack) {
        if (reply === 'other') job.wasLost = true
        const names = this.present().map(other => other.name)
        const delayMs = reply === 'other' ? CALLER_RESEND_DELAY_MS : retryAfterMs
        this.time.after(delayMs, () => this.sendSubmission(job, names[this.randomBelow(names.length)] ?? at, submission, attempt + 1, reply === 'refused' ? retries - 1 : retries))
        return
      }
      job.reply = reply
      job.latencyMs = this.time.now - job.sentAt
    }
    this.time.after(CALLER_DELAY_MS, () => {
      if (!process.up) return onReply('other')
      process.pendingCalls.set(callId, onReply)
      this.postFromOutside(process, { type: 'submit', callId, host: submission.host, path: submission.path, job: submission.job, deadlineMs: ms(submission.deadlineMs) })
    })
  }

  /** Tells the oracle of a job that was refused since there is no such queue, if the version that added it is still the last word on it. */
  private recordDenial (process: Process, addedIn: number, submittedAt: number, hadContact: boolean): void {
    const queue = this.addedQueues.get(addedIn)
    if (queue === undefined || queue.removedIn !== undefined) return
    this.oracle.recordQueueDenied(`${process.name}#${process.incarnation}`, addedIn, submittedAt, this.time.now)
    if (hadContact && submittedAt - queue.addedAt > CONFIG_APPLY_MS) this.oracle.recordLateVersion(process.name, addedIn, submittedAt - queue.addedAt, this.time.now)
  }

  private reply (process: Process, effect: EffectOf<'reply'>): void {
    const onReply = process.pendingCalls.get(effect.callId)
    process.pendingCalls.delete(effect.callId)
    const { reply } = effect
    this.time.after(CALLER_DELAY_MS, () => {
      if (reply.type === 'refused') onReply?.('refused', reply.retryAfterMs, reply.cause)
      else onReply?.(reply.type === 'ended' ? reply.outcome : 'other')
    })
  }

  private failPendingCalls (process: Process): void {
    const calls = [...process.pendingCalls.values()]
    process.pendingCalls.clear()
    for (const onReply of calls) this.time.after(CALLER_DELAY_MS, () => onReply('other'))
  }

  /** Advances all endpoints every millisecond, so that holds that wait for the end of a run are answered on time. */
  private advanceEndpoints (): void {
    this.contact.recordDisturbances()
    for (const endpoint of this.endpoints.values()) endpoint.advance(this.time.now)
    this.time.after(1, () => this.advanceEndpoints())
  }
}

/** @returns the instances that a record names, in the order of their tokens */
function ranksOf ({ owner, successors }: ShardRecord): string {
  return [owner.instance, ...successors].join()
}

function addedPrefix (version: number): string {
  return `/added-${version}/`
}

function makeJob (job: CallerJob, spec: ModelTask, hasByteOrderMark = false): JobRequest {
  const text = JSON.stringify(spec)
  const needs = { cpuMilli: spec.cpuMilli, memoryMb: 64, accelerators: 0 }
  return { id: job.id, spec: hasByteOrderMark ? withByteOrderMark(text) : text, features: [], steps: [{ count: job.tasks, needs, estimateMs: ms(spec.workMs), after: [], requiredLabel: '', preferredRack: '', maxPerEndpoint: 0 }] }
}
