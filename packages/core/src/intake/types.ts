/**
 * Types of the intake decision: the jobs of an instance that acts as their front, that is the instance that received them
 * from callers and answers the callers. The owner of a shard keeps its own record of each job, with other types.
 */
import type { DispatchOrder, FailureDomain, InstanceId, JobId, Ms, QueueTerms, JobRequest } from '@cranberryyard/protocol'

/** Where a job is: at an owner, or waiting for one. */
export type JobLocation =
  | { readonly type: 'atOwner', readonly failureDomain: FailureDomain, readonly owner: InstanceId, readonly since: Ms, /** An owner may have taken an earlier copy. */ readonly resumed: boolean }
  /** The job has no owner at present. It may have runs in the shard, so only that shard's next owner may resume it. */
  | { readonly type: 'detached', readonly failureDomain: FailureDomain, readonly lastOwner: InstanceId | undefined, readonly since: Ms }
  /** No owner has the job, and none that had it has started it; any owner may get it. */
  | { readonly type: 'unplaced', readonly since: Ms }

/** A job for which this instance is the front. */
export interface FrontedJob {
  readonly id: JobId
  readonly job: JobRequest
  readonly queue: QueueTerms
  /** Version of the desired state that `queue` comes from. */
  readonly desiredVersion: number
  readonly receivedAt: Ms
  readonly callerDeadline: Ms
  /** Time after which an answer is of no use to the caller. */
  readonly usefulUntil: Ms
  /** Ids of the calls that wait for the outcome; several when a caller has sent the same job more than once. */
  readonly calls: Set<string>
  /** Failure domains whose owners have declined the job. */
  readonly declinedBy: Set<FailureDomain>
  /** Tasks of the job have run in a domain that was evacuated since, so it must not be refused any more. */
  mayHaveRun: boolean
  retryAfterMs: Ms
  location: JobLocation
  /** Tasks that an earlier owner reported as done. */
  done: DispatchOrder['done']
  /** The digests that the owners which may have started tasks reported of their endpoints; undefined if one of them has reported none. */
  earlierEndpoints: readonly number[] | undefined
  /** Number of the latest copy sent, which rises over all jobs of this incarnation. */
  attempt: number
  /** Number of copies sent. */
  copies: number
  /** How often the job was sent again to an owner that did not know it. */
  resends: number
  /** When the job was last sent to its owner, or the owner was last asked about it. */
  checkedAt: Ms
}
