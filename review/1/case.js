/**
 * A rolling restart of machines while one minion is cut off from the store, and from nothing else. Its entry goes after three ping
 * intervals of silence and comes back within two seconds of the end of the cut. All the while the minion is up and its owner renews its
 * runs. The rule is broken when a task starts at a minion while another one still runs it under a lease that has not ended.
 */
import { CannotRun, runCase, sleep } from '../lib/fleet.js'

const PING_MS = 1500
/** The minion's last ping came this long before the cut. */
const LAST_PING_BEFORE_MS = 1400
const ENTRY_GONE_MS = 3 * PING_MS - LAST_PING_BEFORE_MS
const CUT_MS = 5000
/** The first ping that arrives after the cut. */
const FIRST_PING_AFTER_MS = 1950
const FIRST_TERM_MS = 1600
const GAP_MS = 1650
const LAST_TERM_AT_LATEST_MS = 6800
const RESTART_MS = 300
const WORK_MS = 1500
const JOB_EVERY_MS = 200
const JOB = { spec: 'fan 3', bestEffort: true, steps: [{ count: 2, cpu: 6000, memMb: 64, estimateMs: WORK_MS }] }

await runCase(import.meta.url, async (fleet, trouble) => {
  const breaks = []
  const startedAt = new Map()
  const on = {
    start (minion, { task, run, fencingToken }) {
      fleet.note(`${minion.id} starts ${task} run ${run} with fencingToken ${fencingToken}`)
      const earlier = startedAt.get(task) ?? []
      for (const other of earlier) {
        const present = other.runs.get(task)
        const leaseMs = other.leaseUntil - other.clock()
        if (other !== minion && present !== undefined && leaseMs > 0) breaks.push(`TWICE: ${minion.id} starts ${task} with fencingToken ${fencingToken} while ${other.id} runs it, started with fencingToken ${present.fencingToken}; its lease lasts ${leaseMs} ms more`)
      }
      startedAt.set(task, [...earlier, minion])
    },
    end (minion, { task, run }, how) {
      fleet.note(`${minion.id} ended ${task} run ${run}: ${how}`)
    }
  }
  await fleet.start({ zones: { north: 5 }, minionsPerZone: 4, work: () => WORK_MS, on })
  fleet.restartEnded(RESTART_MS)
  await sleep(5000)
  const owner = fleet.ownerOf('north')
  const [successor, second, third, front] = fleet.machines.filter(machine => machine !== owner)
  if (owner === undefined) throw new CannotRun('the zone has no owner')
  fleet.note(`${owner.name} owns the zone's minions`)

  let number = 0
  const timer = setInterval(() => {
    void fleet.call(front, 'POST', (++number).toString(16).padStart(16, '0'), JOB, { deadlineMs: 6000 })
  }, JOB_EVERY_MS)
  await sleep(2000)

  const [minion] = fleet.minions
  const cutAt = performance.now()
  const at = ms => sleep(Math.max(0, cutAt + ms - performance.now()))
  let listsReadByNewProcess = 0
  let entryGone = false
  fleet.store.onRange = (address, prefix) => {
    if (address === successor.storeIp && prefix === 'servers/' && entryGone) listsReadByNewProcess++
  }
  if (trouble) fleet.note(`${minion.id} is cut off from the store, ${LAST_PING_BEFORE_MS} ms after its last ping`)
  await at(FIRST_TERM_MS)
  fleet.signal(successor, 'SIGTERM')
  await at(ENTRY_GONE_MS)
  entryGone = true
  if (trouble) {
    fleet.store.remove(`servers/${minion.id}`)
    fleet.note(`the entry of ${minion.id} is removed after ${3 * PING_MS} ms of silence`)
  }
  await at(FIRST_TERM_MS + GAP_MS)
  fleet.signal(second, 'SIGTERM')
  await at(FIRST_TERM_MS + 2 * GAP_MS)
  fleet.signal(third, 'SIGTERM')
  await at(CUT_MS)
  if (trouble) fleet.note(`${minion.id} reaches the store again`)
  // The last machine in turn is stopped once the first one has read the list twice.
  await at(FIRST_TERM_MS + 2.7 * GAP_MS)
  while (listsReadByNewProcess < 2 && performance.now() < cutAt + LAST_TERM_AT_LATEST_MS) await sleep(10)
  await sleep(30)
  fleet.signal(owner, 'SIGTERM')
  await at(CUT_MS + FIRST_PING_AFTER_MS)
  if (trouble) {
    minion.publish()
    fleet.note(`${minion.id} has pinged, its entry is back`)
  }
  await sleep(2500)
  clearInterval(timer)
  await sleep(4000)
  return breaks
})
