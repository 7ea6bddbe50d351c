/**
 * Decides how fast endpoints are, by kind and one by one, and from that how likely a task misses its objective at each. It answers
 * fleets of uneven endpoints: without it, run times are learned as a mixture, tasks that cannot wait start at slow endpoints, and slow
 * endpoints of a kind are mistaken for broken ones. Speeds within a tolerance of 1 count as 1, so that nothing changes where endpoints are alike.
 */
import type { EndpointId, ServiceName } from '@cranberryyard/protocol'
import { RunTail } from './runTail.js'
import { SpeedsDb } from './speedsDb.js'
import type { RatedEndpoint, SpeedEvidence, TaskTiming } from './types.js'

/** Speeds differ by more than this factor from 1 before they count; endpoints of one kind differ by about this much. */
const TOLERANCE = 1.1
/** Standard errors by which a speed has to lie outside the tolerance. */
const SURE_DEVIATIONS = 2
/** Runs with which a label is considered at all. */
const LABEL_RUNS_MIN = 20
/** Number of runs that the figure of an endpoint's kind counts for beside its own runs. */
const KIND_RUNS = 10
/** A run shows a speed within this factor of the expected one; a task may be long for reasons of its own. */
const OUTLIER_FACTOR = 2
/** Spread of the logarithm of run times around their expectation. */
const RUN_SPREAD = 0.3
/** Slope of the logistic function that approximates the normal distribution. */
const LOGISTIC_SLOPE = 1.702
/** Time that an answer takes to its caller. */
const ANSWER_MS = 10
/** Speeds are rounded to steps of this size, so that endpoints of one kind have the same one. */
const STEP = 0.05
/** Derived speeds are kept until this share of the recorded runs is new, but for at most so many runs. */
const REFRESH_SHARE = 0.1
const REFRESH_AFTER_MAX = 64

/** Estimates the speeds of endpoints. */
export class SpeedsDecider {
  readonly db = new SpeedsDb()
  readonly tail = new RunTail()
  private cache = new Map<EndpointId, { readonly labels: readonly string[], readonly speed: number }>()
  private cachedAt = 0
  /** The highest speeds by service and by label, '' for all endpoints of a service; of the present period and the one before. */
  private quickestNow = new Map<ServiceName, Map<string, number>>()
  private quickestBefore = new Map<ServiceName, Map<string, number>>()
  /** When an endpoint last had a speed other than 1, as a number of recorded runs. */
  private unevenAt = -Infinity
  /** The speed of each endpoint that was reported last. */
  private readonly reported = new Map<EndpointId, number>()

  /** @param onChange - told when the speed of an endpoint has changed by more than the tolerance */
  constructor (private readonly onChange: (id: EndpointId, speed: number, before: number) => void = () => {}) {}

  /**
   * Learns from a run that ended with success at a healthy endpoint.
   * @param expectedMs - run time expected at a speed of 1
   */
  record (report: RatedEndpoint, expectedMs: number, ranMs: number): void {
    const before = Math.log(this.speedOf(report))
    const shown = Math.log(Math.max(1, expectedMs) / Math.max(1, ranMs))
    this.tail.record(Math.exp(before - shown))
    const limit = Math.log(OUTLIER_FACTOR)
    this.db.record(report, Math.min(before + limit, Math.max(before - limit, shown)))
    if (this.db.recorded - this.cachedAt < Math.min(REFRESH_AFTER_MAX, this.db.recorded * REFRESH_SHARE)) return
    this.quickestBefore = this.quickestNow
    this.quickestNow = new Map()
    this.cache = new Map()
    this.cachedAt = this.db.recorded
  }

  /** Forgets an endpoint; its next incarnation may be of another kind. */
  forget (id: EndpointId): void {
    this.db.forget(id)
    this.cache.delete(id)
    this.reported.delete(id)
  }

  /** @returns the factor by which expected run times are divided at the endpoint */
  speedOf (report: RatedEndpoint): number {
    const known = this.cache.get(report.id)
    if (known?.labels === report.labels) return known.speed
    const speed = this.computeSpeed(report)
    this.cache.set(report.id, { labels: report.labels, speed })
    this.rank(report, speed)
    this.reportChange(report.id, speed)
    return speed
  }

  /** @returns the highest speed of the service's endpoints that have the label, or of all its endpoints if it is empty */
  quickest (service: ServiceName, label = ''): number {
    return Math.max(this.quickestNow.get(service)?.get(label) ?? 0, this.quickestBefore.get(service)?.get(label) ?? 0) || 1
  }

  /** @returns whether all endpoints that were asked about lately have a speed of 1 */
  areEven (): boolean {
    return this.db.recorded - this.unevenAt > 2 * REFRESH_AFTER_MAX
  }

  /** @returns probability that a task which starts now at an endpoint of the given speed ends after its answer is due */
  lateRisk ({ runMs, budgetMs }: TaskTiming, speed: number): number {
    const available = budgetMs - ANSWER_MS
    if (available <= 0) return 1
    const deviations = Math.log(available * speed / Math.max(1, runMs)) / RUN_SPREAD
    return 1 / (1 + Math.exp(LOGISTIC_SLOPE * deviations))
  }

  private rank ({ service, labels }: RatedEndpoint, speed: number): void {
    if (speed !== 1) this.unevenAt = this.db.recorded
    const ofService = this.quickestNow.get(service) ?? new Map<string, number>()
    this.quickestNow.set(service, ofService)
    for (const label of ['', ...labels]) ofService.set(label, Math.max(ofService.get(label) ?? 0, speed))
  }

  private reportChange (id: EndpointId, speed: number): void {
    const before = this.reported.get(id) ?? 1
    if (speed / before <= TOLERANCE && before / speed <= TOLERANCE) return
    this.reported.set(id, speed)
    this.onChange(id, speed, before)
  }

  private computeSpeed (endpoint: RatedEndpoint): number {
    const kind = this.kindOf(endpoint.labels)
    const own = this.db.ofEndpoint(endpoint)
    const prior = kind === undefined ? 0 : sureMean(kind)
    if (own === undefined) return roundSpeed(prior)
    const runs = own.runs + KIND_RUNS
    const mean = (own.mean * own.runs + prior * KIND_RUNS) / runs
    return roundSpeed(sureMean({ runs, mean, variance: own.variance }))
  }

  /** @returns the evidence of the label that says most about the speed: the one whose endpoints differ least */
  private kindOf (labels: readonly string[]): SpeedEvidence | undefined {
    let best: SpeedEvidence | undefined
    for (const label of labels) {
      const evidence = this.db.ofLabel(label)
      if (evidence !== undefined && evidence.runs >= LABEL_RUNS_MIN && (best === undefined || evidence.variance < best.variance)) best = evidence
    }
    return best
  }
}

/** @returns the mean logarithm of the speed if it lies outside the tolerance for sure, otherwise that of a speed of 1 */
function sureMean ({ runs, mean, variance }: SpeedEvidence): number {
  const error = Math.sqrt(Math.max(variance, RUN_SPREAD ** 2) / Math.max(1, runs))
  return Math.abs(mean) - SURE_DEVIATIONS * error > 0 && Math.abs(mean) > Math.log(TOLERANCE) ? mean : 0
}

function roundSpeed (logSpeed: number): number {
  return Math.max(STEP, Math.round(Math.exp(logSpeed) / STEP) * STEP)
}
