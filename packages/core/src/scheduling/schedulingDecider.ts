/**
 * The scheduler of an instance: it queues the jobs handed to this instance, starts their tasks on endpoints, renews
 * the leases of running tasks, and composes the one answer of each job. A task runs at most once: it is started again
 * only after its endpoint has refused the start, which guarantees that the task has not run. The folder routing/
 * chooses the instance that schedules a job, and jobs/ handles a submission before and after scheduling.
 */
import type { Answer, EndpointId, Ms, StartOutcome, SubmissionId, TaskId, CustomerId } from '@cranberryyard/protocol'
import { RESULT_CODES, ms, taskId } from '@cranberryyard/protocol'
import type { Context } from '../instance/context.js'
import type { DeadlinesDecider } from '../deadlines/deadlinesDecider.js'
import type { HealthDecider } from '../health/healthDecider.js'
import type { LimitsDecider } from '../limits/limitsDecider.js'
import type { RoutingDecider } from '../routing/routingDecider.js'
import type { EndpointState, TaskSize } from '../routing/types.js'
import { FORWARD_RETENTION_MS, SchedulingDb, newScheduledJob } from './schedulingDb.js'
import type { ForwardedState, JobFailure, JobOrder, RunningTask, ScheduledJob, SchedulingListener } from './types.js'

/** A lease is renewed once this fraction of it has passed since the last renewal. */
const RENEW_AFTER_LEASE_FRACTION = 1 / 3

/** The other decisions that the scheduler depends on. */
export interface SchedulingDependencies {
  readonly limits: LimitsDecider
  readonly routing: RoutingDecider
  readonly health: HealthDecider
  readonly deadlines: DeadlinesDecider
  /** @returns the contract's limits on waiting and on running tasks; undefined when the customer has no contract */
  readonly bounds: (customer: CustomerId) => { queued: number, running: number } | undefined
}

/** Decides when and where tasks start, and composes the answers of jobs. */
export class SchedulingDecider {
  readonly db: SchedulingDb
  /** Customers with waiting tasks; one whose tasks have all left the queue is removed at the next count. */
  private readonly activeCustomers = new Set<CustomerId>()

  constructor (private readonly ctx: Context, private readonly parts: SchedulingDependencies, private readonly listener: SchedulingListener) {
    this.db = new SchedulingDb(ctx.cfg.routing.burstToleranceMs)
  }

  /** @returns number of tasks that wait for a start */
  get backlog (): number {
    return this.db.queue.waiting()
  }

  /** @returns true when no job is left and no task can still run, also none of a job that was already answered */
  isEmpty (): boolean {
    return this.db.jobs.size === 0 && this.db.running.size === 0
  }

  /**
   * Remembers a job forwarded by another instance, so that a forward that arrives twice starts no task twice.
   * @param submissionId - the job
   * @returns false when the job was already remembered and must not be enqueued
   */
  noteForwarded (submissionId: SubmissionId): boolean {
    return this.db.addForwarded(submissionId, this.ctx.now)
  }

  /**
   * Reports the state of a forwarded job to the instance that forwarded it. A job that never arrived is remembered,
   * so that a forward that is still in transit is not accepted later.
   * @param submissionId - the job
   * @param ageMs - time since it was forwarded; from half the retention of forwards on, the scheduler no longer claims
   *   that the job never arrived
   * @returns the state of the job
   */
  checkForwarded (submissionId: SubmissionId, ageMs: Ms): ForwardedState {
    if (this.db.jobs.has(submissionId)) return { type: 'held' }
    const answer = this.db.retainedAnswer(submissionId)
    if (answer !== undefined) return { type: 'ended', answer }
    if (ageMs >= FORWARD_RETENTION_MS / 2) return { type: 'forgotten' }
    return this.noteForwarded(submissionId) ? { type: 'neverArrived' } : { type: 'forgotten' }
  }

  /**
   * Queues a job. Answers it as failed instead when it cannot be finished by its deadline or when too many tasks of
   * its customer wait.
   * @param order - the job
   */
  enqueue (order: JobOrder): void {
    const { customer, job, terms } = order
    const estimate = this.parts.deadlines.estimate({ customer, kind: job.kind }, terms, job.tasks)
    const scheduled = newScheduledJob(order, estimate.meanMs)
    const refusal = this.admissionRefusal(scheduled, estimate)
    if (refusal !== undefined) {
      this.answer(order, failedAnswer(order.submissionId, refusal))
      return
    }
    this.db.jobs.set(order.submissionId, scheduled)
    this.db.queue.push(scheduled, this.ctx.now, this.parts.routing.slots())
    this.db.queuedWorkMs += scheduled.workMs
    this.activeCustomers.add(customer)
    this.startWaitingTasks()
  }

  /**
   * Starts as many tasks as slots and permits allow, in the order of the queue. A customer whose next task cannot start
   * is skipped for the rest of the pass; customers without a permit are reported to the limits, which may borrow some.
   */
  startWaitingTasks (): void {
    const skippedCustomers = new Set<CustomerId>()
    const customersWithoutPermit: CustomerId[] = []
    for (;;) {
      const job = this.db.queue.next(skippedCustomers)
      if (job === undefined) break
      if (this.failIfExpired(job)) continue
      const attempt = this.startNext(job)
      if (attempt === 'started') continue
      if (attempt === 'noSlot' && !this.parts.routing.hasFreeSlot()) break
      if (attempt === 'noPermit') customersWithoutPermit.push(job.customer)
      skippedCustomers.add(job.customer)
    }
    if (customersWithoutPermit.length > 0) this.parts.limits.reportShortage(customersWithoutPermit)
  }

  /** Renews leases, gives up tasks whose lease has run out, and starts waiting tasks. */
  tick (): void {
    this.renewLeases()
    for (const task of [...this.db.running.values()]) {
      if (this.ctx.now >= task.leaseUntil) this.leaseRanOut(task)
    }
    if (this.db.queue.waiting() > 0) this.startWaitingTasks()
  }

  /** Handles an endpoint's answer to a start request, or the failure to send one. */
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
        this.startRefused(task)
        break
      case 'notSent':
        this.parts.health.unreachable(task.endpoint)
        this.startRefused(task)
        break
      case 'unknown':
        this.outcomeLost(task)
    }
    this.startWaitingTasks()
  }

  /**
   * Handles the outcome of a renewal request. After a failure the leases of its tasks are due again at once. A
   * renewal also succeeds for a task that has ended at its endpoint and whose answer was lost; that is not detected here.
   * @param tasks - the tasks in the request
   * @param renewed - false when the renewal failed
   */
  renewOutcome (tasks: readonly TaskId[], renewed: boolean): void {
    if (renewed) return
    for (const id of tasks) {
      const task = this.db.running.get(id)
      if (task !== undefined) task.renewedAt = ms(0)
    }
  }

  /**
   * Cancels a job for its caller: waiting tasks are dropped, running ones are stopped.
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

  /** Returns every job of which no task was started, so that it can be placed with another instance. */
  returnUnstarted (): void {
    for (const job of [...this.db.jobs.values()]) {
      if (job.started > 0) continue
      this.drop(job)
      this.listener.jobReturned(job.order)
    }
  }

  /**
   * Checks a job against the queue limit and its deadline. The work ahead of it is that of the whole queue, but not
   * more than the customer's own waiting work times the number of active customers, because customers share the slots
   * fairly and a long queue of one does not delay the others.
   */
  private admissionRefusal (job: ScheduledJob, estimate: { meanMs: number, p99Ms: number }): JobFailure | undefined {
    const { customer, terms, deadline, job: spec } = job.order
    const bounds = this.parts.bounds(customer)
    if (bounds === undefined) return { name: 'unauthorized', message: `customer ${customer} has no contract any more; not run`, ran: 'no' }
    const waiting = this.db.queue.waitingTasksOf(customer)
    if (waiting + spec.tasks.length > bounds.queued) return { name: 'queueFull', message: `${waiting} tasks wait already and ${spec.tasks.length} more would exceed the limit of ${bounds.queued}; not run`, ran: 'no' }
    if (terms.whenLate === 'runLate') return undefined
    const slots = Math.min(this.parts.routing.slots(), bounds.running)
    const workAheadMs = Math.min(this.db.queuedWorkMs, waiting * estimate.meanMs * this.countActiveCustomers())
    const unreachable = this.parts.deadlines.cannotMeetDeadline(estimate, spec.tasks.length, workAheadMs, slots, deadline - this.ctx.now)
    return unreachable ? { name: 'deadlineUnreachable', message: `the job cannot be finished within its answer time of ${terms.answerWithinMs} ms; not run`, ran: 'no' } : undefined
  }

  private countActiveCustomers (): number {
    for (const customer of this.activeCustomers) if (this.db.queue.waitingTasksOf(customer) === 0) this.activeCustomers.delete(customer)
    return Math.max(1, this.activeCustomers.size)
  }

  /**
   * Fails a job that has passed its deadline before any of its tasks was started, unless its terms allow a late run.
   */
  private failIfExpired (job: ScheduledJob): boolean {
    const { terms, deadline } = job.order
    if (job.started > 0 || terms.whenLate === 'runLate' || this.ctx.now < deadline) return false
    this.fail(job, { name: 'expiredBeforeStart', message: `no task could be started within the answer time of ${terms.answerWithinMs} ms; not run`, ran: 'no' })
    return true
  }

  private startNext (job: ScheduledJob): 'started' | 'noSlot' | 'noPermit' {
    const index = job.refusedIndexes[0] ?? job.nextIndex
    const spec = job.order.job.tasks[index]
    if (spec === undefined) return 'noSlot'
    const endpoint = this.parts.routing.choose(spec)
    if (endpoint === undefined) return 'noSlot'
    if (!this.parts.limits.tryAcquirePermit(job.customer)) return 'noPermit'
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

  /**
   * Latest time at which a task that is started or renewed now may still run if its lease is not renewed again. The
   * request may take effect as late as the end of the start window, on a clock that is off by the allowed skew, and the
   * lease begins then.
   */
  private leaseEnd (): Ms {
    const { startWindowMs, clockSkewMs, taskLeaseMs } = this.ctx.cfg.limits
    return ms(this.ctx.now + startWindowMs + clockSkewMs + taskLeaseMs)
  }

  private done (task: RunningTask, result: unknown, runMs: number): void {
    const { job, index, endpoint } = task
    this.releaseTask(task)
    this.ctx.out.count('tasks.done')
    const state = this.parts.routing.db.get(endpoint)
    if (state !== undefined) this.parts.routing.startAccepted(state)
    this.parts.deadlines.db.record({ customer: job.customer, kind: job.order.job.kind }, runMs)
    this.parts.health.success(this.healthReportOf(task), runMs / Math.max(1, job.meanMs))
    if (job.ended) return
    job.results[index] = result
    job.missingResults--
    if (job.missingResults === 0) this.complete(job)
  }

  private taskFailed (task: RunningTask, message: string): void {
    this.releaseTask(task)
    this.ctx.out.count('tasks.failed')
    this.parts.health.failure(this.healthReportOf(task))
    this.fail(task.job, { name: 'taskFailed', message: `task ${task.index}: ${message}`, ran: 'yes' })
  }

  private stopped (task: RunningTask): void {
    this.releaseTask(task)
    this.fail(task.job, { name: 'permitLost', message: `task ${task.index} was ended because its lease was not renewed`, ran: 'yes' })
  }

  private startRefused (task: RunningTask): void {
    const { job, index, endpoint } = task
    this.releaseTask(task)
    this.ctx.out.count('tasks.refused')
    const state = this.parts.routing.db.get(endpoint)
    if (state !== undefined) this.parts.routing.startRefused(state)
    if (job.ended) return
    job.started--
    job.refusedIndexes.push(index)
    this.db.queuedWorkMs += job.meanMs
    this.db.queue.requeueAtHead(job)
    this.db.queue.adjustWaiting(job.customer, 1)
  }

  private outcomeLost (task: RunningTask): void {
    task.outcomeLost = true
    this.ctx.out.count('tasks.unknown')
    this.parts.health.failure(this.healthReportOf(task))
    this.fail(task.job, { name: 'outcomeUnknown', message: `the connection was lost while task ${task.index} ran`, ran: 'maybe' })
  }

  private leaseRanOut (task: RunningTask): void {
    this.releaseTask(task)
    if (task.outcomeLost) return
    this.ctx.out.count('tasks.unknown')
    this.parts.health.failure(this.healthReportOf(task))
    this.fail(task.job, { name: 'outcomeUnknown', message: `the lease of task ${task.index} ran out without an answer`, ran: 'maybe' })
  }

  private healthReportOf (task: RunningTask): { endpoint: EndpointId, job: SubmissionId, kind: string } {
    const { submissionId, customer, job } = task.job.order
    return { endpoint: task.endpoint, job: submissionId, kind: `${customer}/${job.kind}` }
  }

  /** Releases the permit and the slot of a task that can no longer run. */
  private releaseTask (task: RunningTask): void {
    this.db.running.delete(task.taskId)
    this.parts.limits.releasePermit(task.job.customer)
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
    this.answer(job.order, failedAnswer(job.order.submissionId, failure))
  }

  private drop (job: ScheduledJob): void {
    const waiting = job.waiting()
    job.ended = true
    this.db.jobs.delete(job.order.submissionId)
    this.db.queuedWorkMs -= waiting * job.meanMs
    this.db.queue.adjustWaiting(job.customer, -waiting)
  }

  /** Asks endpoints to stop a job's tasks; those whose connection was lost end with their lease. */
  private stopRunning (job: ScheduledJob): void {
    const tasks = this.db.runningOf(job).filter(t => !t.outcomeLost)
    const notAfter = this.ctx.wall + this.ctx.cfg.limits.taskLeaseMs
    for (const [endpoint, group] of groupByEndpoint(tasks)) {
      this.ctx.out.push({ type: 'stop', endpoint, address: group.address, tasks: group.tasks, notAfter })
    }
  }

  private answer (order: JobOrder, answer: Answer): void {
    this.listener.jobAnswered(order, answer)
  }

  private renewLeases (): void {
    const due = this.tasksToRenew()
    const { wall, cfg, out } = this.ctx
    for (const [endpoint, group] of groupByEndpoint(due)) {
      out.count('tasks.renewed', group.tasks.length)
      out.push({ type: 'renew', endpoint, address: group.address, tasks: group.tasks, notAfter: wall + cfg.limits.startWindowMs })
    }
  }

  /**
   * Lists tasks whose lease is due for renewal. Where a customer runs more tasks than its permits cover, the newest
   * ones in excess are left out, so that their leases end and the customer is within its limit again.
   */
  private tasksToRenew (): RunningTask[] {
    const { now, cfg } = this.ctx
    const remainingExcess = new Map<CustomerId, number>()
    const due: RunningTask[] = []
    for (const task of [...this.db.running.values()].reverse()) {
      const { customer } = task.job
      const excess = remainingExcess.get(customer) ?? this.parts.limits.tasksWithoutPermit(customer)
      remainingExcess.set(customer, Math.max(0, excess - 1))
      if (excess > 0 || task.outcomeLost || now - task.renewedAt < cfg.limits.taskLeaseMs * RENEW_AFTER_LEASE_FRACTION) continue
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

function groupByEndpoint (tasks: readonly RunningTask[]): Map<EndpointId, EndpointGroup> {
  const groups = new Map<EndpointId, EndpointGroup>()
  for (const task of tasks) {
    const group = groups.get(task.endpoint) ?? { address: task.address, tasks: [] }
    groups.set(task.endpoint, group)
    group.tasks.push(task.taskId)
  }
  return groups
}

/**
 * Composes the answer to a job that failed.
 * @param submissionId - the job
 * @param failure - why it failed, and whether any of its tasks ran
 * @returns the answer
 */
export function failedAnswer (submissionId: SubmissionId, failure: JobFailure): Answer {
  return { outcome: 'failed', submissionId, code: RESULT_CODES[failure.name], message: failure.message, ran: failure.ran }
}
