/**
 * Decides which connection of a server is read next. It answers the load of many connections that send costly input, such as bodies in chunks of one
 * byte: a request on a new connection must not wait for all of them. Cheap input is read first, in the order in which it came. Costly input gets half of
 * the time, a slice of each connection in turn, so that nobody waits for good. Input that is small but comes again and again becomes costly.
 */
import type { Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { TurnsDb } from './turnsDb.js'
import type { Turn, TurnSettings } from './types.js'

/** A chunk of a body takes at least six bytes. */
const BYTES_PER_CHUNK = 6
/** The largest request inside the pages' limits takes fewer bytes. */
const CHEAP_BYTES = 16_384

/** Defaults of the settings. */
export const TURN_DEFAULTS: TurnSettings = {
  turnUnits: 4000,
  costlyUnits: 1000,
  cheapUnits: Math.ceil(CHEAP_BYTES / BYTES_PER_CHUNK),
  bytesPerUnit: BYTES_PER_CHUNK,
  halfLifeMs: ms(1000),
  maxPauseMs: ms(100)
}

/** Decides about the connections of one server. */
export class TurnsDecider {
  readonly db = new TurnsDb()

  constructor (private readonly cfg: TurnSettings = TURN_DEFAULTS) {}

  /** Adds a connection on which nothing has arrived yet. */
  open (now: Ms): Turn {
    return { bytes: 0, spentUnits: 0, spentAt: now, isCostly: false }
  }

  close (turn: Turn): void {
    this.db.remove(turn)
  }

  /** Has a connection wait for its turn, with the bytes that have arrived on it. @returns whether it waits among the costly ones */
  wait (turn: Turn, bytes: number, now: Ms): boolean {
    const isCheap = this.isCheap(turn, bytes, now)
    turn.bytes = bytes
    if (this.db.costly.has(turn)) return true
    if (isCheap) {
      this.db.cheap.add(turn)
      return false
    }
    this.db.cheap.delete(turn)
    this.db.costly.add(turn)
    return true
  }

  /** Begins to read input that has just arrived, unless it has to wait. @returns whether it is read now */
  readAtOnce (turn: Turn, bytes: number, now: Ms): boolean {
    if (this.db.cheap.size > 0 || this.db.turnUnits >= this.cfg.turnUnits) return false
    turn.isCostly = !this.isCheap(turn, bytes, now)
    return !turn.isCostly || this.db.costly.size === 0
  }

  /** Chooses the connection to read a slice of next, which waits no longer; undefined if none is to be read in this turn any more. */
  next (now: Ms): Turn | undefined {
    const [cheap] = this.db.cheap
    if (cheap !== undefined && this.db.turnUnits < this.cfg.turnUnits) return this.take(cheap, false)
    const [costly] = this.db.costly
    if (costly === undefined || now < this.db.costlyPausedUntil || this.db.turnCostlyUnits >= this.cfg.costlyUnits) return undefined
    this.db.costlySince ??= now
    return this.take(costly, true)
  }

  /** Counts what a read has cost. */
  spend (turn: Turn, units: number, now: Ms): void {
    turn.spentUnits = this.spentUnits(turn, now) + units
    turn.spentAt = now
    this.db.turnUnits += units
    if (turn.isCostly) this.db.turnCostlyUnits += units
  }

  isCheap (turn: Turn, bytes: number, now: Ms): boolean {
    return this.spentUnits(turn, now) + bytes / this.cfg.bytesPerUnit <= this.cfg.cheapUnits
  }

  /** Begins the next turn of the event loop. */
  startTurn (now: Ms): void {
    const { costlySince } = this.db
    if (costlySince !== undefined) this.db.costlyPausedUntil = ms(now + Math.min(now - costlySince, this.cfg.maxPauseMs))
    this.db.costlySince = undefined
    this.db.turnUnits = 0
    this.db.turnCostlyUnits = 0
  }

  /** @returns when the next turn is needed for what waits: 0 at once, undefined if nothing waits */
  pauseMs (now: Ms): Ms | undefined {
    if (this.db.cheap.size > 0) return ms(0)
    if (this.db.costly.size === 0) return undefined
    return ms(Math.max(0, this.db.costlyPausedUntil - now))
  }

  private take (turn: Turn, isCostly: boolean): Turn {
    this.db.remove(turn)
    turn.isCostly = isCostly
    return turn
  }

  private spentUnits ({ spentUnits, spentAt }: Turn, now: Ms): number {
    return spentUnits === 0 ? 0 : spentUnits * 0.5 ** ((now - spentAt) / this.cfg.halfLifeMs)
  }
}
