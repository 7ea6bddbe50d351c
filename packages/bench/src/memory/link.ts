/**
 * Simulates the network of an in-memory fleet: delay, loss, duplication, reordering by jitter, and cuts between failure
 * domains. The links decide only whether and when a message arrives; the fleet delivers it.
 */
import type { Random } from '@cranberryyard/core'

/** One side of a link: the name of a failure domain, or PLATFORM. */
export type LinkEnd = string

/** The platform, which belongs to no failure domain. */
export const PLATFORM: LinkEnd = 'platform'

/** Behaviour of links. Delays are one way: `nearMs` within a failure domain, `farMs` between two. */
export interface LinkProfile {
  readonly nearMs: number
  readonly farMs: number
  readonly jitterMs: number
  /** Messages between instances, out of a thousand, that are lost. */
  lossPerMille: number
  /** Messages, out of a thousand, that arrive up to LATE_DELAY_MAX_MS later and so behind newer ones. */
  latePerMille: number
  /** Messages between instances, out of a thousand, that arrive twice. */
  doublePerMille: number
}

const LATE_DELAY_MAX_MS = 3000

/** The links of a fleet with their present cuts. */
export class Links {
  private readonly cuts = new Set<string>()

  constructor (readonly profile: LinkProfile, private readonly random: Random) {}

  /** Cuts one direction between two failure domains, or a domain and the platform. */
  cutOneWay (from: LinkEnd, to: LinkEnd): void {
    this.cuts.add(`${from}>${to}`)
  }

  /** Cuts both directions. */
  cut (a: LinkEnd, b: LinkEnd): void {
    this.cutOneWay(a, b)
    this.cutOneWay(b, a)
  }

  /** Ends all cuts. */
  heal (): void {
    this.cuts.clear()
  }

  get isCut (): boolean {
    return this.cuts.size > 0
  }

  /** @returns true when no cut blocks messages in this direction */
  reaches (from: LinkEnd, to: LinkEnd): boolean {
    return !this.cuts.has(`${from}>${to}`)
  }

  /** Draws whether the next message between instances is lost. */
  drawLoss (): boolean {
    return this.random.below(1000) < this.profile.lossPerMille
  }

  /** Draws whether the next message between instances arrives twice. */
  drawDuplicate (): boolean {
    return this.random.below(1000) < this.profile.doublePerMille
  }

  /** Draws the one-way delay of the next message in milliseconds. */
  delay (from: LinkEnd, to: LinkEnd): number {
    const baseMs = from === to ? this.profile.nearMs : this.profile.farMs
    const lateMs = this.random.below(1000) < this.profile.latePerMille ? this.random.below(LATE_DELAY_MAX_MS) : 0
    return baseMs + lateMs + this.random.below(1000) / 1000 * this.profile.jitterMs
  }
}
