/**
 * Messages between owners of shards (the endpoints of a failure domain) and fronts, the instances that accept jobs from
 * callers and forward them to owners. Member names are sent as they are.
 */
import type { DesiredChange, DesiredState, DispatchOrder, EndpointReport, Evacuations, FencingToken, JobId, MemberRecord, Revised, ShardRecord, TaskAttempts } from './dispatch.js'
import type { FailureDomain, InstanceId } from './ids.js'
import type { Ms } from './clock.js'

/**
 * A reading of another instance's monotonic clock. It is behind the true time by the time that the reading took to arrive, so it is a lower bound.
 */
export interface ClockReading {
  /** The incarnation to whose clock the time belongs. */
  readonly incarnation: number
  readonly at: Ms
}

/** Load of a shard, as reported by its owner. */
export interface ShardLoad {
  /** Expected queueing time of a job that arrives now. */
  readonly waitMs: Ms
  /** Fraction of the usable capacity that is in use, 0 to 1. */
  readonly busyShare: number
}

/** An owner's report on one of its shards. */
export interface OwnedShard {
  readonly failureDomain: FailureDomain
  readonly token: FencingToken
  readonly load: ShardLoad
  /** Digest of the ids of the endpoints at which the owner may have runs; absent in earlier versions. */
  readonly endpointsDigest?: number
}

/** An owner's report on a shard of another owner from which it receives messages directly. */
export interface OtherShard extends OwnedShard {
  readonly owner: InstanceId
  readonly address: string
  /** The owner's clock, as far as the sender has read it; absent in earlier versions. */
  readonly clock?: ClockReading
}

/** The tasks of a job that are done, each as `step.index`. */
export interface JobProgress {
  readonly jobId: JobId
  readonly done: readonly string[]
}

/** How a job ended at its owner. */
export type JobOutcome = 'completed' | 'failed'

/** What the sender of a ping or pong knows of the operators' requests. */
interface VersionInForce {
  /** The version of the desired state that the sender has. */
  readonly desiredVersion: number
  /** How long the sender has known that the version exists; absent in earlier versions of this program. */
  readonly desiredAgeMs?: Ms
  /** Absent where there are no evacuations, before the sender knows any, and in earlier versions. */
  readonly evacuations?: Evacuations
}

/** A job of which tasks have run in a domain that was evacuated since, and of which nothing runs there any more. */
export interface ReleasedJob {
  /** Number of the copy of the job that is released. */
  readonly attempt: number
  /** The tasks that are done, each as `step.index`. */
  readonly done: readonly string[]
}

/**
 * Any message between fronts and owners. `time` is the sender's monotonic clock, and `ownerClock` the front's latest reading of the receiver's; both
 * are absent in earlier versions.
 */
export type ShardMessage =
  /**
   * From a front to an owner from which it has not received anything for a while. `leaving`: the front ends soon, so it is no
   * successor. `connectionReplaced`: the sender has replaced its own connection to the receiver for that reason and has still received nothing, so the
   * one from the receiver may have gone silent. Both are absent in earlier versions.
   */
  | VersionInForce & { readonly type: 'ping', readonly incarnation: number, readonly address: string, readonly leaving?: boolean, readonly connectionReplaced?: boolean, readonly time?: Ms }
  /**
   * Answer to a ping; an owner also sends it along with its other messages to a front. `attempts`: runs that went wrong, sent when something
   * new is known of them; absent in earlier versions.
   */
  | VersionInForce & { readonly type: 'pong', readonly incarnation: number, readonly owned: readonly OwnedShard[], readonly others: readonly OtherShard[], readonly attempts?: readonly TaskAttempts[], readonly time?: Ms }
  /** Announces a new owner. */
  | { readonly type: 'announce', readonly incarnation: number, readonly address: string, readonly failureDomain: FailureDomain, readonly token: FencingToken, readonly time?: Ms }
  /** Forwards a job to the owner of a failure domain's endpoints. */
  | { readonly type: 'submit', readonly incarnation: number, readonly address: string, readonly failureDomain: FailureDomain, readonly order: DispatchOrder, readonly ownerClock?: ClockReading, readonly time?: Ms }
  /** From a front to an owner: asks whether the owner still knows these jobs. */
  | { readonly type: 'checkJobs', readonly failureDomain: FailureDomain, readonly jobIds: readonly JobId[], readonly ownerClock?: ClockReading }
  /**
   * The caller no longer waits for the job. It holds for all copies up to number `attempt` of the front's incarnation, also for those that it has overtaken;
   * without a number, as in earlier versions, for the copy that the owner has.
   */
  | { readonly type: 'cancelJob', readonly jobId: JobId, readonly incarnation?: number, readonly attempt?: number }
  | { readonly type: 'ended', readonly jobId: JobId, readonly outcome: JobOutcome }
  /** No task of the job has started and none will. */
  | { readonly type: 'declined', readonly jobId: JobId, readonly attempt: number, readonly retryAfterMs: Ms }
  /**
   * The sender of this message does not own the shard or does not know the job. With `attempt`, it has not taken this copy, of which nothing runs or will
   * run; absent in earlier versions. `queueRemoved`: a version of the desired state has removed the job's queue, so no owner will run the job; absent in
   * earlier versions. `released`: the domain is evacuated, so the rest of the job has to run in another one; sent together with `queueRemoved`, on which
   * an earlier version gives the job up.
   */
  | { readonly type: 'notOwner', readonly jobId: JobId, readonly failureDomain: FailureDomain, readonly attempt?: number, readonly queueRemoved?: boolean, readonly released?: ReleasedJob }
  /**
   * The sender has given up the shard. `to` is the successor that continues the jobs, or the sender itself if it knows none. `endpointsDigest` is that of
   * the endpoints at which it may have runs; absent in earlier versions.
   */
  | { readonly type: 'moved', readonly failureDomain: FailureDomain, readonly to: InstanceId, readonly progress: readonly JobProgress[], readonly endpointsDigest?: number }
  /** The owner asks its successor to take over the shard immediately. `endpoints` are those at which it may have runs; absent in earlier versions. */
  | { readonly type: 'handover', readonly failureDomain: FailureDomain, readonly revision: number, readonly rank: number, readonly endpoints?: readonly EndpointReport[] }
  /**
   * Requests the desired state. `introduce`: the sender has just started and could not read the store; it wants an `introduction` too. `known`: versions that
   * the sender holds, so it takes a `desiredChange` in place of a `desired`. `changeOnly`: it wants no answer if the receiver holds none of these. All three
   * are absent in earlier versions.
   */
  | { readonly type: 'desiredRequest', readonly introduce?: boolean, readonly known?: readonly number[], readonly changeOnly?: boolean }
  /** What a new instance needs to take part while the store does not answer: the records, and the endpoints of its failure domain. */
  | { readonly type: 'introduction', readonly members: readonly MemberRecord[], readonly shards: readonly Revised<ShardRecord>[], readonly endpoints: readonly EndpointReport[] }
  | { readonly type: 'desired', readonly state: DesiredState }
  /** Answer to a request with `known`. */
  | { readonly type: 'desiredChange', readonly change: DesiredChange }
