/**
 * Checks the promises of a run with real processes, from the endpoints' own start logs and the callers' answers.
 */
import type { StartLogEntry } from '@cranberryyard/fakes'
import type { OwnedPayload } from '../fuzz/oracle.js'
import type { CallEnd } from './caller.js'
import type { LocalFleet } from './localFleet.js'

/** A broken promise, in words. */
export type Finding = string

function logsOf (fleet: LocalFleet): StartLogEntry[] {
  return fleet.endpoints.flatMap(e => e.fake.model.log)
}

const submissionOf = (entry: StartLogEntry): string => entry.taskId.slice(0, entry.taskId.lastIndexOf('/'))

/** @returns tasks that started more than once */
export function doubledStarts (fleet: LocalFleet): Finding[] {
  const starts = new Map<string, number>()
  for (const entry of logsOf(fleet)) starts.set(entry.taskId, (starts.get(entry.taskId) ?? 0) + 1)
  return [...starts].filter(([, n]) => n > 1).map(([id, n]) => `task ${id} started ${n} times`)
}

/** @returns non-idempotent requests that ran under more than one submission */
export function doubledRequests (fleet: LocalFleet, kind: string): Finding[] {
  const submissions = new Map<string, Set<string>>()
  for (const entry of logsOf(fleet)) {
    const owned = entry.payload as OwnedPayload
    if (owned.kind !== kind) continue
    const key = `${owned.customer}/${owned.requestId}`
    submissions.set(key, (submissions.get(key) ?? new Set<string>()).add(submissionOf(entry)))
  }
  return [...submissions].filter(([, s]) => s.size > 1).map(([key, s]) => `request ${key} ran under ${[...s].join(' and ')}`)
}

/**
 * Finds moments at which more tasks of a customer ran than its limit.
 * @param fleet - the deployment
 * @param customer - whose tasks
 * @param limit - the largest limit in force during the run
 * @returns one finding with the highest number, or none
 */
export function overshoot (fleet: LocalFleet, customer: string, limit: number): Finding[] {
  const own = logsOf(fleet).filter(e => (e.payload as OwnedPayload).customer === customer)
  const events = own.flatMap(e => [{ at: e.startedAt, by: 1 }, { at: e.endedAt ?? Infinity, by: -1 }])
  events.sort((a, b) => a.at - b.at || a.by - b.by)
  let running = 0
  let highest = 0
  let highestAt = 0
  for (const event of events) {
    running += event.by
    if (running <= highest) continue
    highest = running
    highestAt = event.at
  }
  if (highest <= limit) return []
  return [`${highest} tasks of ${customer} ran at once, ${limit} are allowed: at ${highestAt.toFixed(1)} ${runningAt(own, highestAt)}`]
}

/** @returns what ran at a moment, so that a finding can be traced in the logs of the instances */
function runningAt (entries: readonly StartLogEntry[], at: number): string {
  const then = entries.filter(e => e.startedAt <= at && (e.endedAt ?? Infinity) > at)
  return then.map(e => `${e.taskId} by ${e.holder} from ${e.startedAt.toFixed(1)} to ${e.endedAt?.toFixed(1) ?? 'the end'}`).join('; ')
}

/** @returns answers that are untrue: parts missing, another's results, or `not run` of what ran */
export function untrueAnswers (fleet: LocalFleet, ends: readonly CallEnd[], sizes: ReadonlyMap<string, number>): Finding[] {
  const started = new Set(logsOf(fleet).map(submissionOf))
  return ends.flatMap(({ requestId, answer }) => {
    if (answer === undefined) return []
    if (answer.outcome === 'failed') return answer.ran === 'no' && started.has(answer.submissionId) ? [`${requestId} was said not to have run`] : []
    const expected = Array.from({ length: sizes.get(requestId) ?? 0 }, (_, i) => `${requestId}:${i}`)
    const right = expected.length === answer.results.length && expected.every((r, i) => r === answer.results[i])
    return right ? [] : [`${requestId} got results that are not its own, whole and in order`]
  })
}
