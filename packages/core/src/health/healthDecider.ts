/**
 * Quarantines endpoints that fail their tasks (state `setAside`) and uses them again, as suspects, after a successful probe.
 * After one failure an endpoint is suspect and gets one task at a time; a second failure, from another job, puts it in
 * quarantine. If a kind fails on several endpoints, the fault is taken to be the kind's, so that a job that can
 * never run takes no endpoint out of use.
 */
import type { EndpointId, SubmissionId } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { Context } from '../instance/context.js'
import { Chart } from '../utils/chart.js'
import { HealthDb, PROBE_BACKOFF_MIN_MS } from './healthDb.js'
import type { HealthEvent, HealthRecord, HealthState } from './types.js'

/** Upper bound of the exponential backoff between probes. */
const PROBE_BACKOFF_MAX_MS = 60_000
/** A kind that failed on this many endpoints without a success is at fault itself; its failures do not count against endpoints. */
const KIND_FAULT_MIN_ENDPOINTS = 3
/** Only failures of a kind within this window count towards `KIND_FAULT_MIN_ENDPOINTS`. */
const KIND_FAILURE_WINDOW_MS = 10_000
/** Weight of the newest run in the moving average of an endpoint's slowness. */
const SLOWNESS_WEIGHT = 0.1

/** The endpoint, job and kind of a task that ended. */
export interface HealthReport {
  readonly endpoint: EndpointId
  readonly job: SubmissionId
  /** Customer and kind in one string, since kinds of two customers may share a name. */
  readonly kind: string
}

/** Decides which endpoints get tasks and how many at once. */
export class HealthDecider {
  readonly db = new HealthDb()
  private readonly chart = new Chart<HealthState, HealthEvent>('endpointHealth')

  constructor (private readonly ctx: Context) {}

  /**
   * Sends the probes that are due.
   * @param addressOf - looks up an endpoint's address; an endpoint without one is not probed
   */
  tick (addressOf: (endpoint: EndpointId) => string | undefined): void {
    for (const record of this.db.all()) {
      if (record.state !== 'setAside' || this.ctx.now < record.probeAt) continue
      const address = addressOf(record.endpoint)
      if (address === undefined) continue
      this.transition(record, 'probeDue')
      this.ctx.out.count('endpoints.probes')
      this.ctx.out.push({ type: 'probe', endpoint: record.endpoint, address })
    }
  }

  /** @returns number of tasks that the endpoint may run at once; a suspect endpoint gets one, a quarantined one none */
  allowance (endpoint: EndpointId, slots: number): number {
    switch (this.db.record(endpoint).state) {
      case 'healthy': return slots
      case 'suspect': return 1
      case 'setAside': return 0
      case 'probing': return 0
    }
  }

  /** @returns moving average of the ratio of run time to the kind's mean; 1 is normal, more is slower */
  slowness (endpoint: EndpointId): number {
    return this.db.record(endpoint).slowness
  }

  /**
   * Records a task that ended with a result.
   * @param report - endpoint, job and kind of the task
   * @param ratio - the task's run time divided by the kind's mean
   */
  success (report: HealthReport, ratio: number): void {
    this.db.clearKindFailures(report.kind)
    const record = this.db.record(report.endpoint)
    record.slowness += SLOWNESS_WEIGHT * (Math.min(10, ratio) - record.slowness)
    if (record.state === 'healthy') return
    record.lastFailedJob = undefined
    record.backoffMs = PROBE_BACKOFF_MIN_MS
    this.transition(record, 'success')
  }

  /** Records a task that failed or whose outcome was lost. */
  failure (report: HealthReport): void {
    const { now } = this.ctx
    this.db.recordKindFailure(report.kind, report.endpoint, now)
    if (this.db.failedEndpointCount(report.kind, ms(now - KIND_FAILURE_WINDOW_MS)) >= KIND_FAULT_MIN_ENDPOINTS) return
    this.countFailure(report.endpoint, report.job)
  }

  /** Records that an endpoint could not be reached; no job can have caused this failure. */
  unreachable (endpoint: EndpointId): void {
    this.countFailure(endpoint, undefined)
  }

  /** Records the result of a probe; after a failed one the backoff until the next doubles. */
  recordProbeResult (endpoint: EndpointId, healthy: boolean): void {
    const record = this.db.record(endpoint)
    this.transition(record, healthy ? 'probeOk' : 'probeFailed')
    if (!healthy) this.backOff(record)
  }

  private countFailure (endpoint: EndpointId, job: SubmissionId | undefined): void {
    const record = this.db.record(endpoint)
    if (record.state === 'suspect' && job !== undefined && record.lastFailedJob === job) return
    record.lastFailedJob = job
    const before = record.state
    this.transition(record, 'failure')
    if (record.state !== 'setAside' || before === 'setAside') return
    this.ctx.out.count('endpoints.setAside')
    this.backOff(record)
  }

  private backOff (record: HealthRecord): void {
    record.probeAt = ms(this.ctx.now + record.backoffMs)
    record.backoffMs = Math.min(PROBE_BACKOFF_MAX_MS, record.backoffMs * 2)
  }

  private transition (record: HealthRecord, event: HealthEvent): void {
    const next = this.chart.next(record.state, event)
    if (next === undefined || next === record.state) return
    record.state = next
    this.ctx.out.push({ type: 'log', event: 'endpoint.health', fields: { endpoint: record.endpoint, state: next } })
  }
}
