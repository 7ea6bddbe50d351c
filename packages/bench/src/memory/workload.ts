/**
 * Contracts and jobs for in-memory runs and measurements.
 */
import type { Random } from '@cranberryyard/core'
import { contractSchema, jobSchema } from '@cranberryyard/protocol'
import type { Contract, JobSpec } from '@cranberryyard/protocol'

/**
 * Makes the key hash of a customer in tests.
 * @param customer - the customer's name
 * @returns a well-formed hash
 */
export const testKeyHash = (customer: string): string => `sha256:${Buffer.from(customer).toString('hex').padEnd(64, '0').slice(0, 64)}`

/** The team's key hash in tests. */
export const TEAM_KEY_HASH = testKeyHash('the-team')

/**
 * Makes a contract for tests.
 * @param customer - its name
 * @param running - tasks that may run at once
 * @param weight - share under contention
 * @returns a checked contract with an idempotent kind `compute` and a non-idempotent kind `serial`
 */
export function testContract (customer: string, running: number, weight = 1): Contract {
  return contractSchema.parse({
    customer,
    weight,
    limits: { running },
    bounds: { running: 1_000_000 },
    kinds: [
      { name: 'compute', idempotent: true, answerWithinMs: 60_000, whenLate: 'runLate', runMs: 300 },
      { name: 'serial', idempotent: false, answerWithinMs: 20_000, whenLate: 'runLate', runMs: 300 }
    ],
    callers: [{ name: 'caller', keyHash: testKeyHash(customer) }],
    staff: [{ name: 'staff', keyHash: testKeyHash(`${customer}-staff`) }]
  })
}

/**
 * Makes a job whose payloads say whose they are, for the oracle.
 * @param customer - whose job
 * @param requestId - the caller's id
 * @param kind - `compute` or `serial`
 * @param runTimes - true run time of each task in milliseconds
 * @param declaredMs - declared run time, if any
 * @returns a checked job
 */
export function testJob (customer: string, requestId: string, kind: string, runTimes: readonly number[], declaredMs?: number): JobSpec {
  const declared = declaredMs === undefined ? {} : { runMs: declaredMs }
  return jobSchema.parse({ requestId, kind, tasks: runTimes.map((runMs, i) => ({ payload: { runMs, value: resultOf(requestId, i), customer, requestId, kind }, ...declared })) })
}

/**
 * Names the one right result of a task.
 * @param requestId - the caller's id
 * @param index - position in the job
 * @returns the result
 */
export const resultOf = (requestId: string, index: number): string => `${requestId}:${index}`

/**
 * Draws run times between 50 ms and a second, most of them short.
 * @param random - the source
 * @param count - how many
 * @returns run times in milliseconds
 */
export function drawRunTimes (random: Random, count: number): number[] {
  return Array.from({ length: count }, () => Math.round(50 * Math.pow(20, random.below(10_000) / 10_000)))
}
