/**
 * The clock interface through which all packages read time, and the branded millisecond type. Code takes a `Clock`
 * instead of calling the system, so that tests control time.
 */
import type { Brand } from './ids.js'

/** A point in time or a duration, in milliseconds. */
export type Ms = Brand<number, 'Ms'>

/** The only source of time. Tests inject a clock that they advance themselves. */
export interface Clock {
  /** @returns monotonic time in milliseconds */
  now (): Ms
  /** @returns wall-clock time in milliseconds since 1970; machines differ by at most the configured skew */
  wall (): Ms
}

/**
 * Marks a number as milliseconds.
 * @param n - milliseconds
 * @returns the same number, typed
 */
export const ms = (n: number): Ms => n as Ms

/** The clocks of this process. */
export const systemClock: Clock = {
  now: () => performance.now() as Ms,
  wall: () => Date.now() as Ms
}
