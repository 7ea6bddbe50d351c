/**
 * State of the health decision: one health record for each endpoint, and for each kind the endpoints on which it failed
 * lately. The second table tells a faulty endpoint from a job that fails everywhere.
 */
import type { EndpointId, Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { HealthRecord } from './types.js'

/** Delay before the first probe; it doubles with each quarantine and each failed probe until a task succeeds. */
export const PROBE_BACKOFF_MIN_MS = 1000

interface KindFailures {
  readonly endpoints: Map<EndpointId, Ms>
}

/** Health records and recent failures by kind. */
export class HealthDb {
  private readonly records = new Map<EndpointId, HealthRecord>()
  private readonly failures = new Map<string, KindFailures>()

  /** @returns the endpoint's record; an endpoint without one gets a healthy record */
  record (endpoint: EndpointId): HealthRecord {
    const known = this.records.get(endpoint)
    if (known !== undefined) return known
    const fresh: HealthRecord = { endpoint, state: 'healthy', lastFailedJob: undefined, backoffMs: PROBE_BACKOFF_MIN_MS, probeAt: ms(0), slowness: 1 }
    this.records.set(endpoint, fresh)
    return fresh
  }

  all (): HealthRecord[] {
    return [...this.records.values()]
  }

  /** Records that a task of this kind failed on an endpoint. */
  recordKindFailure (kind: string, endpoint: EndpointId, now: Ms): void {
    const known = this.failures.get(kind) ?? { endpoints: new Map() }
    known.endpoints.set(endpoint, now)
    this.failures.set(kind, known)
  }

  /** Clears a kind's failures after a success: the kind can run, so further failures count against the endpoints. */
  clearKindFailures (kind: string): void {
    this.failures.delete(kind)
  }

  /** @returns number of endpoints whose last failure of this kind is not older than `since` */
  failedEndpointCount (kind: string, since: Ms): number {
    const known = this.failures.get(kind)
    if (known === undefined) return 0
    return [...known.endpoints.values()].filter(at => at >= since).length
  }

  /** Deletes the record of an endpoint that has left the fleet. */
  forget (endpoint: EndpointId): void {
    this.records.delete(endpoint)
  }
}
