/**
 * Summarizes runs of a shape: what callers got by kind, failure domain, size and second, and how far two policies differ over
 * the same seeds.
 */
import { mean, sampleStandardDeviation } from 'simple-statistics'
import type { PlayedJob, Result } from './loadRun.js'

const RESULTS: readonly Result[] = ['onTime', 'late', 'refused', 'failed']
/** Half the width of a 95% interval in standard errors. */
const Z_95 = 1.96

/** Shares of the results among some jobs, and the share of their value that callers got. */
export interface Shares extends Readonly<Record<Result, number>> {
  readonly jobs: number
  readonly value: number
}

/** What callers of a run got. */
export interface Summary {
  readonly all: Shares
  readonly byKind: Readonly<Record<string, Shares>>
  readonly byDomain: Readonly<Record<string, Shares>>
  /** The widest tenth of the jobs of each kind. */
  readonly widest: Readonly<Record<string, Shares>>
  /** Share of the value that callers got, by the second in which their jobs arrived. */
  readonly valueBySecond: readonly number[]
  /** Value for callers per core second that their jobs needed. */
  readonly valuePerCoreSecond: number
}

/** @returns what the callers of a run got */
export function summarize (jobs: readonly PlayedJob[]): Summary {
  const bySecond = groupBy(jobs, job => Math.floor(job.planned.atMs / 1000))
  const seconds = Math.max(...bySecond.keys()) + 1
  const coreSeconds = jobs.reduce((sum, job) => sum + coreSecondsOf(job), 0)
  return {
    all: sharesOf(jobs),
    byKind: record(groupBy(jobs, job => job.planned.kind.name)),
    byDomain: record(groupBy(jobs, job => String(job.planned.domain))),
    widest: record(groupBy(widestTenth(jobs), job => job.planned.kind.name)),
    valueBySecond: Array.from({ length: seconds }, (_, second) => round(sharesOf(bySecond.get(second) ?? []).value)),
    valuePerCoreSecond: round(jobs.reduce((sum, job) => sum + job.value, 0) / Math.max(1, coreSeconds))
  }
}

/** A mean over seeds with the half width of its 95% interval. */
export interface Estimate {
  readonly mean: number
  readonly plusMinus: number
}

/** @returns mean and interval of one figure over several seeds; the interval is unknown (infinite) for a single seed */
export function estimate (values: readonly number[]): Estimate {
  const plusMinus = values.length < 2 ? Infinity : Z_95 * sampleStandardDeviation([...values]) / Math.sqrt(values.length)
  return { mean: round(mean([...values])), plusMinus: round(plusMinus) }
}

/** @returns how much more of the value callers got under the second policy, paired by seed */
export function difference (first: readonly Summary[], second: readonly Summary[]): Estimate {
  return estimate(second.map((summary, i) => summary.all.value - (first[i]?.all.value ?? 0)))
}

function sharesOf (jobs: readonly PlayedJob[]): Shares {
  const owed = jobs.reduce((sum, job) => sum + job.planned.worth, 0)
  const value = owed === 0 ? 1 : jobs.reduce((sum, job) => sum + job.value, 0) / owed
  const share = (result: Result): number => round(jobs.filter(job => job.result === result).length / Math.max(1, jobs.length))
  const [onTime, late, refused, failed] = RESULTS.map(share) as [number, number, number, number]
  return { jobs: jobs.length, onTime, late, refused, failed, value: round(value) }
}

function widestTenth (jobs: readonly PlayedJob[]): PlayedJob[] {
  return [...groupBy(jobs, job => job.planned.kind.name).values()].flatMap((ofKind) => {
    const ordered = [...ofKind].sort((a, b) => b.planned.runMs.length - a.planned.runMs.length)
    return ordered.slice(0, Math.ceil(ordered.length / 10))
  })
}

function coreSecondsOf ({ planned }: PlayedJob): number {
  return planned.cpuMilli / 1000 * planned.runMs.reduce((a, b) => a + b, 0) / 1000
}

function groupBy<K> (jobs: readonly PlayedJob[], keyOf: (job: PlayedJob) => K): Map<K, PlayedJob[]> {
  const groups = new Map<K, PlayedJob[]>()
  for (const job of jobs) {
    const group = groups.get(keyOf(job))
    if (group === undefined) groups.set(keyOf(job), [job])
    else group.push(job)
  }
  return groups
}

function record (groups: Map<string, PlayedJob[]>): Record<string, Shares> {
  return Object.fromEntries([...groups].sort(([a], [b]) => a.localeCompare(b)).map(([key, jobs]) => [key, sharesOf(jobs)]))
}

function round (value: number): number {
  return Math.round(value * 10_000) / 10_000
}
