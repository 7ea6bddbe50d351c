/**
 * Types of the membership decision.
 */
import type { MemberEntry, Ms } from '@cranberryyard/protocol'

/** The newest entry known of a member, with what this instance has observed of it. */
export interface Member extends MemberEntry {
  /** When an entry with a newer heartbeat of this member last arrived, from the member or through a peer. */
  readonly lastHeartbeatAt: Ms
  /** True after the connection to the member broke; it is suspect until a newer heartbeat arrives. */
  readonly linkDown: boolean
}
