/**
 * Measures how many task starts one entry instance makes for each second of processor time. One real daemon runs as its own
 * process; the endpoint stand-ins and the callers run in this process, and the tasks are short.
 */
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { hashKey } from '@cranberryyard/dispatcher'
import { contractSchema } from '@cranberryyard/protocol'
import { Caller } from '../processes/caller.js'
import { LocalFleet, sleep } from '../processes/localFleet.js'
import { usageOf } from '../processes/procStat.js'
import { round } from './policyRun.js'

const ENDPOINTS = 8
const SLOTS = 32
const RUN_MS = 10
const JOB_TASKS = 340
const WARM_UP_MS = 3000
const CALLERS = 4

/** Figures of the run. */
export interface ThroughputResult {
  readonly startsPerSecondPerCore: number
  readonly startsPerSecond: number
  readonly cores: number
  readonly residentMb: number
}

/**
 * Measures the throughput of one entry instance after a warm-up.
 * @param durationMs - length of the measured part
 * @returns starts for each second, and for each second of processor time
 */
export async function runThroughput (durationMs: number): Promise<ThroughputResult> {
  const key = 'measure-key'
  const contract = contractSchema.parse({
    customer: 'load',
    limits: { running: 100_000 },
    bounds: { running: 100_000 },
    kinds: [{ name: 'compute', idempotent: true, answerWithinMs: 60_000, whenLate: 'runLate', runMs: RUN_MS }],
    callers: [{ name: 'load', keyHash: hashKey(key) }]
  })
  const fleet = new LocalFleet({
    folder: mkdtempSync(join(tmpdir(), 'cranberryyard-')),
    domains: ['one'],
    instancesPerDomain: 1,
    endpointsPerDomain: ENDPOINTS,
    slots: SLOTS,
    contracts: [contract],
    teamKey: 'team',
    proxied: false,
    keepsLog: false,
    settings: { routing: { connectionsPerEndpoint: SLOTS } }
  })
  await fleet.start()
  try {
    await fleet.waitReady()
    return await measureStarts(fleet, key, durationMs)
  } finally {
    await fleet.stop()
  }
}

async function measureStarts (fleet: LocalFleet, key: string, durationMs: number): Promise<ThroughputResult> {
  const caller = new Caller(key, 'load')
  const instance = fleet.instances[0]
  const pid = instance?.process?.pid ?? 0
  let isSubmitting = true
  let jobs = 0
  const submitLoop = async (id: number): Promise<void> => {
    for (let i = 0; isSubmitting; i++) {
      await caller.submit(instance?.callerUrl ?? '', { requestId: `t-${id}-${i}`, kind: 'compute', runTimes: new Array<number>(JOB_TASKS).fill(RUN_MS) })
      jobs++
    }
  }
  const submitLoops = Array.from({ length: CALLERS }, (_, id) => submitLoop(id))
  await sleep(WARM_UP_MS)
  const before = { ...usageOf(pid), jobs, at: performance.now() }
  await sleep(durationMs)
  const after = { ...usageOf(pid), jobs, at: performance.now() }
  isSubmitting = false
  await Promise.all(submitLoops)
  await caller.close()
  const starts = (after.jobs - before.jobs) * JOB_TASKS
  const cpuSeconds = after.cpuSeconds - before.cpuSeconds
  const seconds = (after.at - before.at) / 1000
  return {
    startsPerSecondPerCore: Math.round(starts / cpuSeconds),
    startsPerSecond: Math.round(starts / seconds),
    cores: round(cpuSeconds / seconds),
    residentMb: Math.round(after.residentMb)
  }
}
