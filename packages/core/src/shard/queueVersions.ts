/**
 * Decides by which version of the desired state an owner handles a job that its front received under another one.
 */
import type { DispatchOrder, JobId } from '@cranberryyard/protocol'
import type { DesiredDecider } from '../desired/desiredDecider.js'
import type { ShardContext } from './types.js'

/** Compares the queues that jobs came with with those of the version in force. */
export class QueueVersions {
  /** @param holds - returns whether this owner already has the job */
  constructor (private readonly ctx: ShardContext, private readonly desired: DesiredDecider, private readonly holds: (id: JobId) => boolean) {}

  /**
   * Returns whether this instance knows the queue of a job as its front does. A task that it started otherwise would show the effect of a version by which
   * it does not treat its own callers. It need not have that version if its own one has the same queue, so that a version that arrives late delays few jobs.
   */
  isQueueInForce ({ job, queue, desiredVersion }: DispatchOrder): boolean {
    if ((desiredVersion ?? 0) <= this.desired.db.version()) return true
    const own = this.desired.db.queueFor(queue.host, `${queue.prefix}${job.id}`)
    return own !== undefined && own.prefix === queue.prefix && own.service === queue.service
  }

  /**
   * Returns a job's order with the queue that the version in force here gives it, if its front has an older version. A job that its front received
   * before this instance had a newer one keeps its queue.
   * @returns undefined if there is no such queue any more
   */
  underVersionInForce (order: DispatchOrder): DispatchOrder | undefined {
    const { job, queue, desiredVersion, ageMs } = order
    const newerSince = desiredVersion === undefined ? undefined : this.desired.db.newerSince(desiredVersion)
    if (newerSince === undefined || this.ctx.now - ageMs <= newerSince || this.holds(job.id)) return order
    const current = this.desired.db.queueFor(queue.host, `${queue.prefix}${job.id}`)
    return current === undefined ? undefined : { ...order, queue: current }
  }
}
