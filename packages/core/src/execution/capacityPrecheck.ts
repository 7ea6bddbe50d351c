/**
 * A cheap check whether any waiting task can start at all, made before a full placement round. On a full shard with
 * hundreds of waiting jobs every answer of an endpoint triggers another round, and most of them could place nothing.
 */
import type { Candidate } from '../placement/placementDecider.js'
import type { OwnedJob } from './types.js'

/** @returns the largest amount of CPU that is free at a single endpoint */
export function largestFreeCpu (candidates: readonly Candidate[]): number {
  let largest = 0
  for (const { freeCapacity } of candidates) largest = Math.max(largest, freeCapacity.cpuMilli)
  return largest
}

/** @returns the smallest amount of CPU that a task of any unfinished step needs; infinite when all steps are done */
export function smallestCpuNeed (job: Pick<OwnedJob, 'steps'>): number {
  let least = Infinity
  for (const { unfinishedTasks, spec } of job.steps) {
    if (unfinishedTasks > 0) least = Math.min(least, spec.needs.cpuMilli)
  }
  return least
}

/** @returns true when some job has a task that needs no more than the given CPU */
export function anyFits (jobs: Iterable<Pick<OwnedJob, 'steps'>>, freeCpuMilli: number): boolean {
  for (const job of jobs) {
    if (smallestCpuNeed(job) <= freeCpuMilli) return true
  }
  return false
}
