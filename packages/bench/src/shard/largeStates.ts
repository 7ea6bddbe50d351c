/**
 * Versions of a large desired state on a fleet in which one instance of each domain has a narrow link, over which a whole version takes longer than a
 * version may take to come into force. Jobs of queues that a version has just added or removed show which instances have it.
 */
import type { InstanceId, QueueName, QueueTerms } from '@cranberryyard/protocol'
import { DEFAULT_QUEUE } from './shardFleet.js'
import type { FleetOptions, ShardFleet } from './shardFleet.js'

const UNUSED_QUEUES = 1000
/** What the narrow links leave to each connection. */
const BYTES_PER_MS = 60
const MEAN_INTERVAL_MS = 4000
const JOB_PERIOD_MS = 150
/** For how long jobs of the queues of a version are submitted; some of them after it has to be in force. */
const JOBS_FOR_MS = 3500
const TASK = { cpuMilli: 4000, workMs: 40, fails: false }

/** Queues that no job uses; they make the state large. */
function unusedQueues (): QueueTerms[] {
  return Array.from({ length: UNUSED_QUEUES }, (_, i) => ({ ...DEFAULT_QUEUE, name: `unused-${i}` as QueueName, prefix: `/unused-${i}/` }))
}

/** Returns the options of a fleet with a large state and narrow links to the given instances. */
export function largeStateOptions (narrowInstances: readonly string[]): Pick<FleetOptions, 'queues' | 'narrowLinks'> {
  return { queues: [DEFAULT_QUEUE, ...unusedQueues()], narrowLinks: { instances: narrowInstances, bytesPerMs: BYTES_PER_MS } }
}

/** Publishes versions at random moments until a time, and submits jobs of the queues that they add and of the one added two versions before. */
export function addLargeStateChanges (fleet: ShardFleet, until: number, earlier: readonly number[] = []): void {
  if (fleet.time.now > until) return
  const added = fleet.addQueue()
  const names = [...fleet.processes.keys()]
  for (let at = JOB_PERIOD_MS; at < JOBS_FOR_MS; at += JOB_PERIOD_MS) {
    fleet.time.after(at, () => {
      for (const queueVersion of [added, ...earlier.slice(-2, -1)]) fleet.submit(names[fleet.randomBelow(names.length)] as InstanceId, 1, TASK, { queueVersion })
    })
  }
  fleet.time.after(fleet.randomBelow(MEAN_INTERVAL_MS * 2), () => addLargeStateChanges(fleet, until, [...earlier, added]))
}
