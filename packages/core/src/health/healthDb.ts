/**
 * Health records, and the recent failures of each kind by endpoint.
 */
import type { EndpointId, Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { HealthRecord } from './types.js'

/** First pause before a probe; doubles with every failure. */
export const PROBE_BACKOFF_MIN_MS = 1000

interface KindFailures {
  readonly endpoints: Map<EndpointId, Ms>
}

/** State of the health decision. */
export class HealthDb {
  private readonly records = new Map<EndpointId, HealthRecord>()
  private readonly failures = new Map<string, KindFailures>()

  /** @returns an endpoint's record, made on first use */
  record (endpoint: EndpointId): HealthRecord {
    const known = this.records.get(endpoint)
    if (known !== undefined) return known
    const fresh: HealthRecord = { endpoint, state: 'healthy', countedJob: undefined, backoffMs: PROBE_BACKOFF_MIN_MS, probeAt: ms(0), slowness: 1 }
    this.records.set(endpoint, fresh)
    return fresh
  }

  /** @returns all records */
  all (): HealthRecord[] {
    return [...this.records.values()]
  }

  /** Notes that a kind failed on an endpoint. */
  noteKindFailure (kind: string, endpoint: EndpointId, now: Ms): void {
    const known = this.failures.get(kind) ?? { endpoints: new Map() }
    known.endpoints.set(endpoint, now)
    this.failures.set(kind, known)
  }

  /** Notes that a kind succeeded somewhere, so its failures are the endpoints'. */
  clearKindFailures (kind: string): void {
    this.failures.delete(kind)
  }

  /** @returns on how many endpoints a kind has failed since a time */
  endpointsFailedBy (kind: string, since: Ms): number {
    const known = this.failures.get(kind)
    if (known === undefined) return 0
    return [...known.endpoints.values()].filter(at => at >= since).length
  }

  /** Forgets endpoints that have left. */
  forget (endpoint: EndpointId): void {
    this.records.delete(endpoint)
  }
}
