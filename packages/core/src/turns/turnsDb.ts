/**
 * State of the turns decision: the connections that wait to be read, in the order in which they began to, and what the present turn has cost.
 * `TurnsDecider` makes all decisions.
 */
import type { Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { Turn } from './types.js'

/** The connections of one server that wait. */
export class TurnsDb {
  readonly cheap = new Set<Turn>()
  readonly costly = new Set<Turn>()
  /** Cost of the present turn, and the part of its costly reads. */
  turnUnits = 0
  turnCostlyUnits = 0
  /** When the first costly read of the present turn began. */
  costlySince: Ms | undefined
  costlyPausedUntil: Ms = ms(0)

  remove (turn: Turn): void {
    this.cheap.delete(turn)
    this.costly.delete(turn)
  }
}
