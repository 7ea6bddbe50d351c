/**
 * The two deployments' shapes, as workloads.
 */
import type { Random } from '@cranberryyard/core'
import { drawRunTimes } from '../memory/workload.js'

/** Slots of one endpoint. */
export const SLOTS = 8

/** A deployment and its workload. */
export interface Shape {
  readonly name: 'bantay' | 'office'
  readonly domains: readonly string[]
  readonly instancesPerDomain: number
  readonly endpointsPerDomain: number
  /** One way between failure domains. */
  readonly farMs: number
  /** One way between callers and entry instances. */
  readonly callerMs: number
  /** Limits stand above the slots, so that the comparison with the ideal is of routing alone. */
  readonly customers: readonly { readonly name: string, readonly running: number }[]
  /** Smallest job. */
  readonly tasksMin: number
  /** Part of the jobs whose kind must run at most once. */
  readonly serialPart: number
}

/** Bantay Hangin Systems: many small readings, some of which ring a farm hand. */
export const BANTAY: Shape = {
  name: 'bantay',
  domains: ['pampanga', 'tarlac', 'bulacan'],
  instancesPerDomain: 3,
  endpointsPerDomain: 10,
  farMs: 1.5,
  callerMs: 3,
  customers: [{ name: 'san-miguel', running: 480 }, { name: 'lubao', running: 480 }, { name: 'concepcion', running: 480 }, { name: 'malolos', running: 480 }],
  tasksMin: 1,
  serialPart: 0.05
}

/** The Kyushu Time and Frequency Calibration Office: larger computations, more certificates. */
export const OFFICE: Shape = {
  name: 'office',
  domains: ['fukuoka', 'kumamoto', 'kagoshima'],
  instancesPerDomain: 3,
  endpointsPerDomain: 10,
  farMs: 1,
  callerMs: 3,
  customers: [{ name: 'laboratories', running: 480 }, { name: 'broadcasters', running: 480 }, { name: 'grid', running: 480 }],
  tasksMin: 16,
  serialPart: 0.2
}

/** A job to be submitted. */
export interface PlannedJob {
  readonly at: number
  readonly customer: string
  readonly kind: 'compute' | 'serial'
  readonly runTimes: readonly number[]
  /** Index of the instance that the balancer picks. */
  readonly instance: number
}

const TASKS_MAX = 340
const SAMPLE_SIZE = 4000

/** @returns number of slots of a shape */
export const slotsOf = (shape: Shape): number => shape.domains.length * shape.endpointsPerDomain * SLOTS

/**
 * Plans arrivals: exponential gaps at a load, job sizes log-uniform up to 340 tasks.
 * @param shape - the deployment
 * @param load - part of the slots that the work needs
 * @param durationMs - length of the run
 * @param random - the source
 * @returns jobs in order of arrival
 */
export function planJobs (shape: Shape, load: number, durationMs: number, random: Random): PlannedJob[] {
  const meanWork = meanJobWork(shape, random)
  const gapMs = meanWork / (load * slotsOf(shape))
  const jobs: PlannedJob[] = []
  let at = 0
  for (;;) {
    at += -Math.log((random.below(1_000_000) + 1) / 1_000_001) * gapMs
    if (at >= durationMs) return jobs
    const customer = shape.customers[random.below(shape.customers.length)]?.name ?? ''
    const kind = random.below(1000) < shape.serialPart * 1000 ? 'serial' : 'compute'
    jobs.push({ at, customer, kind, runTimes: drawRunTimes(random, drawSize(shape, random)), instance: random.below(shape.domains.length * shape.instancesPerDomain) })
  }
}

function drawSize (shape: Shape, random: Random): number {
  const ratio = TASKS_MAX / shape.tasksMin
  return Math.min(TASKS_MAX, Math.floor(shape.tasksMin * Math.pow(ratio, random.below(100_000) / 100_000) + 0.5))
}

function meanJobWork (shape: Shape, random: Random): number {
  let work = 0
  for (let i = 0; i < SAMPLE_SIZE; i++) work += drawSize(shape, random)
  const runTimes = drawRunTimes(random, SAMPLE_SIZE)
  const meanRun = runTimes.reduce((a, b) => a + b, 0) / SAMPLE_SIZE
  return work / SAMPLE_SIZE * meanRun
}
