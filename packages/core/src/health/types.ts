/**
 * Types of the endpoint health decision. States are those of charts/endpointHealth.json.
 */
import type { EndpointId, Ms, SubmissionId } from '@cranberryyard/protocol'

export type HealthState = 'healthy' | 'suspect' | 'setAside' | 'probing'
export type HealthEvent = 'success' | 'failure' | 'probeDue' | 'probeOk' | 'probeFailed'

/** Health of one endpoint as this instance sees it. */
export interface HealthRecord {
  readonly endpoint: EndpointId
  state: HealthState
  /** Last job whose failure was counted, so that one bad job cannot set an endpoint aside. */
  countedJob: SubmissionId | undefined
  backoffMs: number
  probeAt: Ms
  /** Typical ratio of run time to the kind's mean; 1 is normal, more is a straggler. */
  slowness: number
}
