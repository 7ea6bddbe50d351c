/**
 * Runs one minion as a process of its own, so that its answers do not wait for other stand-ins. The parent gives the
 * options as the first message and gets `listening`, `start` and `end` messages. The store's entry is written by the parent.
 */
import process from 'node:process'
import { Minion } from './minion.js'

process.once('message', async ({ id, ip, options }) => {
  const on = {
    start: (_minion, { task, run, spec, fencingToken }) => process.send({ type: 'start', run: { task, run, spec, fencingToken } }),
    end: (_minion, { task, run }, how) => process.send({ type: 'end', run: { task, run }, how })
  }
  const store = { put: (key, entry) => process.send({ type: 'entry', key, entry }) }
  const minion = new Minion(id, { ...options, work: () => options.workMs, on })
  await minion.listen(ip, store)
  process.send({ type: 'listening' })
})
process.once('disconnect', () => process.exit(0))
