/**
 * What peers have told of versions newer than the one in force: which there are, since when, and which peer to ask next. The decider uses it to
 * request versions, and to stop acting by a version that was replaced long ago.
 */
import type { InstanceId, Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'

/** How long after the last mention of a newer version an instance still counts as in contact with those that have it. */
const MENTION_VALID_MS = 3000

/** The newer versions that peers have named. */
export class NewerVersions {
  /** The newest version that a peer has named, and since when it has existed at least. */
  newest = { version: 0, since: ms(0) }
  /** The peer that named a newer version last. */
  lastNamedBy: InstanceId | undefined
  /** The version that each peer named last. */
  private readonly versions = new Map<InstanceId, number>()
  /** Peers that run a version of this program which answers requests for changes. */
  private readonly sendingChanges = new Set<InstanceId>()
  /** Peers that were asked since all that have a newer version were. */
  private readonly asked = new Set<InstanceId>()
  private inForce = 0
  /** Since when the version in force has been replaced, as far as peers have told; undefined if it has not. */
  replacedSince: Ms | undefined
  private namedAt = -Infinity

  /**
   * Records the version of a peer.
   * @param ageMs - how long the peer has known of the version
   * @returns whether no peer has named this version or a newer one before
   */
  named (peer: InstanceId, version: number, ageMs: Ms, now: Ms): boolean {
    this.versions.set(peer, version)
    if (version <= this.inForce) return false
    const since = ms(now - ageMs)
    this.lastNamedBy = peer
    this.namedAt = now
    this.replacedSince = ms(Math.min(this.replacedSince ?? Infinity, since))
    if (version === this.newest.version) this.newest.since = ms(Math.min(this.newest.since, since))
    if (version <= this.newest.version) return false
    this.newest = { version, since }
    return true
  }

  /** Records whether a peer answers requests for changes, as its pings and pongs show. */
  setSendsChanges (peer: InstanceId, sendsChanges: boolean): void {
    if (sendsChanges) this.sendingChanges.add(peer)
    else this.sendingChanges.delete(peer)
  }

  /**
   * Records that a version came into force.
   * @returns since when it has existed, as far as is known
   */
  cameIntoForce (version: number, now: Ms): Ms {
    const { newest } = this
    this.inForce = version
    this.lastNamedBy = undefined
    this.replacedSince = version < newest.version ? newest.since : undefined
    this.asked.clear()
    return version === newest.version ? newest.since : now
  }

  /** Returns the version that a peer named last. */
  versionOf (peer: InstanceId): number {
    return this.versions.get(peer) ?? 0
  }

  /** Returns whether the version in force was replaced longer ago than the given time, as peers say with which there is contact. */
  replacedFor (durationMs: number, now: Ms): boolean {
    return this.replacedSince !== undefined && now - this.replacedSince > durationMs && now - this.namedAt < MENTION_VALID_MS
  }

  /**
   * Returns the peer to ask for a newer version: the preferred one, or if it was asked already, since it may be out of reach, another one that has it.
   * @param asChange - whether it must answer requests for changes
   */
  peerToAsk (preferred: InstanceId, asChange: boolean): InstanceId | undefined {
    const isUsable = (peer: InstanceId): boolean => !asChange || this.sendingChanges.has(peer)
    const holders = [preferred, ...this.versions.keys()].filter(peer => isUsable(peer) && (peer === preferred || this.versionOf(peer) > this.inForce))
    const next = holders.find(peer => !this.asked.has(peer))
    if (next === undefined) this.asked.clear()
    const peer = next ?? holders[0]
    if (peer !== undefined) this.asked.add(peer)
    return peer
  }
}
