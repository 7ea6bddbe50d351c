/**
 * Checks the invariants of a run with real processes, from the start logs of the endpoint stand-ins and the answers to
 * the callers. It reads no counters or logs of the instances.
 */
import type { StartLogEntry } from '@cranberryyard/fakes'
import type { TestPayload } from '../fuzz/oracle.js'
import type { CallEnd } from './caller.js'
import type { LocalFleet } from './localFleet.js'

/** Description of a violated invariant. */
export type Finding = string

function startLogs (fleet: LocalFleet): StartLogEntry[] {
  return fleet.endpoints.flatMap(e => e.fake.model.log)
}

const submissionOf = (entry: StartLogEntry): string => entry.taskId.slice(0, entry.taskId.lastIndexOf('/'))

/** Finds tasks that started more than once. */
export function repeatedStarts (fleet: LocalFleet): Finding[] {
  const starts = new Map<string, number>()
  for (const entry of startLogs(fleet)) starts.set(entry.taskId, (starts.get(entry.taskId) ?? 0) + 1)
  return [...starts].filter(([, n]) => n > 1).map(([id, n]) => `task ${id} started ${n} times`)
}

/** Finds requests of a kind that ran under more than one submission; a non-idempotent kind must have none. */
export function repeatedRequests (fleet: LocalFleet, kind: string): Finding[] {
  const submissions = new Map<string, Set<string>>()
  for (const entry of startLogs(fleet)) {
    const payload = entry.payload as TestPayload
    if (payload.kind !== kind) continue
    const key = `${payload.customer}/${payload.requestId}`
    submissions.set(key, (submissions.get(key) ?? new Set<string>()).add(submissionOf(entry)))
  }
  return [...submissions].filter(([, s]) => s.size > 1).map(([key, s]) => `request ${key} ran under ${[...s].join(' and ')}`)
}

/**
 * Finds the time at which the most tasks of a customer ran, if these were more than its limit.
 * @param fleet - the deployment
 * @param customer - customer that owns the tasks
 * @param limit - the largest limit in force during the run
 * @returns one finding with the largest number of running tasks, or none
 */
export function limitOverruns (fleet: LocalFleet, customer: string, limit: number): Finding[] {
  const ownEntries = startLogs(fleet).filter(e => (e.payload as TestPayload).customer === customer)
  const events = ownEntries.flatMap(e => [{ at: e.startedAt, change: 1 }, { at: e.endedAt ?? Infinity, change: -1 }])
  events.sort((a, b) => a.at - b.at || a.change - b.change)
  let running = 0
  let highest = 0
  let highestAt = 0
  for (const event of events) {
    running += event.change
    if (running <= highest) continue
    highest = running
    highestAt = event.at
  }
  if (highest <= limit) return []
  return [`${highest} tasks of ${customer} ran at once, ${limit} are allowed: at ${highestAt.toFixed(1)} ${runningAt(ownEntries, highestAt)}`]
}

/** Lists the tasks that ran at a time, so that a finding can be traced in the logs of the instances. */
function runningAt (entries: readonly StartLogEntry[], at: number): string {
  const running = entries.filter(e => e.startedAt <= at && (e.endedAt ?? Infinity) > at)
  return running.map(e => `${e.taskId} by ${e.holder} from ${e.startedAt.toFixed(1)} to ${e.endedAt?.toFixed(1) ?? 'the end'}`).join('; ')
}

/** Finds wrong answers: missing results, results of another request, or `ran: no` for a submission that has started. */
export function wrongAnswers (fleet: LocalFleet, ends: readonly CallEnd[], sizes: ReadonlyMap<string, number>): Finding[] {
  const started = new Set(startLogs(fleet).map(submissionOf))
  return ends.flatMap(({ requestId, answer }) => {
    if (answer === undefined) return []
    if (answer.outcome === 'failed') return answer.ran === 'no' && started.has(answer.submissionId) ? [`call of ${requestId} was answered as not run, but tasks of ${answer.submissionId} started`] : []
    const expected = Array.from({ length: sizes.get(requestId) ?? 0 }, (_, i) => `${requestId}:${i}`)
    const isExpected = expected.length === answer.results.length && expected.every((r, i) => r === answer.results[i])
    return isExpected ? [] : [`call of ${requestId} did not get exactly the results of its own tasks in order`]
  })
}
