/**
 * Types of the placement decision: how far an endpoint is trusted, and what a task asks of its endpoint.
 */
import type { EndpointId, Ms, Resources, ServiceName } from '@cranberryyard/protocol'

/** What recent runs say about an endpoint. */
export interface EndpointTrust {
  /** Run time over the expected one, smoothed; 1 is sound. */
  slowness: number
  /** Failures and refusals since the last run that ended done. */
  failures: number
  setAside: boolean
  /** When a set-aside endpoint may get one task to prove itself. */
  trialAt: Ms
  /** Pause before the next trial; doubles with each one that goes wrong. */
  trialPauseMs: Ms
}

/** What a task asks of its endpoint. */
export interface PlacementRequest {
  readonly service: ServiceName
  readonly needs: Resources
  readonly requiredLabel: string
  readonly preferredRack: string
  /** Endpoints where the task failed or was too slow. */
  readonly avoid: ReadonlySet<EndpointId>
  /** Tasks of the step that an endpoint already has, when the step limits them. */
  readonly tasksAt: ((endpoint: EndpointId) => number) | undefined
  readonly maxPerEndpoint: number
}
