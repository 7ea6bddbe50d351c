/**
 * Runs one routing policy over a planned workload in memory, compares the response times with the ideal, and counts messages,
 * store calls and late answers. The run uses virtual time, so the figures do not depend on the machine.
 */
import { seededRandom } from '@cranberryyard/core'
import { Oracle } from '../fuzz/oracle.js'
import type { CallRecord, MemoryFleet } from '../memory/memoryFleet.js'
import { testJob, testKeyHash } from '../memory/workload.js'
import { idealResponseTimes } from './ideal.js'
import { SAME_DOMAIN_DELAY_MS, WARM_UP_MS, makeShapedFleet } from './memoryShape.js'
import { quantiles } from './quantiles.js'
import { planJobs, slotsOf } from './shapes.js'
import type { PlannedJob, Shape } from './shapes.js'

/** Time after the last arrival in which the remaining jobs end. */
const DRAIN_MS = 30_000

/** Routing policies to compare. */
export type Policy = 'random' | 'twoChoices' | 'scheduler'

/** Deployment, policy and load of a run. */
export interface PolicyRunOptions {
  readonly shape: Shape
  readonly policy: Policy
  readonly load: number
  readonly durationMs: number
  readonly seed: number
  /** Routing settings that differ from the defaults. */
  readonly routing?: Record<string, unknown>
}

/** Figures of a run. */
export interface PolicyResult {
  readonly shape: string
  readonly policy: Policy
  readonly load: number
  readonly jobs: number
  readonly tasks: number
  readonly responseOverIdealP50: number
  readonly responseOverIdealP99: number
  readonly wastedMessagesPerTask: number
  readonly refusedStartsPerTask: number
  readonly controlMessagesPerSecond: number
  readonly controlMessagesPerTask: number
  readonly storeCallsPerSecond: number
  readonly limitOvershoot: number
  readonly answeredOnTime: number
  readonly answeredLate: number
  readonly notAnswered: number
}

/**
 * Runs a policy over a planned workload.
 * @param options - deployment, policy, load, length and seed of the run
 * @returns figures of the run; control messages and store calls are counted only while jobs arrive
 */
export function runPolicy (options: PolicyRunOptions): PolicyResult {
  const { shape, policy, load, durationMs, seed, routing = {} } = options
  const jobs = planJobs(shape, load, durationMs, seededRandom(seed))
  const fleet = makeShapedFleet(shape, seed, { policy, ...routing })
  const oracle = new Oracle(fleet)
  fleet.run(WARM_UP_MS)
  const before = { ...fleet.counts }
  const startedAt = fleet.time.now
  const calls = jobs.map((job, i) => scheduleJob(fleet, job, i))
  fleet.run(durationMs)
  const atEndOfLoad = { ...fleet.counts }
  fleet.run(DRAIN_MS)
  const tasks = jobs.reduce((sum, j) => sum + j.runTimes.length, 0)
  // Counts messages beyond one start and one answer for each task: job messages between instances, further starts, and other calls
  // to endpoints. A call counts twice, for request and reply.
  const wastedMessages = fleet.counts.peerJob - before.peerJob + 2 * (fleet.counts.starts - before.starts - tasks) + 2 * (fleet.counts.endpointControl - before.endpointControl)
  const seconds = durationMs / 1000
  return {
    shape: shape.name,
    policy,
    load,
    jobs: jobs.length,
    tasks,
    ...responseRatios(shape, jobs, calls, startedAt),
    wastedMessagesPerTask: round(wastedMessages / tasks),
    refusedStartsPerTask: round((fleet.counts.starts - before.starts - tasks) / tasks),
    controlMessagesPerSecond: round((atEndOfLoad.peerControl - before.peerControl) / seconds),
    controlMessagesPerTask: round((atEndOfLoad.peerControl - before.peerControl) / tasks),
    storeCallsPerSecond: round((atEndOfLoad.storeCalls - before.storeCalls) / seconds),
    limitOvershoot: Math.max(0, oracle.overshoot),
    ...countTimeliness(calls)
  }
}

interface ScheduledCall {
  call: CallRecord | undefined
}

function scheduleJob (fleet: MemoryFleet, job: PlannedJob, i: number): ScheduledCall {
  const scheduled: ScheduledCall = { call: undefined }
  const spec = testJob(job.customer, `measure-${i}`, job.kind, job.runTimes)
  fleet.time.after(job.at, () => {
    const node = fleet.nodes[job.instance]
    if (node !== undefined) scheduled.call = fleet.submit(node, testKeyHash(job.customer), job.customer, spec)
  })
  return scheduled
}

function responseRatios (shape: Shape, jobs: readonly PlannedJob[], calls: readonly ScheduledCall[], startedAt: number): { responseOverIdealP50: number, responseOverIdealP99: number } {
  const roundTripsMs = 2 * shape.callerDelayMs + 2 * SAME_DOMAIN_DELAY_MS
  const ideal = idealResponseTimes(jobs.map(j => ({ at: startedAt + j.at, runTimes: j.runTimes })), slotsOf(shape), roundTripsMs)
  const values = calls.flatMap(({ call }, i) => {
    const firstAnswer = call?.answers[0]
    if (call === undefined || firstAnswer === undefined || firstAnswer.answer.outcome !== 'complete') return []
    return [(firstAnswer.at - call.at + 2 * shape.callerDelayMs) / (ideal[i] ?? 1)]
  })
  const [p50 = 0, p99 = 0] = quantiles(values, [50, 99])
  return { responseOverIdealP50: round(p50), responseOverIdealP99: round(p99) }
}

function countTimeliness (calls: readonly ScheduledCall[]): { answeredOnTime: number, answeredLate: number, notAnswered: number } {
  let answeredOnTime = 0
  let answeredLate = 0
  for (const { call } of calls) {
    const answer = call?.answers[0]?.answer
    if (answer?.outcome !== 'complete') continue
    if (answer.late) answeredLate++
    else answeredOnTime++
  }
  return { answeredOnTime, answeredLate, notAnswered: calls.length - answeredOnTime - answeredLate }
}

/** Rounds to four decimals. */
export function round (n: number): number {
  return Math.round(n * 10_000) / 10_000
}
