/**
 * A version that adds a route is written while the machine that owns the zone's minions is cut off from the store, and from nothing else.
 * Clients send jobs of the new route to both machines. The rule is broken when the owner has told a minion to start a job of the
 * new route and answers 404 to a request of that route that was sent more than `rollbackSlackMs` later.
 */
import { PREFIX, CannotRun, runCase, sleep } from '../lib/fleet.js'

const NEW_PREFIX = '/added/'
const CUT_MS = 5500
const CHANGE_AFTER_MS = 1000
const ROLLBACK_SLACK_MS = 250
const SEND_EVERY_MS = 100
const WORK_MS = 60
const JOB = { spec: 'fan 3', bestEffort: true, steps: [{ count: 1, cpu: 1000, memMb: 64, estimateMs: WORK_MS }] }

await runCase(import.meta.url, async (fleet, trouble) => {
  const added = new Set()
  let effectAt
  const on = {
    start (minion, { task, run, fencingToken }) {
      const isNew = added.has(task.split('.')[0])
      if (isNew) effectAt ??= performance.now()
      fleet.note(`${minion.id} starts ${task} run ${run} with fencingToken ${fencingToken}${isNew ? ', a job of the added route' : ''}`)
    },
    end (minion, { task, run }, how) {
      fleet.note(`${minion.id} ended ${task} run ${run}: ${how}`)
    }
  }
  await fleet.start({ zones: { north: 2 }, minionsPerZone: 4, work: () => WORK_MS, on })
  await sleep(3000)
  const owner = fleet.ownerOf('north')
  if (owner === undefined) throw new CannotRun('the zone has no owner')
  const other = fleet.machines.find(machine => machine !== owner)
  fleet.note(`${owner.name} owns the zone's minions`)

  const breaks = []
  let number = 0
  const send = async (machine, prefix) => {
    const id = (++number).toString(16).padStart(16, '0')
    if (prefix === NEW_PREFIX) added.add(id)
    const sentAt = performance.now()
    const { status } = await fleet.call(machine, 'POST', id, JOB, { prefix, deadlineMs: 3000 })
    const afterMs = Math.round(sentAt - (effectAt ?? Infinity))
    if (machine === owner && prefix === NEW_PREFIX && status === 404 && afterMs > ROLLBACK_SLACK_MS) breaks.push(`CONFIG: ${owner.name} answers 404 to a job of the added route, sent ${afterMs} ms after a minion started one on its order`)
  }
  let prefixes = [PREFIX]
  const timer = setInterval(() => {
    for (const machine of fleet.machines) for (const prefix of prefixes) void send(machine, prefix)
  }, SEND_EVERY_MS)
  await sleep(1000)
  if (trouble) {
    fleet.note(`${owner.name} is cut off from the store`)
    fleet.store.cutOff.add(owner.storeIp)
  }
  await sleep(CHANGE_AFTER_MS)
  fleet.publishConfig(8, [PREFIX, NEW_PREFIX])
  prefixes = [PREFIX, NEW_PREFIX]
  await sleep(CUT_MS - CHANGE_AFTER_MS)
  fleet.store.cutOff.delete(owner.storeIp)
  fleet.note(`${owner.name} reaches the store`)
  await sleep(2000)
  clearInterval(timer)
  await sleep(3000)
  fleet.note(`${other.name} was in touch all the while`)
  return breaks.reverse()
})
