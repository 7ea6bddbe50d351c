/**
 * Case 7: a minion that restarts has forgotten the token of the present owner and takes starts of an earlier one. See claim.txt.
 */
import { fileURLToPath } from 'node:url'
import { TROUBLE, newId, runCase, sleep } from '../lib-2/deployment.mjs'

const CUT_MS = 5500
const DOWN_MS = 100

await runCase(fileURLToPath(new URL('.', import.meta.url)), ['LIMIT'], async (d) => {
  const ip = n => `127.${d.block}.0.${n}`
  const [earlier, next, other] = ['edge-z1-1', 'edge-z1-2', 'edge-z2-1']
  const seeds = [ip(1), ip(2), ip(3)]
  await d.addMachine(earlier, 'z1', ip(1), { seeds, proxied: true })
  await d.addMachine(next, 'z1', ip(2), { seeds, proxied: true })
  await d.addMachine(other, 'z2', ip(3), { seeds, proxied: true })
  for (let i = 1; i <= 4; i++) await d.addMinion(`i-z1-${i}`, 'z1', ip(100 + i))
  for (let i = 1; i <= 4; i++) await d.addMinion(`i-z2-${i}`, 'z2', ip(120 + i))
  const [minion, ...others] = d.minions.filter(({ id }) => id.startsWith('i-z1'))
  minion.labels = ['b', 'r1-1']
  const register = () => d.store.put(`servers/${minion.id}`, minion.report('svc', 'z1'))
  register()
  d.publish(1)
  d.startProcess(earlier)
  await sleep(250)
  d.startProcess(next)
  d.startProcess(other)
  await d.waitReady([earlier, next, other])
  await sleep(6000)
  const owner = () => d.store.read('cranberryyard/shards/z1').owner.instance
  if (owner() !== earlier) throw new Error(`${owner()} owns z1 instead of ${earlier}`)

  /** A job of two tasks that need the minion's label; they fill it. */
  const submit = (name) => {
    const body = { spec: JSON.stringify({ cpu: 14_000, workMs: 900 }), steps: [{ count: 2, cpu: 14_000, memMb: 64, estimateMs: 900, requirements: 'b' }], bestEffort: true }
    return d.call(name, 'POST', `/q1/${newId()}`, { body, deadlineMs: 1500 })
  }
  if (TROUBLE) {
    // The zone is idle. The owner has just held its minions and read the records, so that it learns of a successor late.
    let readAt = -Infinity
    d.store.onList = (storeIp, prefix) => {
      if (storeIp === d.machines.get(earlier).storeIp && prefix.startsWith('cranberryyard/')) readAt = performance.now()
    }
    const until = performance.now() + 40_000
    const age = at => performance.now() - at
    while (age(readAt) > 300 || [minion, ...others].some(({ heldAt }) => age(heldAt) > 300)) {
      if (performance.now() > until) throw new Error('the owner has not held its minions and read the records at one time')
      await sleep(10)
    }
    const { fence } = minion
    d.net.cutOff.add(earlier)
    d.note(`${earlier} is cut off from the other machines`)
    const cutAt = performance.now()
    while (minion.fence === fence) {
      if (age(cutAt) > 2000) throw new Error('nobody took over')
      await sleep(5)
    }
    d.note(`${owner()} has taken over; ${minion.id} has seen token ${minion.fence} after ${fence}`)
    await minion.crash(DOWN_MS)
    register()
    d.note(`${minion.id} has restarted`)
    const answers = [submit(earlier)]
    await sleep(50)
    answers.push(submit(next))
    await Promise.all(answers)
    await sleep(Math.max(0, CUT_MS - age(cutAt)))
    d.net.cutOff.delete(earlier)
    d.note('the cut is over')
  } else {
    await Promise.all([submit(earlier), submit(next)])
  }
  await sleep(2000)
})
