/**
 * Answers for the jobs that callers sent to this instance: finds their queue, picks the shard, follows the job when its
 * owner changes, and gives each call one reply. A job that may have run is never called refused.
 * Load it answers: a domain without room while others have some, and owners that are lost with jobs at work.
 */
import type { FailureDomain, InstanceId, JobId, JobOutcome, JobProgress, JobRequest, Ms, ShardMessage } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { DesiredDecider } from '../desired/desiredDecider.js'
import { chainOf, objectiveOf } from '../execution/executionDb.js'
import type { SessionsDecider } from '../sessions/sessionsDecider.js'
import type { CallerReply, RefusalCause, ShardContext } from '../shard/types.js'
import { IntakeDb } from './intakeDb.js'
import type { FrontedJob } from './types.js'

/** Wait elsewhere must be shorter by this much to leave the caller's own domain: a round trip between domains and back. */
const REMOTE_PENALTY_MS = 15
/** Share of room taken from which the own domain counts as full. */
const FULL_SHARE = 0.97
/** Estimates are too low by up to this factor; a leaving instance takes only what surely ends in time. */
const LEAVING_SAFETY = 2
/** Wait for room that a leaving instance allows for; callers leave what waits longer. */
const LEAVING_WAIT_MS = 1000
/** When callers had best come back to another instance. */
const LEAVING_RETRY_MS = ms(1000)
/** How often a job is sent to an owner that does not know it. */
const RESENDS_MAX = 3
/** When callers had best come back after a refusal for want of an owner or a desired state. */
const NO_OWNER_RETRY_MS = ms(1000)
/** When callers had best come back with a job that this system does not serve. */
const UNSUPPORTED_RETRY_MS = ms(60_000)

/** Delivers a message to an owner, which may be this instance. */
export type Deliver = (to: InstanceId, message: ShardMessage) => void

/** The intake decision. */
export class IntakeDecider {
  readonly db = new IntakeDb()
  private leavingSince: Ms | undefined

  constructor (private readonly ctx: ShardContext, private readonly desired: DesiredDecider, private readonly sessions: SessionsDecider, private readonly deliver: Deliver) {}

  /** Takes a job from a caller. */
  submit (callId: string, host: string, path: string, request: JobRequest, deadlineMs: Ms): void {
    const { now, cfg, out } = this.ctx
    out.count('shard.jobs.received')
    const known = this.db.jobs.get(request.id)
    if (known !== undefined) {
      out.count('shard.jobs.joined')
      this.db.addCall(known, callId)
      return
    }
    if (this.desired.db.state === undefined) return this.refuseCall(callId, request.id, 'noDesiredState', NO_OWNER_RETRY_MS)
    const queue = this.desired.db.queueFor(host, path)
    if (queue === undefined) return this.refuseCall(callId, request.id, 'noQueue', NO_OWNER_RETRY_MS)
    if (request.features.length > 0 || queue.needsAdvice) return this.refuseCall(callId, request.id, 'unsupported', UNSUPPORTED_RETRY_MS)
    if (!this.endsBeforeLeaving(request)) return this.refuseCall(callId, request.id, 'leaving', LEAVING_RETRY_MS)
    const job: FrontedJob = {
      id: request.id,
      job: request,
      queue,
      receivedAt: now,
      callerUntil: ms(now + deadlineMs),
      usefulUntil: ms(now + objectiveOf(queue, chainOf(request.steps, 1)) * cfg.usefulFactor),
      calls: new Set(),
      declinedBy: new Set(),
      retryAfterMs: NO_OWNER_RETRY_MS,
      where: { type: 'unplaced', since: now },
      done: [],
      attempt: 0,
      resends: 0,
      checkedAt: now
    }
    this.db.jobs.set(job.id, job)
    this.db.addCall(job, callId)
    this.place(job)
  }

  /** A caller's connection ended before its reply. */
  callerLeft (callId: string): void {
    const job = this.db.jobOfCall(callId)
    this.db.removeCall(callId)
    if (job === undefined || job.calls.size > 0) return
    this.ctx.out.log('job.callerLeft', { job: job.id, ageMs: Math.round(this.ctx.now - job.receivedAt) })
    this.withdraw(job)
    this.db.remove(job)
  }

  /** An owner reports how a job ended. */
  ended (id: JobId, outcome: JobOutcome): void {
    const job = this.db.jobs.get(id)
    if (job !== undefined) this.finish(job, { type: 'ended', outcome })
  }

  /** An owner has not started the job and will not. */
  declined (id: JobId, from: InstanceId, attempt: number, retryAfterMs: Ms): void {
    const job = this.db.jobs.get(id)
    if (job?.where.type !== 'atOwner' || job.where.owner !== from || job.attempt !== attempt) return
    job.declinedBy.add(job.where.failureDomain)
    job.retryAfterMs = retryAfterMs
    job.where = { type: 'unplaced', since: this.ctx.now }
    this.place(job)
  }

  /** An owner does not know the job, or no longer owns the shard. */
  unknownAt (id: JobId, from: InstanceId, failureDomain: FailureDomain): void {
    const job = this.db.jobs.get(id)
    if (job?.where.type !== 'atOwner' || job.where.owner !== from || job.where.failureDomain !== failureDomain) return
    this.detach(job, failureDomain)
    if (this.sessions.ownerOf(failureDomain) !== from || job.resends >= RESENDS_MAX) return
    job.resends++
    this.resume(job, failureDomain, from)
  }

  /** A shard's owner leaves and tells what is done of the jobs that go on under its successor. */
  moved (from: InstanceId, failureDomain: FailureDomain, progress: readonly JobProgress[]): void {
    const shard = this.sessions.db.shards.get(failureDomain)
    if (shard?.owner === from) shard.disowned = true
    for (const { jobId, done } of progress) {
      const job = this.db.jobs.get(jobId)
      if (job !== undefined) job.done = [...job.done, ...done]
    }
    for (const job of this.db.at(from)) {
      if (job.where.type === 'atOwner' && job.where.failureDomain === failureDomain) this.detach(job, failureDomain)
    }
  }

  /** An owner is lost; its jobs wait for the next owner of their shard. */
  ownerLost (owner: InstanceId): void {
    for (const job of this.db.at(owner)) {
      if (job.where.type === 'atOwner') this.detach(job, job.where.failureDomain)
    }
  }

  /** The connection to an owner was replaced; what was on its way may be lost. */
  linkReplaced (owner: InstanceId): void {
    for (const job of this.db.at(owner)) {
      if (job.where.type === 'atOwner') this.resume(job, job.where.failureDomain, owner)
    }
  }

  /** A shard has an owner: jobs that waited for one go on. */
  ownerKnown (failureDomain: FailureDomain): void {
    const owner = this.sessions.ownerOf(failureDomain)
    if (owner === undefined) return
    for (const job of this.db.jobs.values()) {
      if (job.where.type === 'detached' && job.where.failureDomain === failureDomain) this.resume(job, failureDomain, owner)
      else if (job.where.type === 'unplaced') this.place(job)
    }
  }

  /** Gives up what has waited too long, asks after jobs that take long. */
  tick (): void {
    for (const job of [...this.db.jobs.values()]) this.tickJob(job)
    this.askAfterJobs()
  }

  /** From now on only jobs are taken that end before this process does. */
  leave (): void {
    this.leavingSince = this.ctx.now
  }

  /** Gives up every job: this process stood still, and callers may have sent them elsewhere meanwhile. */
  loseAll (): void {
    for (const job of [...this.db.jobs.values()]) this.giveUp(job)
  }

  private endsBeforeLeaving (request: JobRequest): boolean {
    const { now, cfg } = this.ctx
    if (this.leavingSince === undefined) return true
    const passed = now - this.leavingSince
    return passed <= cfg.leaveTakeMs && passed + LEAVING_WAIT_MS + chainOf(request.steps, LEAVING_SAFETY) <= cfg.leaveMs
  }

  private place (job: FrontedJob): void {
    const target = this.chooseShard(job)
    if (target !== undefined) {
      this.send(job, target.failureDomain, target.owner, false)
      return
    }
    if (job.declinedBy.size > 0) this.finish(job, { type: 'refused', cause: 'overloaded', retryAfterMs: job.retryAfterMs })
  }

  /** The own domain first, unless it has no room and another one has; declined domains are out. */
  private chooseShard (job: FrontedJob): { readonly failureDomain: FailureDomain, readonly owner: InstanceId } | undefined {
    const { self } = this.ctx
    let best: { readonly failureDomain: FailureDomain, readonly owner: InstanceId } | undefined
    let bestCost = Infinity
    for (const shard of this.sessions.db.shards.values()) {
      const owner = this.sessions.ownerOf(shard.failureDomain)
      if (owner === undefined || job.declinedBy.has(shard.failureDomain)) continue
      const home = shard.failureDomain === self.failureDomain
      const cost = shard.load.waitMs + (shard.load.busyShare >= FULL_SHARE ? REMOTE_PENALTY_MS : 0) + (home ? 0 : REMOTE_PENALTY_MS + shard.load.busyShare)
      if (cost < bestCost) {
        best = { failureDomain: shard.failureDomain, owner }
        bestCost = cost
      }
    }
    return best
  }

  private resume (job: FrontedJob, failureDomain: FailureDomain, owner: InstanceId): void {
    this.send(job, failureDomain, owner, true)
  }

  private send (job: FrontedJob, failureDomain: FailureDomain, owner: InstanceId, resumed: boolean): void {
    const { now, self } = this.ctx
    job.where = { type: 'atOwner', failureDomain, owner, since: now }
    job.checkedAt = now
    job.attempt++
    const order = { job: job.job, queue: job.queue, attempt: job.attempt, ageMs: ms(now - job.receivedAt), remainingMs: ms(job.callerUntil - now), resumed, done: job.done }
    this.deliver(owner, { type: 'submit', incarnation: self.incarnation, address: self.address, failureDomain, order })
  }

  private detach (job: FrontedJob, failureDomain: FailureDomain): void {
    const lastOwner = job.where.type === 'atOwner' ? job.where.owner : undefined
    job.where = { type: 'detached', failureDomain, lastOwner, since: this.ctx.now }
  }

  private tickJob (job: FrontedJob): void {
    const { where } = job
    if (this.ctx.now > job.callerUntil) {
      this.giveUp(job)
    } else if (where.type === 'detached') {
      if (this.sessions.ownerOf(where.failureDomain) !== undefined) this.ownerKnown(where.failureDomain)
      else if (this.waitsTooLong(job)) this.giveUp(job)
    } else if (where.type === 'unplaced') {
      this.place(job)
      if (this.db.jobs.has(job.id) && job.where.type === 'unplaced' && this.waitsTooLong(job)) this.finish(job, { type: 'refused', cause: 'noOwner', retryAfterMs: NO_OWNER_RETRY_MS })
    }
  }

  /** A job without an owner waits for one as long as owners need to change, and while its answer is of use. */
  private waitsTooLong (job: FrontedJob): boolean {
    return this.ctx.now > Math.min(job.where.since + this.ctx.cfg.ownerWaitMs, job.usefulUntil)
  }

  private askAfterJobs (): void {
    const { now } = this.ctx
    const questions = new Map<string, { readonly owner: InstanceId, readonly failureDomain: FailureDomain, readonly ids: JobId[] }>()
    for (const job of this.db.jobs.values()) {
      if (job.where.type !== 'atOwner' || now - job.checkedAt < this.ctx.cfg.confirmMs) continue
      job.checkedAt = now
      const { owner, failureDomain } = job.where
      const key = `${owner} ${failureDomain}`
      const question = questions.get(key) ?? { owner, failureDomain, ids: [] }
      question.ids.push(job.id)
      questions.set(key, question)
    }
    for (const { owner, failureDomain, ids } of questions.values()) this.deliver(owner, { type: 'checkJobs', failureDomain, jobIds: ids })
  }

  private giveUp (job: FrontedJob): void {
    this.withdraw(job)
    this.finish(job, { type: 'lost' })
  }

  private withdraw (job: FrontedJob): void {
    const { where } = job
    const owner = where.type === 'atOwner' ? where.owner : where.type === 'detached' ? where.lastOwner : undefined
    if (owner !== undefined) this.deliver(owner, { type: 'cancelJob', jobId: job.id })
  }

  private finish (job: FrontedJob, reply: CallerReply): void {
    const { out, now } = this.ctx
    const tookMs = now - job.receivedAt
    for (const callId of job.calls) out.push({ type: 'reply', callId, reply })
    this.db.remove(job)
    out.count(COUNTER_OF[reply.type === 'ended' ? reply.outcome : reply.type])
    out.push({ type: 'observe', histogram: 'jobMs', label: job.queue.name, valueMs: tookMs })
    out.log('job.answered', {
      job: job.id,
      queue: job.queue.name,
      desiredVersion: this.desired.db.version(),
      reply: reply.type,
      outcome: reply.type === 'ended' ? reply.outcome : undefined,
      cause: reply.type === 'refused' ? reply.cause : undefined,
      tookMs: Math.round(tookMs),
      where: job.where.type,
      owner: job.where.type === 'atOwner' ? job.where.owner : undefined,
      failureDomain: job.where.type === 'unplaced' ? undefined : job.where.failureDomain,
      declinedBy: job.declinedBy.size > 0 ? [...job.declinedBy].join() : undefined
    })
  }

  private refuseCall (callId: string, id: JobId, cause: RefusalCause, retryAfterMs: Ms): void {
    const { out } = this.ctx
    out.count('shard.jobs.refused')
    out.log('job.refused', { job: id, cause, desiredVersion: this.desired.db.version() })
    out.push({ type: 'reply', callId, reply: { type: 'refused', cause, retryAfterMs } })
  }
}

const COUNTER_OF = {
  completed: 'shard.jobs.completed',
  failed: 'shard.jobs.failed',
  refused: 'shard.jobs.refused',
  lost: 'shard.jobs.lost'
} as const
