import type { Brand } from './ids.js'

/** A point in time or a span, in milliseconds. */
export type Ms = Brand<number, 'Ms'>

/** The only source of time. Tests inject one that they move by hand. */
export interface Clock {
  /** @returns monotonic time in milliseconds */
  now (): Ms
  /** @returns wall-clock time in milliseconds since 1970, agreed between machines within the configured skew */
  wall (): Ms
}

/**
 * Marks a number as milliseconds.
 * @param n - milliseconds
 * @returns the same number, typed
 */
export const ms = (n: number): Ms => n as Ms

/** Reads the process's clocks. */
export const systemClock: Clock = {
  now: () => performance.now() as Ms,
  wall: () => Date.now() as Ms
}
