/**
 * Owners whose machine is replaced as planned while the store loses answers to writes. The members of the domain then change
 * between the writing of its record and the reading of it. Some seconds later the store is down and a machine of the domain is cut off from all others,
 * so that instances take over by the copies of the record that they have.
 */
import type { InstanceId } from '@cranberryyard/protocol'
import type { ShardFleet } from './shardFleet.js'

const MEAN_INTERVAL_MS = 8000
/** Share of the writes that get no answer. */
const LOST_REPLY_SHARE = 0.7
const LOST_REPLIES_MS = 4500
/** The new machine starts and the old one is asked to end at any moments within this time. */
const REPLACEMENT_SPREAD_MS = 500
/** Time from the replacement to the outage. */
const OUTAGE_DELAY_MIN_MS = 5000
const OUTAGE_DELAY_SPREAD_MS = 2000
const OUTAGE_MS = 4500
const CUT_MS = 5500

/** Injects replacements at random moments until a time. */
export function addReplacements (fleet: ShardFleet, until: number): void {
  if (fleet.time.now > until) return
  const owners = fleet.owners()
  const owner = owners[fleet.randomBelow(owners.length)]
  if (owner !== undefined) replace(fleet, owner)
  fleet.time.after(MEAN_INTERVAL_MS / 2 + fleet.randomBelow(MEAN_INTERVAL_MS), () => addReplacements(fleet, until))
}

function replace (fleet: ShardFleet, owner: InstanceId): void {
  const domain = owner.split('-')[0] as string
  fleet.storeFaults.lostReplyShare = LOST_REPLY_SHARE
  fleet.time.after(LOST_REPLIES_MS, () => {
    fleet.storeFaults.lostReplyShare = 0
  })
  let added: InstanceId | undefined
  fleet.time.after(fleet.randomBelow(REPLACEMENT_SPREAD_MS), () => {
    added = fleet.addInstance(domain)
  })
  fleet.time.after(fleet.randomBelow(REPLACEMENT_SPREAD_MS), () => fleet.removeInstance(owner))
  fleet.time.after(OUTAGE_DELAY_MIN_MS + fleet.randomBelow(OUTAGE_DELAY_SPREAD_MS), () => cutOffWithoutStore(fleet, domain, added))
}

/** Cuts off an instance that neither owns the shard nor has been added just now. */
function cutOffWithoutStore (fleet: ShardFleet, domain: string, added: InstanceId | undefined): void {
  fleet.storeFaults.down = true
  fleet.time.after(OUTAGE_MS, () => {
    fleet.storeFaults.down = false
  })
  const names = fleet.present().map(process => process.name)
  const owners = fleet.owners()
  const candidates = names.filter(name => name.startsWith(domain) && name !== added && !owners.includes(name))
  const cutOff = candidates[fleet.randomBelow(candidates.length)]
  fleet.cutPairs(names.flatMap(name => name === cutOff ? [] : [`${name}>${cutOff}`, `${cutOff}>${name}`]), CUT_MS)
}
