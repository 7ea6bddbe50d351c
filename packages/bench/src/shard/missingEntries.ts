/**
 * Endpoints that are cut off from the store, and from nothing else, while the instances of their failure domain are restarted in turn, the owner last.
 * Their entries are missing for as long, so an instance that has just started does not know them, while the owner goes on with their runs.
 */
import type { InstanceId } from '@cranberryyard/protocol'
import type { ShardFleet } from './shardFleet.js'

const MEAN_INTERVAL_MS = 5000
/** Endpoints are cut off for up to 5.5 s; their entries go a few seconds later and come back with the next ping. */
const MISSING_MIN_MS = 3000
const MISSING_SPREAD_MS = 4000
/** Time between two restarts of a rolling restart. */
const RESTART_GAP_MIN_MS = 1000
const RESTART_GAP_SPREAD_MS = 1500
const DOWN_MS = 300

/** Injects missing entries with rolling restarts at random moments until a time. */
export function addMissingEntries (fleet: ShardFleet, until: number): void {
  if (fleet.time.now > until) return
  const endpoints = [...fleet.endpoints.keys()]
  const endpoint = endpoints[fleet.randomBelow(endpoints.length)] as string
  const domain = endpoint.split('-')[1] as string
  fleet.missEntry(endpoint, MISSING_MIN_MS + fleet.randomBelow(MISSING_SPREAD_MS))
  const owners = fleet.owners().filter(name => name.startsWith(domain))
  const others = [...fleet.processes.keys()].filter(name => name.startsWith(domain) && !owners.includes(name))
  let delayMs = fleet.randomBelow(500)
  for (const name of [...others, ...owners]) {
    fleet.time.after(delayMs, () => loseInstance(fleet, name))
    delayMs += RESTART_GAP_MIN_MS + fleet.randomBelow(RESTART_GAP_SPREAD_MS)
  }
  fleet.time.after(fleet.randomBelow(MEAN_INTERVAL_MS * 2), () => addMissingEntries(fleet, until))
}

function loseInstance (fleet: ShardFleet, name: InstanceId): void {
  switch (fleet.randomBelow(3)) {
    case 0: return fleet.kill(name, DOWN_MS)
    case 1: return fleet.losePower(name, DOWN_MS)
    default: return fleet.terminate(name, DOWN_MS)
  }
}
