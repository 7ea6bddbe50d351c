/**
 * Types of the turns decision: which of a server's connections are read next, when more has arrived on them than one turn of the event loop can read.
 */
import type { Ms } from '@cranberryyard/protocol'

/** What reading costs. One unit is about the cost of a chunk of a body. */
export interface TurnSettings {
  /** Cost of a turn after which nothing more is read in it. */
  readonly turnUnits: number
  /** Cost of a turn's costly reads after which no further costly read begins in it. */
  readonly costlyUnits: number
  /** A connection whose input costs no more than this, with what it has cost lately, is read before costly ones. */
  readonly cheapUnits: number
  /** Fewest bytes that can cost a unit. */
  readonly bytesPerUnit: number
  /** Time in which half of what a connection has cost is forgotten. */
  readonly halfLifeMs: Ms
  /** Longest pause of the costly reads, which is as long as the last turn with one took. */
  readonly maxPauseMs: Ms
}

/** A connection with what waits to be read on it. It is the handle by which the shell names it. */
export interface Turn {
  /** Bytes that have arrived and wait to be read. */
  bytes: number
  /** What reads of it have cost lately, as of `spentAt`. */
  spentUnits: number
  spentAt: Ms
  /** Whether its present read counts as costly. */
  isCostly: boolean
}
