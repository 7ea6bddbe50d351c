/**
 * Starts the tasks of jobs handed to this instance, each at most once, and composes the one answer.
 * A task is started again only after a refusal, which promises that it has not run.
 */
import type { Answer, EndpointId, Ms, StartOutcome, SubmissionId, TaskId, CustomerId } from '@cranberryyard/protocol'
import { RESULT_CODES, ms, taskId } from '@cranberryyard/protocol'
import type { Context } from '../instance/context.js'
import type { DeadlinesDecider } from '../deadlines/deadlinesDecider.js'
import type { HealthDecider } from '../health/healthDecider.js'
import type { LimitsDecider } from '../limits/limitsDecider.js'
import type { RoutingDecider } from '../routing/routingDecider.js'
import type { EndpointState, TaskSize } from '../routing/types.js'
import { FORWARDED_KEPT_MS, SchedulingDb, newScheduledJob } from './schedulingDb.js'
import type { ForwardedState, JobFailure, JobOrder, RunningTask, ScheduledJob, SchedulingListener } from './types.js'

/** A lease is renewed when this part of it has passed. */
const RENEW_PART = 1 / 3

/** What the scheduler decides with. */
export interface SchedulingParts {
  readonly limits: LimitsDecider
  readonly routing: RoutingDecider
  readonly health: HealthDecider
  readonly deadlines: DeadlinesDecider
  /** @returns the contract's bound on waiting tasks and on running ones */
  readonly bounds: (customer: CustomerId) => { queued: number, running: number } | undefined
}

/** Decides when and where tasks start. */
export class SchedulingDecider {
  readonly db: SchedulingDb
  private readonly active = new Set<CustomerId>()

  constructor (private readonly ctx: Context, private readonly parts: SchedulingParts, private readonly listener: SchedulingListener) {
    this.db = new SchedulingDb(ctx.cfg.routing.burstToleranceMs)
  }

  /** @returns number of tasks that wait here */
  get backlog (): number {
    return this.db.queue.waiting()
  }

  /** @returns true when no job and no running task is left */
  isEmpty (): boolean {
    return this.db.jobs.size === 0 && this.db.running.size === 0
  }

  /**
   * Notes a job forwarded by another instance, so that a message that arrives twice starts nothing twice.
   * @param submissionId - the job
   * @returns false when it has arrived before
   */
  noteForwarded (submissionId: SubmissionId): boolean {
    return this.db.addForwarded(submissionId, this.ctx.now)
  }

  /**
   * Tells what became of a forwarded job. One that never arrived is remembered, so that it is not taken later.
   * @param submissionId - the job
   * @param ageMs - time since it was forwarded; beyond what is remembered nothing can be said
   * @returns its state
   */
  checkForwarded (submissionId: SubmissionId, ageMs: Ms): ForwardedState {
    if (this.db.jobs.has(submissionId)) return { type: 'held' }
    const answer = this.db.keptAnswer(submissionId)
    if (answer !== undefined) return { type: 'ended', answer }
    if (ageMs >= FORWARDED_KEPT_MS / 2) return { type: 'forgotten' }
    return this.noteForwarded(submissionId) ? { type: 'neverArrived' } : { type: 'forgotten' }
  }

  /**
   * Takes a job, or refuses it when its answer cannot be on time or too many tasks wait.
   * @param order - the job
   */
  enqueue (order: JobOrder): void {
    const { customer, job, terms } = order
    const estimate = this.parts.deadlines.estimate({ customer, kind: job.kind }, terms, job.tasks)
    const scheduled = newScheduledJob(order, estimate.meanMs)
    const refusal = this.admissionRefusal(scheduled, estimate)
    if (refusal !== undefined) {
      this.answer(order, failed(order.submissionId, refusal))
      return
    }
    this.db.jobs.set(order.submissionId, scheduled)
    this.db.queue.push(scheduled, this.ctx.now, this.parts.routing.slots())
    this.db.queuedWorkMs += scheduled.workMs
    this.active.add(customer)
    this.pump()
  }

  /** Starts as many tasks as slots and permits allow. */
  pump (): void {
    const skipped = new Set<CustomerId>()
    const short: CustomerId[] = []
    for (;;) {
      const job = this.db.queue.next(skipped)
      if (job === undefined) break
      if (this.hasExpired(job)) continue
      const step = this.startNext(job)
      if (step === 'started') continue
      if (step === 'noSlot' && !this.parts.routing.hasFreeSlot()) break
      if (step === 'noPermit') short.push(job.customer)
      skipped.add(job.customer)
    }
    if (short.length > 0) this.parts.limits.noteShortage(short)
  }

  /** Renews leases, gives up tasks whose lease has run out, and starts what has become possible. */
  tick (): void {
    this.renewLeases()
    for (const task of [...this.db.running.values()]) {
      if (this.ctx.now >= task.leaseUntil) this.leaseRanOut(task)
    }
    if (this.db.queue.waiting() > 0) this.pump()
  }

  /** Takes an endpoint's answer to a start. */
  startOutcome (id: TaskId, outcome: StartOutcome): void {
    const task = this.db.running.get(id)
    if (task === undefined) return
    switch (outcome.type) {
      case 'done':
        this.done(task, outcome.result, outcome.runMs)
        break
      case 'failed':
        this.taskFailed(task, outcome.message)
        break
      case 'stopped':
        this.stopped(task)
        break
      case 'refused':
        this.refused(task)
        break
      case 'notSent':
        this.parts.health.unreachable(task.endpoint)
        this.refused(task)
        break
      case 'unknown':
        this.outcomeLost(task)
    }
    this.pump()
  }

  /** Takes the end of a renewal; tasks the endpoint does not know have ended without us hearing of it. */
  renewOutcome (tasks: readonly TaskId[], renewed: boolean): void {
    if (renewed) return
    for (const id of tasks) {
      const task = this.db.running.get(id)
      if (task !== undefined) task.renewedAt = ms(0)
    }
  }

  /**
   * Cancels a job: waiting tasks are dropped, running ones are stopped.
   * @param submissionId - the job
   */
  cancel (submissionId: SubmissionId): void {
    const job = this.db.jobs.get(submissionId)
    if (job === undefined) return
    const failure: JobFailure = job.started === 0
      ? { name: 'cancelledBeforeStart', message: 'cancelled by the caller; not run', ran: 'no' }
      : { name: 'cancelled', message: 'cancelled by the caller', ran: 'yes' }
    this.fail(job, failure)
  }

  /** Gives back every job of which nothing was started. */
  returnUnstarted (): void {
    for (const job of [...this.db.jobs.values()]) {
      if (job.started > 0) continue
      this.drop(job)
      this.listener.jobReturned(job.order)
    }
  }

  private admissionRefusal (job: ScheduledJob, estimate: { meanMs: number, p99Ms: number }): JobFailure | undefined {
    const { customer, terms, deadline, job: spec } = job.order
    const bounds = this.parts.bounds(customer)
    if (bounds === undefined) return { name: 'unauthorized', message: 'the contract is gone; not run', ran: 'no' }
    const waiting = this.db.queue.waitingOf(customer)
    if (waiting + spec.tasks.length > bounds.queued) return { name: 'queueFull', message: `${waiting} tasks already wait; not run`, ran: 'no' }
    if (terms.whenLate === 'runLate') return undefined
    const slots = Math.min(this.parts.routing.slots(), bounds.running)
    const ahead = Math.min(this.db.queuedWorkMs, waiting * estimate.meanMs * this.activeCustomers())
    const hopeless = this.parts.deadlines.isHopeless(estimate, spec.tasks.length, ahead, slots, deadline - this.ctx.now)
    return hopeless ? { name: 'deadlineUnreachable', message: 'the answer cannot be on time; not run', ran: 'no' } : undefined
  }

  private activeCustomers (): number {
    for (const customer of this.active) if (this.db.queue.waitingOf(customer) === 0) this.active.delete(customer)
    return Math.max(1, this.active.size)
  }

  /** A job of which nothing was started is refused once it can no longer be on time. */
  private hasExpired (job: ScheduledJob): boolean {
    const { terms, deadline } = job.order
    if (job.started > 0 || terms.whenLate === 'runLate' || this.ctx.now < deadline) return false
    this.fail(job, { name: 'expiredBeforeStart', message: 'the answer time ran out before a start; not run', ran: 'no' })
    return true
  }

  private startNext (job: ScheduledJob): 'started' | 'noSlot' | 'noPermit' {
    const index = job.refusedIndexes[0] ?? job.nextIndex
    const spec = job.order.job.tasks[index]
    if (spec === undefined) return 'noSlot'
    const endpoint = this.parts.routing.choose(spec)
    if (endpoint === undefined) return 'noSlot'
    if (!this.parts.limits.tryStart(job.customer)) return 'noPermit'
    if (job.refusedIndexes.length > 0) job.refusedIndexes.shift()
    else job.nextIndex++
    this.db.queue.adjustWaiting(job.customer, -1)
    this.db.queuedWorkMs -= job.meanMs
    this.start(job, index, endpoint)
    return 'started'
  }

  private start (job: ScheduledJob, index: number, endpoint: EndpointState): void {
    const { now, wall, cfg, out, self } = this.ctx
    const { submissionId, job: spec } = job.order
    const task = spec.tasks[index]
    if (task === undefined) return
    const { cores, memoryMb, accelerators, payload } = task
    const id = taskId(submissionId, index)
    const leaseMs = ms(cfg.limits.taskLeaseMs)
    const notAfter = ms(wall + cfg.limits.startWindowMs)
    this.parts.routing.db.occupy(endpoint, { cores, memoryMb, accelerators })
    job.started++
    const { address } = endpoint.info
    this.db.running.set(id, { taskId: id, job, index, endpoint: endpoint.info.id, address, startedAt: now, renewedAt: now, leaseUntil: this.leaseEnd(), outcomeLost: false })
    out.count('tasks.started')
    out.push({ type: 'start', endpoint: endpoint.info.id, address, request: { taskId: id, holder: self.holder, leaseMs, notAfter, cores, memoryMb, accelerators, payload } })
  }

  /** Latest time at which a task started or renewed now may still run when nothing more is heard. */
  private leaseEnd (): Ms {
    const { startWindowMs, clockSkewMs, taskLeaseMs } = this.ctx.cfg.limits
    return ms(this.ctx.now + startWindowMs + clockSkewMs + taskLeaseMs)
  }

  private done (task: RunningTask, result: unknown, runMs: number): void {
    const { job, index, endpoint } = task
    this.end(task)
    this.ctx.out.count('tasks.done')
    const state = this.parts.routing.db.get(endpoint)
    if (state !== undefined) this.parts.routing.accepted(state)
    this.parts.deadlines.db.record({ customer: job.customer, kind: job.order.job.kind }, runMs)
    this.parts.health.success(this.reportOf(task), runMs / Math.max(1, job.meanMs))
    if (job.ended) return
    job.results[index] = result
    job.missing--
    if (job.missing === 0) this.complete(job)
  }

  private taskFailed (task: RunningTask, message: string): void {
    this.end(task)
    this.ctx.out.count('tasks.failed')
    this.parts.health.failure(this.reportOf(task))
    this.fail(task.job, { name: 'taskFailed', message: `task ${task.index}: ${message}`, ran: 'yes' })
  }

  private stopped (task: RunningTask): void {
    this.end(task)
    this.fail(task.job, { name: 'permitLost', message: `task ${task.index} was ended because its lease was not renewed`, ran: 'yes' })
  }

  private refused (task: RunningTask): void {
    const { job, index, endpoint } = task
    this.end(task)
    this.ctx.out.count('tasks.refused')
    const state = this.parts.routing.db.get(endpoint)
    if (state !== undefined) this.parts.routing.refused(state)
    if (job.ended) return
    job.started--
    job.refusedIndexes.push(index)
    this.db.queuedWorkMs += job.meanMs
    this.db.queue.putBack(job)
    this.db.queue.adjustWaiting(job.customer, 1)
  }

  private outcomeLost (task: RunningTask): void {
    task.outcomeLost = true
    this.ctx.out.count('tasks.unknown')
    this.parts.health.failure(this.reportOf(task))
    this.fail(task.job, { name: 'outcomeUnknown', message: `the connection was lost while task ${task.index} ran`, ran: 'maybe' })
  }

  private leaseRanOut (task: RunningTask): void {
    this.end(task)
    if (task.outcomeLost) return
    this.ctx.out.count('tasks.unknown')
    this.parts.health.failure(this.reportOf(task))
    this.fail(task.job, { name: 'outcomeUnknown', message: `the lease of task ${task.index} ran out without an answer`, ran: 'maybe' })
  }

  private reportOf (task: RunningTask): { endpoint: EndpointId, job: SubmissionId, kind: string } {
    const { submissionId, customer, job } = task.job.order
    return { endpoint: task.endpoint, job: submissionId, kind: `${customer}/${job.kind}` }
  }

  /** Frees permit and slot of a task that cannot run any more. */
  private end (task: RunningTask): void {
    this.db.running.delete(task.taskId)
    this.parts.limits.release(task.job.customer)
    const state = this.parts.routing.db.get(task.endpoint)
    const size = task.job.order.job.tasks[task.index]
    if (state !== undefined && size !== undefined) this.parts.routing.db.vacate(state, size as TaskSize)
  }

  private complete (job: ScheduledJob): void {
    job.ended = true
    this.db.jobs.delete(job.order.submissionId)
    const late = this.ctx.now > job.order.deadline
    this.answer(job.order, { outcome: 'complete', submissionId: job.order.submissionId, results: job.results, late })
  }

  private fail (job: ScheduledJob, failure: JobFailure): void {
    if (job.ended) return
    this.drop(job)
    this.stopRunning(job)
    this.answer(job.order, failed(job.order.submissionId, failure))
  }

  private drop (job: ScheduledJob): void {
    const waiting = job.waiting()
    job.ended = true
    this.db.jobs.delete(job.order.submissionId)
    this.db.queuedWorkMs -= waiting * job.meanMs
    this.db.queue.adjustWaiting(job.customer, -waiting)
  }

  private stopRunning (job: ScheduledJob): void {
    const tasks = this.db.runningOf(job).filter(t => !t.outcomeLost)
    const notAfter = this.ctx.wall + this.ctx.cfg.limits.taskLeaseMs
    for (const [endpoint, group] of byEndpoint(tasks)) {
      this.ctx.out.push({ type: 'stop', endpoint, address: group.address, tasks: group.tasks, notAfter })
    }
  }

  private answer (order: JobOrder, answer: Answer): void {
    this.listener.jobAnswered(order, answer)
  }

  private renewLeases (): void {
    const due = this.tasksToRenew()
    const { wall, cfg, out } = this.ctx
    for (const [endpoint, group] of byEndpoint(due)) {
      out.count('tasks.renewed', group.tasks.length)
      out.push({ type: 'renew', endpoint, address: group.address, tasks: group.tasks, notAfter: wall + cfg.limits.startWindowMs })
    }
  }

  /** Newest tasks beyond what permits cover are not renewed, so that the limit is met when their leases end. */
  private tasksToRenew (): RunningTask[] {
    const { now, cfg } = this.ctx
    const uncovered = new Map<CustomerId, number>()
    const due: RunningTask[] = []
    for (const task of [...this.db.running.values()].reverse()) {
      const { customer } = task.job
      const left = uncovered.get(customer) ?? this.parts.limits.excess(customer)
      uncovered.set(customer, Math.max(0, left - 1))
      if (left > 0 || task.outcomeLost || now - task.renewedAt < cfg.limits.taskLeaseMs * RENEW_PART) continue
      task.renewedAt = now
      task.leaseUntil = this.leaseEnd()
      due.push(task)
    }
    return due
  }
}

interface EndpointGroup {
  readonly address: string
  readonly tasks: TaskId[]
}

function byEndpoint (tasks: readonly RunningTask[]): Map<EndpointId, EndpointGroup> {
  const groups = new Map<EndpointId, EndpointGroup>()
  for (const task of tasks) {
    const group = groups.get(task.endpoint) ?? { address: task.address, tasks: [] }
    groups.set(task.endpoint, group)
    group.tasks.push(task.taskId)
  }
  return groups
}

/**
 * Composes a failed answer.
 * @param submissionId - the job
 * @param failure - why, and whether anything ran
 * @returns the answer
 */
export function failed (submissionId: SubmissionId, failure: JobFailure): Answer {
  return { outcome: 'failed', submissionId, code: RESULT_CODES[failure.name], message: failure.message, ran: failure.ran }
}
