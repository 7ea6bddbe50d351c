/**
 * Executes jobs at the owner of a shard: takes or declines a job, follows its runs, restarts failed and lost tasks, and reports
 * one outcome to the front. What it decides with is kept apart so that each part can be tested alone: admission (which jobs, in
 * which order), placement (which endpoint), the endpoint ledger (which runs occupy which endpoint), and beside this module the
 * round of starts, the room of the shard, slow runs, faults of runs and the adoption of runs that were found.
 */
import type { DispatchOrder, EndpointId, FailureDomain, FencingToken, InstanceId, JobId, JobOutcome, JobProgress, Ms, Resources, RunEnd, ShardMessage } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { AttemptsDecider } from '../attempts/attemptsDecider.js'
import { jobIdOf } from '../attempts/attemptsDb.js'
import { crashOf, faultOfLoss, refusalOf } from '../attempts/faults.js'
import { AdmissionDecider } from '../admission/admissionDecider.js'
import type { ShardCapacity } from '../admission/types.js'
import type { EndpointsDecider } from '../endpoints/endpointsDecider.js'
import type { LedgerEndpoint, LedgerRun, RejectionReason, RunListener, RunLoss } from '../endpoints/types.js'
import type { PlacementDecider } from '../placement/placementDecider.js'
import type { ShedJob } from '../shedding/types.js'
import type { LogFields, ShardContext } from '../shard/types.js'
import { Adoption } from './adoption.js'
import { ExecutionDb, runsEndBy } from './executionDb.js'
import { JobEstimates } from './jobEstimates.js'
import { RunFaults, jobIdsOf } from './runFaults.js'
import { ShardRoom } from './shardRoom.js'
import { SlowRuns } from './slowRuns.js'
import { healthyRunMs } from './speed.js'
import { StartRound } from './startRound.js'
import type { FrontSession, OwnedJob, OwnedStep, OwnedTask } from './types.js'

/** Interval at which waiting jobs are reassessed, because other jobs may have overtaken them in the meantime. */
const REASSESS_INTERVAL_MS = 60
/** Retry delay for a job that an evacuated domain turns away; its front tries the other domains first. */
const EVACUATED_RETRY_MS = ms(1000)

/** Outgoing calls of the execution decision, to fronts and to shard ownership. */
export interface ExecutionPorts {
  sendToFront (front: FrontSession, message: ShardMessage): void
  superseded (failureDomain: FailureDomain, token: FencingToken): void
  /** Something new is known about attempts at tasks of these jobs, each with the front that has sent it, if this owner has the job. */
  attemptsChanged (jobs: ReadonlyMap<JobId, FrontSession | undefined>): void
  /** Returns false while the job has its queue from a newer version of the desired state, and the one in force here does not have that queue. */
  isQueueInForce (job: OwnedJob): boolean
  /** Returns false while runs of an earlier owner may exist for the job that this owner has not yet seen. */
  earlierRunsKnown (job: OwnedJob): boolean
  /** Returns false while the job's domain is evacuated. */
  evacuationAllowsStart (job: OwnedJob): boolean
  /** Returns whether a domain is evacuated, so that its room is of no use. */
  isEvacuated (failureDomain: FailureDomain): boolean
}

/** Executes the jobs of the shards that this instance owns. */
export class ExecutionDecider implements RunListener {
  readonly db = new ExecutionDb()
  readonly admission = new AdmissionDecider<OwnedJob>()
  readonly startRound: StartRound
  readonly slowRuns: SlowRuns
  readonly room: ShardRoom
  private readonly estimates: JobEstimates
  private readonly faults: RunFaults
  private readonly adoption: Adoption
  private nextReassessmentAt = ms(0)
  endpoints!: EndpointsDecider

  constructor (private readonly ctx: ShardContext, private readonly placement: PlacementDecider, private readonly attempts: AttemptsDecider, private readonly ports: ExecutionPorts) {
    const endpoints = (): EndpointsDecider => this.endpoints
    this.estimates = new JobEstimates(ctx)
    this.room = new ShardRoom(ctx, placement, endpoints, failureDomain => ports.isEvacuated(failureDomain))
    this.startRound = new StartRound(ctx, { placement, attempts, admission: this.admission, estimates: this.estimates, endpoints, mayStart: job => this.mayStart(job) })
    this.slowRuns = new SlowRuns(ctx, { placement, estimates: this.estimates, endpoints, candidates: () => this.startRound.candidates(), speedAt: id => this.speedAt(id), nextStart: (job, step) => this.room.forecast(job.order.queue.service, step.spec.needs.cpuMilli).peek({ tasks: 1, runMs: this.estimates.expectedMs(job, step) }), mayRestart: job => ports.evacuationAllowsStart(job) })
    this.faults = new RunFaults(placement, attempts, jobs => this.shareAttempts(jobs))
    this.adoption = new Adoption(ctx, attempts, this.estimates, endpoints)
  }

  /**
   * Handles a job sent by a front: joins a copy to the job already held, resends a kept outcome, or admits a new job.
   * @param sentAt - when the front sent this copy, at the earliest
   * @returns false if a later copy was dropped, or if this one may be so old that its front has given the job up, which then may run elsewhere
   */
  submit (front: FrontSession, failureDomain: FailureDomain, order: DispatchOrder, sentAt: Ms): boolean {
    const { id } = order.job
    const known = this.db.jobs.get(id)
    const outcome = this.db.outcomeOf(id)
    if (known === undefined && outcome !== undefined) {
      this.ports.sendToFront(front, { type: 'ended', jobId: id, outcome })
      return true
    }
    if (known === undefined && this.db.isDropped(id, front, order.attempt)) return this.refuseOutdated(front, order, 'overtaken', sentAt)
    if (this.ctx.now - sentAt > this.ctx.cfg.jobLeaseMs) {
      if (known === undefined) this.db.keepDropped(id, front, order.attempt, !order.resumed, this.ctx.now)
      return this.refuseOutdated(front, order, 'tooOld', sentAt)
    }
    if (known === undefined) this.submitNew(front, failureDomain, order, sentAt)
    else this.join(known, front, order, sentAt)
    return true
  }

  private submitNew (front: FrontSession, failureDomain: FailureDomain, order: DispatchOrder, sentAt: Ms): void {
    const { id } = order.job
    const job = this.estimates.makeJob(front, failureDomain, order, sentAt)
    this.attempts.learn(order.attempts ?? [])
    if (this.attempts.hopelessTaskOf(id, order.queue.maxAttempts) !== undefined) {
      this.db.jobs.set(id, job)
      this.failIfHopeless(job)
      return
    }
    if (order.resumed || this.adoption.hasRuns(job) || this.admit(job)) this.accept(job)
  }

  /** Abandons a job whose caller has disconnected; only the front that answers for the job may cancel it. Copies that the cancel has overtaken are not taken. */
  cancel (id: JobId, from: InstanceId, { incarnation, attempt }: { readonly incarnation?: number, readonly attempt?: number } = {}): void {
    const job = this.db.jobs.get(id)
    if (job !== undefined && job.front.instance === from && (attempt === undefined || attempt >= job.attempt)) this.abandon(job, 'callerLeft')
    if (incarnation !== undefined && attempt !== undefined) this.db.keepDropped(id, { instance: from, incarnation }, attempt, false, this.ctx.now)
  }

  /**
   * Abandons the jobs of a lost front, whose callers resend them to any front.
   * @param instance - the front
   * @param incarnation - the front's live incarnation, whose jobs are kept; undefined when the front is lost altogether
   */
  frontLost (instance: InstanceId, incarnation: number | undefined): void {
    for (const job of [...this.db.jobs.values()]) {
      if (job.front.instance !== instance) continue
      if (incarnation !== undefined && job.front.incarnation === incarnation) continue
      this.abandon(job, 'frontLost')
      this.ports.sendToFront(job.front, { type: 'notOwner', jobId: job.id, failureDomain: job.failureDomain })
    }
  }

  /** Called when more is known about the attempts at a job's tasks; fails the job if one of them must not start again. */
  attemptsLearned (id: JobId): void {
    const job = this.db.jobs.get(id)
    if (job !== undefined) this.failIfHopeless(job)
  }

  /** @returns the instances that answer to the callers of the jobs held here */
  frontInstances (): Set<InstanceId> {
    const fronts = new Set<InstanceId>()
    for (const { front } of this.db.jobs.values()) fronts.add(front.instance)
    return fronts
  }

  /**
   * Answers a front that confirms the jobs it still wants: resends the outcome of ended jobs and reports unknown ones, which
   * it has to resubmit.
   * @param sentAt - when the front sent the confirmation, at the earliest
   */
  confirmJobs (front: FrontSession, failureDomain: FailureDomain, ids: readonly JobId[], sentAt: Ms): void {
    for (const id of ids) {
      const job = this.db.jobs.get(id)
      if (job !== undefined) {
        if (job.front.instance === front.instance) this.confirm(job, sentAt)
        continue
      }
      const outcome = this.db.outcomeOf(id)
      const attempt = this.db.refusedAttempt(id, front)
      this.ports.sendToFront(front, outcome === undefined ? { type: 'notOwner', jobId: id, failureDomain, ...attempt === undefined ? {} : { attempt } } : { type: 'ended', jobId: id, outcome })
    }
  }

  /** Forgets all jobs, after a pause of this process during which their fronts may have given them up. */
  forgetAllJobs (): void {
    for (const job of [...this.db.jobs.values()]) this.forget(job)
    this.endpoints.unclaimRuns()
  }

  /** Forgets the jobs of a shard without stopping their runs, and returns the finished tasks of each job by front. */
  releaseShard (failureDomain: FailureDomain): Map<FrontSession, JobProgress[]> {
    const byFront = new Map<FrontSession, JobProgress[]>()
    for (const job of [...this.db.jobs.values()]) {
      if (job.failureDomain !== failureDomain) continue
      const known = [...byFront.keys()].find(front => front.instance === job.front.instance) ?? job.front
      byFront.set(known, [...byFront.get(known) ?? [], { jobId: job.id, done: doneTasks(job) }])
      this.forget(job)
    }
    return byFront
  }

  /**
   * Clears evacuated domains of waiting jobs: one that has not run is declined, and the rest of one that has run is released as soon as nothing of it
   * runs any more. What runs is finished.
   */
  leaveEvacuatedDomains (): void {
    for (const job of [...this.admission.db.waiting]) {
      if (this.ports.evacuationAllowsStart(job)) continue
      if (!job.mayHaveRun) {
        this.forget(job)
        this.decline(job, 'evacuated', EVACUATED_RETRY_MS)
      } else if (!this.adoption.hasRuns(job) && (!job.order.resumed || this.ports.earlierRunsKnown(job))) {
        this.release(job)
      }
    }
  }

  /** Evacuations were learned or have ended, which changes the room of the shard. */
  evacuationsChanged (): void {
    this.room.changed()
    this.leaveEvacuatedDomains()
    this.startRound.request()
  }

  /** Returns the number of runs in a domain. */
  runsIn (failureDomain: FailureDomain): number {
    return this.endpoints.db.inFailureDomain(failureDomain).reduce((sum, { runs }) => sum + runs.size, 0)
  }

  /** Stops runs that no job claimed, abandons jobs that nobody waits for, and declines waiting jobs that can no longer finish in time. */
  tick (): void {
    this.db.expire(this.ctx.now)
    this.attempts.tick()
    this.adoption.stopUnclaimed()
    for (const job of [...this.db.jobs.values()]) this.tickJob(job)
    this.leaveEvacuatedDomains()
    this.reassessWaitingJobs()
    if (this.admission.db.waiting.size > 0) this.startRound.request()
  }

  /** Starts waiting tasks if jobs or capacity have changed since the last call. */
  startWaitingTasks (): void {
    this.startRound.run()
  }

  /** @returns total and free capacity of all usable endpoints */
  capacity (): ShardCapacity {
    return this.room.capacity()
  }

  runStarted (run: LedgerRun): void {
    const found = this.db.find(run.task)
    if (found === undefined || found.task.run !== run) this.endpoints.stop(run)
  }

  runEnded (run: LedgerRun, how: RunEnd, endTimeKnown: boolean): void {
    this.startRound.request()
    const found = this.db.find(run.task)
    if (how === 'done') this.ctx.out.count('shard.tasks.done')
    if (how === 'failed') this.ctx.out.count('shard.tasks.failed')
    if (found === undefined || found.task.run !== run) return
    found.task.run = undefined
    switch (how) {
      case 'done': return this.taskDone(found.job, found.task, run, endTimeKnown)
      case 'failed': return this.taskFailed(found.job, found.task, run)
      case 'stopped':
      case 'lapsed': return this.requeue(found.job)
    }
  }

  runRejected (run: LedgerRun, reason: RejectionReason): void {
    const endpoint = this.endpoints.db.get(run.endpoint)
    if (reason === 'refused' && endpoint !== undefined && this.faults.isKnown(run)) this.faults.record([run], endpoint, 'outOfReach')
    const found = this.db.find(run.task)
    if (found === undefined || found.task.run !== run) return
    const { job, task } = found
    task.run = undefined
    if (reason === 'unhealthy' || reason === 'invalid') {
      task.avoid.add(run.endpoint)
      this.placement.recordFailure(run.endpoint)
    }
    this.ctx.out.log('task.rejected', { job: job.id, task: task.name, run: run.run, endpoint: run.endpoint, reason })
    this.requeue(job)
  }

  /**
   * Makes all tasks suspect that may have crashed the endpoint, without waiting for the end of their leases, since this owner may be lost
   * before that. No job ends for it: the endpoint may be cut off and go on with its runs.
   */
  endpointRefused (endpoint: LedgerEndpoint, runs: readonly LedgerRun[], runsThere: number): void {
    this.ctx.out.log('endpoint.refused', { endpoint: endpoint.id, runs: runsThere, lastAnswerAgeMs: Math.round(this.ctx.now - endpoint.answeredAt) }, 'warn')
    if (runs.length === 0) return
    this.ctx.out.count('shard.endpoints.crashed')
    this.faults.record(runs, endpoint, refusalOf(runsThere))
    for (const { task } of runs) {
      if (this.attempts.standingOf(task) === 'unclear') this.ctx.out.log('task.unclear', { job: jobIdOf(task), task, endpoint: endpoint.id, faults: this.attempts.db.faultsOf(task).join() }, 'warn')
    }
  }

  endpointAnswered ({ id }: LedgerEndpoint, bornAt: number): void {
    const changed = this.attempts.endpointAnswered(id, bornAt)
    if (changed.size === 0) return
    this.shareAttempts(changed)
    for (const jobId of changed) this.attemptsLearned(jobId)
  }

  endpointBack (endpoint: LedgerEndpoint, runs: readonly LedgerRun[]): void {
    this.faults.record(runs, endpoint, 'outOfReach')
  }

  endpointHadCrashed (endpoint: LedgerEndpoint, runs: readonly LedgerRun[]): void {
    this.ctx.out.count('shard.endpoints.crashed')
    this.faults.record(runs, endpoint, crashOf(runs.length))
    for (const id of jobIdsOf(runs)) this.attemptsLearned(id)
  }

  runLost (run: LedgerRun, { why, runsThere, endpoint }: RunLoss): void {
    const fault = faultOfLoss(why, runsThere)
    if (fault !== undefined) this.faults.record([run], endpoint, fault)
    const found = this.db.find(run.task)
    if (found === undefined || found.task.run !== run) return
    const { job, task } = found
    task.run = undefined
    task.lostRuns++
    this.ctx.out.log('task.lost', { job: job.id, task: task.name, run: run.run, endpoint: run.endpoint, why, runsThere, lostRuns: task.lostRuns, standing: this.attempts.standingOf(task.name), ageMs: Math.round(this.ctx.now - run.orderedAt) })
    if (!this.failIfHopeless(job)) this.requeue(job)
  }

  runFound (run: LedgerRun): void {
    const found = this.db.find(run.task)
    if (found !== undefined) this.adoption.adopt(found.job, found.task, run)
  }

  runProgressed (run: LedgerRun): void {
    const found = this.db.find(run.task)
    if (found !== undefined && found.task.run === run) this.slowRuns.progressed(found.job, found.task, run)
  }

  capacityChanged (): void {
    this.startRound.request()
  }

  superseded (failureDomain: FailureDomain, token: FencingToken): void {
    this.ports.superseded(failureDomain, token)
  }

  private join (job: OwnedJob, front: FrontSession, order: DispatchOrder, sentAt: Ms): void {
    const { out } = this.ctx
    const isSameFront = job.front.instance === front.instance && job.front.incarnation === front.incarnation
    this.confirm(job, sentAt)
    job.attempt = isSameFront ? Math.max(job.attempt, order.attempt) : order.attempt
    if (isSameFront) return
    out.count('shard.jobs.joined')
    out.log('job.joined', { job: job.id, attempt: order.attempt, front: front.instance, before: job.front.instance, transitMs: Math.round(this.ctx.now - sentAt) })
    job.front = front
  }

  private confirm (job: OwnedJob, sentAt: Ms): void {
    job.heardAt = this.ctx.now
    job.confirmedAt = ms(Math.max(job.confirmedAt, sentAt))
    job.runLease.endsBy = runsEndBy(job.confirmedAt, this.ctx.cfg)
  }

  private refuseOutdated (front: FrontSession, { job, attempt, resumed }: DispatchOrder, why: 'overtaken' | 'tooOld', sentAt: Ms): false {
    const { out, now } = this.ctx
    out.count('shard.jobs.outdated')
    out.log('job.outdated', { job: job.id, why, front: front.instance, attempt, resumed, transitMs: sentAt === -Infinity ? undefined : Math.round(now - sentAt) })
    return false
  }

  private admit (job: OwnedJob): boolean {
    if (!this.ports.evacuationAllowsStart(job)) return this.decline(job, 'evacuated', EVACUATED_RETRY_MS)
    this.room.learnSizes(job)
    if (!this.room.canFit(job)) return this.decline(job, 'cannotFit', this.ctx.cfg.ownerWaitMs)
    const verdict = this.admission.decide(job, {
      now: this.ctx.now,
      capacity: this.capacity(),
      forecast: (service, cpuMilli) => this.room.forecast(service, cpuMilli, largestNeeds(job)),
      lastChance: job.order.lastChance === true,
      lateCpuMilli: this.lateCpuMilli()
    })
    if (verdict.type === 'decline') return this.decline(job, verdict.why, verdict.retryAfterMs)
    job.admittedLate = verdict.late
    this.shed(verdict.displaced)
    return true
  }

  /** @returns CPU of the unfinished tasks of jobs that were admitted although they can only be late */
  private lateCpuMilli (): number {
    let cpuMilli = 0
    for (const job of this.db.jobs.values()) {
      if (!job.admittedLate) continue
      for (const step of job.steps) cpuMilli += step.unfinishedTasks * step.spec.needs.cpuMilli
    }
    return cpuMilli
  }

  /** Declines jobs that had been admitted. All are forgotten first, so that none counts as waiting behind another. */
  private shed (jobs: readonly ShedJob<OwnedJob>[]): void {
    const retryAfterMs = (): Ms => this.admission.retryAfter(this.capacity(), this.ctx.now)
    for (const { job } of jobs) this.forget(job)
    for (const { job, why, price, keptPrice } of jobs) {
      this.ctx.out.count('shard.jobs.shed')
      this.decline(job, why, retryAfterMs(), { price: round(price), keptPrice: round(keptPrice) })
    }
  }

  private decline (job: OwnedJob, why: string, retryAfterMs: Ms, prices: LogFields = {}): false {
    const { out, now } = this.ctx
    this.db.keepDropped(job.id, job.front, job.attempt, !job.mayHaveRun, now)
    out.count('shard.jobs.declined')
    out.log('job.declined', { job: job.id, why, front: job.front.instance, queue: job.order.queue.name, waitedMs: Math.round(now - job.receivedAt), backlogMs: Math.round(this.admission.backlogMs(this.capacity())), waitingJobs: this.admission.db.waiting.size, price: round(this.admission.shedding.priceOf(job, now)), roomPrice: round(this.admission.shedding.db.roomPrice(now)), retryAfterMs: Math.round(retryAfterMs), ...prices })
    this.ports.sendToFront(job.front, { type: 'declined', jobId: job.id, attempt: job.attempt, retryAfterMs })
    return false
  }

  /** Hands the rest of a job back to its front, which sends it to another domain. */
  private release (job: OwnedJob): void {
    const { out, now } = this.ctx
    const released = { attempt: job.attempt, done: doneTasks(job) }
    this.forget(job)
    out.count('shard.jobs.released')
    out.log('job.released', { job: job.id, why: 'evacuated', front: job.front.instance, tasksDone: released.done.length, ageMs: Math.round(now - job.receivedAt), ...this.copyAges(job) })
    this.ports.sendToFront(job.front, { type: 'notOwner', jobId: job.id, failureDomain: job.failureDomain, queueRemoved: true, released })
  }

  private accept (job: OwnedJob): void {
    this.db.jobs.set(job.id, job)
    if (job.order.resumed) this.ctx.out.log('job.resumed', { job: job.id, front: job.front.instance, tasksDone: job.order.done.length, tasksWithFaults: job.order.attempts?.length ?? 0, ageMs: Math.round(job.order.ageMs), earlierRunsKnown: this.ports.earlierRunsKnown(job), earlierEndpoints: job.order.earlierEndpoints?.join() ?? 'notReported' })
    this.adoption.adoptRuns(job)
    this.requeue(job)
  }

  private requeue (job: OwnedJob): void {
    this.admission.db.waiting.add(job)
    this.startRound.request()
  }

  private taskDone (job: OwnedJob, task: OwnedTask, run: LedgerRun, endTimeKnown: boolean): void {
    const step = job.steps[task.step]
    if (step === undefined || task.done) return
    task.done = true
    step.unfinishedTasks--
    if (run.exclusive) job.trialsPassed++
    const slowness = endTimeKnown && run.foundPercent === undefined ? this.learnFromRun(job, step, run) : undefined
    if (slowness !== undefined && task.slowAt.size > 0) this.slowRuns.restartEnded(job, slowness)
    if (job.steps.every(s => s.unfinishedTasks === 0)) this.end(job, 'completed')
  }

  /** @returns the run time divided by that of a healthy run */
  private learnFromRun (job: OwnedJob, step: OwnedStep, run: LedgerRun): number {
    const { speeds } = this.placement
    const report = this.endpoints.db.get(run.endpoint)?.report
    const ranMs = run.ranMs ?? this.ctx.now - run.startedAt
    const speedAt = (id: EndpointId): number => this.speedAt(id)
    const normalMs = ranMs * speedAt(run.endpoint)
    const healthyMs = healthyRunMs(step, run, this.estimates.expectedMs(job, step), speedAt)
    const slowness = normalMs / healthyMs
    this.placement.recordCompletion(run.endpoint, slowness)
    step.finishedRunMs.push(normalMs)
    if (this.placement.isQuarantined(run.endpoint)) return slowness
    if (report !== undefined) speeds.record(report, this.estimates.expectedMs(job, step), ranMs)
    this.estimates.record(job, step, normalMs)
    return slowness
  }

  private speedAt (id: EndpointId): number {
    if (this.placement.speeds.areEven()) return 1
    const endpoint = this.endpoints.db.get(id)
    return endpoint === undefined ? 1 : this.placement.speeds.speedOf(endpoint.report)
  }

  private taskFailed (job: OwnedJob, task: OwnedTask, run: LedgerRun): void {
    const endpoint = this.endpoints.db.get(run.endpoint)
    if (endpoint !== undefined) this.faults.record([run], endpoint, 'failed')
    const attempts = this.attempts.failuresOf(task.name)
    this.faults.attribute(task, run, attempts)
    this.ctx.out.log('task.failed', { job: job.id, task: task.name, run: run.run, endpoint: run.endpoint, attempts, allowed: job.order.queue.maxAttempts })
    if (!this.failIfHopeless(job)) this.requeue(job)
  }

  private shareAttempts (ids: ReadonlySet<JobId>): void {
    this.ports.attemptsChanged(new Map([...ids].map(id => [id, this.db.jobs.get(id)?.front])))
  }

  /** @returns whether the job has ended as failed, since a task of it must not start again */
  private failIfHopeless (job: OwnedJob): boolean {
    const task = this.attempts.hopelessTaskOf(job.id, job.order.queue.maxAttempts)
    if (task === undefined) return false
    if (this.attempts.standingOf(task) === 'crashing') {
      this.ctx.out.count('shard.jobs.crashing')
      this.ctx.out.log('job.crashing', { job: job.id, task, faults: this.attempts.db.faultsOf(task).join() }, 'warn')
    }
    this.end(job, 'failed')
    return true
  }

  private end (job: OwnedJob, outcome: JobOutcome): void {
    const { now, out } = this.ctx
    this.db.keepOutcome(job.id, outcome, now)
    this.admission.shedding.db.recordServed(job)
    out.log('job.ended', { job: job.id, outcome, queue: job.order.queue.name, front: job.front.instance, tookMs: Math.round(now - job.receivedAt), waitedMs: Math.round((job.firstStartAt ?? now) - job.receivedAt), onTime: now <= job.receivedAt - job.order.ageMs + this.estimates.actualObjective(job), ...this.copyAges(job) })
    this.ports.sendToFront(job.front, { type: 'ended', jobId: job.id, outcome })
    this.stopRuns(job)
    this.forget(job)
  }

  private abandon (job: OwnedJob, why: 'callerLeft' | 'callerDeadline' | 'frontLost' | 'unconfirmed'): void {
    const runsStopped = this.stopRuns(job)
    this.ctx.out.log('job.abandoned', { job: job.id, why, front: job.front.instance, ageMs: Math.round(this.ctx.now - job.receivedAt), started: job.firstStartAt !== undefined, runsStopped, ...this.copyAges(job) })
    this.forget(job)
  }

  /** @returns which copy of the job this owner has, and for how long its front has not been heard about it */
  private copyAges (job: OwnedJob): { readonly attempt: number, readonly resumed: boolean, readonly heardAgeMs: number, readonly confirmedAgeMs: number } {
    const { now } = this.ctx
    return { attempt: job.attempt, resumed: job.order.resumed, heardAgeMs: Math.round(now - job.heardAt), confirmedAgeMs: Math.round(now - job.confirmedAt) }
  }

  /** @returns the number of runs that are being stopped now */
  private stopRuns (job: OwnedJob): number {
    const runs = job.steps.flatMap(step => step.tasks.flatMap(task => task.run ?? []))
    for (const run of runs) this.endpoints.stop(run)
    return runs.length
  }

  private forget (job: OwnedJob): void {
    this.db.keepDropped(job.id, job.front, job.attempt, false, this.ctx.now)
    this.db.jobs.delete(job.id)
    this.admission.db.waiting.delete(job)
  }

  /** Nothing starts for a job whose front may have given it up, by terms that are not in force here, in an evacuated domain, or beside runs that are not known yet. */
  private mayStart (job: OwnedJob): boolean {
    return this.ports.evacuationAllowsStart(job) && !this.isConfirmationExpired(job) && this.ports.isQueueInForce(job) && (!job.order.resumed || this.ports.earlierRunsKnown(job))
  }

  /** A front that stopped confirming a job may have given it up without reaching this owner; its caller resends the job to any front. Nothing more starts then. */
  private isConfirmationExpired (job: OwnedJob): boolean {
    return this.ctx.now - job.confirmedAt > this.ctx.cfg.jobLeaseMs
  }

  /** The runs go on as long as a stop can still end them before their lease does, which they share with the other runs at their endpoints. */
  private mustStop (job: OwnedJob): boolean {
    return this.ctx.now > job.runLease.endsBy - this.ctx.cfg.orderTimeoutMs
  }

  private tickJob (job: OwnedJob): void {
    const { now } = this.ctx
    if (now > job.callerDeadline) {
      this.abandon(job, 'callerDeadline')
      return
    }
    if (this.mustStop(job)) this.abandon(job, 'unconfirmed')
  }

  /** Declines waiting jobs that can no longer be on time because other jobs overtook them or capacity was lost. */
  private reassessWaitingJobs (): void {
    const { now } = this.ctx
    if (now < this.nextReassessmentAt || this.admission.db.waiting.size === 0) return
    this.nextReassessmentAt = ms(now + REASSESS_INTERVAL_MS)
    this.shed(this.admission.jobsToDecline({ now, forecast: (service, cpuMilli) => this.room.forecast(service, cpuMilli) }))
  }
}

/** @returns the largest memory and accelerators that a task of the job needs */
function largestNeeds ({ steps }: OwnedJob): Pick<Resources, 'memoryMb' | 'accelerators'> {
  return { memoryMb: Math.max(0, ...steps.map(({ spec }) => spec.needs.memoryMb)), accelerators: Math.max(0, ...steps.map(({ spec }) => spec.needs.accelerators)) }
}

function doneTasks (job: OwnedJob): string[] {
  return job.steps.flatMap(step => step.tasks.filter(task => task.done).map(task => `${task.step}.${task.index}`))
}

/** Prices in logs have three digits; that of a job which goes before all others is left out. */
function round (price: number | undefined): number | undefined {
  return price === undefined || !Number.isFinite(price) ? undefined : Number(price.toFixed(3))
}
