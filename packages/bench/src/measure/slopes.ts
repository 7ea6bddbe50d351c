/**
 * Measures what control traffic costs a daemon, on real processes and fleets of several sizes: processor time, resident memory,
 * bytes between instances, store calls, and the time until a change is in force. No jobs are submitted, so all cost is that of
 * control. A regression then gives the cost of each further instance, endpoint and customer.
 */
import { randomUUID } from 'node:crypto'
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Contract } from '@cranberryyard/protocol'
import { linearRegression, linearRegressionLine } from 'simple-statistics'
import { request } from 'undici'
import { testContract } from '../memory/workload.js'
import { LocalFleet, sleep } from '../processes/localFleet.js'
import { usageOf } from '../processes/procStat.js'
import { quantiles } from './quantiles.js'
import { round } from './policyRun.js'

const TEAM_KEY = 'slopes-team'
const IDLE_MS = 8000
const CHANGES_PER_SIZE = 12
const INSTANCES_PER_DOMAIN = 3

/** Size of a fleet to measure. */
export interface FleetSize {
  readonly domains: number
  readonly endpoints: number
  readonly customers: number
}

/** Figures for one fleet size, per daemon on average, except for the times until a change is in force. */
export interface SizeFigures extends FleetSize {
  readonly instances: number
  readonly cpuPercent: number
  readonly residentMb: number
  readonly peerBytesPerSecond: number
  readonly storeCallsPerSecondPerInstance: number
  readonly changeInForceP50Ms: number
  readonly changeInForceMaxMs: number
  readonly peerBytesPerChange: number
  readonly cpuMsPerChange: number
}

/** Regression line of one figure over the number of instances, endpoints or customers. */
export interface Slope {
  readonly figure: string
  readonly per: 'instances' | 'endpoints' | 'customers'
  readonly base: number
  readonly slope: number
  readonly points: readonly { readonly at: number, readonly measured: number, readonly residual: number }[]
}

const INSTANCE_SIZES: readonly FleetSize[] = [1, 3, 8].map(domains => ({ domains, endpoints: 30, customers: 4 }))
const ENDPOINT_SIZES: readonly FleetSize[] = [1000, 2100].map(endpoints => ({ domains: 1, endpoints, customers: 4 }))
const CUSTOMER_SIZES: readonly FleetSize[] = [28, 56].map(customers => ({ domains: 1, endpoints: 30, customers }))

/**
 * Measures fleets of all sizes.
 * @param progress - receives the figures of each size as JSON
 * @returns figures for each size, and the regression lines
 */
export async function measureSlopes (progress: (text: string) => void): Promise<{ sizes: SizeFigures[], slopes: Slope[] }> {
  const sizes: SizeFigures[] = []
  for (const size of [...INSTANCE_SIZES, ...ENDPOINT_SIZES, ...CUSTOMER_SIZES]) {
    const figures = await measureSize(size)
    progress(JSON.stringify(figures))
    sizes.push(figures)
  }
  const smallest = sizes[0]
  const byEndpoints = sizes.filter(s => s === smallest || ENDPOINT_SIZES.some(e => e.endpoints === s.endpoints))
  const byCustomers = sizes.filter(s => s === smallest || CUSTOMER_SIZES.some(c => c.customers === s.customers))
  const byInstances = sizes.slice(0, INSTANCE_SIZES.length)
  return { sizes, slopes: [...slopesOf(byInstances, 'instances'), ...slopesOf(byEndpoints, 'endpoints'), ...slopesOf(byCustomers, 'customers')] }
}

const FIGURES = ['cpuPercent', 'residentMb', 'peerBytesPerSecond', 'storeCallsPerSecondPerInstance', 'changeInForceP50Ms', 'peerBytesPerChange', 'cpuMsPerChange'] as const

function slopesOf (sizes: readonly SizeFigures[], per: Slope['per']): Slope[] {
  return FIGURES.map((figure) => {
    const points = sizes.map(s => [s[per], s[figure]])
    const { m, b } = linearRegression(points)
    const line = linearRegressionLine({ m, b })
    return {
      figure,
      per,
      base: round(b),
      slope: Math.round(m * 1e6) / 1e6,
      points: points.map(([at = 0, measured = 0]) => ({ at, measured, residual: round(measured - line(at)) }))
    }
  })
}

async function measureSize (size: FleetSize): Promise<SizeFigures> {
  const domains = Array.from({ length: size.domains }, (_, i) => `d${i + 1}`)
  const contracts = Array.from({ length: size.customers }, (_, i) => testContract(`customer-${i + 1}`, 400))
  const fleet = new LocalFleet({
    folder: mkdtempSync(join(tmpdir(), 'cranberryyard-')),
    domains,
    instancesPerDomain: INSTANCES_PER_DOMAIN,
    endpointsPerDomain: 0,
    slots: 8,
    contracts,
    teamKey: TEAM_KEY,
    proxied: true,
    listedEndpoints: size.endpoints,
    settings: { platform: { listPeriodMs: 5000 } }
  })
  await fleet.start()
  try {
    await fleet.waitReady()
    await sleep(2000)
    return { ...size, instances: fleet.instances.length, ...await measureIdle(fleet), ...await measureChanges(fleet, contracts) }
  } finally {
    await fleet.stop()
  }
}

interface UsageTotals {
  readonly cpuSeconds: number
  readonly residentMb: number
  readonly peerBytes: number
  readonly storeCalls: number
  readonly at: number
}

function readTotals (fleet: LocalFleet): UsageTotals {
  const usages = fleet.instances.map(i => usageOf(i.process?.pid ?? 0))
  const { calls } = fleet.platform
  return {
    cpuSeconds: usages.reduce((sum, u) => sum + u.cpuSeconds, 0),
    residentMb: usages.reduce((sum, u) => sum + u.residentMb, 0),
    peerBytes: fleet.instances.reduce((sum, i) => sum + fleet.peerBytes(i), 0),
    storeCalls: calls.reads + calls.writes + calls.watches + calls.lists,
    at: performance.now()
  }
}

async function measureIdle (fleet: LocalFleet): Promise<Pick<SizeFigures, 'cpuPercent' | 'residentMb' | 'peerBytesPerSecond' | 'storeCallsPerSecondPerInstance'>> {
  const before = readTotals(fleet)
  await sleep(IDLE_MS)
  const after = readTotals(fleet)
  const seconds = (after.at - before.at) / 1000
  const n = fleet.instances.length
  return {
    cpuPercent: round(100 * (after.cpuSeconds - before.cpuSeconds) / seconds / n),
    residentMb: round(after.residentMb / n),
    peerBytesPerSecond: Math.round((after.peerBytes - before.peerBytes) / seconds / n),
    storeCallsPerSecondPerInstance: round((after.storeCalls - before.storeCalls) / seconds / n)
  }
}

async function measureChanges (fleet: LocalFleet, contracts: readonly Contract[]): Promise<Pick<SizeFigures, 'changeInForceP50Ms' | 'changeInForceMaxMs' | 'peerBytesPerChange' | 'cpuMsPerChange'>> {
  const before = readTotals(fleet)
  const times: number[] = []
  for (let i = 0; i < CHANGES_PER_SIZE; i++) times.push(await timeOneChange(fleet, contracts[i % contracts.length], i))
  const after = readTotals(fleet)
  const n = fleet.instances.length
  const [p50 = 0, max = 0] = quantiles(times, [50, 100])
  return {
    changeInForceP50Ms: Math.round(p50),
    changeInForceMaxMs: Math.round(max),
    peerBytesPerChange: Math.round((after.peerBytes - before.peerBytes) / n / CHANGES_PER_SIZE),
    cpuMsPerChange: round((after.cpuSeconds - before.cpuSeconds) * 1000 / n / CHANGES_PER_SIZE)
  }
}

/**
 * Changes one customer's limit through one instance.
 * @returns time in milliseconds until the change is in force on all instances
 */
async function timeOneChange (fleet: LocalFleet, contract: Contract | undefined, i: number): Promise<number> {
  const url = fleet.instances[i % fleet.instances.length]?.operatorUrl ?? ''
  if (contract === undefined) return 0
  const headers = { authorization: `Bearer ${TEAM_KEY}`, 'content-type': 'application/json' }
  const current = await request(`${url}/v1/contracts`, { headers })
  const { contracts } = await current.body.json() as { contracts: { revision: number, contract: Contract }[] }
  const record = contracts.find(r => r.contract.customer === contract.customer)
  const changed = { ...contract, limits: { ...contract.limits, running: 401 + i } }
  const body = { changeId: randomUUID(), reason: 'measurement', change: { type: 'contract', contract: changed, expectedRevision: record?.revision ?? 0 } }
  const startedAt = performance.now()
  const res = await request(`${url}/v1/changes`, { method: 'POST', headers, body: JSON.stringify(body) })
  const reply = await res.body.json() as { inForce?: boolean }
  if (reply.inForce !== true) throw new Error(`the change to the limit of ${contract.customer} is not in force: ${JSON.stringify(reply)}`)
  return performance.now() - startedAt
}
