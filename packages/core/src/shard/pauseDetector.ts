/**
 * Detects that the process was paused or its machine suspended, from the time between two inputs.
 */
import type { Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'

/** A pause that has just ended. */
export interface Pause {
  /** Length of the pause. */
  readonly elapsedMs: Ms
  /** The part of it that the monotonic clock has counted. */
  readonly steadyMs: Ms
}

/** Compares the time of each input with that of the one before, on both clocks. */
export class PauseDetector {
  private last: { readonly at: Ms, readonly wall: Ms } | undefined

  /** @param pauseMs - longest time without an input that is no pause */
  constructor (private readonly pauseMs: Ms) {}

  /** Returns the pause that has ended with this input, if there was one. */
  inputArrived (now: Ms, wall: Ms): Pause | undefined {
    const last = this.last ?? { at: now, wall }
    this.last = { at: now, wall }
    const steadyMs = ms(now - last.at)
    const elapsedMs = ms(Math.max(steadyMs, wall - last.wall))
    return elapsedMs < this.pauseMs ? undefined : { elapsedMs, steadyMs }
  }
}
