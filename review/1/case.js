/**
 * One wide job of small tasks for each machine. A client whose job gets no answer or 502 sends it again after `resendMs`, to the next
 * machine; a process that ends is started again, as on the platform. The rule is broken when two machines or more have
 * processes that ended by themselves three times.
 */
import { runCase, sleep } from '../lib/fleet.js'

const PLAY_MS = 95_000
const RESEND_MS = 1300
const RESTART_MS = 500
const MINIONS_PER_ZONE = 5
const WORK_MS = 200
/** Together 150 cores, of the 160 cores of a zone. */
const WIDE = { count: 1500, cpu: 100, memMb: 8, estimateMs: WORK_MS }
const ORDINARY = { ...WIDE, count: 8 }
const SPEC_BYTES = 2400
const ENDS_MIN = 3
const MACHINES_MIN = 2

await runCase(import.meta.url, async (fleet, trouble) => {
  let starts = 0
  const on = {
    start (minion, { task, run }) {
      starts++
      fleet.note(`${minion.id} starts ${task} run ${run}`)
    },
    end (minion, { task, run }, how) {
      fleet.note(`${minion.id} ended ${task} run ${run}: ${how}`)
    }
  }
  await fleet.start({ zones: { north: 1, south: 1, east: 1 }, minionsPerZone: MINIONS_PER_ZONE, workMs: WORK_MS, on })
  await sleep(1000)
  fleet.restartEnded(RESTART_MS)
  const ownEnds = ({ exits }) => exits.filter(({ expected }) => !expected).length
  const isBroken = () => fleet.machines.filter(machine => ownEnds(machine) >= ENDS_MIN).length >= MACHINES_MIN
  const until = performance.now() + PLAY_MS
  const client = async (number) => {
    const id = number.toString(16).padStart(16, '0')
    for (let attempt = 0; performance.now() < until && !isBroken(); attempt++) {
      const machine = fleet.machines[(number + attempt) % fleet.machines.length]
      const { status } = await fleet.call(machine, 'POST', id, { spec: 's'.repeat(SPEC_BYTES), bestEffort: true, steps: [trouble ? WIDE : ORDINARY] })
      if (![0, 502, 504].includes(status)) return
      await sleep(RESEND_MS)
    }
  }
  await Promise.all(fleet.machines.map((_, number) => client(number)))
  fleet.note(`${starts} starts`)
  return isBroken() ? fleet.machines.map(machine => `FAULT: ${machine.name} ended by itself ${ownEnds(machine)} times`) : []
})
