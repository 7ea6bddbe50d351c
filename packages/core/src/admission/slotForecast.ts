/**
 * Forecasts when the endpoints of a shard have capacity for further tasks. It plays the expected ends of the runs in progress
 * forward and counts the slots that they free, a slot being room for one task of a given size at one endpoint. Dividing
 * the waiting work by the total capacity is not enough: a full shard with an empty queue would seem to start a job at once.
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
}

/** Tasks that a job still has to start. */
export interface Demand {
  readonly tasks: number
  /** CPU of the largest of the tasks. */
  readonly cpuMilli: number
  /** Expected run time of one task. */
  readonly runMs: number
}

/** The times at which slots of one size become free, from which jobs are reserved one after the other. */
export class SlotForecast {
  private readonly freeAt: TinyQueue<number>

  /**
   * @param endpoints - the usable endpoints
   * @param cpuMilli - size of a slot
   * @param now - the time
   */
  constructor (endpoints: readonly EndpointOutlook[], cpuMilli: number, now: Ms) {
    const times: number[] = []
    for (const endpoint of endpoints) addSlots(times, endpoint, Math.max(1, cpuMilli), now)
    this.freeAt = new TinyQueue(times)
  }

  /** @returns when the last of the tasks can start, without reserving slots */
  peek ({ tasks }: Pick<Demand, 'tasks'>): Ms {
    const taken: number[] = []
    while (taken.length < tasks && this.freeAt.length > 0) taken.push(this.freeAt.pop() as number)
    for (const at of taken) this.freeAt.push(at)
    return ms(taken.length < tasks ? Infinity : taken.at(-1) ?? 0)
  }

  /**
   * Reserves a slot for each task; the slot becomes free again when the task ends.
   * @returns when the last of the tasks can start; infinite when the endpoints never have enough room
   */
  reserve ({ tasks, runMs }: Pick<Demand, 'tasks' | 'runMs'>): Ms {
    if (this.freeAt.length === 0) return ms(Infinity)
    let lastStart = 0
    for (let i = 0; i < tasks; i++) {
      lastStart = this.freeAt.pop() as number
      this.freeAt.push(lastStart + runMs)
    }
    return ms(lastStart)
  }
}

function addSlots (times: number[], { freeCpuMilli, ends, oneAtATime }: EndpointOutlook, cpuMilli: number, now: Ms): void {
  if (oneAtATime === true) {
    const idleCpuMilli = ends.reduce((sum, end) => sum + end.cpuMilli, freeCpuMilli)
    if (idleCpuMilli >= cpuMilli) times.push(Math.max(now, ...ends.map(end => end.at)))
    return
  }
  let free = freeCpuMilli
  for (; free >= cpuMilli; free -= cpuMilli) times.push(now)
  for (const end of [...ends].sort((a, b) => a.at - b.at)) {
    for (free += end.cpuMilli; free >= cpuMilli; free -= cpuMilli) times.push(Math.max(now, end.at))
  }
}
