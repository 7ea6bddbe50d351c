/**
 * Versions of the desired state that add and remove queues while some instances are cut off from the store: an owner that hears of a version from nobody but the
 * fronts that send it jobs, or a front that sends jobs by an older version than its owner has.
 */
import type { InstanceId } from '@cranberryyard/protocol'
import type { ShardFleet } from './shardFleet.js'

const MEAN_INTERVAL_MS = 3000
const CUT_MIN_MS = 2500
const CUT_SPREAD_MS = 3000
/** Time from the cut to the new version. */
const CHANGE_AFTER_MS = 500
const JOB_PERIOD_MS = 60
const TASK = { cpuMilli: 4000, workMs: 40, fails: false }

/** Injects cuts of owners with new versions at random moments until a time. */
export function addQueueChanges (fleet: ShardFleet, until: number): void {
  if (fleet.time.now > until) return
  const owners = fleet.owners()
  const owner = owners[fleet.randomBelow(owners.length)]
  const front = [...fleet.processes.keys()].find(name => name.slice(0, 1) === owner?.slice(0, 1) && name !== owner)
  const cutMs = CUT_MIN_MS + fleet.randomBelow(CUT_SPREAD_MS)
  if (owner !== undefined && front !== undefined && fleet.randomBelow(2) === 0) cutOffFront(fleet, front, owner, cutMs)
  else if (owner !== undefined) cutOffOwner(fleet, owner, cutMs)
  fleet.time.after(fleet.randomBelow(MEAN_INTERVAL_MS * 2), () => addQueueChanges(fleet, until))
}

/** Cuts a front off from the store, removes a queue meanwhile, and submits jobs of that queue to the front and of a later one to the owner. */
export function cutOffFront (fleet: ShardFleet, front: InstanceId, owner: InstanceId, cutMs: number): void {
  const removed = fleet.addQueue()
  fleet.time.after(CHANGE_AFTER_MS, () => {
    fleet.storeFaults.unservedInstances.add(front)
    fleet.time.after(cutMs, () => fleet.storeFaults.unservedInstances.delete(front))
    fleet.addQueue()
    const last = fleet.addQueue()
    for (let at = JOB_PERIOD_MS; at < cutMs; at += JOB_PERIOD_MS) {
      fleet.time.after(at, () => {
        fleet.submit(owner, 1, TASK, { queueVersion: last })
        fleet.submit(front, 1, TASK, { queueVersion: removed })
      })
    }
  })
}

/** Cuts an owner off, adds a queue meanwhile and submits jobs of that queue to the instances of the owner's domain. */
export function cutOffOwner (fleet: ShardFleet, owner: InstanceId, cutMs: number): void {
  const domain = owner.split('-')[0] as string
  const names = [...fleet.processes.keys()]
  fleet.storeFaults.unservedInstances.add(owner)
  fleet.time.after(cutMs, () => fleet.storeFaults.unservedInstances.delete(owner))
  fleet.cutPairs(names.filter(name => !name.startsWith(domain)).flatMap(name => [`${name}>${owner}`, `${owner}>${name}`]), cutMs)
  fleet.time.after(CHANGE_AFTER_MS, () => {
    const queueVersion = fleet.addQueue()
    for (let at = 0; at < cutMs - CHANGE_AFTER_MS; at += JOB_PERIOD_MS) {
      fleet.time.after(at, () => {
        for (const name of names) if (name.startsWith(domain)) fleet.submit(name, 1, TASK, { queueVersion })
      })
    }
  })
}
