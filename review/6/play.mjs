/**
 * Case 6: the owner's record of its shard differs from the one in the store, so two successors get the same fencing token.
 * See claim.txt.
 */
import { fileURLToPath } from 'node:url'
import { TROUBLE, runCase, sleep } from '../lib-2/deployment.mjs'

const OUTAGE_MS = 4500
const CUT_MS = 5500

await runCase(fileURLToPath(new URL('.', import.meta.url)), ['LIMIT', 'TWICE'], async (d) => {
  const ip = n => `127.${d.block}.0.${n}`
  const [old, first, second, added] = ['edge-z1-9', 'edge-z1-7', 'edge-z1-8', 'edge-z1-10']
  const seeds = [ip(9), ip(7), ip(21)]
  await d.addMachine(old, 'z1', ip(9), { seeds, proxied: true })
  await d.addMachine(first, 'z1', ip(7), { seeds, proxied: true })
  await d.addMachine(second, 'z1', ip(8), { seeds, proxied: true })
  await d.addMachine('edge-z2-1', 'z2', ip(21), { seeds, proxied: true })
  await d.addMachine('edge-z2-2', 'z2', ip(22), { seeds, proxied: true })
  // The store is in another zone for this machine: "One way, 1.4 ms between zones".
  d.store.extraMs.set(d.machines.get(first).storeIp, 2.8)
  for (let i = 1; i <= 5; i++) await d.addMinion(`i-z1-${i}`, 'z1', ip(100 + i))
  for (let i = 1; i <= 5; i++) await d.addMinion(`i-z2-${i}`, 'z2', ip(120 + i))
  d.publish(1)
  // All machines start within 0.3 s. The order decides which of the successors reads the records first in each period.
  d.startProcess(old)
  await sleep(130)
  d.startProcess(second)
  await sleep(150)
  for (const name of [first, 'edge-z2-1', 'edge-z2-2']) d.startProcess(name)
  await d.waitReady([old, first, second, 'edge-z2-1', 'edge-z2-2'])
  await sleep(6000)
  const record = () => d.store.read('cranberryyard/shards/z1')
  const show = why => d.note(`${why}: the store has owner ${record().owner.instance}, successors ${record().successors.join()}, revision ${d.store.items.get('cranberryyard/shards/z1').revision}`)
  show('after the start')
  if (record().owner.instance !== old) throw new Error(`${record().owner.instance} owns z1 instead of ${old}`)
  const alive = new Set([first, second])
  let next = 0
  const front = () => [...alive][next++ % alive.size]
  const stopTraffic = d.traffic(front, 14, { tasks: 2, cpu: 14_000, workMs: 400, deadlineMs: 1500 })
  await sleep(2000)

  if (TROUBLE) {
    // The owner's machine is replaced as planned: the new machine first, then SIGTERM to the old one.
    await d.addMachine(added, 'z1', ip(10), { seeds, proxied: true })
    const listAt = {}
    const listed = name => new Promise((resolve) => {
      d.store.onList = (storeIp, prefix) => {
        const machine = [...d.machines.values()].find(m => m.storeIp === storeIp)
        if (!prefix.startsWith('cranberryyard/')) return
        listAt[machine.name] = performance.now()
        if (machine.name === name) resolve()
      }
    })
    // Both successors read the records every 1.5 s, in step; wait until the one that is farther from the store is a little behind.
    const lagMs = () => listAt[first] - listAt[second]
    const until = performance.now() + 40_000
    do {
      if (performance.now() > until) throw new Error('the successors read the records at unsuitable times')
      await listed(first)
    } while (!(lagMs() > 10 && lagMs() < 950))
    d.note(`${first} reads the records ${Math.round(lagMs())} ms after ${second}`)
    // The successor writes the shard's record when it has taken over. The write takes effect, but its answer is lost.
    let lost = 0
    d.store.losesAnswer = (storeIp, { setKeys: [{ key }] }) => {
      if (lost > 0 || storeIp !== d.machines.get(first).storeIp || key !== 'cranberryyard/shards/z1') return false
      lost++
      show(`the answer to ${first} is lost`)
      return true
    }
    d.startProcess(added)
    await sleep(400)
    d.signal(old, 'SIGTERM')
    await sleep(4000)
    await d.waitReady([added])
    alive.add(added)
    await sleep(2000)
    show('before the outage')
    d.note(`the store is down, and ${second} is cut off from the other machines`)
    d.store.silent = true
    d.net.cutOff.add(second)
    await sleep(OUTAGE_MS)
    d.store.silent = false
    d.note('the store is back')
    await sleep(CUT_MS - OUTAGE_MS)
    d.net.cutOff.delete(second)
    d.note('the cut is over')
    show('after the outage')
  } else {
    await sleep(15_000)
  }
  await sleep(2000)
  await stopTraffic()
})
