/**
 * Learns whether it pays to restart a slow run elsewhere. Where a few tasks are simply long, each restart throws work away and the
 * task is as long at the next endpoint. Where endpoints turn slow, most restarted tasks end sooner.
 */
import type { Ms, ServiceName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'

/** Time constant with which outcomes are forgotten, so that moves are tried again after a while. */
const MEMORY_MS = 20_000
/** Moves that count as successful before any was seen. */
const PRIOR_MOVES = 2
/** Share of the moves that have to succeed. */
const SUCCESS_SHARE_MIN = 0.5

interface Outcomes {
  at: Ms
  moves: number
  successes: number
}

/** What became of tasks that were restarted because their run was slow. */
export class MoveOutcomes {
  private readonly byService = new Map<ServiceName, Outcomes>()

  /** @param succeeded - the task was not slow at its next endpoint */
  record (service: ServiceName, succeeded: boolean, now: Ms): void {
    const { moves, successes } = this.faded(service, now)
    this.byService.set(service, { at: now, moves: moves + 1, successes: successes + (succeeded ? 1 : 0) })
  }

  /** @returns whether a slow run should be restarted of which nothing tells why it is slow */
  isWorthTrying (service: ServiceName, now: Ms): boolean {
    const { moves, successes } = this.faded(service, now)
    return (successes + PRIOR_MOVES) / (moves + PRIOR_MOVES) >= SUCCESS_SHARE_MIN
  }

  private faded (service: ServiceName, now: Ms): Outcomes {
    const { at, moves, successes } = this.byService.get(service) ?? { at: ms(now), moves: 0, successes: 0 }
    const share = Math.exp((at - now) / MEMORY_MS)
    return { at: now, moves: moves * share, successes: successes * share }
  }
}
