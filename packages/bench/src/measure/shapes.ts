/**
 * Describes the two deployments that measurements model, and plans random workloads for them. A plan depends only on the
 * random source, so that all policies get the same jobs for the same seed.
 */
import type { Random } from '@cranberryyard/core'
import { drawRunTimes } from '../memory/workload.js'

export const SLOTS_PER_ENDPOINT = 8

/** Size, delays and workload of a deployment. */
export interface Shape {
  readonly name: 'bantay' | 'office'
  readonly domains: readonly string[]
  readonly instancesPerDomain: number
  readonly endpointsPerDomain: number
  /** One-way delay between failure domains. */
  readonly crossDomainDelayMs: number
  /** One-way delay between callers and entry instances. */
  readonly callerDelayMs: number
  /** Limits exceed the number of slots, so that the comparison with the ideal shows the effect of routing alone. */
  readonly customers: readonly { readonly name: string, readonly running: number }[]
  /** Number of tasks of the smallest job. */
  readonly minJobTasks: number
  /** Share of the jobs whose kind is not idempotent, so that they must run at most once. */
  readonly serialShare: number
}

/** Bantay Hangin Systems: many small readings, some of which trigger an alarm call to a farm hand. */
export const BANTAY: Shape = {
  name: 'bantay',
  domains: ['pampanga', 'tarlac', 'bulacan'],
  instancesPerDomain: 3,
  endpointsPerDomain: 10,
  crossDomainDelayMs: 1.5,
  callerDelayMs: 3,
  customers: [{ name: 'san-miguel', running: 480 }, { name: 'lubao', running: 480 }, { name: 'concepcion', running: 480 }, { name: 'malolos', running: 480 }],
  minJobTasks: 1,
  serialShare: 0.05
}

/** The Kyushu Time and Frequency Calibration Office: larger computations, and a larger share of certificates, whose kind is not idempotent. */
export const OFFICE: Shape = {
  name: 'office',
  domains: ['fukuoka', 'kumamoto', 'kagoshima'],
  instancesPerDomain: 3,
  endpointsPerDomain: 10,
  crossDomainDelayMs: 1,
  callerDelayMs: 3,
  customers: [{ name: 'laboratories', running: 480 }, { name: 'broadcasters', running: 480 }, { name: 'grid', running: 480 }],
  minJobTasks: 16,
  serialShare: 0.2
}

/** A job to submit, and the time, in milliseconds after the start, at which to submit it. */
export interface PlannedJob {
  readonly at: number
  readonly customer: string
  readonly kind: 'compute' | 'serial'
  readonly runTimes: readonly number[]
  /** Index of the entry instance that the callers' load balancer picks. */
  readonly instance: number
}

const MAX_JOB_TASKS = 340
const MEAN_SAMPLE_SIZE = 4000

/** @returns number of slots of all endpoints of a deployment */
export const slotsOf = (shape: Shape): number => shape.domains.length * shape.endpointsPerDomain * SLOTS_PER_ENDPOINT

/**
 * Plans a workload: exponentially distributed gaps between arrivals, and log-uniform job sizes up to 340 tasks. The mean gap
 * follows from the load and from the mean work of a job, which is estimated from a sample.
 * @param shape - the deployment
 * @param load - share of the slots that the work keeps busy on average
 * @param durationMs - length of the run
 * @param random - random source
 * @returns jobs in order of arrival
 */
export function planJobs (shape: Shape, load: number, durationMs: number, random: Random): PlannedJob[] {
  const meanJobWorkMs = estimateMeanJobWorkMs(shape, random)
  const meanArrivalGapMs = meanJobWorkMs / (load * slotsOf(shape))
  const jobs: PlannedJob[] = []
  let at = 0
  for (;;) {
    at += -Math.log((random.below(1_000_000) + 1) / 1_000_001) * meanArrivalGapMs
    if (at >= durationMs) return jobs
    const customer = shape.customers[random.below(shape.customers.length)]?.name ?? ''
    const kind = random.below(1000) < shape.serialShare * 1000 ? 'serial' : 'compute'
    jobs.push({ at, customer, kind, runTimes: drawRunTimes(random, drawJobSize(shape, random)), instance: random.below(shape.domains.length * shape.instancesPerDomain) })
  }
}

function drawJobSize (shape: Shape, random: Random): number {
  const ratio = MAX_JOB_TASKS / shape.minJobTasks
  return Math.min(MAX_JOB_TASKS, Math.floor(shape.minJobTasks * Math.pow(ratio, random.below(100_000) / 100_000) + 0.5))
}

function estimateMeanJobWorkMs (shape: Shape, random: Random): number {
  let totalTasks = 0
  for (let i = 0; i < MEAN_SAMPLE_SIZE; i++) totalTasks += drawJobSize(shape, random)
  const runTimes = drawRunTimes(random, MEAN_SAMPLE_SIZE)
  const meanRunMs = runTimes.reduce((a, b) => a + b, 0) / MEAN_SAMPLE_SIZE
  return totalTasks / MEAN_SAMPLE_SIZE * meanRunMs
}
