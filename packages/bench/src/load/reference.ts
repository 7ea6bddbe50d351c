/**
 * Plays the same jobs against a clairvoyant reference, which knows all arrivals and true run times in advance, starts without
 * delay, may divide capacity at will, and serves the jobs with the highest value per unit of capacity first. It shows how
 * much a better policy could still gain. It is a greedy choice, so it is a yardstick and not a proven upper bound.
 */
import { objectiveMs } from './loadRun.js'
import type { PlannedJob } from './arrivals.js'
import type { LoadFault, LoadShape } from './shape.js'

/** Capacity is divided among the jobs in intervals of this length. */
const SLICE_MS = 10
/** Time after the last arrival for which the reference plays on. */
const FINISH_MS = 4000
/** Share of an endpoint that tasks of uneven size can use. */
const PACKING_SHARE = 0.85
/** Faults after which the affected share of the endpoints is of no use. */
export const LOST_CAPACITY: readonly LoadFault['type'][] = ['hangingEndpoints', 'failingEndpoints', 'darkEndpoints']

/** @returns for each job whether the reference serves it within its latency objective */
export function playReference (shape: LoadShape, jobs: readonly PlannedJob[]): ReadonlySet<PlannedJob> {
  const free = capacityBySlice(shape)
  const served = new Set<PlannedJob>()
  for (const job of [...jobs].sort((a, b) => densityOf(b) - densityOf(a))) {
    if (reserve(free, job)) served.add(job)
  }
  return served
}

/** @returns value of a job per unit of capacity */
export function densityOf (job: PlannedJob): number {
  return job.worth / workOf(job)
}

/** Work of a job in thousandths of a core times milliseconds. */
function workOf ({ cpuMilli, runMs }: PlannedJob): number {
  return cpuMilli * runMs.reduce((a, b) => a + b, 0)
}

function capacityBySlice (shape: LoadShape): number[] {
  const perDomain = shape.endpoints.reduce((sum, { count, cpuMilli, speed }) => sum + count * cpuMilli * speed, 0)
  const full = perDomain * shape.domains * PACKING_SHARE * SLICE_MS
  return Array.from({ length: Math.ceil((shape.durationS * 1000 + FINISH_MS) / SLICE_MS) }, (_, i) => full * usableShare(shape, i * SLICE_MS))
}

function usableShare (shape: LoadShape, atMs: number): number {
  let usable = 1
  for (const fault of shape.faults) {
    if (!('forS' in fault) || atMs < fault.atS * 1000 || atMs >= (fault.atS + fault.forS) * 1000) continue
    if (fault.type === 'instancesLost') return 0
    if (fault.type === 'slowEndpoints') usable -= fault.share * (1 - 1 / fault.factor)
    else if ('share' in fault && LOST_CAPACITY.includes(fault.type)) usable -= fault.share
  }
  return Math.max(0, usable)
}

function reserve (free: number[], job: PlannedJob): boolean {
  const from = Math.ceil(job.atMs / SLICE_MS)
  const until = Math.min(free.length, Math.floor((job.atMs + objectiveMs(job)) / SLICE_MS))
  const perSlice = job.cpuMilli * job.runMs.length * SLICE_MS
  let missing = workOf(job)
  const taken: { readonly slice: number, readonly amount: number }[] = []
  for (let slice = from; slice < until && missing > 0; slice++) {
    const amount = Math.min(missing, perSlice, free[slice] ?? 0)
    taken.push({ slice, amount })
    missing -= amount
  }
  if (missing > 0) return false
  for (const { slice, amount } of taken) free[slice] = (free[slice] ?? 0) - amount
  return true
}
