/**
 * Measures the room that stays idle while tasks wait that would fit if the free room were at fewer endpoints. Its share of the room
 * shows an operator whether sizes of tasks and endpoints go together.
 */
import type { Ms, Resources } from '@cranberryyard/protocol'
import { fits } from '../endpoints/endpointsDb.js'
import type { ShardContext } from '../shard/types.js'
import type { IdleRoom, WaitingNeeds } from './types.js'

/** Longest time for which one observation is counted; the owner looks at its room more often while tasks wait. */
const OBSERVATION_MAX_MS = 100
/** Time between two observations. */
const INTERVAL_MS = 50

/** Adds up idle room over time. */
export class IdleRoomMeter {
  private last: { readonly at: Ms, readonly room: IdleRoom } | undefined

  constructor (private readonly ctx: ShardContext) {}

  /** @returns whether the latest observation is old enough for another one */
  isDue (): boolean {
    return this.last === undefined || this.ctx.now - this.last.at >= INTERVAL_MS
  }

  /** Records what is idle from now on; undefined when nothing waits. */
  observe (room: IdleRoom | undefined): void {
    const { now, out } = this.ctx
    if (this.last !== undefined) {
      const coreMs = (cpuMilli: number, last: Ms): number => Math.round(cpuMilli / 1000 * Math.min(OBSERVATION_MAX_MS, now - last))
      out.count('shard.room.waitedCoreMs', coreMs(this.last.room.totalCpuMilli, this.last.at))
      out.count('shard.room.strandedCoreMs', coreMs(this.last.room.strandedCpuMilli, this.last.at))
    }
    this.last = room === undefined ? undefined : { at: now, room }
  }
}

/**
 * @param rooms - free capacity of each endpoint that can be trusted
 * @param waiting - tasks that wait
 * @returns free CPU that waits for nothing but a better place: no task fits any endpoint, but some would if the room were at one
 */
export function strandedCpu (rooms: readonly Resources[], waiting: readonly WaitingNeeds[]): number {
  const largest = Math.max(0, ...rooms.map(({ cpuMilli }) => cpuMilli))
  if (waiting.some(({ needs }) => needs.cpuMilli <= largest && rooms.some(room => fits(needs, room)))) return 0
  const free = rooms.reduce((sum, { cpuMilli }) => sum + Math.max(0, cpuMilli), 0)
  let used = 0
  for (const { needs, tasks } of [...waiting].sort((a, b) => a.needs.cpuMilli - b.needs.cpuMilli)) {
    const fitting = needs.cpuMilli <= 0 ? 0 : Math.min(tasks, Math.floor((free - used) / needs.cpuMilli))
    used += fitting * needs.cpuMilli
    if (fitting < tasks) break
  }
  return used
}
