/**
 * Handles the jobs that callers sent to this instance: finds the queue, chooses the shard, resumes the job when the shard's
 * owner changes, and gives each call one reply. A job that may have run is never reported as refused. Intake is
 * separate from execution, which takes place at the shard's owner: a job thus survives the loss of its owner, and can go to
 * another failure domain while its own has no free capacity.
 */
import type { ClockReading, FailureDomain, InstanceId, JobId, JobOutcome, JobProgress, JobRequest, Ms, QueueTerms, ReleasedJob, ShardMessage } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { AttemptsDecider } from '../attempts/attemptsDecider.js'
import type { DesiredDecider } from '../desired/desiredDecider.js'
import { criticalPathOf, objectiveOf } from '../execution/executionDb.js'
import type { SessionsDecider } from '../sessions/sessionsDecider.js'
import type { CallerReply, RefusalCause, ShardContext } from '../shard/types.js'
import { IntakeDb } from './intakeDb.js'
import type { FrontedJob } from './types.js'

/** A job leaves this instance's domain only for a wait shorter by this much: a round trip between domains. */
const REMOTE_PENALTY_MS = 15
/** Busy share of its capacity from which a domain counts as full. */
const FULL_BUSY_SHARE = 0.97
/** Run times exceed estimates by up to this factor; a leaving instance accepts only jobs that are certain to end in time. */
const LEAVING_ESTIMATE_FACTOR = 2
/** Wait for free capacity that a leaving instance allows for; callers abandon jobs that wait longer. */
const LEAVING_WAIT_MS = 1000
/** Retry delay for callers that a leaving instance refuses; they should try another instance. */
const LEAVING_RETRY_MS = ms(1000)
/** How often a job is sent again to an owner that does not know it. */
const RESENDS_MAX = 3
/** How often a job is sent again to an owner that refuses its copies as too old before it goes to another domain; the first may lack a reading of the owner's clock. */
const RESENDS_BEFORE_MOVE = 1
/** Retry delay after a refusal because there is no owner, no desired state or no queue. */
const NO_OWNER_RETRY_MS = ms(1000)
/** Retry delay while every failure domain is evacuated; operators empty a domain for many seconds. */
const EVACUATED_RETRY_MS = ms(2000)
/** Retry delay for a job that uses features which this system does not support. */
const UNSUPPORTED_RETRY_MS = ms(60_000)

/** Delivers a message to an owner, which may be this instance itself. */
export type Deliver = (to: InstanceId, message: ShardMessage) => void

/** What a front needs to know of evacuations. */
export interface EvacuationView {
  isEvacuated (failureDomain: FailureDomain): boolean
  /** Returns whether no domain is left that could take work, as far as all of them are known. */
  isEverywhere (): boolean
}

/** Decides where the jobs of this front go and what their callers are answered. */
export class IntakeDecider {
  readonly db = new IntakeDb()
  private leavingSince: Ms | undefined
  private lastAttempt = 0

  constructor (private readonly ctx: ShardContext, private readonly desired: DesiredDecider, private readonly sessions: SessionsDecider, private readonly attempts: AttemptsDecider, private readonly evacuation: EvacuationView, private readonly deliver: Deliver) {}

  /** Accepts a job from a caller, joins it to the same job already in flight, or refuses it. */
  submit (callId: string, host: string, path: string, request: JobRequest, deadlineMs: Ms): void {
    const { now, cfg, out } = this.ctx
    out.count('shard.jobs.received')
    const known = this.db.jobs.get(request.id)
    if (known !== undefined) {
      out.count('shard.jobs.joined')
      this.db.addCall(known, callId)
      return
    }
    const queue = this.findQueue(host, path)
    if (typeof queue === 'string') return this.refuseCall(callId, request.id, queue, NO_OWNER_RETRY_MS)
    if (request.features.length > 0 || queue.needsAdvice) return this.refuseCall(callId, request.id, 'unsupported', UNSUPPORTED_RETRY_MS)
    if (!this.endsBeforeLeaving(request)) return this.refuseCall(callId, request.id, 'leaving', LEAVING_RETRY_MS)
    const job: FrontedJob = {
      id: request.id,
      job: request,
      queue,
      desiredVersion: this.desired.db.version(),
      receivedAt: now,
      callerDeadline: ms(now + deadlineMs),
      usefulUntil: ms(now + objectiveOf(queue, criticalPathOf(request.steps, estimateMs => estimateMs)) * cfg.usefulFactor),
      calls: new Set(),
      declinedBy: new Set(),
      mayHaveRun: false,
      retryAfterMs: NO_OWNER_RETRY_MS,
      location: { type: 'unplaced', since: now },
      done: [],
      earlierEndpoints: [],
      attempt: 0,
      copies: 0,
      resends: 0,
      checkedAt: now
    }
    this.db.jobs.set(job.id, job)
    this.db.addCall(job, callId)
    this.place(job)
  }

  /** Returns why a request about a job, such as one for its state, is refused; undefined if its queue is known. */
  refusalFor (host: string, path: string): Extract<CallerReply, { type: 'refused' }> | undefined {
    const cause = this.findQueue(host, path)
    if (typeof cause !== 'string') return undefined
    this.ctx.out.log('job.requestRefused', { path, cause, desiredVersion: this.desired.db.version(), newestVersion: this.desired.newestKnown() })
    return { type: 'refused', cause, retryAfterMs: NO_OWNER_RETRY_MS }
  }

  /**
   * Returns the queue of a path, or why there is none. That no version has it can only be said by the newest one that is known to exist, and a version
   * that was replaced long ago says nothing any more.
   */
  private findQueue (host: string, path: string): QueueTerms | RefusalCause {
    if (this.desired.db.state === undefined) return 'noDesiredState'
    if (this.desired.isOverdue()) return 'outdatedState'
    return this.desired.db.queueFor(host, path) ?? (this.desired.newestKnown() > this.desired.db.version() ? 'outdatedState' : 'noQueue')
  }

  /** Called when a caller's connection ended before its reply; cancels the job once no call waits for it. */
  callerLeft (callId: string): void {
    const job = this.db.jobOfCall(callId)
    this.db.removeCall(callId)
    if (job === undefined || job.calls.size > 0) return
    this.ctx.out.log('job.callerLeft', { job: job.id, ageMs: Math.round(this.ctx.now - job.receivedAt) })
    this.cancelAtOwner(job)
    this.db.remove(job)
  }

  /** Called when an owner reports the outcome of a job. */
  ended (id: JobId, outcome: JobOutcome): void {
    const job = this.db.jobs.get(id)
    if (job !== undefined) this.answerCallers(job, { type: 'ended', outcome })
  }

  /**
   * Called when an owner has not started the job and will not. A decline of an earlier copy is ignored, since the latest
   * copy may have started.
   */
  declined (id: JobId, from: InstanceId, attempt: number, retryAfterMs: Ms): void {
    const job = this.db.jobs.get(id)
    if (job?.location.type !== 'atOwner' || job.location.owner !== from || job.attempt !== attempt) return
    job.declinedBy.add(job.location.failureDomain)
    job.retryAfterMs = retryAfterMs
    job.location = { type: 'unplaced', since: this.ctx.now }
    this.place(job)
  }

  /**
   * Called when an owner does not know the job or no longer owns the shard.
   * @param attempt - the copy that the owner has not taken, if that is known; an answer to an earlier copy says nothing about the latest
   */
  jobUnknownAtOwner (id: JobId, from: InstanceId, failureDomain: FailureDomain, attempt?: number): void {
    const job = this.db.jobs.get(id)
    if (job?.location.type !== 'atOwner' || job.location.owner !== from || job.location.failureDomain !== failureDomain) return
    if (attempt !== undefined && attempt !== job.attempt) return
    if (attempt !== undefined && !job.location.resumed) {
      if (job.resends >= RESENDS_BEFORE_MOVE && this.moveElsewhere(job, failureDomain)) return
      if (job.resends < RESENDS_MAX) {
        job.resends++
        job.location = { type: 'unplaced', since: this.ctx.now }
        this.place(job)
        return
      }
    }
    this.detach(job, failureDomain)
    if (this.sessions.ownerOf(failureDomain) !== from || job.resends >= RESENDS_MAX) return
    job.resends++
    this.resume(job, failureDomain, from)
  }

  /** Called when an owner has released a job of which tasks have run in a domain that was evacuated since. None of them runs any more, so the rest may run elsewhere. */
  released (id: JobId, from: InstanceId, failureDomain: FailureDomain, { attempt, done }: ReleasedJob): void {
    const job = this.db.jobs.get(id)
    if (job?.location.type !== 'atOwner' || job.location.owner !== from || job.location.failureDomain !== failureDomain || job.attempt !== attempt) return
    job.declinedBy.add(failureDomain)
    job.done = [...new Set([...job.done, ...done])]
    job.mayHaveRun = true
    job.earlierEndpoints = []
    job.resends = 0
    job.location = { type: 'unplaced', since: this.ctx.now }
    this.place(job)
  }

  /** Called when an owner will not go on with a job, because its queue was removed before the job came here. Some of it may have run. */
  queueRemoved (id: JobId, from: InstanceId): void {
    const job = this.db.jobs.get(id)
    if (job?.location.type === 'atOwner' && job.location.owner === from) this.giveUp(job)
  }

  /** Called when a shard's owner leaves and reports which tasks are done of the jobs that its successor resumes, and the digest of its endpoints. */
  shardMoved (from: InstanceId, failureDomain: FailureDomain, progress: readonly JobProgress[], endpointsDigest?: number): void {
    const shard = this.sessions.db.shards.get(failureDomain)
    if (shard?.owner === from) shard.disowned = true
    for (const { jobId, done } of progress) {
      const job = this.db.jobs.get(jobId)
      if (job !== undefined) job.done = [...job.done, ...done]
    }
    for (const job of this.db.jobsAt(from)) {
      if (job.location.type === 'atOwner' && job.location.failureDomain === failureDomain) this.detach(job, failureDomain, endpointsDigest)
    }
  }

  /** Called when an owner is lost; its jobs wait for the next owner of their shard. */
  ownerLost (owner: InstanceId): void {
    for (const job of this.db.jobsAt(owner)) {
      if (job.location.type === 'atOwner') this.detach(job, job.location.failureDomain)
    }
  }

  /** Called when the connection to an owner was replaced; sends its jobs again, since messages in transit may be lost. */
  linkReplaced (owner: InstanceId): void {
    for (const job of this.db.jobsAt(owner)) {
      if (job.location.type === 'atOwner') this.resume(job, job.location.failureDomain, owner)
    }
  }

  /** Called when a shard has an owner; jobs that waited for one are sent to it. */
  ownerKnown (failureDomain: FailureDomain): void {
    const owner = this.sessions.ownerOf(failureDomain)
    if (owner === undefined) return
    for (const job of this.db.jobs.values()) {
      if (job.location.type === 'detached' && job.location.failureDomain === failureDomain) this.resume(job, failureDomain, owner)
      else if (job.location.type === 'unplaced') this.place(job)
    }
  }

  /** Gives up jobs that have waited too long, and confirms the others to their owners. */
  tick (): void {
    for (const job of [...this.db.jobs.values()]) this.tickJob(job)
    this.checkJobsAtOwners()
  }

  /** From now on, accepts only jobs that end before this process does. */
  leave (): void {
    this.leavingSince = this.ctx.now
  }

  /** Gives up every job after a pause of this process, during which callers may have sent them elsewhere. */
  giveUpAll (): void {
    for (const job of [...this.db.jobs.values()]) this.giveUp(job)
  }

  private endsBeforeLeaving (request: JobRequest): boolean {
    const { now, cfg } = this.ctx
    if (this.leavingSince === undefined) return true
    const elapsedMs = now - this.leavingSince
    return elapsedMs <= cfg.leaveAcceptMs && elapsedMs + LEAVING_WAIT_MS + criticalPathOf(request.steps, estimateMs => estimateMs * LEAVING_ESTIMATE_FACTOR) <= cfg.leaveMs
  }

  private place (job: FrontedJob): void {
    const target = this.chooseShard(job)
    if (target !== undefined) {
      this.send(job, target.failureDomain, target.owner, false)
      return
    }
    if (this.evacuation.isEverywhere()) this.refuse(job, 'evacuated', EVACUATED_RETRY_MS)
    else if (job.declinedBy.size > 0) this.refuse(job, 'overloaded', job.retryAfterMs)
  }

  /** Returns whether jobs may be sent to a domain. Without this, they would go to an evacuated one until its owner knows. */
  acceptsWork (failureDomain: FailureDomain): boolean {
    return !this.evacuation.isEvacuated(failureDomain)
  }

  /** Prefers this instance's own domain unless it has no free capacity and another one has; skips domains that declined the job or are evacuated. */
  private chooseShard (job: FrontedJob): { readonly failureDomain: FailureDomain, readonly owner: InstanceId } | undefined {
    const { self } = this.ctx
    let best: { readonly failureDomain: FailureDomain, readonly owner: InstanceId } | undefined
    let bestCost = Infinity
    for (const shard of this.sessions.db.shards.values()) {
      const owner = this.sessions.ownerOf(shard.failureDomain)
      if (owner === undefined || job.declinedBy.has(shard.failureDomain) || !this.acceptsWork(shard.failureDomain)) continue
      const isLocal = shard.failureDomain === self.failureDomain
      const cost = shard.load.waitMs + (shard.load.busyShare >= FULL_BUSY_SHARE ? REMOTE_PENALTY_MS : 0) + (isLocal ? 0 : REMOTE_PENALTY_MS + shard.load.busyShare)
      if (cost < bestCost) {
        best = { failureDomain: shard.failureDomain, owner }
        bestCost = cost
      }
    }
    return best
  }

  /**
   * Sends a job to another domain after the present one has refused all copies of it, each before the next was sent. None of them can start any more.
   * @returns false if no other domain can take it
   */
  private moveElsewhere (job: FrontedJob, refusedBy: FailureDomain): boolean {
    job.declinedBy.add(refusedBy)
    const target = this.chooseShard(job)
    if (target === undefined) {
      job.declinedBy.delete(refusedBy)
      return false
    }
    job.resends = 0
    this.send(job, target.failureDomain, target.owner, false)
    return true
  }

  private resume (job: FrontedJob, failureDomain: FailureDomain, owner: InstanceId): void {
    this.noteEarlierOwner(job)
    this.send(job, failureDomain, owner, true)
  }

  private send (job: FrontedJob, failureDomain: FailureDomain, owner: InstanceId, resumed: boolean): void {
    const { now, self } = this.ctx
    job.location = { type: 'atOwner', failureDomain, owner, since: now, resumed }
    job.checkedAt = now
    job.attempt = ++this.lastAttempt
    job.copies++
    const order = { job: job.job, queue: job.queue, desiredVersion: job.desiredVersion, attempt: job.attempt, ageMs: ms(now - job.receivedAt), remainingMs: ms(job.callerDeadline - this.callersSeenAt(job.id)), resumed, done: job.done, lastChance: this.isLastChance(job, failureDomain), ...resumed && job.earlierEndpoints !== undefined ? { earlierEndpoints: job.earlierEndpoints } : {}, ...this.attempts.db.has(job.id) ? { attempts: this.attempts.db.ofJob(job.id) } : {} }
    if (job.copies > 1) this.ctx.out.log('job.sentAgain', { job: job.id, attempt: job.attempt, copies: job.copies, owner, shard: failureDomain, resumed, ageMs: Math.round(now - job.receivedAt) })
    this.deliver(owner, { type: 'submit', incarnation: self.incarnation, address: self.address, failureDomain, order, time: this.sessions.timeForPeers(), ...this.readingOf(owner, this.callersSeenAt(job.id)) })
  }

  /**
   * Returns until when this front knows that callers wait; the end of a call may have arrived since then and not been read.
   * @param id - the job, of whose callers one has to wait; if undefined, all callers whose connections are not read later than others
   */
  callersSeenAt (id?: JobId): Ms {
    const { callerReads, jobs } = this.db
    const seenAt = Math.min(this.ctx.now, callerReads.upTo)
    const job = id === undefined ? undefined : jobs.get(id)
    if (job === undefined) return ms(seenAt)
    let latest = -Infinity
    for (const callId of job.calls) latest = Math.max(latest, callerReads.behindAt?.(callId) ?? seenAt)
    return ms(Math.min(seenAt, latest))
  }

  /**
   * Returns the reading of an owner's clock that messages about jobs carry.
   * @param seenAt - until when their callers are known to wait
   */
  private readingOf (owner: InstanceId, seenAt: Ms): { readonly ownerClock?: ClockReading } {
    const ownerClock = this.sessions.clockAt(owner, seenAt, this.isBehind(seenAt) ? ms(-Infinity) : this.db.callerReads.endedAt)
    return ownerClock === undefined ? {} : { ownerClock }
  }

  /** Returns whether every other shard that has an owner has declined the job or is evacuated. */
  private isLastChance (job: FrontedJob, chosen: FailureDomain): boolean {
    for (const { failureDomain } of this.sessions.db.shards.values()) {
      if (failureDomain !== chosen && !job.declinedBy.has(failureDomain) && this.acceptsWork(failureDomain) && this.sessions.ownerOf(failureDomain) !== undefined) return false
    }
    return true
  }

  /**
   * Records the endpoints of the owner that has the job, before another one or a later incarnation of it gets the job.
   * @param endpointsDigest - what the owner has reported with the loss of its shard, if it has
   */
  private noteEarlierOwner (job: FrontedJob, endpointsDigest?: number): void {
    if (job.location.type !== 'atOwner') return
    const digest = endpointsDigest ?? this.sessions.endpointsDigestOf(job.location.owner, job.location.failureDomain)
    job.earlierEndpoints = digest === undefined || job.earlierEndpoints === undefined ? undefined : [...new Set([...job.earlierEndpoints, digest])]
  }

  private detach (job: FrontedJob, failureDomain: FailureDomain, endpointsDigest?: number): void {
    this.noteEarlierOwner(job, endpointsDigest)
    const lastOwner = job.location.type === 'atOwner' ? job.location.owner : undefined
    job.location = { type: 'detached', failureDomain, lastOwner, since: this.ctx.now }
  }

  /** Returns whether input of callers has arrived since then and waits unread for its turn. */
  private isBehind (seenAt: Ms): boolean {
    return seenAt < this.callersSeenAt()
  }

  /** Returns whether nobody is known to wait for the job for so long that its owner starts nothing for it any more. */
  private isUnseen (job: FrontedJob): boolean {
    const seenAt = this.callersSeenAt(job.id)
    return this.isBehind(seenAt) && this.ctx.now - seenAt > this.ctx.cfg.jobLeaseMs
  }

  private tickJob (job: FrontedJob): void {
    const { location } = job
    if (this.ctx.now > job.callerDeadline || this.isUnseen(job)) {
      this.giveUp(job)
    } else if (location.type === 'detached') {
      if (this.sessions.ownerOf(location.failureDomain) !== undefined) this.ownerKnown(location.failureDomain)
      else if (this.waitsTooLong(job)) this.giveUp(job)
    } else if (location.type === 'unplaced') {
      this.place(job)
      if (this.db.jobs.has(job.id) && job.location.type === 'unplaced' && this.waitsTooLong(job)) this.refuse(job, 'noOwner', NO_OWNER_RETRY_MS)
    }
  }

  /** A job without an owner waits as long as a change of owner takes, but no longer than its answer is of use. */
  private waitsTooLong (job: FrontedJob): boolean {
    return this.ctx.now > Math.min(job.location.since + this.ctx.cfg.ownerWaitMs, job.usefulUntil)
  }

  private checkJobsAtOwners (): void {
    const { now } = this.ctx
    const checks = new Map<string, { readonly owner: InstanceId, readonly failureDomain: FailureDomain, readonly seenAt: Ms, readonly ids: JobId[] }>()
    for (const job of this.db.jobs.values()) {
      if (job.location.type !== 'atOwner' || now - job.checkedAt < this.ctx.cfg.confirmMs) continue
      job.checkedAt = now
      const { owner, failureDomain } = job.location
      const seenAt = this.callersSeenAt(job.id)
      const key = `${owner} ${failureDomain} ${seenAt}`
      const check = checks.get(key) ?? { owner, failureDomain, seenAt, ids: [] }
      check.ids.push(job.id)
      checks.set(key, check)
    }
    for (const { owner, failureDomain, seenAt, ids } of checks.values()) this.deliver(owner, { type: 'checkJobs', failureDomain, jobIds: ids, ...this.readingOf(owner, seenAt) })
  }

  /** Refuses a job that nobody takes, unless tasks of it have run before it was released. */
  private refuse (job: FrontedJob, cause: RefusalCause, retryAfterMs: Ms): void {
    this.answerCallers(job, job.mayHaveRun ? { type: 'lost' } : { type: 'refused', cause, retryAfterMs })
  }

  private giveUp (job: FrontedJob): void {
    this.cancelAtOwner(job)
    this.answerCallers(job, { type: 'lost' })
  }

  private cancelAtOwner (job: FrontedJob): void {
    const { location } = job
    const owner = location.type === 'atOwner' ? location.owner : location.type === 'detached' ? location.lastOwner : undefined
    if (owner !== undefined) this.deliver(owner, { type: 'cancelJob', jobId: job.id, incarnation: this.ctx.self.incarnation, attempt: job.attempt })
  }

  private answerCallers (job: FrontedJob, reply: CallerReply): void {
    const { out, now } = this.ctx
    const tookMs = now - job.receivedAt
    const callersSeenAt = this.callersSeenAt(job.id)
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
      callerSeenAgeMs: Math.round(now - callersSeenAt),
      copies: job.copies,
      where: job.location.type,
      owner: job.location.type === 'atOwner' ? job.location.owner : undefined,
      shard: job.location.type === 'unplaced' ? undefined : job.location.failureDomain,
      declinedBy: job.declinedBy.size > 0 ? [...job.declinedBy].join() : undefined
    })
  }

  private refuseCall (callId: string, id: JobId, cause: RefusalCause, retryAfterMs: Ms): void {
    const { out } = this.ctx
    out.count('shard.jobs.refused')
    out.log('job.refused', { job: id, cause, desiredVersion: this.desired.db.version(), newestVersion: this.desired.newestKnown() })
    out.push({ type: 'reply', callId, reply: { type: 'refused', cause, retryAfterMs } })
  }
}

const COUNTER_OF = {
  completed: 'shard.jobs.completed',
  failed: 'shard.jobs.failed',
  refused: 'shard.jobs.refused',
  lost: 'shard.jobs.lost'
} as const
