/**
 * State of the shedding decision: how much of each queue was kept and turned away of late, since when a queue has been
 * turned away entirely, and the price of the work that was turned away. It is kept in memory and forgotten by a new owner,
 * for which all queues count as served.
 */
import type { Ms, QueueName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { JobCost } from './jobCost.js'
import type { GroupKey, SheddableWork } from './types.js'

/** Time constant with which decisions are forgotten; a few times the latency objective of most jobs. */
const MEMORY_MS = 2000
/** Jobs with more tasks than this multiple of their queue's mean count as wide. */
const WIDE_FACTOR = 1.5
/** Weight of a job in the means of its queue. */
const USUAL_WEIGHT = 0.02
/** A job counts in the means of its queue up to this multiple of them, and in sums up to the square, so that wrong estimates hide nothing. */
const OUTLIER_FACTOR = 2
/** Share of the admitted jobs of a queue that may turn out too late. Their callers are refused after they have waited. */
const BROKEN_SHARE = 0.05
/** How fast the reach of a queue follows what became of its jobs, and its least value. */
const REACH_STEP = 0.05
const REACH_MIN = 0.2
/** Time constant with which the reach returns once forecasts hold. */
const REACH_RECOVERY_MS = 20_000
/** Groups that have not been asked for this long are dropped. */
const IDLE_MS = 30_000

/** Means over the jobs of a queue. */
interface Usual {
  width: number
  loss: number
  /**
   * Share of its slack that a job may wait by the forecast to be admitted. It follows how often such forecasts prove wrong.
   */
  reach: number
  brokenAt: Ms
}

interface Group {
  at: Ms
  /** What the callers of the jobs that were kept and turned away would have lost or lost, in core-seconds. */
  kept: number
  turnedAway: number
  /** When the first job was turned away after the last answer to one of the group. */
  starvedSince: Ms | undefined
}

/** What was kept and turned away, by queue and width. */
export class SheddingDb {
  private readonly groups = new Map<GroupKey, Group>()
  private readonly usual = new Map<QueueName, Usual>()
  private readonly protectedJobs = new WeakSet<SheddableWork>()
  private turnedAwayAt = ms(-Infinity)
  private turnedAwayWork = 0
  private missingAt = ms(-Infinity)
  private missingLoss = 0
  private missingSquares = 0

  /** Learns what is usual in a queue from a job that has arrived. */
  jobArrived (job: SheddableWork): void {
    const loss = JobCost.lossOf(job)
    const usual = this.usual.get(job.queue) ?? { width: job.width, loss, reach: 1, brokenAt: ms(-Infinity) }
    usual.width += USUAL_WEIGHT * (Math.min(job.width, OUTLIER_FACTOR * usual.width) - usual.width)
    usual.loss += USUAL_WEIGHT * (Math.min(loss, OUTLIER_FACTOR * usual.loss) - usual.loss)
    this.usual.set(job.queue, usual)
  }

  groupOf ({ queue, width }: Pick<SheddableWork, 'queue' | 'width'>): GroupKey {
    return `${queue} ${width > WIDE_FACTOR * (this.usual.get(queue)?.width ?? width) ? 'wide' : 'usual'}`
  }

  recordKept (job: SheddableWork, now: Ms): void {
    this.touch(job, now).kept += this.boundedLoss(job)
  }

  /** An admitted job has turned out too late. */
  recordBroken (job: SheddableWork, now: Ms): void {
    const usual = this.usual.get(job.queue)
    if (usual === undefined) return
    usual.reach = Math.max(REACH_MIN, this.reachOf(job, now) - REACH_STEP * (1 - BROKEN_SHARE))
    usual.brokenAt = now
  }

  /** @returns share of its slack that such a job may wait by the forecast to be admitted */
  reachOf ({ queue }: SheddableWork, now: Ms): number {
    const usual = this.usual.get(queue)
    return usual === undefined ? 1 : 1 - (1 - usual.reach) * Math.exp((usual.brokenAt - now) / REACH_RECOVERY_MS)
  }

  /** Called when a job has been answered, whatever its outcome. */
  recordServed (job: SheddableWork): void {
    const usual = this.usual.get(job.queue)
    if (usual !== undefined) usual.reach = Math.min(1, usual.reach + REACH_STEP * BROKEN_SHARE)
    const group = this.groups.get(this.groupOf(job))
    if (group !== undefined) group.starvedSince = undefined
  }

  /** Protects a job of a group that was turned away entirely; the group has its turn again after another span. */
  protect (job: SheddableWork, now: Ms): void {
    this.touch(job, now).starvedSince = now
    this.protectedJobs.add(job)
  }

  isProtected (job: SheddableWork): boolean {
    return this.protectedJobs.has(job)
  }

  /** A job that was counted as kept is declined after all. */
  recordGivenUp (job: SheddableWork, now: Ms): void {
    const group = this.touch(job, now)
    group.kept = Math.max(0, group.kept - this.boundedLoss(job))
  }

  /** A job is declined that no other shard takes. */
  recordTurnedAway (job: SheddableWork, now: Ms): void {
    const group = this.touch(job, now)
    group.turnedAway += this.boundedLoss(job)
    group.starvedSince ??= now
    this.turnedAwayWork = this.turnedAwayOfLate(now) + JobCost.coreSecondsOf(job)
    this.turnedAwayAt = now
  }

  /** Records that room was missing for a job with the given price. */
  recordMissing (job: SheddableWork, price: number, now: Ms): void {
    const share = Math.exp((this.missingAt - now) / MEMORY_MS)
    const work = JobCost.coreSecondsOf(job)
    this.missingLoss = this.missingLoss * share + price * work
    this.missingSquares = this.missingSquares * share + price * price * work
    this.missingAt = now
  }

  /** @returns share of what the callers of such jobs asked for that was kept of late */
  keptShare (job: SheddableWork, now: Ms): number {
    const group = this.groups.get(this.groupOf(job))
    if (group === undefined || group.turnedAway === 0) return 1
    // Both sums fade at the same pace, and what has faded counts as kept.
    const faded = Math.exp((group.at - now) / MEMORY_MS)
    return 1 - faded * group.turnedAway / (group.kept + group.turnedAway)
  }

  /** @returns since when no such job has been answered while some were turned away */
  starvedSince (job: SheddableWork, now: Ms): Ms | undefined {
    const group = this.groups.get(this.groupOf(job))
    return group === undefined || now - group.at > IDLE_MS ? undefined : group.starvedSince
  }

  /** @returns mean price of the work for which room was missing of late, weighted by the loss, so that the dearer work counts more; 0 if none was missing */
  roomPrice (now: Ms): number {
    if (this.missingLoss === 0) return 0
    return this.missingSquares / this.missingLoss * Math.exp((this.missingAt - now) / MEMORY_MS)
  }

  /** @returns the work that was turned away of late, in core-seconds */
  turnedAwayOfLate (now: Ms): number {
    return this.turnedAwayWork * Math.exp((this.turnedAwayAt - now) / MEMORY_MS)
  }

  /** Forgets the groups that nobody has asked for. */
  expire (now: Ms): void {
    for (const [key, { at }] of this.groups) if (now - at > IDLE_MS) this.groups.delete(key)
  }

  private boundedLoss (job: SheddableWork): number {
    const loss = JobCost.lossOf(job)
    return Math.min(loss, OUTLIER_FACTOR ** 2 * (this.usual.get(job.queue)?.loss ?? loss))
  }

  private touch (job: SheddableWork, now: Ms): Group {
    const key = this.groupOf(job)
    const group = this.groups.get(key) ?? { at: now, kept: 0, turnedAway: 0, starvedSince: undefined }
    const share = Math.exp((group.at - now) / MEMORY_MS)
    group.at = now
    group.kept *= share
    group.turnedAway *= share
    this.groups.set(key, group)
    return group
  }
}
