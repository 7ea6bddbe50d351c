/**
 * `npm run local`: starts nine entry instances, thirty endpoint stand-ins and a platform stand-in in three failure domains
 * on loopback. Ports are assigned upward from 7400 or `--base-port`. The fleet runs until the process is interrupted.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import process from 'node:process'
import { parseArgs } from 'node:util'
import { hashKey } from '@cranberryyard/dispatcher'
import { contractSchema } from '@cranberryyard/protocol'
import type { Contract } from '@cranberryyard/protocol'
import { stringify } from 'smol-toml'
import { LocalFleet } from './processes/localFleet.js'

const { values } = parseArgs({ options: { 'base-port': { type: 'string', default: '7400' } } })
const RUN_FOLDER = 'run'
const DOMAINS = ['pampanga', 'tarlac', 'bulacan']
/** Keys for the local run only. They are printed at the start and must not be used anywhere else. */
const KEYS = { team: 'cy_local-team', bantay: 'cy_local-bantay', bantayStaff: 'cy_local-bantay-staff', kyushu: 'cy_local-kyushu', kyushuStaff: 'cy_local-kyushu-staff' }

function makeContract (customer: string, callerKey: string, staffKey: string): Contract {
  return contractSchema.parse({
    customer,
    limits: { running: 120 },
    bounds: { running: 200 },
    kinds: [
      { name: 'compute', idempotent: true, answerWithinMs: 30_000, whenLate: 'runLate' },
      { name: 'alarm', idempotent: false, answerWithinMs: 5000 }
    ],
    callers: [{ name: 'caller', keyHash: hashKey(callerKey) }],
    staff: [{ name: 'staff', keyHash: hashKey(staffKey) }]
  })
}

const contracts = [makeContract('bantay', KEYS.bantay, KEYS.bantayStaff), makeContract('kyushu', KEYS.kyushu, KEYS.kyushuStaff)]
const fleet = new LocalFleet({
  folder: RUN_FOLDER,
  domains: DOMAINS,
  instancesPerDomain: 3,
  endpointsPerDomain: 10,
  slots: 8,
  contracts,
  teamKey: KEYS.team,
  proxied: false,
  basePort: Number(values['base-port']),
  keepsLog: false
})

mkdirSync(`${RUN_FOLDER}/contracts`, { recursive: true })
for (const c of contracts) writeFileSync(`${RUN_FOLDER}/contracts/${c.customer}.toml`, stringify(c))
await fleet.start()
await fleet.waitReady()

console.log('nine instances, thirty endpoints, three failure domains; interrupt to stop')
for (const i of fleet.instances) console.log(`${i.id.padEnd(18)} callers ${i.callerUrl}   operators ${i.operatorUrl}`)
for (const [name, key] of Object.entries(KEYS)) console.log(`key of ${name.padEnd(12)} ${key}`)
console.log(`contracts are in ${RUN_FOLDER}/contracts, settings and logs in ${RUN_FOLDER}`)
console.log('ready')

async function stopFleet (): Promise<void> {
  await fleet.stop()
  process.exit(0)
}
process.on('SIGINT', () => void stopFleet())
process.on('SIGTERM', () => void stopFleet())
