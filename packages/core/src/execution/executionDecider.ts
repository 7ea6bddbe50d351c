/**
 * Carries a job through at the owner of a shard: admits it, starts its tasks as room and order allow, starts failed and
 * lost tasks again, moves tasks off endpoints where they make no progress, and reports one outcome to the front.
 */
import type { DispatchOrder, EndpointId, FailureDomain, FencingToken, InstanceId, JobId, JobOutcome, JobProgress, Ms, RunEnd, ShardMessage } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { AdmissionDecider } from '../admission/admissionDecider.js'
import type { ShardRoom } from '../admission/types.js'
import { fits, freeRoom, minus, plus } from '../endpoints/endpointsDb.js'
import type { EndpointsDecider } from '../endpoints/endpointsDecider.js'
import type { LedgerRun, RejectionReason, RunListener } from '../endpoints/types.js'
import type { Candidate, PlacementDecider } from '../placement/placementDecider.js'
import type { ShardContext } from '../shard/types.js'
import { ExecutionDb, chainOf, isOpen, makeSteps, objectiveOf } from './executionDb.js'
import { anyFits, largestRoom, leastCpu } from './quickFit.js'
import { STALL_SLOWNESS, slownessOf, soundMs } from './speed.js'
import type { FrontSession, OwnedJob, OwnedStep, OwnedTask } from './types.js'

/** A task that works slower than this against the expected time may be moved. */
const MOVE_SLOWNESS = 2.5
/** What a move costs: the stop, its listing, and the new start. */
const MOVE_COST_MS = 80
/** Period in which waiting jobs are judged again: others may have gone before them meanwhile. */
const JUDGE_AGAIN_MS = 60
/** A task avoids at most this many endpoints, so that one always remains. */
const AVOIDED_MAX = 3
/** Fronts ask for the room many times a tick; it is counted once in this span. */
const ROOM_AGE_MS = 20

/** A start that fits. */
interface PlannedStart {
  readonly step: OwnedStep
  readonly task: OwnedTask
  readonly candidate: Candidate
}

/** How the execution reaches fronts and the ownership. */
export interface ExecutionPorts {
  tell (front: FrontSession, message: ShardMessage): void
  superseded (failureDomain: FailureDomain, token: FencingToken): void
  /** False while runs of an earlier owner may exist that this owner has not seen. */
  earlierRunsKnown (failureDomain: FailureDomain): boolean
}

/** The execution decision. */
export class ExecutionDecider implements RunListener {
  readonly db = new ExecutionDb()
  readonly admission = new AdmissionDecider<OwnedJob>()
  private pumpNeeded = false
  private judgeAt = ms(0)
  private roomSeen: { readonly at: Ms, readonly room: ShardRoom } | undefined
  endpoints!: EndpointsDecider

  constructor (private readonly ctx: ShardContext, private readonly placement: PlacementDecider, private readonly ports: ExecutionPorts) {}

  /** Takes a job from a front, or joins it to the one that is already here. */
  submit (front: FrontSession, failureDomain: FailureDomain, order: DispatchOrder): void {
    const { id } = order.job
    const known = this.db.jobs.get(id)
    if (known !== undefined) {
      this.join(known, front, order)
      return
    }
    const outcome = this.db.outcomeOf(id)
    if (outcome !== undefined) {
      this.ports.tell(front, { type: 'ended', jobId: id, outcome })
      return
    }
    const job = this.makeJob(front, failureDomain, order)
    if (order.resumed || this.hasRuns(job) || this.admit(job)) this.accept(job)
  }

  /** The caller left. */
  cancel (id: JobId, from: InstanceId): void {
    const job = this.db.jobs.get(id)
    if (job !== undefined && job.front.instance === from) this.abandon(job, 'callerLeft')
  }

  /** Ends the jobs of a front that is lost: its callers send them again, to any front. */
  frontLost (instance: InstanceId, incarnation: number | undefined): void {
    for (const job of [...this.db.jobs.values()]) {
      if (job.front.instance !== instance) continue
      if (incarnation !== undefined && job.front.incarnation === incarnation) continue
      this.abandon(job, 'frontLost')
      this.ports.tell(job.front, { type: 'notOwner', jobId: job.id, failureDomain: job.failureDomain })
    }
  }

  /** @returns instances that answer for jobs here */
  fronts (): Set<InstanceId> {
    const fronts = new Set<InstanceId>()
    for (const { front } of this.db.jobs.values()) fronts.add(front.instance)
    return fronts
  }

  /** A front asks after jobs that it sent and still wants: ended ones are told again, unknown ones have to be sent again. */
  check (front: FrontSession, failureDomain: FailureDomain, ids: readonly JobId[]): void {
    for (const id of ids) {
      const job = this.db.jobs.get(id)
      if (job !== undefined) {
        if (job.front.instance === front.instance) job.confirmedAt = this.ctx.now
        continue
      }
      const outcome = this.db.outcomeOf(id)
      this.ports.tell(front, outcome === undefined ? { type: 'notOwner', jobId: id, failureDomain } : { type: 'ended', jobId: id, outcome })
    }
  }

  /** Forgets all jobs, as after a pause in which their fronts may have given them up. */
  dropAll (): void {
    for (const job of [...this.db.jobs.values()]) this.forget(job)
    this.endpoints.disown()
  }

  /** Forgets the jobs of a shard without touching their runs; returns what is done of each, by front. */
  release (failureDomain: FailureDomain): Map<FrontSession, JobProgress[]> {
    const byFront = new Map<FrontSession, JobProgress[]>()
    for (const job of [...this.db.jobs.values()]) {
      if (job.failureDomain !== failureDomain) continue
      const known = [...byFront.keys()].find(front => front.instance === job.front.instance) ?? job.front
      byFront.set(known, [...byFront.get(known) ?? [], { jobId: job.id, done: doneTasks(job) }])
      this.forget(job)
    }
    return byFront
  }

  /** Stops what nobody claimed, declines what can no longer be of use. */
  tick (): void {
    this.db.expire(this.ctx.now)
    this.stopUnclaimed()
    for (const job of [...this.db.jobs.values()]) this.tickJob(job)
    this.judgeAgain()
    if (this.admission.db.waiting.size > 0) this.pumpNeeded = true
  }

  /** Starts tasks if something changed since the last call. */
  pump (): void {
    if (!this.pumpNeeded) return
    this.pumpNeeded = false
    if (this.admission.db.waiting.size === 0) return
    const candidates = this.candidates()
    let largest = largestRoom(candidates)
    // While the shard is full most calls end here, at the cost of one look at each job.
    if (!anyFits(this.admission.db.waiting, largest)) return
    let mayStartInPart = true
    for (const job of this.admission.ordered(this.ctx.now)) {
      if (job.order.resumed && !this.ports.earlierRunsKnown(job.failureDomain)) continue
      const complete = leastCpu(job) <= largest && this.startTasks(job, candidates, mayStartInPart || job.firstStartAt !== undefined)
      if (!complete && job.firstStartAt === undefined) mayStartInPart = false
      if (complete || job.firstStartAt !== undefined) largest = largestRoom(candidates)
    }
  }

  /** @returns room of all usable endpoints, at most a few milliseconds old */
  room (): ShardRoom {
    const { now } = this.ctx
    if (this.roomSeen === undefined || now - this.roomSeen.at >= ROOM_AGE_MS) this.roomSeen = { at: now, room: this.countRoom() }
    return this.roomSeen.room
  }

  private countRoom (): ShardRoom {
    let totalCpuMilli = 0
    let freeCpuMilli = 0
    for (const endpoint of this.endpoints.db.all()) {
      if (!this.endpoints.usable(endpoint) || this.placement.isSetAside(endpoint.id)) continue
      totalCpuMilli += endpoint.report.capacity.cpuMilli
      freeCpuMilli += Math.max(0, freeRoom(endpoint).cpuMilli)
    }
    return { totalCpuMilli, freeCpuMilli }
  }

  runStarted (run: LedgerRun): void {
    const found = this.db.find(run.task)
    if (found === undefined || found.task.run !== run) this.endpoints.stop(run)
  }

  runEnded (run: LedgerRun, how: RunEnd, seenAtOnce: boolean): void {
    this.pumpNeeded = true
    const found = this.db.find(run.task)
    if (how === 'done') this.ctx.out.count('shard.tasks.done')
    if (how === 'failed') this.ctx.out.count('shard.tasks.failed')
    if (found === undefined || found.task.run !== run) return
    found.task.run = undefined
    switch (how) {
      case 'done': return this.taskDone(found.job, found.task, run, seenAtOnce)
      case 'failed': return this.taskFailed(found.job, found.task, run)
      case 'stopped':
      case 'lapsed': return this.requeue(found.job)
    }
  }

  runRejected (run: LedgerRun, reason: RejectionReason): void {
    const found = this.db.find(run.task)
    if (found === undefined || found.task.run !== run) return
    const { job, task } = found
    task.run = undefined
    if (reason === 'unhealthy' || reason === 'invalid') {
      task.avoid.add(run.endpoint)
      this.placement.failed(run.endpoint)
    }
    this.ctx.out.log('task.rejected', { job: job.id, task: task.name, run: run.run, endpoint: run.endpoint, reason })
    this.requeue(job)
  }

  runLost (run: LedgerRun): void {
    const found = this.db.find(run.task)
    if (found === undefined || found.task.run !== run) return
    found.task.run = undefined
    this.ctx.out.log('task.lost', { job: found.job.id, task: run.task, run: run.run, endpoint: run.endpoint, ageMs: Math.round(this.ctx.now - run.orderedAt) })
    this.requeue(found.job)
  }

  runFound (run: LedgerRun): void {
    const found = this.db.find(run.task)
    if (found !== undefined) this.adoptRun(found.job, found.task, run)
  }

  runProgressed (run: LedgerRun): void {
    const found = this.db.find(run.task)
    if (found === undefined || found.task.run !== run) return
    const step = found.job.steps[found.task.step]
    if (step === undefined) return
    const slowness = slownessOf(step, run, this.expectedMs(found.job, step), this.ctx.now)
    if (slowness >= MOVE_SLOWNESS) this.move(found.job, step, found.task, run, slowness)
  }

  roomChanged (): void {
    this.pumpNeeded = true
  }

  superseded (failureDomain: FailureDomain, token: FencingToken): void {
    this.ports.superseded(failureDomain, token)
  }

  private makeJob (front: FrontSession, failureDomain: FailureDomain, order: DispatchOrder): OwnedJob {
    const { now, cfg } = this.ctx
    const { queue, job } = order
    const chainMs = chainOf(job.steps, this.admission.db.ratioOf(queue.name))
    const sentAt = now - order.ageMs
    const objective = objectiveOf(queue, chainMs)
    const steps = makeSteps(order)
    const callerUntil = ms(now + order.remainingMs)
    const owned: OwnedJob = {
      id: job.id,
      failureDomain,
      order,
      steps,
      receivedAt: now,
      callerUntil,
      front,
      confirmedAt: now,
      firstStartAt: undefined,
      mayHaveRun: order.resumed,
      attempt: order.attempt,
      priority: queue.priority,
      chainMs,
      onTimeUntil: ms(sentAt + objective),
      usefulUntil: ms(Math.min(callerUntil, sentAt + objective * cfg.usefulFactor)),
      hasStarted: () => owned.firstStartAt !== undefined,
      waitingWork: () => this.waitingWorkOf(owned)
    }
    return owned
  }

  private waitingWorkOf (job: OwnedJob): number {
    let sum = 0
    for (const step of job.steps) {
      if (step.missing === 0) continue
      const waiting = step.tasks.reduce((n, task) => n + (task.done || task.run !== undefined ? 0 : 1), 0)
      sum += waiting * step.spec.needs.cpuMilli * this.expectedMs(job, step)
    }
    return sum
  }

  private join (job: OwnedJob, front: FrontSession, order: DispatchOrder): void {
    const { out } = this.ctx
    job.attempt = order.attempt
    job.confirmedAt = this.ctx.now
    if (job.front.instance === front.instance && job.front.incarnation === front.incarnation) return
    out.count('shard.jobs.joined')
    out.log('job.joined', { job: job.id, front: front.instance, before: job.front.instance })
    job.front = front
  }

  private admit (job: OwnedJob): boolean {
    if (!this.canFit(job)) return this.decline(job, 'cannotFit', this.ctx.cfg.ownerWaitMs)
    const verdict = this.admission.judge(job, this.room(), this.ctx.now)
    return verdict.type === 'admit' || this.decline(job, 'overloaded', verdict.retryAfterMs)
  }

  private decline (job: OwnedJob, why: string, retryAfterMs: Ms): false {
    const { out, now } = this.ctx
    out.count('shard.jobs.declined')
    out.log('job.declined', { job: job.id, why, front: job.front.instance, queue: job.order.queue.name, waitedMs: Math.round(now - job.receivedAt), backlogMs: Math.round(this.admission.backlogMs(this.room())), waitingJobs: this.admission.db.waiting.size })
    this.ports.tell(job.front, { type: 'declined', jobId: job.id, attempt: job.attempt, retryAfterMs })
    return false
  }

  /** @returns false when some task fits no endpoint of this shard, however empty */
  private canFit (job: OwnedJob): boolean {
    const endpoints = [...this.endpoints.db.all()]
    return job.steps.every(({ spec }) => endpoints.some(({ report }) =>
      report.service === job.order.queue.service && fits(spec.needs, report.capacity) && (spec.requiredLabel === '' || report.labels.includes(spec.requiredLabel))))
  }

  private accept (job: OwnedJob): void {
    this.db.jobs.set(job.id, job)
    for (const step of job.steps) {
      for (const task of step.tasks) {
        const run = this.endpoints.db.runOf(task.name)
        if (run !== undefined) this.adoptRun(job, task, run)
      }
    }
    this.requeue(job)
  }

  private hasRuns (job: OwnedJob): boolean {
    return job.steps.some(step => step.tasks.some(task => this.endpoints.db.runOf(task.name) !== undefined))
  }

  private adoptRun (job: OwnedJob, task: OwnedTask, run: LedgerRun): void {
    job.mayHaveRun = true
    task.lastRun = Math.max(task.lastRun, run.run)
    if (task.done || task.run !== undefined) {
      this.endpoints.stop(run)
      return
    }
    const step = job.steps[task.step]
    if (step === undefined) return
    if (run.state === 'unclaimed' || run.needs === undefined) this.endpoints.claim(run, step.spec.needs)
    task.run = run
    job.firstStartAt ??= this.ctx.now
  }

  private requeue (job: OwnedJob): void {
    this.admission.db.waiting.add(job)
    this.pumpNeeded = true
  }

  private candidates (): Candidate[] {
    const candidates: Candidate[] = []
    for (const endpoint of this.endpoints.db.all()) {
      if (!this.endpoints.usable(endpoint)) continue
      const room = freeRoom(endpoint)
      if (room.cpuMilli > 0) candidates.push({ endpoint, room })
    }
    return candidates
  }

  /**
   * Starts a job's waiting tasks.
   * @param inPart - whether some may start while the others wait; only one job at a time is spread over time so
   * @returns true when every open task has started
   */
  private startTasks (job: OwnedJob, candidates: readonly Candidate[], inPart: boolean): boolean {
    const plan: PlannedStart[] = []
    let blocked = 0
    let later = 0
    for (const step of job.steps) {
      if (step.missing === 0) continue
      if (!isOpen(job, step)) {
        later++
        continue
      }
      for (const task of step.tasks) {
        if (task.done || task.run !== undefined) continue
        if (this.planStart(job, step, task, candidates, plan)) continue
        if (!inPart) return undo(plan)
        blocked++
      }
    }
    for (const start of plan) this.startTask(job, start)
    if (blocked === 0 && later === 0) this.admission.db.waiting.delete(job)
    return blocked === 0
  }

  private planStart (job: OwnedJob, step: OwnedStep, task: OwnedTask, candidates: readonly Candidate[], plan: PlannedStart[]): boolean {
    if (this.endpoints.db.runOf(task.name) !== undefined) return false
    const { needs, requiredLabel, preferredRack, maxPerEndpoint } = step.spec
    const countAt = maxPerEndpoint > 0 ? (id: EndpointId) => countRuns(step, id) + plan.filter(p => p.step === step && p.candidate.endpoint.id === id).length : undefined
    const candidate = this.placement.choose({ service: job.order.queue.service, needs, requiredLabel, preferredRack, avoid: task.avoid, countAt, maxPerEndpoint }, candidates)
    if (candidate === undefined) return false
    this.placement.placed(candidate.endpoint.id)
    candidate.room = minus(candidate.room, needs)
    plan.push({ step, task, candidate })
    return true
  }

  private startTask (job: OwnedJob, { step, task, candidate }: PlannedStart): void {
    task.lastRun++
    task.run = this.endpoints.start(candidate.endpoint, task.name, task.lastRun, job.order.job.spec, step.spec.needs)
    this.noteFirstStart(job)
  }

  private noteFirstStart (job: OwnedJob): void {
    if (job.firstStartAt !== undefined) return
    const { now, out } = this.ctx
    job.firstStartAt = now
    job.mayHaveRun = true
    out.push({ type: 'observe', histogram: 'queueWaitMs', label: job.order.queue.name, valueMs: now - job.receivedAt })
  }

  private taskDone (job: OwnedJob, task: OwnedTask, run: LedgerRun, seenAtOnce: boolean): void {
    const step = job.steps[task.step]
    if (step === undefined || task.done) return
    task.done = true
    step.missing--
    if (seenAtOnce && run.foundPercent === undefined) this.learn(job, step, run)
    if (job.steps.every(s => s.missing === 0)) this.end(job, 'completed')
  }

  private learn (job: OwnedJob, step: OwnedStep, run: LedgerRun): void {
    const ranMs = this.ctx.now - run.startedAt
    this.placement.ended(run.endpoint, ranMs / soundMs(step, run, this.expectedMs(job, step)))
    step.ranMs.push(ranMs)
    if (!this.placement.isSetAside(run.endpoint)) this.admission.db.learn(job.order.queue.name, ranMs / Math.max(1, step.spec.estimateMs))
  }

  private expectedMs (job: OwnedJob, step: OwnedStep): number {
    return step.spec.estimateMs * this.admission.db.ratioOf(job.order.queue.name)
  }

  private taskFailed (job: OwnedJob, task: OwnedTask, run: LedgerRun): void {
    task.failedAttempts++
    this.blameFailure(task, run)
    this.ctx.out.log('task.failed', { job: job.id, task: task.name, run: run.run, endpoint: run.endpoint, attempts: task.failedAttempts, allowed: job.order.queue.maxAttempts })
    if (task.failedAttempts >= job.order.queue.maxAttempts) this.end(job, 'failed')
    else this.requeue(job)
  }

  /** A first failure counts against the endpoint; once the task has failed at two, against neither. */
  private blameFailure (task: OwnedTask, run: LedgerRun): void {
    if (task.failedAt.size === 0) {
      this.placement.failed(run.endpoint)
    } else if (task.failedAttempts === 2) {
      for (const id of task.failedAt) this.placement.forgive(id)
    }
    task.failedAt.add(run.endpoint)
    if (task.avoid.size >= AVOIDED_MAX) task.avoid.clear()
    task.avoid.add(run.endpoint)
  }

  /**
   * Stops a run that would end sooner if it were started again elsewhere. One that stands still is stopped also while
   * there is no room: it gains nothing where it is, and takes the next room that becomes free.
   */
  private move (job: OwnedJob, step: OwnedStep, task: OwnedTask, run: LedgerRun, slowness: number): void {
    if (run.state !== 'running') return
    const expected = soundMs(step, run, this.expectedMs(job, step))
    const remaining = expected * slowness * (100 - run.percent) / 100
    if (remaining <= expected + MOVE_COST_MS) return
    this.placement.stalled(run.endpoint, slowness)
    const elsewhere = slowness >= STALL_SLOWNESS || this.candidates().some(candidate => candidate.endpoint.id !== run.endpoint && fits(step.spec.needs, candidate.room) && !this.placement.isSetAside(candidate.endpoint.id))
    if (!elsewhere) return
    task.avoid.add(run.endpoint)
    this.ctx.out.count('shard.tasks.moved')
    this.ctx.out.log('task.moved', { job: job.id, task: task.name, run: run.run, endpoint: run.endpoint, percent: run.percent, ranMs: Math.round(this.ctx.now - run.startedAt), expectedMs: Math.round(expected) })
    this.endpoints.stop(run)
  }

  private end (job: OwnedJob, outcome: JobOutcome): void {
    const { now, out } = this.ctx
    this.db.keepOutcome(job.id, outcome, now)
    out.log('job.ended', { job: job.id, outcome, queue: job.order.queue.name, front: job.front.instance, tookMs: Math.round(now - job.receivedAt), waitedMs: Math.round((job.firstStartAt ?? now) - job.receivedAt), onTime: now <= job.onTimeUntil })
    this.ports.tell(job.front, { type: 'ended', jobId: job.id, outcome })
    this.stopRuns(job)
    this.forget(job)
  }

  private abandon (job: OwnedJob, why: 'callerLeft' | 'callerDeadline' | 'frontLost' | 'unconfirmed'): void {
    this.ctx.out.log('job.abandoned', { job: job.id, why, front: job.front.instance, ageMs: Math.round(this.ctx.now - job.receivedAt), started: job.firstStartAt !== undefined })
    this.stopRuns(job)
    this.forget(job)
  }

  private stopRuns (job: OwnedJob): void {
    for (const step of job.steps) {
      for (const task of step.tasks) {
        if (task.run !== undefined) this.endpoints.stop(task.run)
      }
    }
  }

  private forget (job: OwnedJob): void {
    this.db.jobs.delete(job.id)
    this.admission.db.waiting.delete(job)
  }

  private stopUnclaimed (): void {
    const { now, cfg, out } = this.ctx
    for (const endpoint of this.endpoints.db.all()) {
      for (const run of endpoint.runs.values()) {
        if (run.state !== 'unclaimed' || now - run.startedAt < cfg.claimGraceMs) continue
        out.count('shard.tasks.unclaimed')
        out.log('task.unclaimed', { task: run.task, run: run.run, endpoint: endpoint.id })
        this.endpoints.stop(run)
      }
    }
  }

  /** A front that gave a job up may be unable to say so; its caller sends the job again, to any front. */
  private isUnwanted (job: OwnedJob): boolean {
    return this.ctx.now - job.confirmedAt > this.ctx.cfg.jobLeaseMs
  }

  private tickJob (job: OwnedJob): void {
    const { now } = this.ctx
    if (now > job.callerUntil) {
      this.abandon(job, 'callerDeadline')
      return
    }
    if (this.isUnwanted(job)) this.abandon(job, 'unconfirmed')
  }

  /** Declines waiting jobs that others have gone before, and those whose room was lost. */
  private judgeAgain (): void {
    const { now } = this.ctx
    if (now < this.judgeAt || this.admission.db.waiting.size === 0) return
    this.judgeAt = ms(now + JUDGE_AGAIN_MS)
    const room = this.room()
    const hopeless = this.admission.hopeless(room, now)
    for (const job of hopeless) this.forget(job)
    for (const job of hopeless) this.decline(job, 'tooLate', this.admission.retryAfter(room))
  }
}

/** Gives the room of planned starts back. @returns false, as nothing of the job starts */
function undo (plan: readonly PlannedStart[]): false {
  for (const { candidate, step } of plan) candidate.room = plus(candidate.room, step.spec.needs)
  return false
}

function doneTasks (job: OwnedJob): string[] {
  return job.steps.flatMap(step => step.tasks.filter(task => task.done).map(task => `${task.step}.${task.index}`))
}

function countRuns (step: OwnedStep, id: EndpointId): number {
  return step.tasks.reduce((n, task) => n + (task.run?.endpoint === id ? 1 : 0), 0)
}
