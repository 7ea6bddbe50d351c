/**
 * `cranberryyard demo`: starts the embedded default, submits a job of 340 tasks and compares the response
 * with the ideal. The last line is a JSON summary; the exit code is not 0 if the answer is not complete.
 */
import { startDevelopment } from '@cranberryyard/dispatcher'
import type { Development } from '@cranberryyard/dispatcher'
import type { Answer } from '@cranberryyard/protocol'
import { MAX_JOB_TASKS } from '@cranberryyard/protocol'
import { call } from '../utils/client.js'
import { EXIT } from '../utils/exit.js'
import type { ExitCode } from '../utils/exit.js'

const ENDPOINTS = 10
const SLOTS = ENDPOINTS * 8
const TASK_MS_MIN = 50
const TASK_MS_MAX = 250
/** One submit and one answer a job, one start and one answer a task. */
const LEAST_MESSAGES = 2 + 2 * MAX_JOB_TASKS

interface Summary {
  readonly outcome: string
  readonly tasks: number
  readonly responseMs: number
  readonly idealMs: number
  readonly responseOverIdeal: number
  readonly messages: number
  readonly leastMessages: number
}

/** Runs the demonstration. @returns the exit code */
export async function runDemo (): Promise<ExitCode> {
  const development = await startDevelopment(ENDPOINTS)
  console.log(development.notice)
  try {
    return await demonstrate(development)
  } finally {
    await development.close()
  }
}

async function demonstrate (development: Development): Promise<ExitCode> {
  const target = { url: `http://127.0.0.1:${development.ports.caller}`, key: development.callerKey, caFile: '' }
  await waitHealthy(target.url)
  const runTimes = Array.from({ length: MAX_JOB_TASKS }, (_, i) => TASK_MS_MIN + (i * 37) % (TASK_MS_MAX - TASK_MS_MIN))
  const tasks = runTimes.map((runMs, i) => ({ payload: { runMs, value: i } }))
  const startedAt = performance.now()
  const progress = setInterval(() => void showProgress(development), 100)
  const { body } = await call<Answer>(target, 'POST', '/v1/jobs', { requestId: 'demo-1', kind: 'compute', tasks })
  clearInterval(progress)
  const summary = await summarize(development, body, performance.now() - startedAt, runTimes)
  console.log(JSON.stringify(summary))
  return isRight(body) ? EXIT.ok : EXIT.failed
}

function isRight (answer: Answer): boolean {
  return answer.outcome === 'complete' && answer.results.length === MAX_JOB_TASKS && answer.results.every((r, i) => r === i)
}

async function waitHealthy (url: string): Promise<void> {
  for (let i = 0; i < 200; i++) {
    const { status } = await call<unknown>({ url, key: '', caFile: '' }, 'GET', '/healthz')
    if (status === 200) return
    await new Promise(resolve => setTimeout(resolve, 25))
  }
}

async function counters (development: Development): Promise<Record<string, number>> {
  const target = { url: `http://127.0.0.1:${development.ports.operator}`, key: development.teamKey, caFile: '' }
  const { body } = await call<{ counters: Record<string, number> }>(target, 'GET', '/v1/status')
  return body.counters
}

async function showProgress (development: Development): Promise<void> {
  const done = (await counters(development))['tasks.done'] ?? 0
  console.log(`${String(done).padStart(3)} of ${MAX_JOB_TASKS} tasks done`)
}

async function summarize (development: Development, answer: Answer, responseMs: number, runTimes: readonly number[]): Promise<Summary> {
  const counts = await counters(development)
  const messages = 2 + 2 * (counts['tasks.started'] ?? 0) + (counts['messages.sent'] ?? 0)
  const idealMs = idealMakespan(runTimes, SLOTS)
  const responseOverIdeal = responseMs / idealMs
  console.log(`response ${responseMs.toFixed(0)} ms, ideal ${idealMs.toFixed(0)} ms, ratio ${responseOverIdeal.toFixed(3)}`)
  console.log(`messages ${messages}, least needed ${LEAST_MESSAGES}`)
  return { outcome: answer.outcome, tasks: MAX_JOB_TASKS, responseMs: Math.round(responseMs), idealMs, responseOverIdeal: Number(responseOverIdeal.toFixed(3)), messages, leastMessages: LEAST_MESSAGES }
}

/** One central first-come queue over the same slots, with no cost for messages. */
function idealMakespan (runTimes: readonly number[], slots: number): number {
  const freeAt = new Array<number>(slots).fill(0)
  for (const runMs of runTimes) {
    const slot = freeAt.indexOf(Math.min(...freeAt))
    freeAt[slot] = (freeAt[slot] ?? 0) + runMs
  }
  return Math.max(...freeAt)
}
