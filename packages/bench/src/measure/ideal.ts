/**
 * The ideal that responses are compared with: one clairvoyant central first-come queue over the same slots,
 * with the same arrivals and true run times, and no cost beyond the round trips.
 */
import TinyQueue from 'tinyqueue'

/** A job as it arrived. */
export interface ArrivedJob {
  readonly at: number
  readonly runTimes: readonly number[]
}

/**
 * Computes the ideal response of each job.
 * @param jobs - in order of arrival
 * @param slots - slots of all endpoints
 * @param roundTripsMs - round trips of one job: caller and endpoint
 * @returns responses in milliseconds, in the same order
 */
export function idealResponses (jobs: readonly ArrivedJob[], slots: number, roundTripsMs: number): number[] {
  const freeAt = new TinyQueue<number>(new Array<number>(slots).fill(0), (a, b) => a - b)
  return jobs.map((job) => {
    let end = job.at
    for (const runMs of job.runTimes) {
      const start = Math.max(job.at, freeAt.pop() ?? 0)
      freeAt.push(start + runMs)
      end = Math.max(end, start + runMs)
    }
    return end - job.at + roundTripsMs
  })
}
