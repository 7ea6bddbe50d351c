/**
 * The callers' API: a caller submits one job and gets one answer. Zod schemas validate what arrives, and the types are
 * inferred from them, so that validation and types cannot diverge.
 */
import { z } from 'zod'
import type { Ran, ResultCode } from './resultCodes.js'
import type { SubmissionId } from './ids.js'

/** Upper bound of `limits.jobTasks` in any contract. */
export const MAX_JOB_TASKS = 340
/** Largest request body in bytes. A job of 340 tasks with payloads of 2 KB fits, including the JSON around them. */
export const MAX_BODY_BYTES = 1_048_576

const taskSchema = z.strictObject({
  payload: z.unknown(),
  cores: z.number().positive().max(1024).default(1),
  memoryMb: z.number().nonnegative().max(1_048_576).default(0),
  accelerators: z.number().int().nonnegative().max(64).default(0),
  runMs: z.number().positive().max(3_600_000).optional()
})

/** Schema of a job in the body of a request. */
export const jobSchema = z.strictObject({
  requestId: z.string().min(1).max(128).regex(/^[\w.:-]+$/),
  kind: z.string().min(1).max(64),
  tasks: z.array(taskSchema).min(1).max(MAX_JOB_TASKS)
})

/** One task as declared by the caller: cores, memory in MB, number of accelerators, expected run time in milliseconds. */
export type TaskSpec = z.infer<typeof taskSchema>
/** A validated job. */
export type JobSpec = z.infer<typeof jobSchema>

/** The only answer to a submission: all results in the order of the tasks, or a failure with a result code. */
export type Answer =
  | { readonly outcome: 'complete', readonly submissionId: SubmissionId, readonly results: readonly unknown[], readonly late: boolean }
  | { readonly outcome: 'failed', readonly submissionId: SubmissionId, readonly code: ResultCode, readonly message: string, readonly ran: Ran }
