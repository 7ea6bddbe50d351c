/**
 * Computes the ideal that measured response times are compared with: one central first-come, first-served queue over the same
 * slots. It gets the same arrivals, knows the true run times, and has no cost beyond the round trips.
 */
import TinyQueue from 'tinyqueue'

/** Arrival time and run times of a job, in milliseconds. */
export interface ArrivedJob {
  readonly at: number
  readonly runTimes: readonly number[]
}

/**
 * Computes the ideal response time of each job.
 * @param jobs - jobs in order of arrival
 * @param slots - number of slots of all endpoints together
 * @param roundTripsMs - sum of one job's round trips: between caller and instance, and between instance and endpoint
 * @returns response times in milliseconds, in the order of the jobs
 */
export function idealResponseTimes (jobs: readonly ArrivedJob[], slots: number, roundTripsMs: number): number[] {
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
