/**
 * Messages between instances that own shards of endpoints and the fronts that send them jobs.
 */
import type { DesiredState, DispatchOrder, FencingToken, JobId } from './dispatch.js'
import type { FailureDomain, InstanceId } from './ids.js'
import type { Ms } from './clock.js'

/** Load of a shard as its owner sees it. */
export interface ShardLoad {
  /** Expected wait of a job that arrives now. */
  readonly waitMs: Ms
  /** Share of the usable room that is taken, 0 to 1. */
  readonly busyShare: number
}

/** What an owner says of one shard. */
export interface OwnedShard {
  readonly failureDomain: FailureDomain
  readonly token: FencingToken
  readonly load: ShardLoad
}

/** What an owner says of a shard that another instance owns and that it hears from directly. */
export interface OtherShard extends OwnedShard {
  readonly owner: InstanceId
  readonly address: string
}

/** Tasks of a job that are done, as `step.index`. */
export interface JobProgress {
  readonly jobId: JobId
  readonly done: readonly string[]
}

/** How a job ended at its owner. */
export type JobOutcome = 'completed' | 'failed'

export type ShardMessage =
  /** Front to an owner that it has not heard for a while. */
  | { readonly type: 'ping', readonly incarnation: number, readonly address: string, readonly desiredVersion: number }
  /** Answer to a ping; also sent along with what an owner tells a front. */
  | { readonly type: 'pong', readonly incarnation: number, readonly owned: readonly OwnedShard[], readonly others: readonly OtherShard[], readonly desiredVersion: number }
  /** A new owner makes itself known. */
  | { readonly type: 'announce', readonly incarnation: number, readonly address: string, readonly failureDomain: FailureDomain, readonly token: FencingToken }
  /** A job for the owner of a failure domain's endpoints. */
  | { readonly type: 'submit', readonly incarnation: number, readonly address: string, readonly failureDomain: FailureDomain, readonly order: DispatchOrder }
  /** Front to owner: are these jobs still known? */
  | { readonly type: 'checkJobs', readonly failureDomain: FailureDomain, readonly jobIds: readonly JobId[] }
  /** The caller left. */
  | { readonly type: 'cancelJob', readonly jobId: JobId }
  | { readonly type: 'ended', readonly jobId: JobId, readonly outcome: JobOutcome }
  /** No task of the job has started and none will. */
  | { readonly type: 'declined', readonly jobId: JobId, readonly attempt: number, readonly retryAfterMs: Ms }
  /** The receiver does not own the shard or does not know the job. */
  | { readonly type: 'notOwner', readonly jobId: JobId, readonly failureDomain: FailureDomain }
  /** The owner leaves; its jobs go on under the successor. */
  | { readonly type: 'moved', readonly failureDomain: FailureDomain, readonly to: InstanceId, readonly progress: readonly JobProgress[] }
  /** The owner asks its successor to take over at once. */
  | { readonly type: 'handover', readonly failureDomain: FailureDomain, readonly revision: number, readonly rank: number }
  | { readonly type: 'desiredRequest' }
  | { readonly type: 'desired', readonly state: DesiredState }
