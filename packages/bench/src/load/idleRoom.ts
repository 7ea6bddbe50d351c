/**
 * Reads from the counters of a run how much room stayed idle although waiting tasks would have fitted if placed otherwise.
 */
import type { ShardFleet } from '../shard/shardFleet.js'

/** @returns stranded room as a share of all room while tasks waited; 0 when none waited */
export function strandedShare (fleet: ShardFleet): number {
  let waited = 0
  let stranded = 0
  for (const { core } of fleet.processes.values()) {
    const { counters } = core.ctx.out
    waited += counters.get('shard.room.waitedCoreMs') ?? 0
    stranded += counters.get('shard.room.strandedCoreMs') ?? 0
  }
  return waited === 0 ? 0 : stranded / waited
}
