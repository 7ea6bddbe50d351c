/**
 * One instance that answers callers and, while it owns a shard, sends orders to endpoints. This module wires the decisions
 * together and routes each input to them. It returns effects instead of performing I/O, and it has no timers and no clock
 * of its own, so the daemon and the tests can drive it alike.
 */
import type { ClockReading, DispatchOrder, EndpointId, EndpointReport, Evacuations, FailureDomain, InstanceId, JobId, Ms, OtherShard, OwnedShard, ShardMessage, TaskAttempts } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { AttemptsDecider } from '../attempts/attemptsDecider.js'
import { DesiredDecider } from '../desired/desiredDecider.js'
import { EndpointList } from '../endpoints/endpointList.js'
import { EndpointSets } from '../endpoints/endpointSets.js'
import { EndpointsDecider } from '../endpoints/endpointsDecider.js'
import { EvacuationDecider } from '../evacuation/evacuationDecider.js'
import type { EvacuationChange } from '../evacuation/types.js'
import { ExecutionDecider } from '../execution/executionDecider.js'
import type { FrontSession, OwnedJob } from '../execution/types.js'
import { IntroductionDecider } from '../introduction/introductionDecider.js'
import type { Missing } from '../introduction/introductionDecider.js'
import { IntakeDecider } from '../intake/intakeDecider.js'
import { OwnershipDecider } from '../ownership/ownershipDecider.js'
import { PlacementDecider } from '../placement/placementDecider.js'
import { SessionsDecider } from '../sessions/sessionsDecider.js'
import { EarlierRuns } from './earlierRuns.js'
import { PauseDetector } from './pauseDetector.js'
import type { Pause } from './pauseDetector.js'
import { QueueVersions } from './queueVersions.js'
import type { ShardSettings } from './settings.js'
import { ShardOutbox } from './types.js'
import type { CallerReads, CallerReply, ListPace, ShardContext, ShardEffect, ShardInput, ShardSelf } from './types.js'

/** Minimum time between two registrations; the list of members that shows the last one may be a few seconds old. */
const MIN_REGISTRATION_INTERVAL_MS = 5000

/** How far a reading of this instance's clock may be ahead of it, since the clocks of machines differ in their rate. */
const READING_AHEAD_MAX_MS = 20

/** How long a new owner waits for its first reading of the list while the store answers; a long list takes this long on a slow link. */
const FIRST_LIST_WAIT_MS = 250

/** Retry delay for a job whose queue was removed; its front has the newer version by then. */
const REMOVED_QUEUE_RETRY_MS = ms(1000)

/** Identity and settings of an instance. */
export interface ShardInstanceOptions {
  readonly self: ShardSelf
  readonly cfg: ShardSettings
  /** Addresses of instances to ask for owners and the desired state while the store does not answer. */
  readonly seeds?: readonly string[]
}

/** Holds the decisions of one instance and passes inputs to them. */
export class ShardInstance {
  readonly ctx: ShardContext
  readonly sessions: SessionsDecider
  readonly desired: DesiredDecider
  readonly evacuation: EvacuationDecider
  readonly ownership: OwnershipDecider
  readonly placement: PlacementDecider
  readonly attempts: AttemptsDecider
  readonly execution: ExecutionDecider
  readonly endpoints: EndpointsDecider
  readonly intake: IntakeDecider
  readonly introduction: IntroductionDecider
  readonly queueVersions: QueueVersions
  readonly earlierRuns: EarlierRuns
  private readonly endpointList: EndpointList
  private readonly endpointSets = new EndpointSets()
  private ownDigest: { readonly failureDomain: FailureDomain, readonly changes: number, readonly digest: number } | undefined
  private readonly pauses: PauseDetector
  private ready = false
  private leaving = false
  private drained = false
  private storeReachable = false
  private listPace: ListPace = 'near'
  private registeredAt: Ms = ms(0)

  constructor ({ self, cfg, seeds = [] }: ShardInstanceOptions) {
    this.ctx = { self, cfg, out: new ShardOutbox(), now: ms(0), suspendedMs: ms(0) }
    const { ctx } = this
    this.pauses = new PauseDetector(cfg.pauseMs)
    this.sessions = new SessionsDecider(ctx, () => this.requestsInForce(), {
      peerLost: instance => this.peerLost(instance),
      peerRecovered: instance => this.peerRecovered(instance)
    })
    this.desired = new DesiredDecider(ctx, (to, message) => this.sessions.send(to, message), () => this.storeReachable)
    this.evacuation = new EvacuationDecider(ctx, {
      domainKnown: failureDomain => this.sessions.db.shards.has(failureDomain) || this.endpointList.inFailureDomain(failureDomain).length > 0,
      changed: (change, source) => this.evacuationsChanged(change, source)
    })
    this.ownership = new OwnershipDecider(ctx, this.sessions, {
      ownershipGained: failureDomain => this.ownershipGained(failureDomain),
      endpointsOf: failureDomain => this.endpoints.db.inFailureDomain(failureDomain).map(({ report }) => report),
      ownershipLost: (failureDomain, successor) => this.ownershipLost(failureDomain, successor)
    })
    this.placement = new PlacementDecider(ctx)
    this.attempts = new AttemptsDecider(ctx)
    this.execution = new ExecutionDecider(ctx, this.placement, this.attempts, {
      sendToFront: (front, message) => this.sendToFront(front.instance, message),
      superseded: failureDomain => this.ownership.superseded(failureDomain),
      attemptsChanged: jobs => this.shareAttempts(jobs),
      isQueueInForce: job => this.queueVersions.isQueueInForce(job.order),
      earlierRunsKnown: job => this.earlierRuns.areKnown(job),
      evacuationAllowsStart: job => this.evacuationAllowsStart(job),
      isEvacuated: failureDomain => this.evacuation.isEvacuated(failureDomain)
    })
    this.endpoints = new EndpointsDecider(ctx, failureDomain => this.ownership.db.owned.get(failureDomain)?.token, failureDomain => this.listAwaited(failureDomain), this.execution, failureDomain => !this.evacuation.isEvacuated(failureDomain))
    this.execution.endpoints = this.endpoints
    this.endpointList = new EndpointList(ctx, id => this.endpointRemoved(id))
    this.queueVersions = new QueueVersions(ctx, this.desired, id => this.execution.db.jobs.has(id))
    this.earlierRuns = new EarlierRuns(ctx, { ownership: this.ownership, endpoints: this.endpoints, endpointList: this.endpointList, endpointSets: this.endpointSets })
    this.intake = new IntakeDecider(ctx, this.desired, this.sessions, this.attempts, { isEvacuated: failureDomain => this.evacuation.isEvacuated(failureDomain), isEverywhere: () => this.isEvacuatedEverywhere() }, (to, message) => this.deliver(to, message))
    this.introduction = new IntroductionDecider(ctx, seeds, () => this.missing(), { inForce: () => this.desired.db.version(), kept: () => this.desired.versionsKept() })
  }

  /**
   * Handles one input.
   * @param input - what happened
   * @param now - monotonic time
   * @param wall - wall-clock time
   * @param callerReads - how far this process has read what callers sent, by default all
   * @returns the effects that the shell has to perform, in order
   */
  handle (input: ShardInput, now: Ms, wall: Ms, callerReads: CallerReads = { upTo: now, endedAt: now }): ShardEffect[] {
    this.ctx.now = now
    this.intake.db.callerReads = callerReads
    const pause = this.pauses.inputArrived(now, wall)
    if (pause !== undefined) this.paused(pause)
    this.dispatch(input)
    this.execution.startWaitingTasks()
    this.updateState()
    const effects = this.ctx.out.takeEffects()
    if (this.evacuation.db.size === 0) return effects
    this.noteStarts(effects)
    return [...effects, ...this.ctx.out.takeEffects()]
  }

  /** Registers this instance in the store. */
  start (now: Ms): ShardEffect[] {
    const { self, out } = this.ctx
    this.ctx.now = now
    this.registeredAt = now
    out.push({ type: 'writeMember', record: { ...self } })
    return out.takeEffects()
  }

  /** An idle instance needs ticks only for pings and succession, which have longer periods. */
  isIdle (): boolean {
    return !this.ownership.owns() && this.intake.db.jobs.size === 0
  }

  /** Returns the answer to a request about a job whose queue this instance does not know; undefined if it knows the queue. */
  refusalFor (host: string, path: string): Extract<CallerReply, { type: 'refused' }> | undefined {
    return this.intake.refusalFor(host, path)
  }

  private dispatch (input: ShardInput): void {
    switch (input.type) {
      case 'tick': return this.tick()
      case 'submit': return this.intake.submit(input.callId, input.host, input.path, input.job, input.deadlineMs)
      case 'callerLeft': return this.intake.callerLeft(input.callId)
      case 'peer': return this.receive(input.from, input.message)
      case 'sendFailed': return this.sessions.connectionFailed(input.to)
      case 'linkDown': return this.linkDown(input.peer)
      case 'holdOutcome': return this.endpoints.holdOutcome(input.endpoint, input.orderId, input.outcome)
      case 'taskStartOutcome': return this.endpoints.startOutcome(input.endpoint, input.orderId, input.outcome)
      case 'taskStopOutcome': return this.endpoints.stopOutcome(input.endpoint, input.orderId, input.outcome)
      case 'desired': return this.desired.adopt(input.state, 'store')
      case 'evacuations': return this.evacuation.learn(input.evacuations, 'store')
      case 'endpoints': return this.applyReports(input.reports, input.fresh)
      case 'records': return this.applyRecords(input)
      case 'storeReachable': return this.setStoreReachable(input.reachable)
      case 'claimOutcome': return this.ownership.claimOutcome(input.claimId, input.result)
      case 'leave': return this.leave()
    }
  }

  private receive (from: InstanceId, message: ShardMessage): void {
    if (from !== this.ctx.self.instance) {
      const incarnation = 'incarnation' in message ? message.incarnation : undefined
      const address = 'address' in message ? message.address : ''
      if (!this.sessions.messageReceived(from, incarnation, address, 'time' in message ? message.time : undefined)) return
      this.introduction.peerHeard(address)
    }
    switch (message.type) {
      case 'ping': return this.receivePing(from, message)
      case 'pong':
        this.sessions.db.learnOwned(from, message.owned)
        this.learnEvacuations(message.evacuations, from)
        this.desired.peerVersionReceived(from, message.desiredVersion, message.desiredAgeMs)
        if (this.ownsLocalDomain(from) || this.introduction.isPending()) this.sessions.db.learnOthers(message.others, this.ctx.now)
        for (const id of this.attempts.learn(message.attempts ?? [])) this.execution.attemptsLearned(id)
        for (const { failureDomain } of [...message.owned, ...message.others]) this.intake.ownerKnown(failureDomain)
        return
      case 'announce':
        this.sessions.db.learnOwner({ failureDomain: message.failureDomain, owner: from, token: message.token })
        this.ownership.ownerAnnounced(message.failureDomain, from, message.token)
        this.sendAttempts(from, this.attempts.db.jobIds())
        return this.intake.ownerKnown(message.failureDomain)
      case 'submit': return this.receiveSubmit({ instance: from, incarnation: message.incarnation, address: message.address }, message)
      case 'checkJobs': return this.receiveJobCheck(from, message)
      case 'cancelJob': return this.execution.cancel(message.jobId, from, message)
      case 'ended': return this.intake.ended(message.jobId, message.outcome)
      case 'declined': return this.intake.declined(message.jobId, from, message.attempt, message.retryAfterMs)
      case 'notOwner': return this.receiveNotOwner(from, message)
      case 'moved': return this.intake.shardMoved(from, message.failureDomain, message.progress, message.endpointsDigest)
      case 'handover': return this.receiveHandover(message)
      case 'desiredRequest': return this.receiveDesiredRequest(from, message)
      case 'introduction': return this.receiveIntroduction(message)
      case 'desired': return this.desired.adopt(message.state, from)
      case 'desiredChange': return this.desired.changeReceived(message.change, from)
    }
  }

  /**
   * Answers a peer that lacks the desired state, and tells a new one that could not read the store what it needs to own a shard, and to tell others the
   * same: once every instance has been restarted while the store is down, only what they told each other is left.
   */
  private receiveDesiredRequest (from: InstanceId, { introduce = false, known, changeOnly }: Extract<ShardMessage, { type: 'desiredRequest' }>): void {
    // A new instance must know the evacuations before it acts by a desired state, whoever it has that from.
    if (this.evacuation.inForce() !== undefined) this.sendLoad(from)
    if (!introduce || this.desired.isBehind(from)) this.desired.stateRequested(from, known, changeOnly)
    const { members, records, recordsRead } = this.ownership.db
    if (!introduce || !recordsRead) return
    this.sessions.send(from, { type: 'introduction', members: [...members.values()], shards: [...records.values()], endpoints: this.endpointList.reports() })
  }

  /** Applies what a peer has read from the store; what this instance has read itself since it started takes precedence. */
  private receiveIntroduction ({ members, shards, endpoints }: Extract<ShardMessage, { type: 'introduction' }>): void {
    this.ownership.recordsLearned(members, shards)
    const local = endpoints.filter(report => report.failureDomain === this.ctx.self.failureDomain)
    if (local.length > 0 && this.knowsNoLocalEndpoint()) this.applyReports(local, false)
    this.endpointList.learn(endpoints)
    for (const { failureDomain, address } of members) {
      if (failureDomain === this.ctx.self.failureDomain) this.introduction.peerHeard(address)
    }
  }

  private missing (): Missing {
    return {
      desiredState: this.desired.db.state === undefined,
      owner: !this.hasLiveOwner(),
      records: !this.ownership.db.recordsRead || (!this.storeReachable && !this.ownership.knowsOwnRecord()),
      endpoints: !this.storeReachable && this.knowsNoLocalEndpoint()
    }
  }

  private knowsNoLocalEndpoint (): boolean {
    return this.endpointList.inFailureDomain(this.ctx.self.failureDomain).length === 0
  }

  /** Delivers a message to a peer. One to this instance itself is handled directly, without a connection. */
  private deliver (to: InstanceId, message: ShardMessage): void {
    if (to !== this.ctx.self.instance) this.sessions.send(to, message)
    else this.receive(to, message)
  }

  private tick (): void {
    const fronts = this.execution.frontInstances()
    this.sessions.tick(this.pingTargets(), peer => fronts.has(peer.instance) || (peer.usesOwnedShard && this.expectsPingsFrom(peer.instance)))
    if (!this.storeReachable) this.introduction.peerHeard(this.ownDomainOwnerAddress())
    this.introduction.tick()
    this.desired.tick()
    this.evacuation.tick()
    this.ownership.tick()
    this.endpoints.tick()
    this.execution.tick()
    this.intake.tick()
  }

  /** Returns the owners that this instance pings itself, with the silence after which it pings each. */
  private pingTargets (): Map<InstanceId, Ms> {
    const { self, cfg } = this.ctx
    const { sessions } = this
    const ownersInUse = this.intake.db.owners()
    const pingsAllOwners = this.ownership.owns() || sessions.ownerOf(self.failureDomain) === undefined
    const targets = new Map<InstanceId, Ms>()
    for (const { failureDomain, owner } of sessions.db.shards.values()) {
      if (failureDomain === self.failureDomain) targets.set(owner, cfg.pingMs)
      else if (!targets.has(owner) && (pingsAllOwners || ownersInUse.has(owner) || sessions.isLost(owner))) targets.set(owner, cfg.remotePingMs)
    }
    for (const instance of this.lostMembers()) targets.set(instance, cfg.remotePingMs)
    targets.delete(self.instance)
    return targets
  }

  /**
   * Returns the lost instances of the own domain, if this instance owns its shard. Its pings tell an instance that restarts
   * while the store is down whom to ask.
   */
  private lostMembers (): InstanceId[] {
    const { self } = this.ctx
    if (!this.ownership.db.owned.has(self.failureDomain)) return []
    return [...this.ownership.db.members.values()]
      .filter(member => member.failureDomain === self.failureDomain && this.sessions.isLost(member.instance))
      .map(member => member.instance)
  }

  /**
   * Returns whether pings from the instance must keep arriving. Fronts of the own domain ping its owner as long as both are
   * live, but they stop pinging an instance that no longer owns the shard.
   */
  private expectsPingsFrom (instance: InstanceId): boolean {
    return this.ownership.owns() && this.ownership.db.members.get(instance)?.failureDomain === this.ctx.self.failureDomain
  }

  /** Returns the address of the own domain's owner, which knows the record that is in force; empty without a live one. */
  private ownDomainOwnerAddress (): string {
    const owner = this.sessions.ownerOf(this.ctx.self.failureDomain)
    return owner === undefined ? '' : this.sessions.db.peers.get(owner)?.address ?? ''
  }

  /** Returns whether the given instance owns the shard of this instance's own domain. */
  private ownsLocalDomain (instance: InstanceId): boolean {
    return this.sessions.db.shards.get(this.ctx.self.failureDomain)?.owner === instance
  }

  /** Sends a message to a front and, once per ping period, the load as well, so that fronts with jobs need not ping. */
  private sendToFront (front: InstanceId, message: ShardMessage): void {
    this.deliver(front, message)
    const peer = this.sessions.db.peers.get(front)
    if (peer === undefined || front === this.ctx.self.instance || !this.ownership.owns()) return
    if (this.ctx.now - (peer.loadSentAt ?? -Infinity) >= this.ctx.cfg.pingMs) this.sendLoad(front)
  }

  /**
   * Tells the fronts of these jobs and the owners of all other shards what has become of the runs. The fronts tell the next owner of this
   * shard; a job that its caller sends again through another front comes to one of the owners.
   */
  private shareAttempts (jobs: ReadonlyMap<JobId, FrontSession | undefined>): void {
    const idsByPeer = new Map<InstanceId, Set<JobId>>()
    for (const { failureDomain } of this.sessions.db.shards.values()) {
      const owner = this.sessions.ownerOf(failureDomain)
      if (owner !== undefined) idsByPeer.set(owner, new Set(jobs.keys()))
    }
    for (const [id, front] of jobs) {
      if (front !== undefined) idsByPeer.set(front.instance, new Set(idsByPeer.get(front.instance)).add(id))
    }
    for (const [peer, ids] of idsByPeer) this.sendAttempts(peer, ids)
  }

  private sendAttempts (to: InstanceId, ids: Iterable<JobId>): void {
    const attempts = [...ids].flatMap(id => this.attempts.db.ofJob(id))
    if (attempts.length > 0 && to !== this.ctx.self.instance) this.sendLoad(to, attempts)
  }

  private sendLoad (to: InstanceId, attempts?: readonly TaskAttempts[]): void {
    const { self, now } = this.ctx
    const peer = this.sessions.db.peers.get(to)
    if (peer !== undefined) peer.loadSentAt = now
    const owned: OwnedShard[] = [...this.ownership.db.owned.values()].map(({ failureDomain, token }) => ({ failureDomain, token, load: this.load(), endpointsDigest: this.endpointsDigest(failureDomain) }))
    this.sessions.send(to, { type: 'pong', incarnation: self.incarnation, owned, others: this.otherShards(), ...this.requestsInForce(), time: this.sessions.timeForPeers(), ...attempts === undefined ? {} : { attempts } })
  }

  /**
   * Returns the shards of others that this instance knows to have a live owner: as an owner, those whose owners send messages to
   * it directly; otherwise all, since only an instance that has just started asks for them.
   */
  private otherShards (): OtherShard[] {
    const { db } = this.sessions
    const others: OtherShard[] = []
    for (const { failureDomain, owner, token, load, disowned } of db.shards.values()) {
      const peer = db.peers.get(owner)
      if (disowned || peer === undefined || this.ownership.db.owned.has(failureDomain)) continue
      const isLive = this.ownership.owns() ? !peer.lost && peer.lastReceivedAt !== undefined : this.sessions.isLive(owner)
      if (!isLive) continue
      const clock = this.sessions.clockOf(owner)
      const endpointsDigest = this.sessions.endpointsDigestOf(owner, failureDomain)
      others.push({ failureDomain, owner, address: peer.address, token, load, ...clock === undefined ? {} : { clock }, ...endpointsDigest === undefined ? {} : { endpointsDigest } })
    }
    return others
  }

  private receivePing (from: InstanceId, { incarnation, desiredVersion, desiredAgeMs, evacuations, leaving, connectionReplaced }: Extract<ShardMessage, { type: 'ping' }>): void {
    this.sessions.pingReceived(from, leaving === true, connectionReplaced === true)
    this.execution.frontLost(from, incarnation)
    this.learnEvacuations(evacuations, from)
    this.desired.peerVersionReceived(from, desiredVersion, desiredAgeMs)
    this.sendLoad(from)
  }

  /** What this instance knows of the operators' requests, for its pings and pongs. */
  private requestsInForce (): { readonly desiredVersion: number, readonly desiredAgeMs: Ms, readonly evacuations?: Evacuations } {
    const evacuations = this.evacuation.inForce()
    return { ...this.desired.inForce(), ...evacuations === undefined ? {} : { evacuations } }
  }

  private learnEvacuations (evacuations: Evacuations | undefined, from: InstanceId): void {
    if (evacuations !== undefined) this.evacuation.learn(evacuations, from)
  }

  /**
   * The last check of an owner before a start. Fronts do not send jobs to an evacuated domain, but they may know of the evacuation later, and a job
   * may be here already: it waits, a run of it has failed or was lost, or an earlier owner had it.
   */
  evacuationAllowsStart ({ failureDomain }: OwnedJob): boolean {
    return !this.evacuation.isEvacuated(failureDomain)
  }

  /**
   * Acts on evacuations that have just been learned. The owners of these domains are told at once: one that the store does not serve hears of them
   * from its fronts otherwise only when it is silent, and its answer shows the room that is back. Endpoints that come back have their trust again: they
   * got no trial meanwhile, and are often not what they were.
   */
  private evacuationsChanged ({ evacuated, ended }: EvacuationChange, source: string): void {
    const { out, self } = this.ctx
    for (const shard of evacuated) {
      if (this.ownership.db.owned.has(shard)) out.log('evacuation.emptying', { shard, ownedJobs: this.execution.db.jobs.size, waitingJobs: this.execution.admission.db.waiting.size, runs: this.execution.runsIn(shard) })
    }
    for (const { id } of ended.flatMap(shard => this.endpoints.db.inFailureDomain(shard))) this.placement.db.forget(id)
    this.execution.evacuationsChanged()
    const owners = [...evacuated, ...ended, self.failureDomain].flatMap(failureDomain => this.sessions.ownerOf(failureDomain) ?? [])
    for (const owner of new Set(owners)) if (owner !== source) this.sessions.tell(owner)
  }

  /** Records starts to evacuated domains. There should be none. */
  private noteStarts (effects: readonly ShardEffect[]): void {
    for (const effect of effects) {
      const endpoint = effect.type === 'startTask' ? this.endpoints.db.get(effect.endpoint) : undefined
      if (endpoint !== undefined) this.evacuation.startSent(endpoint.report.failureDomain)
    }
  }

  private receiveNotOwner (from: InstanceId, { jobId, failureDomain, attempt, queueRemoved, released }: Extract<ShardMessage, { type: 'notOwner' }>): void {
    // Messages that arrive all the time keep this instance from pinging a peer that it takes for the owner.
    this.sessions.ownershipDenied(from)
    if (released !== undefined) this.intake.released(jobId, from, failureDomain, released)
    else if (queueRemoved === true) this.intake.queueRemoved(jobId, from)
    else this.intake.jobUnknownAtOwner(jobId, from, failureDomain, attempt)
  }

  /** Takes over a shard with the endpoints of its owner, among which there may be some that this instance's list lacks. */
  private receiveHandover ({ failureDomain, revision, rank, endpoints = [] }: Extract<ShardMessage, { type: 'handover' }>): void {
    this.endpointList.learnFromOwner(endpoints)
    this.endpointSets.remember(endpoints.map(({ id }) => id))
    this.ownership.handoverReceived(failureDomain, revision, rank)
  }

  /** Returns the digest of the endpoints of an owned shard at which this instance may have runs. */
  private endpointsDigest (failureDomain: FailureDomain): number {
    const { db } = this.endpoints
    if (this.ownDigest?.failureDomain !== failureDomain || this.ownDigest.changes !== db.changes) {
      this.ownDigest = { failureDomain, changes: db.changes, digest: this.endpointSets.remember(db.inFailureDomain(failureDomain).map(({ id }) => id)) }
    }
    return this.ownDigest.digest
  }

  private load (): OwnedShard['load'] {
    const capacity = this.execution.capacity()
    const busyShare = capacity.totalCpuMilli === 0 ? 1 : 1 - capacity.freeCpuMilli / capacity.totalCpuMilli
    return { waitMs: capacity.totalCpuMilli === 0 ? this.ctx.cfg.ownerWaitMs : this.execution.admission.backlogMs(capacity), busyShare }
  }

  private receiveSubmit (front: FrontSession, message: Extract<ShardMessage, { type: 'submit' }>): void {
    const owned = this.ownership.db.owned.get(message.failureDomain)
    if (owned === undefined) {
      this.deliver(front.instance, { type: 'notOwner', jobId: message.order.job.id, failureDomain: message.failureDomain })
      return
    }
    if (message.order.desiredVersion !== undefined) this.desired.jobReceived(front.instance, message.order.desiredVersion, !this.queueVersions.isQueueInForce(message.order))
    const order = this.queueVersions.underVersionInForce(message.order)
    if (order === undefined) return this.rejectWithoutQueue(front, message.failureDomain, message.order)
    const sentAt = this.sentAt(front.instance, message.ownerClock, message.order.job.id)
    if (this.execution.submit(front, message.failureDomain, order, sentAt)) return
    // The answer carries this instance's clock, so that the next copy can prove its age.
    this.sendLoad(front.instance)
    const { job, attempt } = message.order
    // Without the number of the copy, the front keeps the job here, where another front's copy of it may run.
    const holder = this.execution.db.jobs.get(job.id)?.front.instance ?? front.instance
    this.deliver(front.instance, { type: 'notOwner', jobId: job.id, failureDomain: message.failureDomain, ...holder === front.instance ? { attempt } : {} })
  }

  /**
   * Turns away a job whose queue was removed. If nothing of it has run, it is declined; its front learns of the newer version from the same connection, and then
   * answers for itself. Otherwise the front gives it up.
   */
  private rejectWithoutQueue (front: FrontSession, failureDomain: FailureDomain, { job, queue, attempt, desiredVersion, resumed }: DispatchOrder): void {
    const { now, out } = this.ctx
    out.log('job.withoutQueue', { job: job.id, front: front.instance, queue: queue.name, desiredVersion, versionInForce: this.desired.db.version(), resumed })
    this.execution.db.keepDropped(job.id, front, attempt, !resumed, now)
    this.sendLoad(front.instance)
    this.deliver(front.instance, resumed
      ? { type: 'notOwner', jobId: job.id, failureDomain, queueRemoved: true }
      : { type: 'declined', jobId: job.id, attempt, retryAfterMs: REMOVED_QUEUE_RETRY_MS })
  }

  /** Returns whether this instance has just become the owner and its first reading of the list is still under way. */
  private listAwaited (failureDomain: FailureDomain): boolean {
    const owned = this.ownership.db.owned.get(failureDomain)
    return owned !== undefined && this.storeReachable && this.ctx.now - owned.since < FIRST_LIST_WAIT_MS
  }

  /**
   * Returns when a front sent a message at the earliest, from the reading of this instance's clock that it carries. A message without a reading, or with
   * one of an earlier incarnation, may be of any age, unless the front runs an earlier version, which knows no readings. So may one with a reading of a
   * time to come: this clock has stood still since, unnoticed, because the machine was suspended and its wall clock stepped back.
   * @param jobId - the job that the message is about, or any of them, which have one date
   */
  private sentAt (front: InstanceId, ownerClock: ClockReading | undefined, jobId: JobId | undefined): Ms {
    const { now, self, suspendedMs } = this.ctx
    if (front === self.instance) return this.intake.callersSeenAt(jobId)
    if (ownerClock === undefined) return this.sessions.sendsReadings(front) ? ms(-Infinity) : now
    const readAt = ms(ownerClock.at - suspendedMs)
    return ownerClock.incarnation === self.incarnation && readAt <= now + READING_AHEAD_MAX_MS ? ms(Math.min(now, readAt)) : ms(-Infinity)
  }

  private receiveJobCheck (from: InstanceId, { failureDomain, jobIds, ownerClock }: Extract<ShardMessage, { type: 'checkJobs' }>): void {
    const peer = this.sessions.db.peers.get(from)
    const front = { instance: from, incarnation: peer?.incarnation ?? this.ctx.self.incarnation, address: peer?.address ?? '' }
    this.execution.confirmJobs(front, failureDomain, jobIds, this.sentAt(from, ownerClock, jobIds[0]))
  }

  private linkDown (peer: InstanceId): void {
    this.sessions.connectionBroken(peer)
    this.intake.linkReplaced(peer)
  }

  private peerLost (instance: InstanceId): void {
    this.execution.frontLost(instance, undefined)
    this.intake.ownerLost(instance)
  }

  private peerRecovered (instance: InstanceId): void {
    for (const shard of this.sessions.db.shards.values()) {
      if (shard.owner === instance) this.intake.ownerKnown(shard.failureDomain)
    }
  }

  private ownershipGained (failureDomain: FailureDomain): void {
    this.endpoints.adopt(this.endpointList.inFailureDomain(failureDomain))
    this.intake.ownerKnown(failureDomain)
  }

  private ownershipLost (failureDomain: FailureDomain, successor: InstanceId | undefined): void {
    const shard = this.sessions.db.shards.get(failureDomain)
    if (shard?.owner === this.ctx.self.instance) shard.disowned = true
    const endpointsDigest = this.endpointsDigest(failureDomain)
    const progressByFront = this.execution.releaseShard(failureDomain)
    this.endpoints.release(failureDomain)
    for (const [front, progress] of progressByFront) {
      this.deliver(front.instance, { type: 'moved', failureDomain, to: successor ?? this.ctx.self.instance, progress, endpointsDigest })
    }
  }

  private applyReports (reports: readonly EndpointReport[], fresh: boolean): void {
    this.endpointList.applyList(reports, fresh)
    this.rememberEndpoints(reports)
    if (fresh) this.endpoints.markCutOff(this.endpointList.cutOffFromStore())
    this.endpoints.update(reports.filter(report => this.ownership.db.owned.has(report.failureDomain)), fresh)
  }

  /** Keeps the endpoints of the own failure domain as sets to compare with those of its owner, which may have removed missing entries earlier or later. */
  private rememberEndpoints (listed: readonly EndpointReport[]): void {
    const { failureDomain } = this.ctx.self
    this.endpointSets.remember(listed.filter(report => report.failureDomain === failureDomain).map(({ id }) => id))
    this.endpointSets.remember(this.endpointList.inFailureDomain(failureDomain).map(({ id }) => id))
  }

  private endpointRemoved (id: EndpointId): void {
    this.endpoints.markUnlisted(id)
    this.placement.db.forget(id)
    this.placement.speeds.forget(id)
  }

  private applyRecords (input: Extract<ShardInput, { type: 'records' }>): void {
    const { self, out } = this.ctx
    this.ownership.recordsRead(input.members, input.shards)
    if (this.leaving || this.ownership.db.members.get(self.instance)?.incarnation === self.incarnation) return
    if (this.ctx.now - this.registeredAt < MIN_REGISTRATION_INTERVAL_MS) return
    this.registeredAt = this.ctx.now
    out.push({ type: 'writeMember', record: { ...self } })
  }

  private setStoreReachable (reachable: boolean): void {
    if (reachable === this.storeReachable) return
    this.storeReachable = reachable
    this.ctx.out.log(reachable ? 'store.regained' : 'store.lost', {}, reachable ? 'info' : 'warn')
    if (!reachable) return
    this.endpointList.storeReachableAgain()
  }

  private leave (): void {
    this.leaving = true
    this.intake.leave()
    this.sessions.leave()
    this.ownership.leave()
  }

  /**
   * This process was paused. It cannot know what other instances did in the meantime, so it gives up all jobs, and every endpoint
   * must answer again before anything starts there.
   */
  private paused ({ elapsedMs, steadyMs }: Pause): void {
    const { out } = this.ctx
    this.ctx.suspendedMs = ms(this.ctx.suspendedMs + elapsedMs - steadyMs)
    out.count('shard.pauses')
    out.log('process.paused', { pausedMs: Math.round(elapsedMs), steadyMs: Math.round(steadyMs), frontedJobs: this.intake.db.jobs.size, ownedJobs: this.execution.db.jobs.size }, 'warn')
    this.intake.giveUpAll()
    this.execution.forgetAllJobs()
    this.endpoints.requireFreshAnswers()
  }

  private updateListPace (): void {
    const { self, out } = this.ctx
    const ownerPace = this.endpointList.isLosingEntries() ? 'losing' : 'owner'
    const successorPace = this.sessions.ownerOf(self.failureDomain) === undefined || this.ownership.isNearSuccessor() ? 'near' : 'far'
    const pace = this.ownership.owns() ? ownerPace : successorPace
    if (pace === this.listPace) return
    this.listPace = pace
    out.push({ type: 'listPace', pace })
  }

  private updateState (): void {
    this.updateListPace()
    const ready = !this.leaving && this.desired.db.state !== undefined && this.hasLiveOwner()
    if (ready !== this.ready) {
      this.ready = ready
      this.ctx.out.push({ type: 'state', name: ready ? 'ready' : 'notReady' })
      this.ctx.out.log('instance.state', { ready, leaving: this.leaving, desiredVersion: this.desired.db.version(), shards: this.sessions.db.shards.size })
    }
    if (this.leaving && !this.drained && this.intake.db.jobs.size === 0 && this.execution.db.jobs.size === 0) {
      this.drained = true
      this.ctx.out.push({ type: 'state', name: 'drained' })
    }
  }

  /**
   * Returns whether an owner is known that may get work. When every domain is evacuated, any owner will do: this instance has callers to refuse. An instance
   * that is cut off from all domains but an evacuated one is of no use to them.
   */
  private hasLiveOwner (): boolean {
    const isEverywhere = this.isEvacuatedEverywhere()
    for (const failureDomain of this.sessions.db.shards.keys()) {
      if ((isEverywhere || !this.evacuation.isEvacuated(failureDomain)) && this.sessions.ownerOf(failureDomain) !== undefined) return true
    }
    return false
  }

  /** Returns whether operators have emptied every domain; false while not all of them may be known here. */
  private isEvacuatedEverywhere (): boolean {
    const { db } = this.ownership
    if (this.evacuation.db.size === 0 || !db.recordsRead) return false
    return [...db.records.keys(), ...this.sessions.db.shards.keys()].every(failureDomain => this.evacuation.isEvacuated(failureDomain))
  }
}
