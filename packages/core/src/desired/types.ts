/**
 * Types of the exchange of versions between instances. A version is sent as its difference from an earlier one that both sides hold, since operators
 * change a few queues at a time and a whole state may take seconds on a slow link.
 */
import type { InstanceId } from '@cranberryyard/protocol'

/** A peer that waits for a version. */
export interface Requester {
  readonly peer: InstanceId
  /** Versions that the peer holds; undefined if it runs an earlier version of this program, which takes whole states only. */
  readonly known: readonly number[] | undefined
}
