/**
 * The entry point of core: `Instance.handle` takes one input and returns the effects that follow from it. This module
 * creates the deciders, routes inputs and peer messages to them, and keeps the instance's lifecycle state; the rules
 * are in the deciders' own folders. It does no I/O and has no timers and no clock, so tests run it deterministically.
 */
import type { Answer, Fleet, InstanceId, MemberStatus, Ms, PeerMessage } from '@cranberryyard/protocol'
import { holderId, ms } from '@cranberryyard/protocol'
import { ContractsDecider } from '../contracts/contractsDecider.js'
import { DeadlinesDecider } from '../deadlines/deadlinesDecider.js'
import { DeduplicationDecider } from '../deduplication/deduplicationDecider.js'
import { HealthDecider } from '../health/healthDecider.js'
import { JobsDecider } from '../jobs/jobsDecider.js'
import { LimitsDecider } from '../limits/limitsDecider.js'
import { MembershipDecider } from '../membership/membershipDecider.js'
import type { OwnReport } from '../membership/membershipDecider.js'
import { RosterDecider } from '../roster/rosterDecider.js'
import { RoutingDecider } from '../routing/routingDecider.js'
import { SchedulingDecider, failedAnswer } from '../scheduling/schedulingDecider.js'
import type { SchedulingDependencies } from '../scheduling/schedulingDecider.js'
import type { JobOrder } from '../scheduling/types.js'
import { Chart } from '../utils/chart.js'
import { seededRandom } from '../utils/random.js'
import { Outbox } from './context.js'
import type { Context } from './context.js'
import type { StatusReport } from './status.js'
import { composeStatus } from './status.js'
import type { CoreConfig, Effect, Input, Self } from './types.js'

/** Identity, configuration and random seed of a new instance. */
export interface InstanceOptions {
  readonly instance: InstanceId
  /** Start time of the process in milliseconds; a restarted process has a larger one. */
  readonly incarnation: number
  readonly failureDomain: Self['failureDomain']
  readonly address: string
  readonly cfg: CoreConfig
  readonly seed: number
}

type LifecycleState = 'starting' | 'serving' | 'leaving' | 'drained'
type LifecycleEvent = 'confirmed' | 'leave' | 'empty'

/** All deciders of one entry instance, behind a single input handler. */
export class Instance {
  readonly ctx: Context
  readonly membership: MembershipDecider
  readonly contracts: ContractsDecider
  readonly limits: LimitsDecider
  readonly health: HealthDecider
  readonly routing: RoutingDecider
  readonly deadlines = new DeadlinesDecider()
  readonly scheduling: SchedulingDecider
  readonly deduplication: DeduplicationDecider
  readonly jobs: JobsDecider
  readonly roster: RosterDecider
  private readonly lifecycle = new Chart<LifecycleState, LifecycleEvent>('instance')
  private state: LifecycleState

  constructor (options: InstanceOptions) {
    const { instance, incarnation, failureDomain, address, cfg, seed } = options
    const self = { instance, incarnation, failureDomain, address, holder: holderId(instance, incarnation) }
    this.ctx = { self, cfg, random: seededRandom(seed), out: new Outbox(), now: ms(0), wall: ms(0) }
    this.state = this.lifecycle.initial
    const { ctx } = this
    this.membership = new MembershipDecider(ctx, () => this.ownReport())
    this.contracts = new ContractsDecider(ctx, this.membership, () => ({ endpoints: this.routing.db.all().map(e => e.info) }))
    this.limits = new LimitsDecider(ctx, this.membership, customer => this.scheduling.db.queue.waitingTasksOf(customer))
    this.health = new HealthDecider(ctx)
    this.routing = new RoutingDecider(ctx, this.membership, this.health, () => this.state === 'serving')
    this.scheduling = this.makeScheduling()
    this.deduplication = new DeduplicationDecider(ctx, this.membership, () => this.limits.isAcknowledged, (id, outcome) => this.jobs.claimEnded(id, outcome))
    this.jobs = this.makeJobs()
    this.roster = new RosterDecider(ctx, this.membership, this.contracts, this.limits, () => this.deduplication.readyEpoch)
    this.contracts.addFleetListener({ fleetAdopted: (fleet, previous) => this.fleetAdopted(fleet, previous) })
  }

  /**
   * Handles one input.
   * @param input - the event
   * @param now - monotonic time
   * @param wall - wall-clock time, agreed between machines within the configured skew
   * @returns the actions that the shell carries out, in order
   */
  handle (input: Input, now: Ms, wall: Ms): Effect[] {
    this.ctx.now = now
    this.ctx.wall = wall
    this.dispatch(input)
    return this.ctx.out.takeEffects()
  }

  /** @returns the status report for operators; composing it changes no state */
  status (): StatusReport {
    return composeStatus(this, this.state)
  }

  /** @returns totals of all counters since the start */
  counters (): ReadonlyMap<string, number> {
    return this.ctx.out.totals()
  }

  private dispatch (input: Input): void {
    switch (input.type) {
      case 'tick': return this.tick()
      case 'submit': return this.jobs.submit(input.callId, input.keyHash, input.job)
      case 'fetch': return this.jobs.fetch(input.callId, input.keyHash, input.submissionId)
      case 'cancel': return this.jobs.cancel(input.callId, input.keyHash, input.submissionId)
      case 'peer': return this.receive(input.from, input.message)
      case 'sendFailed': return this.sendFailed(input.to, input.message)
      case 'linkDown': return this.linkDown(input.peer)
      case 'startOutcome': return this.scheduling.startOutcome(input.taskId, input.outcome)
      case 'renewOutcome': return this.scheduling.renewOutcome(input.tasks, input.renewed)
      case 'probeOutcome': return this.probeOutcome(input)
      case 'storeValue': return this.contracts.receiveStoreValue(input.source, input.revision, input.fleet)
      case 'storeUnchanged': return this.contracts.receiveStoreUnchanged()
      case 'storeFailed': return this.contracts.receiveStoreFailure(input.operation)
      case 'casOutcome': return this.contracts.casOutcome(input.attempt, input.result)
      case 'archiveOutcome': return this.contracts.archiveOutcome(input.through, input.ok)
      case 'instanceList': return this.instanceList(input)
      case 'peers': return this.setConfiguredAddresses(input)
      case 'change': return this.contracts.receiveChange(input.callId, input.request)
      case 'leave': return this.leave()
    }
  }

  private receive (from: InstanceId, message: PeerMessage): void {
    switch (message.type) {
      case 'gossip':
        this.membership.receiveGossip(from, message.entries, message.fleetVersion)
        return this.contracts.receiveVersion(from, message.fleetVersion)
      case 'fleetRequest': return this.contracts.sendFleet(from)
      case 'fleet': return this.contracts.receiveFleet(from, message.fleet, message.storeRevision, message.confirmed)
      case 'forward': return this.receiveForward(from, message.job)
      case 'forwardCancel': return this.scheduling.cancel(message.submissionId)
      case 'forwardCheck': return this.receiveForwardCheck(from, message)
      case 'forwardReturn': return this.jobs.returned(message.submissionId, from)
      case 'forwardAnswer': return this.jobs.answered(message.answer)
      case 'answerRequest': return this.jobs.receiveAnswerRequest(from, message.customer, message.submissionId, message.replyTo)
      case 'answerReply': return this.jobs.receiveAnswerReply(message.replyTo, message.answer, message.pending)
      case 'permitRequest': return this.limits.receiveRequest(from, message)
      case 'permitGrant':
        this.limits.receiveGrant(message)
        return this.scheduling.startWaitingTasks()
      case 'claimRequest': return this.deduplication.receiveRequest(from, message.epoch, message.claim)
      case 'claimVote': return this.deduplication.receiveVote(from, message.epoch, message.submissionId, message.verdict)
      case 'claimRelease': return this.deduplication.receiveRelease(message.customer, message.requestId, message.submissionId)
      case 'claimsRequest': return this.deduplication.receiveImportRequest(from, message.epoch, message.buckets)
      case 'claimsReply': return this.deduplication.receiveImport(message.epoch, message.holder, message.buckets, message.claims)
    }
  }

  private tick (): void {
    this.membership.tick()
    this.contracts.tick()
    this.advanceLifecycle()
    this.routing.refresh()
    this.limits.tick()
    this.health.tick(id => this.routing.db.get(id)?.info.address)
    this.deduplication.tick()
    this.scheduling.tick()
    this.jobs.tick()
    this.roster.tick(this.memberStatus())
  }

  private advanceLifecycle (): void {
    if (this.state === 'starting' && this.contracts.confirmed) this.transition('confirmed')
    if (this.state !== 'leaving') return
    this.scheduling.returnUnstarted()
    const empty = this.scheduling.isEmpty() && this.jobs.db.size() === 0
    if (empty && !this.limits.hasLent() && this.roster.hasLeft()) this.transition('empty')
  }

  private transition (event: LifecycleEvent): void {
    const next = this.lifecycle.next(this.state, event)
    if (next === undefined || next === this.state) return
    this.state = next
    this.ctx.out.push({ type: 'log', event: 'instance.state', fields: { state: next } })
    if (next !== 'starting') this.ctx.out.push({ type: 'state', name: next })
  }

  private leave (): void {
    this.transition('leave')
    this.limits.stopLending()
    this.routing.refresh()
    this.membership.broadcast()
    this.scheduling.returnUnstarted()
  }

  private memberStatus (): MemberStatus {
    return this.state === 'drained' ? 'leaving' : this.state
  }

  private ownReport (): OwnReport {
    return {
      status: this.memberStatus(),
      versionInForce: this.limits.versionInForce,
      versionKnown: this.contracts.version,
      claimsReadyEpoch: this.deduplication.readyEpoch,
      backlog: this.scheduling.backlog
    }
  }

  private fleetAdopted (fleet: Fleet, previous: Fleet): void {
    this.limits.fleetAdopted(fleet)
    this.routing.fleetAdopted(fleet)
    this.deduplication.fleetAdopted(fleet, previous)
    this.roster.fleetAdopted(fleet, previous)
  }

  private receiveForward (from: InstanceId, forwarded: Extract<PeerMessage, { type: 'forward' }>['job']): void {
    const { submissionId, customer, job, remainingMs } = forwarded
    if (!this.scheduling.noteForwarded(submissionId)) return
    const terms = this.contracts.db.terms(customer, job.kind)
    const weight = this.contracts.db.contract(customer)?.weight ?? 1
    if (this.state !== 'serving' || terms === undefined) {
      this.membership.send(from, { type: 'forwardReturn', submissionId })
      return
    }
    const deadline = ms(this.ctx.now + remainingMs)
    this.scheduling.enqueue({ submissionId, customer, job, terms, weight, front: from, deadline })
  }

  /**
   * Answers a front (the instance that accepted a job) that lost its connection and asks for the state of a job that it
   * forwarded. A job that never arrived is returned to the front, and ignored if it arrives later. Only the incarnation
   * that the job was forwarded to may answer: a later one does not know which tasks the earlier one has started.
   */
  private receiveForwardCheck (from: InstanceId, check: Extract<PeerMessage, { type: 'forwardCheck' }>): void {
    const { scheduler, submissionId, ageMs } = check
    if (scheduler !== this.ctx.self.holder) return
    const state = this.scheduling.checkForwarded(submissionId, ageMs)
    switch (state.type) {
      case 'ended': return this.membership.send(from, { type: 'forwardAnswer', answer: state.answer })
      case 'neverArrived': return this.membership.send(from, { type: 'forwardReturn', submissionId })
      case 'held':
      case 'forgotten':
    }
  }

  private sendFailed (to: InstanceId, message: PeerMessage): void {
    this.membership.db.markLinkDown(to)
    if (message.type === 'forward') this.jobs.returned(message.job.submissionId, to)
  }

  private linkDown (peer: InstanceId): void {
    this.membership.db.markLinkDown(peer)
    this.jobs.checkForwardedJobs(peer)
    this.routing.refresh()
  }

  private probeOutcome (input: Extract<Input, { type: 'probeOutcome' }>): void {
    this.health.recordProbeResult(input.endpoint, input.healthy)
    this.scheduling.startWaitingTasks()
  }

  private setConfiguredAddresses (input: Extract<Input, { type: 'peers' }>): void {
    for (const peer of input.peers) this.membership.db.setConfiguredAddress(peer.instance, peer.address)
  }

  private instanceList (input: Extract<Input, { type: 'instanceList' }>): void {
    for (const peer of input.peers) {
      if (peer.instance !== this.ctx.self.instance) this.membership.db.learnAddress(peer.instance, peer.address)
    }
    this.routing.adoptEndpointList(input.endpoints)
  }

  private makeScheduling (): SchedulingDecider {
    const { limits, routing, health, deadlines } = this
    const bounds: SchedulingDependencies['bounds'] = customer => this.contracts.db.contract(customer)?.limits
    return new SchedulingDecider(this.ctx, { limits, routing, health, deadlines, bounds }, {
      jobAnswered: (order, answer) => this.deliver(order, answer),
      jobReturned: order => this.returnJob(order)
    })
  }

  private makeJobs (): JobsDecider {
    const { contracts, deduplication, membership, routing, scheduling } = this
    return new JobsDecider(this.ctx, { contracts, deduplication, membership, routing, scheduling, status: () => this.memberStatus() })
  }

  private deliver (order: JobOrder, answer: Answer): void {
    if (order.front === undefined) {
      this.jobs.answered(answer)
      return
    }
    this.scheduling.db.retainAnswer(answer, this.ctx.now)
    this.membership.send(order.front, { type: 'forwardAnswer', answer })
  }

  /**
   * Returns an unstarted job to its front when this instance leaves. A job that this instance accepted itself goes to
   * another serving instance; without one it fails with a code that says that nothing has run.
   */
  private returnJob (order: JobOrder): void {
    if (order.front !== undefined) {
      this.membership.send(order.front, { type: 'forwardReturn', submissionId: order.submissionId })
      return
    }
    if (this.membership.serving().length > 0) this.jobs.returnedHere(order.submissionId)
    else this.jobs.answered(failedAnswer(order.submissionId, { name: 'leaving', message: 'the instance is leaving; not run', ran: 'no' }))
  }
}
