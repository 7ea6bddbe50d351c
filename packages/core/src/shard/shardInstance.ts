/**
 * One instance that answers callers and, where it owns a shard, gives orders to endpoints. This module wires the
 * decisions together; inputs go in, effects come out. No I/O, no timers, no clock of its own.
 */
import type { EndpointId, EndpointReport, FailureDomain, InstanceId, JobId, Ms, OtherShard, OwnedShard, ShardMessage } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { DesiredDecider } from '../desired/desiredDecider.js'
import { EndpointList } from '../endpoints/endpointList.js'
import { EndpointsDecider } from '../endpoints/endpointsDecider.js'
import { ExecutionDecider } from '../execution/executionDecider.js'
import type { FrontSession } from '../execution/types.js'
import { IntakeDecider } from '../intake/intakeDecider.js'
import { OwnershipDecider } from '../ownership/ownershipDecider.js'
import { PlacementDecider } from '../placement/placementDecider.js'
import { SessionsDecider } from '../sessions/sessionsDecider.js'
import type { ShardSettings } from './settings.js'
import { ShardOutbox } from './types.js'
import type { ListPace, ShardContext, ShardEffect, ShardInput, ShardSelf } from './types.js'

/** Least time between two registrations; the list may be read a few seconds old. */
const REGISTER_PAUSE_MS = 5000

/** What an instance is made from. */
export interface ShardInstanceOptions {
  readonly self: ShardSelf
  readonly cfg: ShardSettings
}

/** The decisions of one instance. */
export class ShardInstance {
  readonly ctx: ShardContext
  readonly sessions: SessionsDecider
  readonly desired: DesiredDecider
  readonly ownership: OwnershipDecider
  readonly placement: PlacementDecider
  readonly execution: ExecutionDecider
  readonly endpoints: EndpointsDecider
  readonly intake: IntakeDecider
  private readonly list: EndpointList
  private lastAt: Ms | undefined
  private lastWall: Ms | undefined
  private ready = false
  private leaving = false
  private drained = false
  private storeReachable = false
  private listPace: ListPace = 'near'
  private registeredAt: Ms = ms(0)

  constructor ({ self, cfg }: ShardInstanceOptions) {
    this.ctx = { self, cfg, out: new ShardOutbox(), now: ms(0) }
    const { ctx } = this
    this.sessions = new SessionsDecider(ctx, () => this.desired.db.version(), {
      peerLost: instance => this.peerLost(instance),
      peerHeard: instance => this.peerHeard(instance)
    })
    this.desired = new DesiredDecider(ctx, (to, message) => this.sessions.tell(to, message), () => this.storeReachable)
    this.ownership = new OwnershipDecider(ctx, this.sessions, {
      ownershipGained: failureDomain => this.ownershipGained(failureDomain),
      ownershipLost: (failureDomain, successor) => this.ownershipLost(failureDomain, successor)
    })
    this.placement = new PlacementDecider(ctx)
    this.execution = new ExecutionDecider(ctx, this.placement, {
      tell: (front, message) => this.tellFront(front.instance, message),
      superseded: failureDomain => this.ownership.superseded(failureDomain),
      earlierRunsKnown: failureDomain => this.earlierRunsKnown(failureDomain)
    })
    this.endpoints = new EndpointsDecider(ctx, failureDomain => this.ownership.db.owned.get(failureDomain)?.token, this.execution)
    this.execution.endpoints = this.endpoints
    this.list = new EndpointList(ctx, id => this.endpointGone(id))
    this.intake = new IntakeDecider(ctx, this.desired, this.sessions, (to, message) => this.deliver(to, message))
  }

  /**
   * Handles one input.
   * @param input - what happened
   * @param now - monotonic time
   * @param wall - wall-clock time
   * @returns what the shell is to do, in order
   */
  handle (input: ShardInput, now: Ms, wall: Ms): ShardEffect[] {
    this.ctx.now = now
    this.noticePause(now, wall)
    this.dispatch(input)
    this.execution.pump()
    this.updateState()
    return this.ctx.out.take()
  }

  /** Registers this instance and starts to look around. */
  start (now: Ms): ShardEffect[] {
    const { self, out } = this.ctx
    this.ctx.now = now
    this.registeredAt = now
    out.push({ type: 'writeMember', record: { ...self } })
    return out.take()
  }

  /** @returns true when nothing here waits for the next tick but pings and succession, which have longer periods */
  isIdle (): boolean {
    return !this.ownership.owns() && this.intake.db.jobs.size === 0
  }

  /** @returns true when the desired state has a queue for the path */
  hasQueue (host: string, path: string): boolean {
    return this.desired.db.queueFor(host, path) !== undefined
  }

  private dispatch (input: ShardInput): void {
    switch (input.type) {
      case 'tick': return this.tick()
      case 'submit': return this.intake.submit(input.callId, input.host, input.path, input.job, input.deadlineMs)
      case 'callerLeft': return this.intake.callerLeft(input.callId)
      case 'peer': return this.receive(input.from, input.message)
      case 'sendFailed': return this.sessions.unreachable(input.to)
      case 'linkDown': return this.linkDown(input.peer)
      case 'holdOutcome': return this.endpoints.holdOutcome(input.endpoint, input.orderId, input.outcome)
      case 'taskStartOutcome': return this.endpoints.startOutcome(input.endpoint, input.orderId, input.outcome)
      case 'taskStopOutcome': return this.endpoints.stopOutcome(input.endpoint, input.orderId, input.outcome)
      case 'desired': return this.desired.take(input.state, 'store')
      case 'endpoints': return this.takeReports(input.reports, input.fresh)
      case 'records': return this.takeRecords(input)
      case 'storeReachable': return this.noteStore(input.reachable)
      case 'claimOutcome': return this.ownership.claimOutcome(input.claimId, input.result)
      case 'leave': return this.leave()
    }
  }

  private receive (from: InstanceId, message: ShardMessage): void {
    if (from !== this.ctx.self.instance) {
      const life = 'incarnation' in message ? message.incarnation : undefined
      this.sessions.heard(from, life, 'address' in message ? message.address : '')
    }
    switch (message.type) {
      case 'ping': return this.pinged(from, message.incarnation, message.desiredVersion)
      case 'pong':
        this.sessions.db.learnOwned(from, message.owned)
        this.desired.heard(from, message.desiredVersion)
        if (this.ownsHere(from)) this.sessions.db.learnOthers(message.others, this.ctx.now)
        for (const { failureDomain } of [...message.owned, ...message.others]) this.intake.ownerKnown(failureDomain)
        return
      case 'announce':
        this.sessions.db.learnOwner({ failureDomain: message.failureDomain, owner: from, token: message.token })
        this.ownership.announced(message.failureDomain, from, message.token)
        return this.intake.ownerKnown(message.failureDomain)
      case 'submit': return this.receiveSubmit({ instance: from, incarnation: message.incarnation, address: message.address }, message)
      case 'checkJobs': return this.receiveCheck(from, message.failureDomain, message.jobIds)
      case 'cancelJob': return this.execution.cancel(message.jobId, from)
      case 'ended': return this.intake.ended(message.jobId, message.outcome)
      case 'declined': return this.intake.declined(message.jobId, from, message.attempt, message.retryAfterMs)
      case 'notOwner': return this.intake.unknownAt(message.jobId, from, message.failureDomain)
      case 'moved': return this.intake.moved(from, message.failureDomain, message.progress)
      case 'handover': return this.ownership.handedOver(message.failureDomain, message.revision, message.rank)
      case 'desiredRequest': return this.desired.asked(from)
      case 'desired': return this.desired.take(message.state, from)
    }
  }

  /** Messages to this instance itself take the same way as those to others, without a connection. */
  private deliver (to: InstanceId, message: ShardMessage): void {
    if (to !== this.ctx.self.instance) this.sessions.tell(to, message)
    else this.receive(to, message)
  }

  private tick (): void {
    const fronts = this.execution.fronts()
    this.sessions.tick(this.pingTargets(), peer => fronts.has(peer.instance) || (peer.pingsUs && this.pingsOn(peer.instance)))
    this.desired.tick()
    this.ownership.tick()
    this.endpoints.tick()
    this.execution.tick()
    this.intake.tick()
  }

  /** Owners that this instance pings itself, with the silence after which it does. */
  private pingTargets (): Map<InstanceId, Ms> {
    const { self, cfg } = this.ctx
    const { sessions } = this
    const used = this.intake.db.owners()
    const pingsAll = this.ownership.owns() || sessions.ownerOf(self.failureDomain) === undefined
    const targets = new Map<InstanceId, Ms>()
    for (const { failureDomain, owner } of sessions.db.shards.values()) {
      if (failureDomain === self.failureDomain) targets.set(owner, cfg.pingMs)
      else if (!targets.has(owner) && (pingsAll || used.has(owner) || sessions.isLost(owner))) targets.set(owner, cfg.remotePingMs)
    }
    targets.delete(self.instance)
    return targets
  }

  /** Fronts of the own domain ping its owner as long as both live; whoever owned it before is pinged no more. */
  private pingsOn (instance: InstanceId): boolean {
    return this.ownership.owns() && this.ownership.db.members.get(instance)?.failureDomain === this.ctx.self.failureDomain
  }

  /** @returns true when the instance owns this instance's own domain */
  private ownsHere (instance: InstanceId): boolean {
    return this.sessions.db.shards.get(this.ctx.self.failureDomain)?.owner === instance
  }

  /** What an owner tells a front brings its load along, so that fronts with jobs need no pings. */
  private tellFront (front: InstanceId, message: ShardMessage): void {
    this.deliver(front, message)
    const peer = this.sessions.db.peers.get(front)
    if (peer === undefined || front === this.ctx.self.instance || !this.ownership.owns()) return
    if (this.ctx.now - (peer.loadToldAt ?? -Infinity) >= this.ctx.cfg.pingMs) this.tellLoad(front)
  }

  private tellLoad (to: InstanceId): void {
    const { self, now } = this.ctx
    const peer = this.sessions.db.peers.get(to)
    if (peer !== undefined) peer.loadToldAt = now
    const owned: OwnedShard[] = [...this.ownership.db.owned.values()].map(({ failureDomain, token }) => ({ failureDomain, token, load: this.load() }))
    this.sessions.tell(to, { type: 'pong', incarnation: self.incarnation, owned, others: this.otherShards(), desiredVersion: this.desired.db.version() })
  }

  /** Shards of other domains whose owners this owner hears itself. */
  private otherShards (): OtherShard[] {
    const { db } = this.sessions
    const others: OtherShard[] = []
    for (const { failureDomain, owner, token, load, disowned } of db.shards.values()) {
      const peer = db.peers.get(owner)
      if (disowned || peer === undefined || peer.lost || peer.heardAt === undefined || this.ownership.db.owned.has(failureDomain)) continue
      others.push({ failureDomain, owner, address: peer.address, token, load })
    }
    return others
  }

  private pinged (from: InstanceId, incarnation: number, desiredVersion: number): void {
    this.sessions.pinged(from)
    this.execution.frontLost(from, incarnation)
    this.desired.heard(from, desiredVersion)
    this.tellLoad(from)
  }

  private load (): OwnedShard['load'] {
    const room = this.execution.room()
    const busyShare = room.totalCpuMilli === 0 ? 1 : 1 - room.freeCpuMilli / room.totalCpuMilli
    return { waitMs: room.totalCpuMilli === 0 ? this.ctx.cfg.ownerWaitMs : this.execution.admission.backlogMs(room), busyShare }
  }

  private receiveSubmit (front: FrontSession, message: Extract<ShardMessage, { type: 'submit' }>): void {
    const owned = this.ownership.db.owned.get(message.failureDomain)
    if (owned === undefined) {
      this.deliver(front.instance, { type: 'notOwner', jobId: message.order.job.id, failureDomain: message.failureDomain })
      return
    }
    this.execution.submit(front, message.failureDomain, message.order)
  }

  /**
   * Runs of an earlier owner are all known once every endpoint was looked at, or gone once their leases have run out.
   * Before the list is known in full, and while it was not read since the takeover, an earlier owner may have been at
   * work on endpoints that this one does not know, where nothing fences it.
   */
  private earlierRunsKnown (failureDomain: FailureDomain): boolean {
    const { now, cfg } = this.ctx
    const owned = this.ownership.db.owned.get(failureDomain)
    const { knownInFullSince, freshAt } = this.list
    if (owned === undefined || knownInFullSince === undefined) return false
    const since = Math.max(owned.since, knownInFullSince)
    if (now - since > cfg.supersededMs + cfg.leaseMs * (1 + cfg.clockDrift) + cfg.leaseSlackMs) return true
    if (freshAt === undefined || freshAt < owned.since) return false
    return this.list.of(failureDomain).every(report => this.endpoints.db.get(report.id)?.looked === true)
  }

  private receiveCheck (from: InstanceId, failureDomain: FailureDomain, jobIds: readonly JobId[]): void {
    const peer = this.sessions.db.peers.get(from)
    const front = { instance: from, incarnation: peer?.incarnation ?? this.ctx.self.incarnation, address: peer?.address ?? '' }
    this.execution.check(front, failureDomain, jobIds)
  }

  private linkDown (peer: InstanceId): void {
    this.sessions.linkDown(peer)
    this.intake.linkReplaced(peer)
  }

  private peerLost (instance: InstanceId): void {
    this.execution.frontLost(instance, undefined)
    this.intake.ownerLost(instance)
  }

  private peerHeard (instance: InstanceId): void {
    for (const shard of this.sessions.db.shards.values()) {
      if (shard.owner === instance) this.intake.ownerKnown(shard.failureDomain)
    }
  }

  private ownershipGained (failureDomain: FailureDomain): void {
    this.endpoints.adopt(this.list.of(failureDomain))
    this.intake.ownerKnown(failureDomain)
  }

  private ownershipLost (failureDomain: FailureDomain, successor: InstanceId | undefined): void {
    const shard = this.sessions.db.shards.get(failureDomain)
    if (shard?.owner === this.ctx.self.instance) shard.disowned = true
    const byFront = this.execution.release(failureDomain)
    this.endpoints.release(failureDomain)
    for (const [front, progress] of byFront) {
      this.deliver(front.instance, { type: 'moved', failureDomain, to: successor ?? this.ctx.self.instance, progress })
    }
  }

  private takeReports (reports: readonly EndpointReport[], fresh: boolean): void {
    this.list.take(reports, fresh)
    this.endpoints.update(reports.filter(report => this.ownership.db.owned.has(report.failureDomain)))
  }

  private endpointGone (id: EndpointId): void {
    this.endpoints.forget(id)
    this.placement.db.forget(id)
  }

  private takeRecords (input: Extract<ShardInput, { type: 'records' }>): void {
    const { self, out } = this.ctx
    this.ownership.recordsRead(input.members, input.shards)
    if (this.leaving || this.ownership.db.members.get(self.instance)?.incarnation === self.incarnation) return
    if (this.ctx.now - this.registeredAt < REGISTER_PAUSE_MS) return
    this.registeredAt = this.ctx.now
    out.push({ type: 'writeMember', record: { ...self } })
  }

  private noteStore (reachable: boolean): void {
    if (reachable === this.storeReachable) return
    this.storeReachable = reachable
    this.ctx.out.log(reachable ? 'store.regained' : 'store.lost', {}, reachable ? 'info' : 'warn')
    if (!reachable) return
    this.list.storeRegained()
  }

  private leave (): void {
    this.leaving = true
    this.intake.leave()
    this.ownership.leave()
  }

  /** A process that stood still cannot know what others did meanwhile; it starts over with what it has. */
  private noticePause (now: Ms, wall: Ms): void {
    const { cfg, out } = this.ctx
    const steady = now - (this.lastAt ?? now)
    const passed = Math.max(steady, wall - (this.lastWall ?? wall))
    this.lastAt = now
    this.lastWall = wall
    if (passed < cfg.pauseMs) return
    out.count('shard.pauses')
    out.log('process.paused', { pausedMs: Math.round(passed), steadyMs: Math.round(steady), frontedJobs: this.intake.db.jobs.size, ownedJobs: this.execution.db.jobs.size }, 'warn')
    this.intake.loseAll()
    this.execution.dropAll()
    this.endpoints.lookAgain()
  }

  private updateListPace (): void {
    const { self, out } = this.ctx
    const pace = this.ownership.owns() ? 'owner' : this.sessions.ownerOf(self.failureDomain) === undefined || this.ownership.isNearSuccessor() ? 'near' : 'far'
    if (pace === this.listPace) return
    this.listPace = pace
    out.push({ type: 'listPace', pace })
  }

  private updateState (): void {
    this.updateListPace()
    const ready = !this.leaving && this.desired.db.state !== undefined && this.hasOwner()
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

  private hasOwner (): boolean {
    for (const failureDomain of this.sessions.db.shards.keys()) {
      if (this.sessions.ownerOf(failureDomain) !== undefined) return true
    }
    return false
  }
}
