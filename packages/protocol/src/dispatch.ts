/**
 * Types of the dispatcher that owns shards of endpoints: the desired state, endpoint reports, jobs with steps, and the
 * orders sent to endpoints. The interfaces to callers, endpoints and the store use other names; their adapters translate
 * into these types. A front is the instance that accepted a job from its caller; an owner is the instance that starts
 * tasks on a failure domain's endpoints.
 */
import type { Brand, EndpointId, FailureDomain, InstanceId } from './ids.js'
import type { Ms } from './clock.js'

/** Id of a job, chosen by its caller. A resubmitted job keeps its id. */
export type JobId = Brand<string, 'JobId'>
/** Name under which endpoints know a task; all runs of the task share it. */
export type TaskName = Brand<string, 'TaskName'>
/** Name of a queue in the desired state. */
export type QueueName = Brand<string, 'QueueName'>
/** Name of a service, the group of endpoints that runs a queue's tasks. */
export type ServiceName = Brand<string, 'ServiceName'>
/** Fencing token of a shard's owner. An endpoint refuses an order whose token is lower than the highest it has seen. */
export type FencingToken = Brand<number, 'FencingToken'>
/** A time on the clock of one endpoint. The clock starts together with the endpoint. */
export type EndpointClockMs = Brand<number, 'EndpointClockMs'>

/** Resources that a task needs or an endpoint has. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpuMilli: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** Configuration of one queue. */
export interface QueueTerms {
  readonly name: QueueName
  readonly host: string
  readonly prefix: string
  readonly service: ServiceName
  /** 0 is the highest priority. */
  readonly priority: number
  /** Number of failed runs of one task after which its job fails. */
  readonly maxAttempts: number
  /** The answer is on time within this factor times the run time of the job's longest chain of steps, plus `latencyObjectiveMs`. */
  readonly stretch: number
  /** Fixed part of the time within which the answer is on time. */
  readonly latencyObjectiveMs: Ms
  /** An external service decides which endpoints may run a step. */
  readonly needsAdvice: boolean
}

/** Configuration of one service. */
export interface ServiceTerms {
  readonly name: ServiceName
  /** Whether the endpoints refuse tasks that exceed their capacity. */
  readonly guardsCapacity: boolean
}

/** One complete version of the operators' configuration of queues and services. */
export interface DesiredState {
  readonly version: number
  readonly queues: readonly QueueTerms[]
  readonly services: readonly ServiceTerms[]
}

/** Names a queue within one version of the desired state. */
export type QueueKey = Pick<QueueTerms, 'name' | 'host' | 'prefix'>

/** The difference between two versions of the desired state. */
export interface DesiredChange {
  /** Version from which the difference starts; 0 for the empty state. */
  readonly from: number
  /** Version to which it leads. */
  readonly version: number
  /** Queues that are new or have other terms. */
  readonly queues: readonly QueueTerms[]
  /** Queues that are gone. */
  readonly removed: readonly QueueKey[]
  /** All services of the version to which it leads. */
  readonly services: readonly ServiceTerms[]
  /** Digest of all queues of that version. */
  readonly digest: number
}

/** What an endpoint reports about itself. */
export interface EndpointReport {
  readonly id: EndpointId
  readonly service: ServiceName
  readonly address: string
  readonly failureDomain: FailureDomain
  readonly draining: boolean
  readonly capacity: Resources
  readonly labels: readonly string[]
  /** Wall-clock start of this incarnation of the endpoint. When the value changes, the endpoint has lost its earlier state. */
  readonly bornAt: number
  /** How much longer the endpoint was slow after its start when it wrote the report; absent for one that is not slow. */
  readonly coldForMs?: Ms
}

/** A step of a job: identical tasks that may start once all steps in `after` are done. */
export interface StepSpec {
  readonly count: number
  readonly needs: Resources
  readonly estimateMs: Ms
  /** Indexes of the steps that must be done before this one starts. */
  readonly after: readonly number[]
  /** Label that an endpoint must have to run the step; empty when there is no such requirement. */
  readonly requiredLabel: string
  /** Label of the rack near the step's data; empty when there is no preference. */
  readonly preferredRack: string
  /** Upper bound of the step's tasks on one endpoint; 0 means no bound. */
  readonly maxPerEndpoint: number
}

/** Features that a job may require and a dispatcher need not support. */
export type JobFeature = 'stored' | 'gang' | 'longRunning' | 'repeated' | 'fills'

/** A job as sent by its caller. */
export interface JobRequest {
  readonly id: JobId
  readonly spec: string
  readonly steps: readonly StepSpec[]
  readonly features: readonly JobFeature[]
}

/**
 * What went wrong with a run. `failed`: the endpoint listed it as failed. `crashed`: the endpoint crashed with this and other runs.
 * `crashedAlone`: it crashed while nothing else ran there. `silent`: it was not heard of again, so it crashed or was cut off.
 * `outOfReach`: it was taken to have crashed, but it went on, or the start had never reached it; this does not count.
 */
export type AttemptFault = 'failed' | 'crashed' | 'crashedAlone' | 'silent' | 'outOfReach'

/** A run that went wrong. */
export interface FailedAttempt {
  /** Names the endpoint, its incarnation and the number of the run, so that two reports of one run count once. */
  readonly run: string
  readonly fault: AttemptFault
  /** The endpoint refused connections, which a cut network may do too, and has not answered since; `fault` is what counts if it has crashed. */
  readonly unsettled?: boolean
}

/** The runs of a task that went wrong. */
export interface TaskAttempts {
  readonly task: TaskName
  readonly attempts: readonly FailedAttempt[]
}

/** A job forwarded by its front to the owner of a shard. */
export interface DispatchOrder {
  readonly job: JobRequest
  readonly queue: QueueTerms
  /** Version of the desired state that `queue` comes from. Absent in orders of earlier versions of this program. */
  readonly desiredVersion?: number
  /** Time since the front received the job. */
  readonly ageMs: Ms
  /** Time until the caller stops waiting. */
  readonly remainingMs: Ms
  /**
   * Number of the copy. It rises with each copy of any job that the front's incarnation sends, so that owners recognise a copy that later ones have overtaken.
   * A decline carries the same number, because it does not apply to later copies.
   */
  readonly attempt: number
  /** True when runs started by an earlier owner may still exist. */
  readonly resumed: boolean
  /**
   * For a resumed job, the digests that its earlier owners have reported of their endpoints. Absent if one of them has reported none, and in orders of
   * earlier versions.
   */
  readonly earlierEndpoints?: readonly number[]
  /** Tasks known to be done, each as `step.index`. */
  readonly done: readonly string[]
  /** The job was declined by every other shard that has an owner. Absent in orders of earlier versions. */
  readonly lastChance?: boolean
  /** Runs of the job's tasks that went wrong, as far as the front knows. Absent when there are none, and in orders of earlier versions. */
  readonly attempts?: readonly TaskAttempts[]
}

/** How a run ended on an endpoint; `lapsed` means that its lease expired. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed'

/** A run in progress in an endpoint's listing. */
export interface ListedRun {
  readonly task: TaskName
  readonly run: number
  /** Progress of the run, 0 to 100. */
  readonly percent: number
}

/** An ended run, which the endpoint lists until the owner has acknowledged it. */
export interface ListedEnd {
  /** Position in the endpoint's list of ended runs; increases within one incarnation. */
  readonly sequence: number
  readonly task: TaskName
  readonly run: number
  readonly how: RunEnd
}

/** The runs of an endpoint at one time of its clock. */
export interface EndpointListing {
  readonly clock: EndpointClockMs
  readonly bornAt: number
  readonly running: readonly ListedRun[]
  readonly ended: readonly ListedEnd[]
}

/** Why an order to an endpoint got no usable answer. */
export type OrderFailure =
  /** The endpoint has seen a higher fencing token. */
  | 'fenced'
  /** Another incarnation of the endpoint answers at the address. */
  | 'otherLife'
  /** The connection was refused: no process listens at the address, so the endpoint runs nothing. */
  | 'refused'
  /** The request timed out; the order may still take effect. */
  | 'silent'
  /** No usable connection came about in time, so the order was not sent and has no effect. */
  | 'unsent'
  /** The endpoint reported that it is unhealthy and has not carried out the order. */
  | 'unhealthy'
  /** The answer could not be parsed. */
  | 'unreadable'

/** Outcome of a hold, the request that returns an endpoint's listing and extends the lease on the endpoint while tasks run there. */
export type HoldOutcome =
  | { readonly type: 'listed', readonly listing: EndpointListing }
  | { readonly type: OrderFailure }

/** Outcome of a start order. */
export type TaskStartOutcome =
  | { readonly type: 'started', readonly clock: EndpointClockMs }
  /** The run number is not higher than that of a run which was stopped or has ended there. */
  | { readonly type: 'oldRun' }
  /** The order arrived after its `notAfter` time. */
  | { readonly type: 'late' }
  | { readonly type: 'noRoom' }
  | { readonly type: 'invalid' }
  | { readonly type: OrderFailure }

/** Outcome of a stop order. */
export type TaskStopOutcome =
  | { readonly type: 'stopping' }
  | { readonly type: OrderFailure }

/** Registration of an entry instance in the store. */
export interface MemberRecord {
  readonly instance: InstanceId
  readonly incarnation: number
  readonly failureDomain: FailureDomain
  readonly address: string
  /** CPU limit of the instance in thousandths of a core. Owners need the most CPU. */
  readonly cpuMilli: number
}

/** The owner of a failure domain's endpoints, and its successors in the order in which they may take over. */
export interface ShardRecord {
  readonly failureDomain: FailureDomain
  readonly owner: MemberRecord
  readonly successors: readonly InstanceId[]
}

/** The failure domains whose endpoints operators have emptied, all of them as of one revision of the store. */
export interface Evacuations {
  /** Revision of the store as of which this is complete. A higher one is newer. */
  readonly revision: number
  /** Failure domains that get no new work. */
  readonly domains: readonly FailureDomain[]
}

/** A stored value with the revision at which it was read. */
export interface Revised<T> {
  readonly revision: number
  readonly value: T
}
