/**
 * Connections between instances that go silent for good without breaking, as after the loss of the state of a firewall. New connections work, and each
 * direction of a link has its own.
 */
import type { ShardFleet } from './shardFleet.js'

const MEAN_INTERVAL_MS = 4000
const SILENT_PERCENT = 70

/** Silences most connections at random moments until a time. */
export function addSilentConnections (fleet: ShardFleet, until: number): void {
  if (fleet.time.now > until) return
  const names = fleet.present().map(process => process.name)
  fleet.silenceConnections(names.flatMap(from => names.filter(to => to !== from && fleet.randomBelow(100) < SILENT_PERCENT).map(to => `${from}>${to}`)))
  fleet.time.after(fleet.randomBelow(MEAN_INTERVAL_MS * 2), () => addSilentConnections(fleet, until))
}
