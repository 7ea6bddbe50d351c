/**
 * Jobs whose `spec` begins with U+FEFF, the byte order mark with which many editors and programs begin a text. Nothing is disturbed.
 * The rule is broken when a minion is told to start a task with another spec than the one that the client sent.
 */
import { runCase, sleep } from '../lib/fleet.js'

const ROUNDS = 10
const WORK_MS = 60
const BYTE_ORDER_MARK = '\ufeff'
const TEXT = 'shed 7: fan 3; '.repeat(20)

await runCase(import.meta.url, async (fleet, trouble) => {
  const specs = new Map()
  const breaks = []
  const show = text => `${text.length} characters that begin with ${JSON.stringify(text.slice(0, 8)).replace(BYTE_ORDER_MARK, '\\ufeff')}`
  const on = {
    start (minion, { task, run, spec }) {
      fleet.note(`${minion.id} starts ${task} run ${run}, spec of ${show(spec)}`)
      const sent = specs.get(task.split('.')[0])
      if (spec !== sent) breaks.push(`UNASKED: ${minion.id} is told to start ${task} with a spec of ${show(spec)}; the client sent ${show(sent)}`)
    },
    end (minion, { task, run }, how) {
      fleet.note(`${minion.id} ended ${task} run ${run}: ${how}`)
    }
  }
  await fleet.start({ zones: { north: 2, south: 1 }, minionsPerZone: 4, work: () => WORK_MS, on })
  await sleep(1000)
  for (let number = 0; number < ROUNDS * fleet.machines.length; number++) {
    const id = number.toString(16).padStart(16, '0')
    const spec = `${trouble ? BYTE_ORDER_MARK : ''}${TEXT}`
    specs.set(id, spec)
    await fleet.call(fleet.machines[number % fleet.machines.length], 'POST', id, { spec, bestEffort: true, steps: [{ count: 2, cpu: 1000, memMb: 64, estimateMs: WORK_MS }] })
  }
  return breaks
})
