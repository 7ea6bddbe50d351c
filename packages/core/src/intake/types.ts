/**
 * Types of the intake decision: jobs at the instance that answers their callers.
 */
import type { DispatchOrder, FailureDomain, InstanceId, JobId, Ms, QueueTerms, JobRequest } from '@cranberryyard/protocol'

/** Where a job is: at an owner, or waiting until some owner can take it. */
export type Whereabouts =
  | { readonly type: 'atOwner', readonly failureDomain: FailureDomain, readonly owner: InstanceId, readonly since: Ms }
  /** Its runs belong to the shard; only that shard's next owner may go on with it. */
  | { readonly type: 'detached', readonly failureDomain: FailureDomain, readonly lastOwner: InstanceId | undefined, readonly since: Ms }
  /** No owner has ever had it. */
  | { readonly type: 'unplaced', readonly since: Ms }

/** A job that this instance answers for. */
export interface FrontedJob {
  readonly id: JobId
  readonly job: JobRequest
  readonly queue: QueueTerms
  readonly receivedAt: Ms
  /** The caller waits no longer than this. */
  readonly callerUntil: Ms
  /** An answer after this is of no use to the caller. */
  readonly usefulUntil: Ms
  /** Calls that wait for the outcome; the same job may have been sent twice. */
  readonly calls: Set<string>
  /** Domains whose owners declined it. */
  readonly declinedBy: Set<FailureDomain>
  retryAfterMs: Ms
  where: Whereabouts
  /** Tasks that an earlier owner reported as done. */
  done: DispatchOrder['done']
  /** Number of the copy that was sent last, to any owner. */
  attempt: number
  /** How often it was sent to the same owner again. */
  resends: number
  checkedAt: Ms
}
