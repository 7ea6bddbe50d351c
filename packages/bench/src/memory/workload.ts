/**
 * Creates contracts and jobs for in-memory runs and measurements. Payloads name their customer and request and the expected
 * result, so that the oracle can check starts and answers without other state.
 */
import type { Random } from '@cranberryyard/core'
import { contractSchema, jobSchema } from '@cranberryyard/protocol'
import type { Contract, JobSpec } from '@cranberryyard/protocol'

/**
 * Derives the key hash of a customer in tests from its name.
 * @param customer - the customer's name
 * @returns a hash of valid form that belongs to no real key
 */
export const testKeyHash = (customer: string): string => `sha256:${Buffer.from(customer).toString('hex').padEnd(64, '0').slice(0, 64)}`

/** The team's key hash in tests. */
export const TEAM_KEY_HASH = testKeyHash('the-team')

/**
 * Creates a contract for tests.
 * @param customer - name of the customer
 * @param running - limit on tasks that run at the same time
 * @param weight - weight of the customer under contention
 * @returns a validated contract with an idempotent kind `compute` and a non-idempotent kind `serial`
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
 * Creates a job whose payloads name their customer and request, for the oracle.
 * @param customer - customer that submits the job
 * @param requestId - request id of the caller
 * @param kind - `compute` or `serial`
 * @param runTimes - actual run time of each task in milliseconds
 * @param declaredMs - run time that the job declares for each task, if any
 * @returns a validated job
 */
export function testJob (customer: string, requestId: string, kind: string, runTimes: readonly number[], declaredMs?: number): JobSpec {
  const declared = declaredMs === undefined ? {} : { runMs: declaredMs }
  return jobSchema.parse({ requestId, kind, tasks: runTimes.map((runMs, i) => ({ payload: { runMs, value: resultOf(requestId, i), customer, requestId, kind }, ...declared })) })
}

/**
 * Gives the expected result of a task.
 * @param requestId - the caller's id
 * @param index - position in the job
 * @returns the result
 */
export const resultOf = (requestId: string, index: number): string => `${requestId}:${index}`

/**
 * Draws run times between 50 ms and one second, spread evenly on a logarithmic scale, so that short ones are more frequent.
 * @param random - source of random numbers
 * @param count - number of run times
 * @returns run times in milliseconds
 */
export function drawRunTimes (random: Random, count: number): number[] {
  return Array.from({ length: count }, () => Math.round(50 * Math.pow(20, random.below(10_000) / 10_000)))
}
