/**
 * Follows a submission at the instance that accepted it: checks, a claim if its kind is not idempotent, placement
 * with a scheduler, and exactly one answer. Late or repeated answers find the job answered and are dropped. This is
 * separate from scheduling because the scheduler may be another instance.
 */
import type { Answer, CodedError, CustomerId, InstanceId, JobSpec, KindTerms, MemberStatus, SubmissionId } from '@cranberryyard/protocol'
import { codedError, holderId, acceptingInstanceOf, isNotRun, ms } from '@cranberryyard/protocol'
import type { Context } from '../instance/context.js'
import type { Timeliness } from '../instance/types.js'
import type { ContractsDecider } from '../contracts/contractsDecider.js'
import type { DeduplicationDecider } from '../deduplication/deduplicationDecider.js'
import type { ClaimOutcome } from '../deduplication/types.js'
import type { MembershipDecider } from '../membership/membershipDecider.js'
import type { RoutingDecider } from '../routing/routingDecider.js'
import type { SchedulingDecider } from '../scheduling/schedulingDecider.js'
import { failedAnswer } from '../scheduling/schedulingDecider.js'
import type { JobFailure, JobOrder } from '../scheduling/types.js'
import { Chart } from '../utils/chart.js'
import { JobsDb } from './jobsDb.js'
import type { FrontJob, JobEvent, JobState } from './types.js'

/** Time between two checks whether a scheduler still has a forwarded job, after the connection to it broke. */
const FORWARD_CHECK_PERIOD_MS = 1000
/** Time between two requests for the answer to an earlier submission. */
const EARLIER_ANSWER_POLL_MS = 150

/** The other decisions that the job decision depends on. */
export interface JobDependencies {
  readonly contracts: ContractsDecider
  readonly deduplication: DeduplicationDecider
  readonly membership: MembershipDecider
  readonly routing: RoutingDecider
  readonly scheduling: SchedulingDecider
  readonly status: () => MemberStatus
}

/** Decides how submissions are placed and answered. */
export class JobsDecider {
  readonly db = new JobsDb()
  private readonly chart = new Chart<JobState, JobEvent>('job')
  private submissionCounter = 0

  constructor (private readonly ctx: Context, private readonly parts: JobDependencies) {}

  /**
   * Accepts or refuses a submission, or attaches the call to an earlier submission of the same request.
   * @param callId - the call that waits for the answer
   * @param keyHash - hash of the caller's key
   * @param job - the job, its format already checked
   */
  submit (callId: string, keyHash: string, job: JobSpec): void {
    const customer = this.parts.contracts.db.customerOfKey(keyHash)
    const refusal = this.admissionRefusal(customer, job)
    const terms = customer === undefined ? undefined : this.parts.contracts.db.terms(customer, job.kind)
    if (refusal !== undefined || customer === undefined || terms === undefined) {
      this.refuse(callId, refusal ?? codedError('unauthorized', 'unknown key; not run'))
      return
    }
    if (this.attachToEarlier(callId, customer, job, terms)) return
    this.accept(callId, customer, job, terms)
  }

  /** Answers a call that asks for the answer to an earlier submission, which may be at another instance. */
  fetch (callId: string, keyHash: string, submissionId: SubmissionId): void {
    const customer = this.parts.contracts.db.customerOfKey(keyHash)
    if (customer === undefined) {
      this.refuse(callId, codedError('unauthorized', 'unknown key'))
      return
    }
    const front = acceptingInstanceOf(submissionId)
    if (front === this.ctx.self.instance) this.replyLocal(callId, customer, submissionId)
    else this.requestAnswerFromFront(callId, customer, submissionId, front)
  }

  /** Cancels a submission in flight at this instance; the call then waits for the answer like any other. */
  cancel (callId: string, keyHash: string, submissionId: SubmissionId): void {
    const customer = this.parts.contracts.db.customerOfKey(keyHash)
    const job = this.db.get(submissionId)
    if (job === undefined || job.customer !== customer) {
      this.refuse(callId, codedError('unknownSubmission', `no submission ${submissionId} of this customer is in flight at this instance`))
      return
    }
    job.waitingCalls.push(callId)
    this.cancelJob(job)
  }

  /**
   * Handles the outcome of a claim: places the job, waits for the earlier submission that has the claim, or refuses
   * the job.
   */
  claimEnded (submissionId: SubmissionId, outcome: ClaimOutcome): void {
    const job = this.db.get(submissionId)
    if (job === undefined || job.state !== 'claiming') return
    switch (outcome.type) {
      case 'won':
        this.applyEvent(job, 'claimed')
        this.place(job)
        return
      case 'taken':
        this.awaitEarlierAnswer(job, outcome.by)
        return
      case 'undecidable':
        this.fail(job, 'refuse', { name: 'claimUndecidable', message: 'too few claim holders could be reached; not run', ran: 'no' })
    }
  }

  /** Handles an answer from the scheduler, which may be this instance or another one. */
  answered (answer: Answer): void {
    const job = this.db.get(answer.submissionId)
    if (job !== undefined) this.finish(job, 'answer', answer)
  }

  /** Places a job again that another scheduler returned without having started any task. */
  returned (submissionId: SubmissionId, from: InstanceId): void {
    const job = this.db.get(submissionId)
    if (job === undefined || job.state !== 'forwarded' || job.scheduler?.instance !== from) return
    job.excluded.add(from)
    this.applyEvent(job, 'returned')
    this.place(job)
  }

  /** Places a job again that this instance's own scheduler returned without having started any task. */
  returnedHere (submissionId: SubmissionId): void {
    const job = this.db.get(submissionId)
    if (job === undefined) return
    this.applyEvent(job, 'returned')
    this.place(job)
  }

  /** Replies to a peer that requests the answer to a submission of this instance. */
  receiveAnswerRequest (from: InstanceId, customer: CustomerId, submissionId: SubmissionId, replyTo: string): void {
    const retained = this.db.answerOf(submissionId)
    const answer = retained?.customer === customer ? retained.answer : null
    const pending = this.db.get(submissionId)?.customer === customer
    this.parts.membership.send(from, { type: 'answerReply', replyTo, answer, pending })
  }

  /**
   * Handles a peer's reply about one of its submissions, for a waiting call or for a later submission of the same
   * request.
   */
  receiveAnswerReply (replyTo: string, answer: Answer | null, pending: boolean): void {
    const job = this.db.get(replyTo as SubmissionId)
    if (job !== undefined) this.earlierAnswerReceived(job, answer, pending)
    else this.replyToCall(replyTo, answer, pending)
  }

  /**
   * Schedules checks of jobs forwarded over a connection that broke, because forwards and answers on it may be lost.
   */
  checkForwardedJobs (scheduler: InstanceId): void {
    for (const job of this.db.all()) {
      if (job.state === 'forwarded' && job.scheduler?.instance === scheduler) job.checkAt ??= this.ctx.now
    }
  }

  /** Sends due requests and checks, and gives up jobs whose scheduler is lost or whose time is over. */
  tick (): void {
    for (const job of [...this.db.all()]) this.tickJob(job)
    this.db.expire(this.ctx.now)
  }

  private admissionRefusal (customer: CustomerId | undefined, job: JobSpec): CodedError | undefined {
    const { contracts, status } = this.parts
    if (status() === 'starting') return codedError('starting', 'the instance is starting; not run')
    if (customer === undefined) return codedError('unauthorized', 'unknown key; not run')
    if (status() === 'leaving') return codedError('leaving', 'the instance is leaving; not run')
    const contract = contracts.db.contract(customer)
    if (contract === undefined || contracts.db.terms(customer, job.kind) === undefined) {
      return codedError('unknownKind', `the contract has no kind ${job.kind}; not run`, 'kind')
    }
    if (job.tasks.length > contract.limits.jobTasks) {
      return codedError('jobTooLarge', `the job has ${job.tasks.length} tasks, the contract allows ${contract.limits.jobTasks}; not run`, 'tasks')
    }
    return this.sizeRefusal(job)
  }

  private sizeRefusal (job: JobSpec): CodedError | undefined {
    const { routing } = this.parts
    if (routing.db.all().length === 0) return codedError('starting', 'no endpoint is known yet; not run')
    const index = job.tasks.findIndex(t => !routing.canEverRun(t))
    return index < 0 ? undefined : codedError('cannotRun', `no endpoint is large enough for task ${index}; not run`, `tasks.${index}`)
  }

  /**
   * Answers a repeated request from its earlier submission at this instance, if that is in flight or its answer is
   * retained. A failed request is run again if its kind is idempotent or nothing of it ran.
   * @returns true when the call was attached to the earlier submission or answered
   */
  private attachToEarlier (callId: string, customer: CustomerId, job: JobSpec, terms: KindTerms): boolean {
    const earlier = this.db.submissionOf(customer, job.requestId)
    if (earlier === undefined) return false
    const inFlight = this.db.get(earlier)
    if (inFlight !== undefined) {
      inFlight.waitingCalls.push(callId)
      this.ctx.out.push({ type: 'accepted', callId, submissionId: earlier })
      this.ctx.out.count('jobs.resubmitted')
      return true
    }
    const retained = this.db.answerOf(earlier)
    if (retained === undefined) return false
    const { answer } = retained
    if (answer.outcome === 'failed' && (terms.idempotent || answer.ran === 'no')) return false
    this.ctx.out.count('jobs.resubmitted')
    this.ctx.out.push({ type: 'answer', callId, answer })
    return true
  }

  private accept (callId: string, customer: CustomerId, spec: JobSpec, terms: KindTerms): void {
    const { self, now, out } = this.ctx
    this.submissionCounter++
    const submissionId = `${self.instance}.${self.incarnation.toString(36)}.${this.submissionCounter.toString(36)}` as SubmissionId
    const job: FrontJob = {
      submissionId,
      customer,
      job: spec,
      terms,
      acceptedAt: now,
      deadline: ms(now + terms.answerWithinMs),
      state: this.chart.initial,
      waitingCalls: [callId],
      scheduler: undefined,
      forwardedAt: now,
      checkAt: undefined,
      excluded: new Set(),
      earlier: undefined
    }
    this.db.add(job)
    out.count('jobs.accepted')
    out.push({ type: 'accepted', callId, submissionId })
    if (terms.idempotent) {
      this.applyEvent(job, 'claimed')
      this.place(job)
    } else {
      this.parts.deduplication.beginAttempt(customer, spec.requestId as never, submissionId)
    }
  }

  private place (job: FrontJob): void {
    if (job.state !== 'placing') return
    const placement = this.parts.routing.place(job.excluded)
    switch (placement.type) {
      case 'here':
        this.applyEvent(job, 'placeLocal')
        this.parts.scheduling.enqueue(this.orderOf(job))
        return
      case 'remote':
        this.forward(job, placement.instance)
    }
  }

  private forward (job: FrontJob, to: InstanceId): void {
    const member = this.parts.membership.db.get(to)
    this.applyEvent(job, 'placeRemote')
    job.scheduler = { instance: to, incarnation: member?.incarnation ?? 0 }
    job.forwardedAt = this.ctx.now
    job.checkAt = undefined
    const { submissionId, customer, job: spec } = job
    this.ctx.out.count('jobs.forwarded')
    const remainingMs = ms(job.deadline - this.ctx.now)
    this.parts.membership.send(to, { type: 'forward', job: { submissionId, customer, job: spec, remainingMs } })
  }

  private orderOf (job: FrontJob): JobOrder {
    const { submissionId, customer, job: spec, terms, deadline } = job
    const weight = this.parts.contracts.db.contract(customer)?.weight ?? 1
    return { submissionId, customer, job: spec, terms, weight, front: undefined, deadline }
  }

  private cancelJob (job: FrontJob): void {
    const failure: JobFailure = { name: 'cancelledBeforeStart', message: 'cancelled by the caller; not run', ran: 'no' }
    switch (job.state) {
      case 'claiming':
        this.parts.deduplication.abandonAttempt(job.submissionId)
        this.fail(job, 'refuse', failure)
        return
      case 'placing':
        this.fail(job, 'refuse', failure)
        return
      case 'scheduledHere':
        this.parts.scheduling.cancel(job.submissionId)
        return
      case 'forwarded':
        this.sendCancel(job)
        return
      case 'answered':
    }
  }

  private sendCancel (job: FrontJob): void {
    const { scheduler, submissionId } = job
    if (scheduler !== undefined) this.parts.membership.send(scheduler.instance, { type: 'forwardCancel', submissionId })
  }

  /**
   * Handles a request that an earlier submission has claimed: the answer to that submission is requested from its front,
   * the instance that accepted it. If the front is not live, the job is refused as a duplicate.
   */
  private awaitEarlierAnswer (job: FrontJob, earlier: SubmissionId): void {
    const front = acceptingInstanceOf(earlier)
    if (front === this.ctx.self.instance) {
      const retained = this.db.answerOf(earlier)
      this.earlierAnswerReceived(job, retained?.answer ?? null, this.db.get(earlier) !== undefined)
      return
    }
    job.earlier = { submissionId: earlier, nextRequestAt: ms(0) }
    this.requestEarlierAnswer(job)
  }

  private requestEarlierAnswer (job: FrontJob): void {
    const { earlier } = job
    if (earlier === undefined) return
    const member = this.parts.membership.db.get(acceptingInstanceOf(earlier.submissionId))
    if (member === undefined || !this.parts.membership.isLive(member)) {
      this.refuseDuplicate(job)
      return
    }
    earlier.nextRequestAt = ms(this.ctx.now + EARLIER_ANSWER_POLL_MS)
    const { submissionId, customer } = job
    this.parts.membership.send(member.instance, { type: 'answerRequest', submissionId: earlier.submissionId, customer, replyTo: submissionId })
  }

  private earlierAnswerReceived (job: FrontJob, answer: Answer | null, pending: boolean): void {
    if (job.state !== 'claiming') return
    if (answer !== null) {
      this.ctx.out.count('jobs.resubmitted')
      this.finish(job, 'answer', answer)
    } else if (!pending) {
      this.refuseDuplicate(job)
    } else if (job.earlier === undefined) {
      this.refuseDuplicate(job)
    }
  }

  private refuseDuplicate (job: FrontJob): void {
    const message = 'an earlier submission of this request was accepted and may have run; this one did not run'
    this.fail(job, 'refuse', { name: 'duplicateRequest', message, ran: 'no' })
  }

  private tickJob (job: FrontJob): void {
    const { now, cfg } = this.ctx
    if (job.state === 'claiming' && job.earlier !== undefined && now >= job.earlier.nextRequestAt) this.requestEarlierAnswer(job)
    if (job.state === 'forwarded' && this.isSchedulerLost(job)) {
      this.fail(job, 'schedulerLost', { name: 'schedulerLost', message: 'the instance that scheduled the job was lost', ran: 'maybe' })
      return
    }
    this.checkForwarded(job)
    const giveUpAt = job.acceptedAt + job.terms.answerWithinMs * cfg.jobs.lateGraceFactor
    if (now >= giveUpAt) this.giveUp(job)
  }

  private checkForwarded (job: FrontJob): void {
    const { scheduler, checkAt, submissionId } = job
    if (job.state !== 'forwarded' || scheduler === undefined || checkAt === undefined || this.ctx.now < checkAt) return
    job.checkAt = ms(this.ctx.now + FORWARD_CHECK_PERIOD_MS)
    const holder = holderId(scheduler.instance, scheduler.incarnation)
    this.parts.membership.send(scheduler.instance, { type: 'forwardCheck', scheduler: holder, submissionId, ageMs: ms(this.ctx.now - job.forwardedAt) })
  }

  private giveUp (job: FrontJob): void {
    switch (job.state) {
      case 'claiming':
        this.parts.deduplication.abandonAttempt(job.submissionId)
        this.refuseDuplicate(job)
        return
      case 'scheduledHere':
        this.parts.scheduling.cancel(job.submissionId)
        return
      case 'forwarded':
        this.sendCancel(job)
        this.fail(job, 'giveUp', { name: 'answerTooLate', message: `no answer arrived within the answer time of ${job.terms.answerWithinMs} ms and the grace period after it`, ran: 'maybe' })
        return
      case 'placing':
      case 'answered':
    }
  }

  /**
   * A scheduler is lost when no heartbeat of it has arrived for `suspectMs`, or when it was forgotten or has restarted.
   * A broken connection alone does not count, because the scheduler may still run the job and answer.
   */
  private isSchedulerLost (job: FrontJob): boolean {
    const { scheduler } = job
    const member = scheduler === undefined ? undefined : this.parts.membership.db.get(scheduler.instance)
    if (member === undefined || scheduler === undefined) return true
    if (member.incarnation !== scheduler.incarnation) return true
    return this.ctx.now - member.lastHeartbeatAt >= this.ctx.cfg.membership.suspectMs
  }

  private fail (job: FrontJob, event: JobEvent, failure: JobFailure): void {
    this.finish(job, event, failedAnswer(job.submissionId, failure))
  }

  private finish (job: FrontJob, event: JobEvent, answer: Answer): void {
    if (this.chart.next(job.state, event) === undefined) return
    this.applyEvent(job, event)
    const { now, cfg, out } = this.ctx
    this.db.retain(job, answer, ms(now + cfg.jobs.retentionMs))
    this.db.countTimeliness(job.customer, job.job.kind, timelinessOf(answer, now > job.deadline))
    out.count(answer.outcome === 'complete' ? 'jobs.complete' : isNotRun(answer.code) ? 'jobs.refused' : 'jobs.failed')
    for (const callId of job.waitingCalls) out.push({ type: 'answer', callId, answer })
  }

  private applyEvent (job: FrontJob, event: JobEvent): void {
    job.state = this.chart.next(job.state, event) ?? job.state
  }

  private refuse (callId: string, error: CodedError): void {
    this.ctx.out.count('jobs.refused')
    this.ctx.out.push({ type: 'refused', callId, error, ran: 'no' })
  }

  private replyLocal (callId: string, customer: CustomerId, submissionId: SubmissionId): void {
    const retained = this.db.answerOf(submissionId)
    const pending = this.db.get(submissionId)?.customer === customer
    this.replyToCall(callId, retained?.customer === customer ? retained.answer : null, pending, submissionId)
  }

  private requestAnswerFromFront (callId: string, customer: CustomerId, submissionId: SubmissionId, front: InstanceId): void {
    const member = this.parts.membership.db.get(front)
    if (member === undefined || !this.parts.membership.isLive(member)) {
      this.replyToCall(callId, null, false)
      return
    }
    this.parts.membership.send(front, { type: 'answerRequest', submissionId, customer, replyTo: callId })
  }

  private replyToCall (callId: string, answer: Answer | null, pending: boolean, submissionId?: SubmissionId): void {
    if (answer !== null) this.ctx.out.push({ type: 'answer', callId, answer })
    else if (pending) this.ctx.out.push({ type: 'pending', callId, submissionId: submissionId ?? ('' as SubmissionId) })
    else this.refuse(callId, codedError('unknownSubmission', 'no such submission, or its answer is no longer kept'))
  }
}

function timelinessOf (answer: Answer, late: boolean): Timeliness {
  if (answer.outcome === 'failed') return 'notAnswered'
  return late ? 'late' : 'onTime'
}
