/**
 * Names sets of endpoints by a digest, so that two instances can find out with a few bytes whether they know the same ones. An owner
 * reports the digest of the endpoints at which it may have runs. Another instance knows all of them if it has held the same set itself; that
 * its copy of the store's list is recent proves nothing, since the entry of an endpoint can be missing for as long as the endpoint is cut off from the store.
 */
import type { EndpointId } from '@cranberryyard/protocol'
import { hash32 } from '../utils/rendezvous.js'

/** Number of sets that are kept. A list gives two at most, and a report is compared a few seconds after it was made. */
const SETS_KEPT = 24

/** The sets of endpoints that this instance has held lately. */
export class EndpointSets {
  /** In the order in which the sets were last held. */
  private readonly byDigest = new Map<number, ReadonlySet<EndpointId>>()

  /**
   * Keeps a set, and forgets the one that was held least recently if there are too many.
   * @returns the digest of the set, which does not depend on the order of the ids
   */
  remember (ids: Iterable<EndpointId>): number {
    const set = new Set(ids)
    const digest = digestOf(set)
    this.byDigest.delete(digest)
    this.byDigest.set(digest, set)
    if (this.byDigest.size > SETS_KEPT) this.byDigest.delete(this.byDigest.keys().next().value as number)
    return digest
  }

  /** Returns the ids of a set, or undefined if this instance has not held it lately. */
  get (digest: number): ReadonlySet<EndpointId> | undefined {
    return this.byDigest.get(digest)
  }
}

function digestOf (ids: ReadonlySet<EndpointId>): number {
  let digest = ids.size
  for (const id of ids) digest ^= hash32(id)
  return digest >>> 0
}
