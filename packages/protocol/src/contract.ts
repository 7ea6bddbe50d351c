/**
 * Schema of a customer's contract. The contract is the only source of that customer's limits, request kinds and keys;
 * no other file or setting defines any of them.
 */
import { z } from 'zod'
import { MAX_JOB_TASKS } from './callerApi.js'

/** Pattern of customer, staff and key names. It excludes path characters. */
export const NAME_PATTERN = /^[a-z][a-z0-9-]{0,47}$/

const name = z.string().regex(NAME_PATTERN)
const keyHash = z.string().regex(/^sha256:[0-9a-f]{64}$/)

const kindSchema = z.strictObject({
  name,
  /** When false, a request of this kind runs at most once, even if the caller resubmits it. */
  idempotent: z.boolean(),
  answerWithinMs: z.number().int().min(10).max(3_600_000),
  whenLate: z.enum(['refuse', 'runLate']).default('refuse'),
  /** Expected run time of a task in milliseconds, used until enough run times have been reported. */
  runMs: z.number().positive().max(3_600_000).default(300)
})

const limitsSchema = z.strictObject({
  /** Tasks that may run at once, in total over all instances and failure domains. */
  running: z.number().int().min(1).max(1_000_000),
  jobTasks: z.number().int().min(1).max(MAX_JOB_TASKS).default(MAX_JOB_TASKS),
  startsPerSecond: z.number().int().min(1).max(1_000_000).default(100_000),
  /** Tasks that may wait in one scheduler. */
  queued: z.number().int().min(1).max(10_000_000).default(20_000)
})

/** Bounds set by the team. The customer's staff may change the limits within them. */
const boundsSchema = z.strictObject({
  running: z.number().int().min(1),
  startsPerSecond: z.number().int().min(1).default(100_000),
  queued: z.number().int().min(1).default(20_000)
})

const keySchema = z.strictObject({ name, keyHash })

/** Schema of a contract file. */
export const contractSchema = z.strictObject({
  customer: name,
  /** Team whose quota includes this customer. */
  team: name.default('default'),
  /** Share of the slots under contention, relative to the other customers. */
  weight: z.number().positive().max(1000).default(1),
  limits: limitsSchema,
  bounds: boundsSchema,
  kinds: z.array(kindSchema).min(1).max(64),
  callers: z.array(keySchema).max(64).default([]),
  staff: z.array(keySchema).max(64).default([])
})

/** A validated contract. */
export type Contract = z.infer<typeof contractSchema>
/** Terms of one kind of request in a contract. */
export type KindTerms = z.infer<typeof kindSchema>
