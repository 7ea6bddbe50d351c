/**
 * Types of the placement decision: the trust in an endpoint, and the requirements of a task.
 */
import type { EndpointId, Ms, Resources, ServiceName } from '@cranberryyard/protocol'
import type { TaskTiming } from '../speeds/types.js'

/** Trust in an endpoint, derived from its recent runs. */
export interface EndpointTrust {
  /** Moving average of run time divided by expected run time; 1 is healthy. */
  slowness: number
  /** Failed runs and rejected starts since the last successful run. */
  failures: number
  /** When a run last ended there after about its expected time. */
  soundAt: Ms
  /** The endpoint gets only trial tasks; logs and metrics call this state `setAside`. */
  quarantined: boolean
  /** When a quarantined endpoint may get its next trial task. */
  trialAt: Ms
  /** Pause before the next trial; doubles with each postponement, up to a maximum. */
  trialPauseMs: Ms
}

/** Requirements of a task on its endpoint. */
export interface PlacementRequest {
  readonly service: ServiceName
  readonly needs: Resources
  readonly requiredLabel: string
  readonly preferredRack: string
  /** Endpoints where the task failed, was rejected or was too slow. */
  readonly avoid: ReadonlySet<EndpointId>
  /** Number of tasks of the step that an endpoint already has; undefined when the step sets no limit per endpoint. */
  readonly tasksAt: ((endpoint: EndpointId) => number) | undefined
  readonly maxPerEndpoint: number
  /** The task starts only where nothing else runs. */
  readonly exclusive: boolean
  /** Undefined when it does not matter how fast the endpoint is. */
  readonly timing?: TaskTiming
}
