/**
 * Plans the jobs of a run: arrival times, sizes, run times and estimates. The plan depends only on the shape and the seed, so
 * every policy gets the same jobs.
 */
import { randomExponential, randomLogNormal, randomUniform } from 'd3-random'
import { seededRandom } from '@cranberryyard/core'
import type { JobKind, LoadFault, LoadShape } from './shape.js'

/** Resolution of the uniform numbers from which all others are drawn. */
const UNIFORM_STEPS = 2 ** 30
/** The largest value drawn, as a multiple of the mean. */
const SIZE_MAX_FACTOR = 4

/** A job as it will arrive. */
export interface PlannedJob {
  readonly atMs: number
  readonly kind: JobKind
  /** Index of the failure domain whose instance gets the job, and of the instance there. */
  readonly domain: number
  readonly instance: number
  readonly cpuMilli: number
  /** True run time of each task at a speed of 1. */
  readonly runMs: readonly number[]
  readonly estimateMs: number
  /** Value of an answer on time. */
  readonly worth: number
}

/** Plans all jobs of a run, in the order in which they arrive. */
export function planJobs (shape: LoadShape, seed: number): PlannedJob[] {
  return shape.kinds.flatMap((kind, index) => planKind(shape, kind, seed * 1000 + index)).sort((a, b) => a.atMs - b.atMs)
}

function planKind (shape: LoadShape, kind: JobKind, seed: number): PlannedJob[] {
  const uniform = uniformSource(seed)
  const jobs: PlannedJob[] = []
  const peak = Math.max(1, ...shape.faults.map(fault => fault.type === 'burst' && fault.domain === undefined ? fault.factor : 1)) ** 2
  const domainPeak = domainPeakOf(shape)
  const gapMs = randomExponential.source(uniform)(kind.perSecond * peak * domainPeak / 1000)
  for (let atMs = gapMs(); atMs < shape.durationS * 1000; atMs += gapMs()) {
    if (uniform() * peak >= rateFactor(shape.faults, kind, atMs)) continue
    const job = drawJob(shape, kind, atMs, uniform)
    // Shapes without such differences draw no number for them, so that their jobs stay the same.
    if (domainPeak === 1 || uniform() * domainPeak < domainFactor(shape, job)) jobs.push(job)
  }
  return jobs
}

function domainPeakOf ({ waves, faults }: LoadShape): number {
  return (1 + (waves?.swing ?? 0)) * Math.max(1, ...faults.map(fault => fault.type === 'burst' && fault.domain !== undefined ? fault.factor : 1))
}

/** @returns how much more traffic than on average comes from the callers of the job's domain at its time */
function domainFactor ({ waves, faults }: LoadShape, { atMs, domain, kind }: PlannedJob): number {
  const burst = rateFactor(faults.filter(fault => fault.type === 'burst' && fault.domain === domain), kind, atMs, domain)
  if (waves === undefined) return burst
  const phase = waves.phases[domain % waves.phases.length] ?? 0
  return burst * (1 + waves.swing * Math.sin(2 * Math.PI * (atMs / 1000 / waves.periodS + phase)))
}

function rateFactor (faults: readonly LoadFault[], kind: JobKind, atMs: number, domain?: number): number {
  let factor = 1
  for (const fault of faults) {
    if (fault.type !== 'burst' || fault.domain !== domain || (fault.kind !== undefined && fault.kind !== kind.name)) continue
    if (atMs >= fault.atS * 1000 && atMs < (fault.atS + fault.forS) * 1000) factor *= fault.factor
  }
  return factor
}

function drawJob (shape: LoadShape, kind: JobKind, atMs: number, uniform: () => number): PlannedJob {
  const width = Math.max(1, Math.round(drawAround(kind.width, kind.widthSpread, uniform)))
  const jobRunMs = drawAround(kind.runMs, kind.runSpread, uniform)
  const runMs = Array.from({ length: width }, () => drawAround(jobRunMs, kind.unevenness, uniform) * (kind.tail > 0 && uniform() < kind.tail ? kind.tailFactor : 1))
  const meanWork = kind.width * kind.runMs
  const work = runMs.reduce((a, b) => a + b, 0)
  const estimateMs = Math.max(1, Math.round(jobRunMs * randomUniform.source(uniform)(1 - kind.estimateError, 1 + kind.estimateError)()))
  return {
    atMs,
    kind,
    domain: drawDomain(shape, uniform()),
    instance: Math.floor(uniform() * shape.instancesPerDomain),
    cpuMilli: Math.round(drawAround(kind.cpuMilli, kind.cpuSpread, uniform, 1.5)),
    runMs,
    estimateMs,
    worth: kind.worth * Math.min(SIZE_MAX_FACTOR, 0.3 + 0.7 * work / meanWork)
  }
}

function drawDomain (shape: LoadShape, uniform: number): number {
  const total = shape.traffic.reduce((a, b) => a + b, 0)
  if (shape.traffic.length !== shape.domains) return Math.floor(uniform * shape.domains)
  let rest = uniform * total
  return Math.max(0, shape.traffic.findIndex((part) => {
    rest -= part
    return rest < 0
  }))
}

/** Draws from a log-normal distribution with the given mean and relative standard deviation. */
function drawAround (mean: number, spread: number, uniform: () => number, maxFactor = SIZE_MAX_FACTOR): number {
  if (spread === 0) return mean
  const sigma = Math.sqrt(Math.log(1 + spread * spread))
  return Math.min(mean * maxFactor, randomLogNormal.source(uniform)(Math.log(mean) - sigma * sigma / 2, sigma)())
}

function uniformSource (seed: number): () => number {
  const random = seededRandom(seed)
  return () => (random.below(UNIFORM_STEPS) + 0.5) / UNIFORM_STEPS
}
