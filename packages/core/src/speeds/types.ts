/**
 * Types of the speed decision: what is known of how fast endpoints run tasks, and why a run is slow.
 */
import type { EndpointReport } from '@cranberryyard/protocol'

/** What identifies an endpoint and its kind. */
export type RatedEndpoint = Pick<EndpointReport, 'id' | 'service' | 'labels'>

/** Runs seen at an endpoint or at endpoints with a label. */
export interface SpeedEvidence {
  /** Number of runs, bounded so that later runs count. */
  runs: number
  /** Mean logarithm of the speed that each run showed. */
  mean: number
  /** Variance of it between runs. */
  variance: number
}

/** When a task is due and how long it is expected to run. */
export interface TaskTiming {
  /** Expected run time at a speed of 1. */
  readonly runMs: number
  /** Time until the answer is due. */
  readonly budgetMs: number
}

/**
 * Why a run is slow. `endpoint`: others are slow there too. `task`: others run there as usual, so this one has more work.
 * `unknown`: nothing else ran there meanwhile.
 */
export type SlowCause = 'endpoint' | 'task' | 'unknown'
