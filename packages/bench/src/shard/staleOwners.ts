/**
 * Owners that are cut off from all other instances, though neither from the store nor from their endpoints. Soon after another instance has taken over,
 * endpoints restart under their ids and forget its fencing token, and jobs arrive at both owners before either has heard of the restarts.
 */
import type { ModelTask } from '@cranberryyard/fakes'
import type { InstanceId } from '@cranberryyard/protocol'
import type { ShardFleet } from './shardFleet.js'

const MEAN_INTERVAL_MS = 4000
const CUT_MS = 5500
/** Time from the cut to the restarts. Another instance takes over within the first half of it. */
const RESTART_DELAY_MIN_MS = 500
const RESTART_DELAY_SPREAD_MS = 1500
/** Time after the restarts within which the jobs arrive. */
const JOBS_SPREAD_MS = 100
/** Jobs at each owner; they fill the endpoints of a domain. */
const JOBS_PER_OWNER = 3
const TASK: ModelTask = { cpuMilli: 14_000, workMs: 900, fails: false }

/** Injects stale owners at random moments until a time. */
export function addStaleOwners (fleet: ShardFleet, until: number): void {
  if (fleet.time.now > until) return
  const owners = fleet.owners()
  const owner = owners[fleet.randomBelow(owners.length)]
  if (owner !== undefined) cutOff(fleet, owner)
  fleet.time.after(fleet.randomBelow(MEAN_INTERVAL_MS * 2), () => addStaleOwners(fleet, until))
}

function cutOff (fleet: ShardFleet, owner: InstanceId): void {
  const domain = owner.split('-')[0] as string
  const others = fleet.present().map(process => process.name).filter(name => name !== owner)
  fleet.cutPairs(others.flatMap(name => [`${name}>${owner}`, `${owner}>${name}`]), CUT_MS)
  fleet.time.after(RESTART_DELAY_MIN_MS + fleet.randomBelow(RESTART_DELAY_SPREAD_MS), () => {
    for (const id of fleet.endpoints.keys()) if (id.split('-')[1] === domain) fleet.restartEndpoint(id)
    const neighbours = others.filter(name => name.startsWith(domain))
    for (const name of [owner, neighbours[fleet.randomBelow(neighbours.length)]]) {
      if (name === undefined) continue
      for (let i = 0; i < JOBS_PER_OWNER; i++) fleet.time.after(fleet.randomBelow(JOBS_SPREAD_MS), () => fleet.submit(name, 2, TASK))
    }
  })
}
