/**
 * Links of an in-memory fleet: delays, loss, reordering by jitter, and cuts between failure domains.
 */
import type { Random } from '@cranberryyard/core'

/** Where something stands; the platform is a place of its own. */
export type Place = string

/** Name of the platform as a place. */
export const PLATFORM: Place = 'platform'

/** Behaviour of links. Delays are one way, in milliseconds. */
export interface LinkProfile {
  readonly nearMs: number
  readonly farMs: number
  readonly jitterMs: number
  /** Messages between instances lost out of a thousand. */
  lossPerMille: number
  /** Messages out of a thousand that arrive up to LATE_MAX_MS later, behind newer ones. */
  latePerMille: number
  /** Messages between instances out of a thousand that arrive twice. */
  doublePerMille: number
}

const LATE_MAX_MS = 3000

/** Which places reach which. */
export class Links {
  private readonly cuts = new Set<string>()

  constructor (readonly profile: LinkProfile, private readonly random: Random) {}

  /** Cuts one direction between two places. */
  cutOneWay (from: Place, to: Place): void {
    this.cuts.add(`${from}>${to}`)
  }

  /** Cuts both directions between two places. */
  cut (a: Place, b: Place): void {
    this.cutOneWay(a, b)
    this.cutOneWay(b, a)
  }

  /** Ends all cuts. */
  heal (): void {
    this.cuts.clear()
  }

  /** @returns true while something is cut */
  get isCut (): boolean {
    return this.cuts.size > 0
  }

  /** @returns true when a message from one place reaches the other */
  reaches (from: Place, to: Place): boolean {
    return !this.cuts.has(`${from}>${to}`)
  }

  /** @returns true when a message between instances is lost */
  loses (): boolean {
    return this.random.below(1000) < this.profile.lossPerMille
  }

  /** @returns true when a message between instances arrives twice */
  doubles (): boolean {
    return this.random.below(1000) < this.profile.doublePerMille
  }

  /** @returns one-way delay between two places */
  delay (from: Place, to: Place): number {
    const base = from === to ? this.profile.nearMs : this.profile.farMs
    const late = this.random.below(1000) < this.profile.latePerMille ? this.random.below(LATE_MAX_MS) : 0
    return base + late + this.random.below(1000) / 1000 * this.profile.jitterMs
  }
}
