/**
 * The description of a load: the fleet, the kinds of jobs with their rates and sizes, and the faults of a run. Shapes are TOML
 * files that are checked against the schema below, with defaults for what they leave out.
 */
import { readFileSync } from 'node:fs'
import { readToml, renderFaults } from '@cranberryyard/protocol'
import { z } from 'zod'

const share = z.number().min(0).max(1)
const positive = z.number().positive()
const span = { atS: z.number().min(0), forS: positive }

const endpointKind = z.strictObject({
  /** Endpoints of this kind in each failure domain. */
  count: z.int().positive(),
  cpuMilli: z.int().positive(),
  /** Divides the run times of tasks. */
  speed: positive.default(1)
})

const jobKind = z.strictObject({
  name: z.string(),
  /** Mean rate over all failure domains. */
  perSecond: positive,
  /** Mean number of tasks, and the standard deviation as a share of it. */
  width: positive,
  widthSpread: share.default(0.4),
  /** Mean run time of a task at a speed of 1, and the standard deviation between jobs as a share of it. */
  runMs: positive,
  runSpread: share.default(0.4),
  /** The same between the tasks of one job. */
  unevenness: share.default(0.15),
  /** Share of the tasks that take `tailFactor` times as long, which no estimate tells. */
  tail: share.default(0),
  tailFactor: positive.default(1),
  cpuMilli: z.int().positive(),
  cpuSpread: share.default(0.2),
  /** The estimate that a job states is off by up to this share of the true run time. */
  estimateError: share.default(0.4),
  priority: z.int().min(0).default(0),
  stretch: positive.default(1.6),
  latencyObjectiveMs: z.number().min(0).default(60),
  /** Value of an answer on time for a job of mean size, and the share of it that a late answer is worth. */
  worth: positive,
  lateShare: share.default(0.2),
  /** How often a caller comes back after a refusal. */
  retries: z.int().min(0).default(0)
})

const fault = z.discriminatedUnion('type', [
  /** More jobs, of one kind or of all, from the callers of one failure domain or of all. */
  z.strictObject({ type: z.literal('burst'), ...span, factor: positive, kind: z.string().optional(), domain: z.int().min(0).optional() }),
  z.strictObject({ type: z.literal('slowEndpoints'), ...span, share, factor: positive }),
  z.strictObject({ type: z.literal('hangingEndpoints'), ...span, share }),
  z.strictObject({ type: z.literal('failingEndpoints'), ...span, share }),
  /** Endpoints lose their runs and cannot be reached. */
  z.strictObject({ type: z.literal('darkEndpoints'), ...span, share }),
  /** A failure domain is cut off from the other domains and from the store. */
  z.strictObject({ type: z.literal('domainCut'), ...span, domain: z.int().min(0).default(0) }),
  /** All instances are killed. */
  z.strictObject({ type: z.literal('instancesLost'), ...span }),
  z.strictObject({ type: z.literal('storeDown'), ...span }),
  /** All instances are stopped in an orderly way and restarted, one after the other. */
  z.strictObject({ type: z.literal('rollingRestart'), atS: z.number().min(0), gapS: positive })
])

/** Traffic that swings around its mean by up to this share, in each failure domain with a phase of its own (in periods). */
const waves = z.strictObject({ swing: share, periodS: positive, phases: z.array(z.number()).min(1) })

const schema = z.strictObject({
  name: z.string(),
  /** The load that the shape stands for. */
  description: z.string(),
  durationS: positive,
  domains: z.int().positive().default(3),
  instancesPerDomain: z.int().positive().default(2),
  /** Share of the callers' traffic that each domain gets; equal when empty. */
  traffic: z.array(positive).default([]),
  waves: waves.optional(),
  endpoints: z.array(endpointKind).min(1),
  kinds: z.array(jobKind).min(1),
  faults: z.array(fault).default([])
})

/** A checked shape with all defaults filled in. */
export type LoadShape = z.output<typeof schema>
export type JobKind = LoadShape['kinds'][number]
export type LoadFault = LoadShape['faults'][number]

/**
 * Reads a shape.
 * @param file - path of a TOML file
 * @throws Error that lists all faults of the file with their lines
 */
export function readShape (file: string): LoadShape {
  const result = readToml(readFileSync(file, 'utf8'), schema)
  if (result.isErr) throw new Error(renderFaults(file, result.error))
  return result.value
}
