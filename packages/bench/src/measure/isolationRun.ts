/**
 * Measures how much the burst of one customer delays the jobs of another. A steady customer submits small jobs, once alone
 * and once beside a burst, for several values of the setting `burstToleranceMs`.
 */
import type { CallRecord } from '../memory/memoryFleet.js'
import { testJob, testKeyHash } from '../memory/workload.js'
import { WARM_UP_MS, makeShapedFleet } from './memoryShape.js'
import { quantiles } from './quantiles.js'
import { BANTAY } from './shapes.js'

const STEADY = 'lubao'
const BURSTING = 'malolos'
const STEADY_JOBS = 200
const STEADY_INTERVAL_MS = 50
const STEADY_TASKS = 4
const RUN_MS = 200
const BURST_JOBS = 20
const BURST_TASKS = 340
const BURST_AT_MS = 2000
/** Time after the last submission in which the burst's remaining tasks end. */
const DRAIN_MS = 60_000

/** Response times of the steady customer, in milliseconds. */
export interface IsolationResult {
  readonly burstToleranceMs: number
  readonly aloneP50: number
  readonly aloneP99: number
  readonly besideBurstP50: number
  readonly besideBurstP99: number
}

/** Measures the steady customer alone and beside the burst, for each tolerance. */
export function runIsolation (seed: number): IsolationResult[] {
  return [0, 2000, 8000].map((burstToleranceMs) => {
    const [aloneP50 = 0, aloneP99 = 0] = measureSteadyCustomer(seed, burstToleranceMs, false)
    const [besideBurstP50 = 0, besideBurstP99 = 0] = measureSteadyCustomer(seed, burstToleranceMs, true)
    return { burstToleranceMs, aloneP50, aloneP99, besideBurstP50, besideBurstP99 }
  })
}

function measureSteadyCustomer (seed: number, burstToleranceMs: number, withBurst: boolean): number[] {
  const fleet = makeShapedFleet(BANTAY, seed, { burstToleranceMs })
  fleet.run(WARM_UP_MS)
  const calls: CallRecord[] = []
  for (let i = 0; i < STEADY_JOBS; i++) {
    const job = testJob(STEADY, `steady-${i}`, 'compute', new Array<number>(STEADY_TASKS).fill(RUN_MS))
    const node = fleet.nodes[i % fleet.nodes.length]
    fleet.time.after(i * STEADY_INTERVAL_MS, () => node !== undefined && calls.push(fleet.submit(node, testKeyHash(STEADY), STEADY, job)))
  }
  for (let i = 0; withBurst && i < BURST_JOBS; i++) {
    const job = testJob(BURSTING, `burst-${i}`, 'compute', new Array<number>(BURST_TASKS).fill(RUN_MS))
    const node = fleet.nodes[i % fleet.nodes.length]
    fleet.time.after(BURST_AT_MS, () => node !== undefined && fleet.submit(node, testKeyHash(BURSTING), BURSTING, job))
  }
  fleet.run(STEADY_JOBS * STEADY_INTERVAL_MS + DRAIN_MS)
  return quantiles(calls.flatMap(c => c.answers.map(a => a.at - c.at)), [50, 99]).map(Math.round)
}
