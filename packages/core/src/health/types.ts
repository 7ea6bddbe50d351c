/**
 * Types of the endpoint health decision. States and events are those of charts/endpointHealth.json.
 */
import type { EndpointId, Ms, SubmissionId } from '@cranberryyard/protocol'

export type HealthState = 'healthy' | 'suspect' | 'setAside' | 'probing'
export type HealthEvent = 'success' | 'failure' | 'probeDue' | 'probeOk' | 'probeFailed'

/** Health of one endpoint as this instance sees it. */
export interface HealthRecord {
  readonly endpoint: EndpointId
  state: HealthState
  /**
   * Job of the last counted failure. While the endpoint is suspect, further failures of this job are not counted, so that
   * one faulty job cannot quarantine an endpoint.
   */
  lastFailedJob: SubmissionId | undefined
  backoffMs: number
  probeAt: Ms
  /** Moving average of the ratio of run time to the kind's mean; 1 is normal, a straggler has more. */
  slowness: number
}
