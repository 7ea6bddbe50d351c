/**
 * A quick look at whether anything that waits can start at all. Load it answers: a full shard with hundreds of waiting
 * jobs, where every answer of an endpoint asks for another round of placing.
 */
import type { Candidate } from '../placement/placementDecider.js'
import type { OwnedJob } from './types.js'

/** @returns the most processor time that is free at one endpoint */
export function largestRoom (candidates: readonly Candidate[]): number {
  let largest = 0
  for (const { room } of candidates) largest = Math.max(largest, room.cpuMilli)
  return largest
}

/** @returns processor time that the smallest of a job's unfinished steps asks for at one endpoint */
export function leastCpu (job: Pick<OwnedJob, 'steps'>): number {
  let least = Infinity
  for (const { missing, spec } of job.steps) {
    if (missing > 0) least = Math.min(least, spec.needs.cpuMilli)
  }
  return least
}

/** @returns true when a task of some job asks for no more than the largest room */
export function anyFits (jobs: Iterable<Pick<OwnedJob, 'steps'>>, largest: number): boolean {
  for (const job of jobs) {
    if (leastCpu(job) <= largest) return true
  }
  return false
}
