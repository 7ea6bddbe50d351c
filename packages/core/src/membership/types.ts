/**
 * Types of the membership decision.
 */
import type { MemberEntry, Ms } from '@cranberryyard/protocol'

/** A member with what this instance observed of it. */
export interface Member extends MemberEntry {
  /** When its heartbeat was last seen to grow. */
  readonly advancedAt: Ms
  /** A broken connection makes a member suspect until its heartbeat grows again. */
  readonly linkDown: boolean
}
