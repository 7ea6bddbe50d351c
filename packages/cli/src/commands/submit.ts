/**
 * `cranberryyard submit`: submits one job by hand, with payloads from a file or with sample tasks, and prints its answer.
 */
import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import type { Answer } from '@cranberryyard/protocol'
import { sendRequest } from '../utils/client.js'
import type { Target } from '../utils/client.js'
import { EXIT } from '../utils/exit.js'
import type { ExitCode } from '../utils/exit.js'
import { renderFailure } from '../utils/output.js'

/** The job to submit and the form of the output. */
export interface SubmitOptions {
  readonly kind: string
  readonly requestId: string | undefined
  /** JSON file with a list of payloads, one for each task. */
  readonly file: string | undefined
  /** Number of sample tasks when no file is given. */
  readonly tasks: number
  /** Run time of a sample task in milliseconds. */
  readonly runMs: number
  readonly json: boolean
}

/**
 * Submits a job and waits for its answer.
 * @returns the exit code; `EXIT.refused` also when the job ran and failed
 */
export async function submitJob (target: Target, options: SubmitOptions): Promise<ExitCode> {
  const startedAt = performance.now()
  const job = { requestId: options.requestId ?? randomUUID(), kind: options.kind, tasks: tasksOf(options) }
  const { body } = await sendRequest<Answer>(target, 'POST', '/v1/jobs', job)
  if (body.outcome !== 'complete') {
    console.error(renderFailure(body as never))
    return EXIT.refused
  }
  if (options.json) console.log(JSON.stringify(body))
  else console.log(`complete: ${body.results.length} results in ${Math.round(performance.now() - startedAt)} ms, submission ${body.submissionId}`)
  return EXIT.ok
}

function tasksOf (options: SubmitOptions): { payload: unknown }[] {
  if (options.file !== undefined) return (JSON.parse(readFileSync(options.file, 'utf8')) as unknown[]).map(payload => ({ payload }))
  return Array.from({ length: options.tasks }, (_, i) => ({ payload: { runMs: options.runMs, value: i } }))
}
