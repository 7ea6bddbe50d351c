/**
 * The callers' interface: one job in, one answer out. Schemas check what arrives; types follow from them.
 */
import { z } from 'zod'
import type { Ran, ResultCode } from './resultCodes.js'
import type { SubmissionId } from './ids.js'

/** Largest number of tasks that any contract may allow in one job. */
export const MAX_JOB_TASKS = 340
/** Largest size of a request body in bytes; 340 payloads of 2 KB and their envelopes fit. */
export const MAX_BODY_BYTES = 1_048_576

const taskSchema = z.strictObject({
  payload: z.unknown(),
  cores: z.number().positive().max(1024).default(1),
  memoryMb: z.number().nonnegative().max(1_048_576).default(0),
  accelerators: z.number().int().nonnegative().max(64).default(0),
  runMs: z.number().positive().max(3_600_000).optional()
})

/** A job as callers send it. */
export const jobSchema = z.strictObject({
  requestId: z.string().min(1).max(128).regex(/^[\w.:-]+$/),
  kind: z.string().min(1).max(64),
  tasks: z.array(taskSchema).min(1).max(MAX_JOB_TASKS)
})

/** One task as declared by the caller; sizes in cores, megabytes and devices, run time in milliseconds. */
export type TaskSpec = z.infer<typeof taskSchema>
/** A checked job. */
export type JobSpec = z.infer<typeof jobSchema>

/** The one answer to a submission: every result in order, or a coded failure. */
export type Answer =
  | { readonly outcome: 'complete', readonly submissionId: SubmissionId, readonly results: readonly unknown[], readonly late: boolean }
  | { readonly outcome: 'failed', readonly submissionId: SubmissionId, readonly code: ResultCode, readonly message: string, readonly ran: Ran }
