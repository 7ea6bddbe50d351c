/**
 * `cranberryyard demo`: starts a fleet embedded in this process, submits a job of 340 tasks and compares the
 * response time with the ideal. The last line of the output is a JSON summary. The exit code is not 0 when the answer is
 * incomplete or a result is wrong.
 */
import { startDevelopment } from '@cranberryyard/dispatcher'
import type { Development } from '@cranberryyard/dispatcher'
import type { Answer } from '@cranberryyard/protocol'
import { MAX_JOB_TASKS } from '@cranberryyard/protocol'
import { sendRequest } from '../utils/client.js'
import { EXIT } from '../utils/exit.js'
import type { ExitCode } from '../utils/exit.js'

const ENDPOINTS = 10
const TOTAL_SLOTS = ENDPOINTS * 8
const MIN_TASK_MS = 50
const MAX_TASK_MS = 250
/** Fewest messages for one job: a submission and an answer for the job, a start and an answer for each task. */
const MIN_MESSAGES = 2 + 2 * MAX_JOB_TASKS

interface Summary {
  readonly outcome: string
  readonly tasks: number
  readonly responseMs: number
  readonly idealMs: number
  readonly responseOverIdeal: number
  readonly messages: number
  readonly leastMessages: number
}

/**
 * Starts the embedded fleet, measures one job and shuts the fleet down.
 * @returns the exit code
 */
export async function runDemo (): Promise<ExitCode> {
  const development = await startDevelopment(ENDPOINTS)
  console.log(development.notice)
  try {
    return await measureDemoJob(development)
  } finally {
    await development.close()
  }
}

async function measureDemoJob (development: Development): Promise<ExitCode> {
  const target = { url: `http://127.0.0.1:${development.ports.caller}`, key: development.callerKey, caFile: '' }
  await waitHealthy(target.url)
  const runTimes = Array.from({ length: MAX_JOB_TASKS }, (_, i) => MIN_TASK_MS + (i * 37) % (MAX_TASK_MS - MIN_TASK_MS))
  const tasks = runTimes.map((runMs, i) => ({ payload: { runMs, value: i } }))
  const startedAt = performance.now()
  const progress = setInterval(() => void printProgress(development), 100)
  const { body } = await sendRequest<Answer>(target, 'POST', '/v1/jobs', { requestId: 'demo-1', kind: 'compute', tasks })
  clearInterval(progress)
  const summary = await summarize(development, body, performance.now() - startedAt, runTimes)
  console.log(JSON.stringify(summary))
  return isExpectedAnswer(body) ? EXIT.ok : EXIT.failed
}

function isExpectedAnswer (answer: Answer): boolean {
  return answer.outcome === 'complete' && answer.results.length === MAX_JOB_TASKS && answer.results.every((r, i) => r === i)
}

async function waitHealthy (url: string): Promise<void> {
  for (let i = 0; i < 200; i++) {
    const { status } = await sendRequest<unknown>({ url, key: '', caFile: '' }, 'GET', '/healthz')
    if (status === 200) return
    await new Promise(resolve => setTimeout(resolve, 25))
  }
}

async function fetchCounters (development: Development): Promise<Record<string, number>> {
  const target = { url: `http://127.0.0.1:${development.ports.operator}`, key: development.teamKey, caFile: '' }
  const { body } = await sendRequest<{ counters: Record<string, number> }>(target, 'GET', '/v1/status')
  return body.counters
}

async function printProgress (development: Development): Promise<void> {
  const done = (await fetchCounters(development))['tasks.done'] ?? 0
  console.log(`${String(done).padStart(3)} of ${MAX_JOB_TASKS} tasks done`)
}

async function summarize (development: Development, answer: Answer, responseMs: number, runTimes: readonly number[]): Promise<Summary> {
  const counts = await fetchCounters(development)
  const messages = 2 + 2 * (counts['tasks.started'] ?? 0) + (counts['messages.sent'] ?? 0)
  const idealMs = idealMakespan(runTimes, TOTAL_SLOTS)
  const responseOverIdeal = responseMs / idealMs
  console.log(`response ${responseMs.toFixed(0)} ms, ideal ${idealMs.toFixed(0)} ms, ratio ${responseOverIdeal.toFixed(3)}`)
  console.log(`messages ${messages}, least needed ${MIN_MESSAGES}`)
  return { outcome: answer.outcome, tasks: MAX_JOB_TASKS, responseMs: Math.round(responseMs), idealMs, responseOverIdeal: Number(responseOverIdeal.toFixed(3)), messages, leastMessages: MIN_MESSAGES }
}

/** Time in which one central first-come, first-served queue over the same slots runs all tasks, with no cost for messages. */
function idealMakespan (runTimes: readonly number[], slots: number): number {
  const freeAt = new Array<number>(slots).fill(0)
  for (const runMs of runTimes) {
    const slot = freeAt.indexOf(Math.min(...freeAt))
    freeAt[slot] = (freeAt[slot] ?? 0) + runMs
  }
  return Math.max(...freeAt)
}
