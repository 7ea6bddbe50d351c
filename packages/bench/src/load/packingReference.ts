/**
 * Plays the same jobs against a clairvoyant reference that packs: it knows all arrivals and true run times in advance and starts without
 * delay, but each task runs whole at one endpoint, at the speed of that endpoint. It serves the jobs with the highest value per unit of
 * capacity first, each task where it ends first. Beside `playReference`, which divides capacity at will, it shows how much of
 * the rest is lost because tasks do not fill endpoints. It is a greedy choice as well, so it is a yardstick and no proven bound.
 */
import type { PlannedJob } from './arrivals.js'
import { objectiveMs } from './loadRun.js'
import { LOST_CAPACITY, densityOf } from './reference.js'
import type { LoadFault, LoadShape } from './shape.js'

/** Resolution of the timelines. */
const SLICE_MS = 10
/** Time after the last arrival for which the reference plays on. */
const FINISH_MS = 4000

/** Free CPU of one endpoint in each slice. */
interface Timeline {
  readonly free: Int32Array
  readonly speed: number
  readonly cpuMilli: number
}

/** A task at an endpoint, in slices. */
interface Place {
  readonly timeline: Timeline
  readonly from: number
  readonly until: number
}

/** @returns for each job whether the packing reference serves it within its latency objective */
export function playPackingReference (shape: LoadShape, jobs: readonly PlannedJob[]): ReadonlySet<PlannedJob> {
  const timelines = makeTimelines(shape)
  const served = new Set<PlannedJob>()
  for (const job of [...jobs].sort((a, b) => densityOf(b) - densityOf(a))) {
    if (placeJob(timelines, job)) served.add(job)
  }
  return served
}

function makeTimelines (shape: LoadShape): Timeline[] {
  const slices = Math.ceil((shape.durationS * 1000 + FINISH_MS) / SLICE_MS)
  const timelines: Timeline[] = []
  for (const { count, cpuMilli, speed } of shape.endpoints) {
    const ofKind = count * shape.domains
    for (let i = 0; i < ofKind; i++) timelines.push({ free: new Int32Array(slices).map((_, slice) => isLost(shape.faults, i / ofKind, slice * SLICE_MS) ? 0 : cpuMilli), speed, cpuMilli })
  }
  return timelines
}

/** @returns whether an endpoint is of no use at a time; a share of slow ones counts as the share of their work that is missing */
function isLost (faults: readonly LoadFault[], position: number, atMs: number): boolean {
  let lost = 0
  for (const fault of faults) {
    if (!('forS' in fault) || atMs < fault.atS * 1000 || atMs >= (fault.atS + fault.forS) * 1000) continue
    if (fault.type === 'instancesLost') return true
    if (fault.type === 'slowEndpoints') lost += fault.share * (1 - 1 / fault.factor)
    else if ('share' in fault && LOST_CAPACITY.includes(fault.type)) lost += fault.share
  }
  return position < lost
}

function placeJob (timelines: readonly Timeline[], job: PlannedJob): boolean {
  const places: Place[] = []
  for (const runMs of [...job.runMs].sort((a, b) => b - a)) {
    const place = findPlace(timelines, job, runMs)
    if (place === undefined) {
      for (const { timeline, from, until } of places) add(timeline, from, until, job.cpuMilli)
      return false
    }
    add(place.timeline, place.from, place.until, -job.cpuMilli)
    places.push(place)
  }
  return true
}

/** @returns the place that holds back the least capacity: the endpoint with the least room, as long as the task ends in time there */
function findPlace (timelines: readonly Timeline[], job: PlannedJob, runMs: number): Place | undefined {
  const earliest = Math.ceil(job.atMs / SLICE_MS)
  let best: Place | undefined
  let bestRoom = Infinity
  for (const timeline of timelines) {
    const length = Math.max(1, Math.ceil(runMs / timeline.speed / SLICE_MS))
    const latest = Math.min(timeline.free.length, Math.floor((job.atMs + objectiveMs(job)) / SLICE_MS)) - length
    const from = firstFit(timeline.free, earliest, latest, length, job.cpuMilli)
    if (from === undefined) continue
    const room = (timeline.free[from] as number) - job.cpuMilli
    if (room >= bestRoom) continue
    best = { timeline, from, until: from + length }
    bestRoom = room
    if (room === 0) break
  }
  return best
}

/** @returns the first slice from which the CPU is free for the whole run */
function firstFit (free: Int32Array, earliest: number, latest: number, length: number, cpuMilli: number): number | undefined {
  let from = earliest
  for (let slice = earliest; from <= latest; slice++) {
    if (slice - from === length) return from
    if ((free[slice] as number) < cpuMilli) from = slice + 1
  }
  return undefined
}

function add ({ free }: Timeline, from: number, until: number, cpuMilli: number): void {
  for (let slice = from; slice < until; slice++) free[slice] = (free[slice] as number) + cpuMilli
}
