/**
 * `npm run local`: nine entry instances, thirty endpoint stand-ins and a platform stand-in in three failure domains
 * on loopback, from port 7400 or `--base-port` on. Stays up until interrupted.
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
const FOLDER = 'run'
const DOMAINS = ['pampanga', 'tarlac', 'bulacan']
/** Keys of the local run only; they are printed and stand in no other place. */
const KEYS = { team: 'cy_local-team', bantay: 'cy_local-bantay', bantayStaff: 'cy_local-bantay-staff', kyushu: 'cy_local-kyushu', kyushuStaff: 'cy_local-kyushu-staff' }

function contract (customer: string, callerKey: string, staffKey: string): Contract {
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

const contracts = [contract('bantay', KEYS.bantay, KEYS.bantayStaff), contract('kyushu', KEYS.kyushu, KEYS.kyushuStaff)]
const fleet = new LocalFleet({
  folder: FOLDER,
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

mkdirSync(`${FOLDER}/contracts`, { recursive: true })
for (const c of contracts) writeFileSync(`${FOLDER}/contracts/${c.customer}.toml`, stringify(c))
await fleet.start()
await fleet.waitReady()

console.log('nine instances, thirty endpoints, three failure domains; interrupt to stop')
for (const i of fleet.instances) console.log(`${i.id.padEnd(18)} callers ${i.callerUrl}   operators ${i.operatorUrl}`)
for (const [name, key] of Object.entries(KEYS)) console.log(`key of ${name.padEnd(12)} ${key}`)
console.log(`contracts are in ${FOLDER}/contracts, settings and logs in ${FOLDER}`)
console.log('ready')

async function end (): Promise<void> {
  await fleet.stop()
  process.exit(0)
}
process.on('SIGINT', () => void end())
process.on('SIGTERM', () => void end())
