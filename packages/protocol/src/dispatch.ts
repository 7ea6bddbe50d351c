/**
 * What a dispatcher that owns shards of endpoints works with: the desired state, endpoints as they report themselves,
 * jobs with steps, and the orders that endpoints take. Names on any wire are translated into these types.
 */
import type { Brand, EndpointId, FailureDomain, InstanceId } from './ids.js'
import type { Ms } from './clock.js'

/** Id of a job, chosen by its caller; the same when the caller sends the job again. */
export type JobId = Brand<string, 'JobId'>
/** One task of a job as endpoints know it; the same for every run of the task. */
export type TaskName = Brand<string, 'TaskName'>
/** Name of a queue of the desired state. */
export type QueueName = Brand<string, 'QueueName'>
/** Name of a service: the endpoints that run a queue's tasks. */
export type ServiceName = Brand<string, 'ServiceName'>
/** Number that endpoints compare: orders with a lower one than they have seen are refused. */
export type FencingToken = Brand<number, 'FencingToken'>
/** A time on one endpoint's own clock, which starts with the endpoint. */
export type EndpointClockMs = Brand<number, 'EndpointClockMs'>

/** Room that a task takes or an endpoint has. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpuMilli: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** Terms of one queue. */
export interface QueueTerms {
  readonly name: QueueName
  readonly host: string
  readonly prefix: string
  readonly service: ServiceName
  /** 0 goes first. */
  readonly priority: number
  /** Failed runs of a task after which its job fails. */
  readonly maxAttempts: number
  /** Factor of the job's own work within which the caller wants the answer. */
  readonly stretch: number
  /** Added to the stretched work. */
  readonly latencyObjectiveMs: Ms
  /** The endpoints that may run a step are decided by an outside service. */
  readonly needsAdvice: boolean
}

/** Terms of one service. */
export interface ServiceTerms {
  readonly name: ServiceName
  /** True when endpoints themselves refuse what exceeds their capacity. */
  readonly guardsCapacity: boolean
}

/** One version of what operators want, in full. */
export interface DesiredState {
  readonly version: number
  readonly queues: readonly QueueTerms[]
  readonly services: readonly ServiceTerms[]
}

/** An endpoint as it reports itself. */
export interface EndpointReport {
  readonly id: EndpointId
  readonly service: ServiceName
  readonly address: string
  readonly failureDomain: FailureDomain
  readonly draining: boolean
  readonly capacity: Resources
  readonly labels: readonly string[]
  /** Wall-clock start of this life of the endpoint; another value means that it knows nothing of before. */
  readonly bornAt: number
}

/** A step of a job: equal tasks that start once all steps before it are done. */
export interface StepSpec {
  readonly count: number
  readonly needs: Resources
  readonly estimateMs: Ms
  /** Numbers of the steps that must be done first. */
  readonly after: readonly number[]
  /** Label that the endpoint must have; empty for none. */
  readonly requiredLabel: string
  /** Label of the rack near the data; empty for none. */
  readonly preferredRack: string
  /** Most tasks of the step on one endpoint; 0 for any number. */
  readonly maxPerEndpoint: number
}

/** What a job needs that a dispatcher may not offer. */
export type JobFeature = 'stored' | 'gang' | 'longRunning' | 'repeated' | 'fills'

/** A job as its caller sent it. */
export interface JobRequest {
  readonly id: JobId
  readonly spec: string
  readonly steps: readonly StepSpec[]
  readonly features: readonly JobFeature[]
}

/** A job on its way from the instance that took it to the owner of endpoints. */
export interface DispatchOrder {
  readonly job: JobRequest
  readonly queue: QueueTerms
  /** How long ago the front received the job. */
  readonly ageMs: Ms
  /** How long the caller still waits. */
  readonly remainingMs: Ms
  /** Counts how often the front sent the job; a decline of an earlier copy says nothing about a later one. */
  readonly attempt: number
  /** Runs of an earlier owner may still exist. */
  readonly resumed: boolean
  /** Tasks known to be done, as `step.index`. */
  readonly done: readonly string[]
}

/** How a run ended at an endpoint. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed'

/** A run that an endpoint lists. */
export interface ListedRun {
  readonly task: TaskName
  readonly run: number
  /** Share of the work that is done, 0 to 100. */
  readonly percent: number
}

/** An end that an endpoint lists until it is acknowledged. */
export interface ListedEnd {
  /** Position in the endpoint's list; rises within one life. */
  readonly sequence: number
  readonly task: TaskName
  readonly run: number
  readonly how: RunEnd
}

/** What an endpoint lists about itself. */
export interface EndpointListing {
  readonly clock: EndpointClockMs
  readonly bornAt: number
  readonly running: readonly ListedRun[]
  readonly ended: readonly ListedEnd[]
}

/** Why an order had no answer that counts. */
export type OrderFailure =
  /** A newer token was seen by the endpoint. */
  | 'fenced'
  /** The address belongs to another life of the endpoint. */
  | 'otherLife'
  /** Nobody listens at the address; the endpoint runs nothing. */
  | 'refused'
  /** No answer in time; the order may still take effect. */
  | 'silent'
  /** The endpoint says that it is unhealthy and has done nothing. */
  | 'unhealthy'
  /** The answer could not be understood. */
  | 'unreadable'

/** How a hold ended. */
export type HoldOutcome =
  | { readonly type: 'listed', readonly listing: EndpointListing }
  | { readonly type: OrderFailure }

/** How a start ended. */
export type TaskStartOutcome =
  | { readonly type: 'started', readonly clock: EndpointClockMs }
  /** Not higher than a run that was stopped or has ended there. */
  | { readonly type: 'oldRun' }
  /** Arrived after its own deadline. */
  | { readonly type: 'late' }
  | { readonly type: 'noRoom' }
  | { readonly type: 'invalid' }
  | { readonly type: OrderFailure }

/** How a stop ended. */
export type TaskStopOutcome =
  | { readonly type: 'stopping' }
  | { readonly type: OrderFailure }

/** An entry instance as it registers itself in the store. */
export interface MemberRecord {
  readonly instance: InstanceId
  readonly incarnation: number
  readonly failureDomain: FailureDomain
  readonly address: string
  /** Processor time that the instance may use, in thousandths of a core; owners need the most. */
  readonly cpuMilli: number
}

/** Who owns the endpoints of a failure domain, and who follows if the owner is lost, in order. */
export interface ShardRecord {
  readonly failureDomain: FailureDomain
  readonly owner: MemberRecord
  readonly successors: readonly InstanceId[]
}

/** A record with the revision at which it was read. */
export interface Revised<T> {
  readonly revision: number
  readonly value: T
}
