/**
 * Estimates how slow a run is, from its reported progress and from the other tasks of its step (its siblings). Estimates
 * are off by up to 40%, so the siblings replace the estimate as soon as there are enough of them. The calculation is
 * separate from the decision to move a task because the trust in endpoints uses it too.
 */
import type { EndpointId, Ms } from '@cranberryyard/protocol'
import type { LedgerRun } from '../endpoints/types.js'
import type { OwnedStep } from './types.js'

/** Speed of an endpoint, by which expected run times are divided there. */
export type SpeedAt = (endpoint: EndpointId) => number

/** Slowness assigned to a stalled run. */
export const STALL_SLOWNESS = 10
/** Estimates are too low by up to about this factor, which is allowed for when there are no siblings to compare with. */
const ESTIMATE_TOLERANCE = 1.7
/** Number of siblings, finished or running, whose run times replace the estimate. */
const SIBLINGS_MIN = 2
/** A run counts as stalled after this time without progress, or after this share of its expected time if that is longer. */
const STALL_MIN_MS = 150
const STALL_SHARE = 0.25
/** Shorter runs are not assessed: answers take a few milliseconds each way, so their run time is too imprecise. */
const SPEED_MIN_RUN_MS = 60
/** Progress is reported in whole percents; below this value the rounding error is too large to derive a speed. */
const PROGRESS_MIN_PERCENT = 4

/**
 * Expected run time of a task of the step at a healthy endpoint of speed 1: the median of its siblings, finished or running. With
 * too few siblings it is at least the estimate plus its possible error.
 * @param step - the step
 * @param run - the run that is assessed; it does not count as its own sibling
 * @param expectedMs - the estimate, corrected by the ratio learned for the queue
 * @param speedAt - the speeds of endpoints
 */
export function healthyRunMs (step: OwnedStep, run: LedgerRun, expectedMs: number, speedAt: SpeedAt): number {
  const siblings = siblingsMs(step, run, speedAt).sort((a, b) => a - b)
  const median = siblings[Math.floor((siblings.length - 1) / 2)] ?? 0
  if (siblings.length >= SIBLINGS_MIN) return Math.max(1, median)
  return Math.max(1, median, expectedMs * ESTIMATE_TOLERANCE)
}

/**
 * Compares a run with the expected run at a healthy endpoint of the same speed.
 * @param step - the step
 * @param run - a run in progress
 * @param expectedMs - the estimate, corrected by the ratio learned for the queue
 * @param now - the time
 * @param speedAt - the speeds of endpoints
 * @returns projected run time divided by the expected one; 1 while too little is known
 */
export function slownessOf (step: OwnedStep, run: LedgerRun, expectedMs: number, now: Ms, speedAt: SpeedAt): number {
  const healthyMs = healthyRunMs(step, run, expectedMs, speedAt) / speedAt(run.endpoint)
  const ranMs = now - run.startedAt
  const stalledAfterMs = Math.max(STALL_MIN_MS, healthyMs * STALL_SHARE)
  if (ranMs < SPEED_MIN_RUN_MS) return 1
  if (observedProgress(run) < PROGRESS_MIN_PERCENT) return ranMs > stalledAfterMs ? STALL_SLOWNESS : 1
  if (now - run.percentAt > stalledAfterMs) return STALL_SLOWNESS
  const siblingsUnknown = step.tasks.length > SIBLINGS_MIN && siblingsMs(step, run, speedAt).length < SIBLINGS_MIN
  return siblingsUnknown ? 1 : (ranMs * 100 / observedProgress(run)) / healthyMs
}

/** @returns run times of the step's other tasks at a speed of 1: actual for finished ones, projected from the progress for running ones */
function siblingsMs (step: OwnedStep, except: LedgerRun, speedAt: SpeedAt): number[] {
  const atWork = step.tasks.flatMap(({ run }) => {
    if (run === undefined || run === except || observedProgress(run) < PROGRESS_MIN_PERCENT) return []
    return [(run.percentAt - run.startedAt) * 100 / observedProgress(run) * speedAt(run.endpoint)]
  })
  return [...step.finishedRunMs, ...atWork]
}

/** @returns percent of the work done since `startedAt`; for a run found after a takeover that is the time it was found */
function observedProgress (run: LedgerRun): number {
  return run.percent - (run.foundPercent ?? 0)
}
