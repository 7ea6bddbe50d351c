/**
 * Sets endpoints aside that fail their tasks and lets them earn traffic back by probes. After one failure an
 * endpoint is suspect and gets one task at a time; a second failure, of another job, sets it aside. A kind that
 * fails on several endpoints is blamed itself, so a job that can never run takes no endpoint out of use.
 */
import type { EndpointId, SubmissionId } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { Context } from '../instance/context.js'
import { Chart } from '../utils/chart.js'
import { HealthDb, PROBE_BACKOFF_MIN_MS } from './healthDb.js'
import type { HealthEvent, HealthRecord, HealthState } from './types.js'

/** Longest pause between probes. */
const PROBE_BACKOFF_MAX_MS = 60_000
/** A kind that failed on this many endpoints without a success is blamed itself. */
const KIND_BLAMED_ENDPOINTS = 3
/** Failures of a kind count towards blaming it for this span. */
const KIND_BLAME_MS = 10_000
/** Weight of the newest run in an endpoint's slowness. */
const SLOWNESS_WEIGHT = 0.1

/** What a report is about. */
export interface HealthReport {
  readonly endpoint: EndpointId
  readonly job: SubmissionId
  /** Customer and kind. */
  readonly kind: string
}

/** Decides which endpoints are fit for work. */
export class HealthDecider {
  readonly db = new HealthDb()
  private readonly chart = new Chart<HealthState, HealthEvent>('endpointHealth')

  constructor (private readonly ctx: Context) {}

  /** Starts probes that are due. */
  tick (addressOf: (endpoint: EndpointId) => string | undefined): void {
    for (const record of this.db.all()) {
      if (record.state !== 'setAside' || this.ctx.now < record.probeAt) continue
      const address = addressOf(record.endpoint)
      if (address === undefined) continue
      this.step(record, 'probeDue')
      this.ctx.out.count('endpoints.probes')
      this.ctx.out.push({ type: 'probe', endpoint: record.endpoint, address })
    }
  }

  /** @returns how many tasks an endpoint may run at once, given its slots */
  allowance (endpoint: EndpointId, slots: number): number {
    switch (this.db.record(endpoint).state) {
      case 'healthy': return slots
      case 'suspect': return 1
      case 'setAside': return 0
      case 'probing': return 0
    }
  }

  /** @returns how much slower than normal an endpoint runs; 1 is normal */
  slowness (endpoint: EndpointId): number {
    return this.db.record(endpoint).slowness
  }

  /**
   * Takes a finished task.
   * @param report - where and what
   * @param ratio - its run time over the kind's mean
   */
  success (report: HealthReport, ratio: number): void {
    this.db.clearKindFailures(report.kind)
    const record = this.db.record(report.endpoint)
    record.slowness += SLOWNESS_WEIGHT * (Math.min(10, ratio) - record.slowness)
    if (record.state === 'healthy') return
    record.countedJob = undefined
    record.backoffMs = PROBE_BACKOFF_MIN_MS
    this.step(record, 'success')
  }

  /** Takes a failed or lost task. */
  failure (report: HealthReport): void {
    const { now } = this.ctx
    this.db.noteKindFailure(report.kind, report.endpoint, now)
    if (this.db.endpointsFailedBy(report.kind, ms(now - KIND_BLAME_MS)) >= KIND_BLAMED_ENDPOINTS) return
    this.countFailure(report.endpoint, report.job)
  }

  /** Takes an endpoint that could not be reached at all; no job is to blame. */
  unreachable (endpoint: EndpointId): void {
    this.countFailure(endpoint, undefined)
  }

  /** Takes a probe's result. */
  probed (endpoint: EndpointId, healthy: boolean): void {
    const record = this.db.record(endpoint)
    this.step(record, healthy ? 'probeOk' : 'probeFailed')
    if (!healthy) this.backOff(record)
  }

  private countFailure (endpoint: EndpointId, job: SubmissionId | undefined): void {
    const record = this.db.record(endpoint)
    if (record.state === 'suspect' && job !== undefined && record.countedJob === job) return
    record.countedJob = job
    const before = record.state
    this.step(record, 'failure')
    if (record.state !== 'setAside' || before === 'setAside') return
    this.ctx.out.count('endpoints.setAside')
    this.backOff(record)
  }

  private backOff (record: HealthRecord): void {
    record.probeAt = ms(this.ctx.now + record.backoffMs)
    record.backoffMs = Math.min(PROBE_BACKOFF_MAX_MS, record.backoffMs * 2)
  }

  private step (record: HealthRecord, event: HealthEvent): void {
    const next = this.chart.next(record.state, event)
    if (next === undefined || next === record.state) return
    record.state = next
    this.ctx.out.push({ type: 'log', event: 'endpoint.health', fields: { endpoint: record.endpoint, state: next } })
  }
}
