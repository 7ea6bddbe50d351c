/**
 * Forecasts when the endpoints of a shard have capacity for further tasks. It plays the expected ends of the runs in progress
 * forward and counts the slots that they free, a slot being room for one task of a given size at one endpoint. Dividing
 * the waiting work by the total capacity is not enough: a full shard with an empty queue would seem to start a job at once.
 * Slots that become free at the same time are one entry, and the number of entries is bounded, so that the work of a forecast does
 * not depend on the size of the tasks.
 */
import TinyQueue from 'tinyqueue'
import type { Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'

/** When an endpoint gets back which amount of CPU. */
export interface ExpectedEnd {
  readonly at: Ms
  readonly cpuMilli: number
}

/** The free capacity of one endpoint, negative when it has shrunk below what runs there, and the expected ends of its runs. */
export interface EndpointOutlook {
  readonly freeCpuMilli: number
  readonly ends: readonly ExpectedEnd[]
  /** A task starts there only when nothing runs there. */
  readonly oneAtATime?: boolean
  /** Divides the expected run time of tasks there; 1 when it is not given. */
  readonly speed?: number
}

/** Tasks that a job still has to start. */
export interface Demand {
  readonly tasks: number
  /** CPU of the largest of the tasks. */
  readonly cpuMilli: number
  /** Expected run time of one task. */
  readonly runMs: number
}

/** Slots that become free at the same time at endpoints of the same speed. */
interface SlotEntry {
  at: number
  slots: number
}

/** The slots at endpoints of one speed, the earliest first. */
interface SpeedClass {
  readonly speed: number
  entries: TinyQueue<SlotEntry>
  total: number
}

/** Entries of one speed; beyond that, neighbouring later ones are merged. */
const ENTRIES_MAX = 1024
/** Number of times that the tasks of one job fill all slots, up to which they are assigned one entry after the other. */
const PASSES_MAX = 4

/** The times at which slots of one size become free, from which jobs are reserved one after the other. */
export class SlotForecast {
  private readonly classes: SpeedClass[] = []

  /**
   * @param endpoints - the usable endpoints
   * @param cpuMilli - size of a slot
   * @param now - the time
   */
  constructor (endpoints: readonly EndpointOutlook[], cpuMilli: number, now: Ms) {
    const size = Math.max(1, cpuMilli)
    for (const speed of new Set(endpoints.map(endpoint => endpoint.speed ?? 1))) {
      const atOnce: SlotEntry = { at: now, slots: 0 }
      const entries: SlotEntry[] = []
      for (const endpoint of endpoints) {
        if ((endpoint.speed ?? 1) === speed) addSlots(atOnce, entries, endpoint, size)
      }
      if (atOnce.slots > 0) entries.push(atOnce)
      this.classes.push({ speed, entries: makeQueue(entries), total: entries.reduce((sum, { slots }) => sum + slots, 0) })
    }
  }

  /**
   * @returns when the last of the tasks can start, without reserving slots; where endpoints differ in speed, the start with which it
   * would end at the same time at a speed of 1
   */
  peek ({ tasks, runMs = 0 }: Pick<Demand, 'tasks'> & Partial<Pick<Demand, 'runMs'>>): Ms {
    const taken: { readonly from: SpeedClass, readonly entry: SlotEntry }[] = []
    let missing = tasks
    let last = missing > 0 ? -Infinity : 0
    while (missing > 0) {
      const from = this.earliest(runMs)
      if (from === undefined) break
      const entry = from.entries.pop() as SlotEntry
      taken.push({ from, entry })
      missing -= entry.slots
      last = Math.max(last, entry.at + delayOf(runMs, from.speed))
    }
    for (const { from, entry } of taken) from.entries.push(entry)
    return ms(missing > 0 ? Infinity : last)
  }

  /**
   * Reserves a slot for each task; the slot becomes free again when the task ends.
   * @returns when the last of the tasks can start, as `peek` does; infinite when the endpoints never have enough room
   */
  reserve ({ tasks, runMs }: Pick<Demand, 'tasks' | 'runMs'>): Ms {
    if (this.earliest(runMs) === undefined) return ms(Infinity)
    let missing = tasks - this.reservePasses(tasks, runMs)
    let last = tasks > 0 ? -Infinity : 0
    while (missing > 0) {
      const from = this.earliest(runMs) as SpeedClass
      const entry = from.entries.pop() as SlotEntry
      const slots = Math.min(entry.slots, missing)
      missing -= slots
      last = Math.max(last, entry.at + delayOf(runMs, from.speed))
      from.entries.push({ at: entry.at + runMs / from.speed, slots })
      if (entry.slots > slots) from.entries.push({ at: entry.at, slots: entry.slots - slots })
      if (from.entries.length > ENTRIES_MAX) from.entries = makeQueue(mergeNeighbours(from.entries.data))
    }
    return ms(last)
  }

  /** Number of entries held, on which the work of a reservation depends. */
  get entryCount (): number {
    return this.classes.reduce((sum, { entries }) => sum + entries.length, 0)
  }

  /** Fills all slots several times at once for a job that has many times more tasks than there are slots. @returns the slots used */
  private reservePasses (missing: number, runMs: number): number {
    const total = this.classes.reduce((sum, of) => sum + of.total, 0)
    const passes = Math.floor(missing / total)
    if (passes <= PASSES_MAX) return 0
    for (const { speed, entries } of this.classes) {
      for (const entry of entries.data) entry.at += (passes - 1) * runMs / speed
    }
    return (passes - 1) * total
  }

  /** @returns the endpoints where a task that starts as early as possible ends first */
  private earliest (runMs: number): SpeedClass | undefined {
    let best: SpeedClass | undefined
    let bestEnd = Infinity
    for (const candidate of this.classes) {
      const entry = candidate.entries.peek()
      if (entry === undefined) continue
      const end = entry.at + runMs / candidate.speed
      if (end < bestEnd) {
        best = candidate
        bestEnd = end
      }
    }
    return best
  }
}

/** Adds what is free at an endpoint to the entry of the present, and an entry for each later time at which slots become free. */
function addSlots (atOnce: SlotEntry, entries: SlotEntry[], { freeCpuMilli, ends, oneAtATime }: EndpointOutlook, cpuMilli: number): void {
  if (oneAtATime === true) {
    const idleCpuMilli = ends.reduce((sum, end) => sum + end.cpuMilli, freeCpuMilli)
    const at = Math.max(atOnce.at, ...ends.map(end => end.at))
    if (idleCpuMilli < cpuMilli) return
    if (at > atOnce.at) entries.push({ at, slots: 1 })
    else atOnce.slots++
    return
  }
  let slots = Math.max(0, Math.floor(freeCpuMilli / cpuMilli))
  let free = freeCpuMilli - slots * cpuMilli
  atOnce.slots += slots
  for (const end of ends.length > 1 ? [...ends].sort(byTime) : ends) {
    free += end.cpuMilli
    slots = Math.floor(free / cpuMilli)
    if (slots <= 0) continue
    free -= slots * cpuMilli
    if (end.at > atOnce.at) entries.push({ at: end.at, slots })
    else atOnce.slots += slots
  }
}

function byTime (a: { readonly at: number }, b: { readonly at: number }): number {
  return a.at - b.at
}

function makeQueue (entries: SlotEntry[]): TinyQueue<SlotEntry> {
  return new TinyQueue(entries, byTime)
}

/** @returns how much later than at a speed of 1 a run ends */
function delayOf (runMs: number, speed: number): number {
  return runMs / speed - runMs
}

/** Merges pairs of entries that follow each other in the later half; the slots of both are free when the later ones are. */
function mergeNeighbours (entries: readonly SlotEntry[]): SlotEntry[] {
  const sorted = [...entries].sort(byTime)
  const exact = Math.floor(sorted.length / 2)
  const merged = sorted.slice(0, exact)
  for (let i = exact; i < sorted.length; i += 2) {
    const first = sorted[i] as SlotEntry
    const second = sorted[i + 1]
    merged.push(second === undefined ? first : { at: second.at, slots: first.slots + second.slots })
  }
  return merged
}
