/**
 * Judges how fast a run goes, from its progress and from the other tasks of its step. Estimates are off by up to 40%, so
 * the siblings count for more as soon as there are enough of them.
 */
import type { Ms } from '@cranberryyard/protocol'
import type { LedgerRun } from '../endpoints/types.js'
import type { OwnedStep } from './types.js'

/** Slowness of a task that stands still. */
export const STALL_SLOWNESS = 10
/** Estimates are too low by up to about this factor; without other tasks of the step to compare with, it is allowed for. */
const ESTIMATE_TOLERANCE = 1.7
/** Tasks of a step that must have ended before their times replace its estimate. */
const SIBLINGS_MIN = 2
/** A task without any progress after this time, or after this share of its expected time, stands still. */
const STALL_MIN_MS = 150
const STALL_SHARE = 0.25
/** Before that the time of a run says too little about its speed: answers take a few milliseconds each way. */
const JUDGE_RUN_MS = 60
/** Progress figures are whole percents; below this they say too little about speed. */
const PROGRESS_MIN_PERCENT = 4

/**
 * Time that a task of the step takes at a sound endpoint: the median of its siblings, ended or at work; with too few
 * of them at least the estimate and what that may be off.
 * @param step - the step
 * @param run - the run that is judged; it does not count as its own sibling
 * @param expectedMs - the estimate, corrected by what was learned of the queue
 */
export function soundMs (step: OwnedStep, run: LedgerRun, expectedMs: number): number {
  const siblings = siblingsMs(step, run).sort((a, b) => a - b)
  const median = siblings[Math.floor((siblings.length - 1) / 2)] ?? 0
  if (siblings.length >= SIBLINGS_MIN) return Math.max(1, median)
  return Math.max(1, median, expectedMs * ESTIMATE_TOLERANCE)
}

/**
 * Compares a run with a sound one.
 * @param step - the step
 * @param run - a run at work
 * @param expectedMs - the estimate, corrected by what was learned of the queue
 * @param now - the time
 * @returns time it takes over the time it should take; 1 while too little is known
 */
export function slownessOf (step: OwnedStep, run: LedgerRun, expectedMs: number, now: Ms): number {
  const sound = soundMs(step, run, expectedMs)
  const ranMs = now - run.startedAt
  const stalledAfterMs = Math.max(STALL_MIN_MS, sound * STALL_SHARE)
  if (ranMs < JUDGE_RUN_MS) return 1
  if (progressOf(run) < PROGRESS_MIN_PERCENT) return ranMs > stalledAfterMs ? STALL_SLOWNESS : 1
  if (now - run.percentAt > stalledAfterMs) return STALL_SLOWNESS
  const othersUnknown = step.tasks.length > SIBLINGS_MIN && siblingsMs(step, run).length < SIBLINGS_MIN
  return othersUnknown ? 1 : (ranMs * 100 / progressOf(run)) / sound
}

/** @returns times of the step's other tasks: as they ended, or as they will at their present speed */
function siblingsMs (step: OwnedStep, except: LedgerRun): number[] {
  const atWork = step.tasks.flatMap(({ run }) => {
    if (run === undefined || run === except || progressOf(run) < PROGRESS_MIN_PERCENT) return []
    return [(run.percentAt - run.startedAt) * 100 / progressOf(run)]
  })
  return [...step.ranMs, ...atWork]
}

/** @returns percent of the work that was done since `startedAt`, which for a run that was found is when it was found */
function progressOf (run: LedgerRun): number {
  return run.percent - (run.foundPercent ?? 0)
}
