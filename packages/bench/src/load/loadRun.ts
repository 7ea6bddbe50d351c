/**
 * Plays a shape on the in-memory fleet and records what each caller gets. The fleet runs the product's decisions on virtual
 * time, without processor time, so the result depends only on the shape, the seed and the policy.
 */
import type { InstanceId, JobId, QueueName, QueueTerms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { Violation } from '@cranberryyard/fakes'
import { SERVICE, ShardFleet } from '../shard/shardFleet.js'
import type { CallerJob } from '../shard/shardFleet.js'
import type { PlannedJob } from './arrivals.js'
import { planJobs } from './arrivals.js'
import { injectFaults } from './faults.js'
import type { JobKind, LoadShape } from './shape.js'

/** Time before the first job, in which the instances find each other. */
const WARM_UP_MS = 3000
/** Time after the last job, in which its answer arrives. */
const FINISH_MS = 4000
/** An answer is of use up to this multiple of the latency objective. */
const USEFUL_FACTOR = 3
const HOST = 'load.example'

/** What a caller got: an answer within the latency objective, a later one, a refusal, or none of these. */
export type Result = 'onTime' | 'late' | 'refused' | 'failed'

/** A job with its result. */
export interface PlayedJob {
  readonly planned: PlannedJob
  readonly result: Result
  /** Time from the first submission to the final reply; undefined when there was none. */
  readonly latencyMs: number | undefined
  /** Value that the caller got. */
  readonly value: number
}

/** One run. */
export interface LoadRun {
  readonly jobs: readonly PlayedJob[]
  readonly violations: readonly Violation[]
  readonly fleet: ShardFleet
}

/** Plays a shape once. */
export function playLoad (shape: LoadShape, seed: number): LoadRun {
  const domains = domainNames(shape)
  const fleet = new ShardFleet({
    domains,
    instancesPerDomain: shape.instancesPerDomain,
    endpointsPerDomain: 0,
    endpointKinds: shape.endpoints,
    queues: shape.kinds.map(makeQueue),
    seed
  })
  fleet.run(WARM_UP_MS)
  injectFaults(fleet, shape, domains, seed)
  const submitted = planJobs(shape, seed).map((planned, index) => ({ planned, index, job: undefined as CallerJob | undefined }))
  for (const entry of submitted) {
    fleet.time.after(entry.planned.atMs, () => {
      entry.job = submit(fleet, domains, entry.planned, entry.index)
    })
  }
  fleet.run(shape.durationS * 1000 + FINISH_MS)
  return { jobs: submitted.flatMap(({ planned, job }) => job === undefined ? [] : [judge(planned, job)]), violations: fleet.oracle.violations, fleet }
}

/** @returns the latency objective of a job, which follows from the true run times of its tasks */
export function objectiveMs ({ kind, runMs }: PlannedJob): number {
  return kind.stretch * Math.max(...runMs) + kind.latencyObjectiveMs
}

function domainNames (shape: LoadShape): string[] {
  return Array.from({ length: shape.domains }, (_, i) => String.fromCharCode('a'.charCodeAt(0) + i))
}

function makeQueue ({ name, priority, stretch, latencyObjectiveMs }: JobKind): QueueTerms {
  return { name: name as QueueName, host: HOST, prefix: `/${name}/`, service: SERVICE, priority, maxAttempts: 3, stretch, latencyObjectiveMs: ms(latencyObjectiveMs), needsAdvice: false }
}

function submit (fleet: ShardFleet, domains: readonly string[], planned: PlannedJob, index: number): CallerJob {
  const { kind, runMs, cpuMilli, estimateMs } = planned
  const id = index.toString(16).padStart(16, '0') as JobId
  const spec = JSON.stringify(runMs.map(workMs => ({ cpuMilli, workMs, fails: false })))
  const step = { count: runMs.length, needs: { cpuMilli, memoryMb: 64, accelerators: 0 }, estimateMs: ms(estimateMs), after: [], requiredLabel: '', preferredRack: '', maxPerEndpoint: 0 }
  const at = `${domains[planned.domain]}-${planned.instance}` as InstanceId
  return fleet.submitJob(at, { host: HOST, path: `/${kind.name}/${id}`, job: { id, spec, features: [], steps: [step] }, deadlineMs: objectiveMs(planned) * USEFUL_FACTOR, retries: kind.retries })
}

function judge (planned: PlannedJob, { reply, latencyMs, wasLost }: CallerJob): PlayedJob {
  const result = resultOf(planned, reply, latencyMs, wasLost === true)
  const value = result === 'onTime' ? planned.worth : result === 'late' ? planned.worth * planned.kind.lateShare : 0
  return { planned, result, latencyMs, value }
}

/** A job that is refused when it comes back after a sending without an outcome may have run, so its caller was not just turned away. */
function resultOf (planned: PlannedJob, reply: CallerJob['reply'], latencyMs: number | undefined, wasLost: boolean): Result {
  if (reply === 'refused') return wasLost ? 'failed' : 'refused'
  if (reply !== 'completed' || latencyMs === undefined) return 'failed'
  const objective = objectiveMs(planned)
  if (latencyMs <= objective) return 'onTime'
  return latencyMs <= objective * USEFUL_FACTOR ? 'late' : 'failed'
}
