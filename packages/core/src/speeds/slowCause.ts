/**
 * Tells a slow endpoint from a long task. Both make a run slow, but a long task would take as long anywhere, so moving it throws
 * work away, and its endpoint must keep its trust. What the other runs at the endpoint did meanwhile decides.
 */
import type { Ms } from '@cranberryyard/protocol'
import type { LedgerEndpoint, LedgerRun } from '../endpoints/types.js'
import type { SlowCause } from './types.js'

/** Progress from which a run tells something about its endpoint, in percent. */
const PROGRESS_MIN_PERCENT = 8
/** Projected run time divided by the expected one, up to which a run shows that its endpoint is sound. */
const SOUND_SLOWNESS = 1.7

/**
 * @param run - a run that makes progress, but too little
 * @param endpoint - where it runs
 * @param now - the time
 * @param soundAt - when a run last ended there after about its expected time
 */
export function slowCauseOf (run: LedgerRun, endpoint: Pick<LedgerEndpoint, 'runs'>, soundAt: Ms, now: Ms): SlowCause {
  // What ended early in the run's life says nothing about an endpoint that has turned slow since.
  let sound = soundAt - run.startedAt > (now - run.startedAt) / 2 ? 1 : 0
  let slow = 0
  for (const other of endpoint.runs.values()) {
    if (other.task === run.task || other.percentAt <= run.startedAt) continue
    const slowness = projectedSlowness(other)
    if (slowness === undefined) continue
    if (slowness <= SOUND_SLOWNESS) sound++
    else slow++
  }
  if (sound === 0 && slow === 0) return 'unknown'
  return sound >= slow ? 'task' : 'endpoint'
}

function projectedSlowness ({ percent, percentAt, foundPercent, startedAt, expectedMs }: LedgerRun): number | undefined {
  if (foundPercent !== undefined || expectedMs === undefined || percent < PROGRESS_MIN_PERCENT) return undefined
  return (percentAt - startedAt) * 100 / percent / Math.max(1, expectedMs)
}
