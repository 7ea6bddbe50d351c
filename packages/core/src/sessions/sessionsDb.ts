/**
 * State of the session decision: the known peers, and for each shard its owner, fencing token and load. It merges what
 * owners report about themselves with what they report about others. When a peer counts as live or lost is decided in
 * `sessionsDecider.ts`.
 */
import type { ClockReading, FailureDomain, InstanceId, Ms, OtherShard, OwnedShard, ShardLoad } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { KnownShard, PeerSession } from './types.js'

/** Time for which a reading of a peer's clock is preferred to one that others report; a few ping periods. */
const READING_RECENT_MS = 1000

const NO_LOAD: ShardLoad = { waitMs: ms(0), busyShare: 0 }

/** The known peers and shards. */
export class SessionsDb {
  readonly peers = new Map<InstanceId, PeerSession>()
  readonly shards = new Map<FailureDomain, KnownShard>()

  /** Returns the peer's session and creates it on first use. A non-empty address replaces the known one. */
  peer (instance: InstanceId, address: string): PeerSession {
    const known = this.peers.get(instance)
    if (known !== undefined) {
      if (address !== '') known.address = address
      return known
    }
    const session: PeerSession = {
      instance,
      address,
      incarnation: 0,
      incarnationSince: undefined,
      incarnationHeardAt: undefined,
      clock: undefined,
      lastReceivedAt: undefined,
      reportedLiveAt: undefined,
      firstUnansweredPingAt: undefined,
      lastPingAt: undefined,
      loadSentAt: undefined,
      endpointsDigests: new Map(),
      connectionReplaced: false,
      connectionReplacedForPeerAt: undefined,
      usesOwnedShard: false,
      lost: false,
      leaving: false
    }
    this.peers.set(instance, session)
    return session
  }

  /**
   * Records the owner of a shard if its token is higher than the known one.
   * @returns true when the token was higher
   */
  learnOwner (shard: Pick<KnownShard, 'failureDomain' | 'owner' | 'token'>): boolean {
    const known = this.shards.get(shard.failureDomain)
    if (known !== undefined && known.token >= shard.token) return false
    this.shards.set(shard.failureDomain, { ...shard, disowned: false, load: NO_LOAD })
    return known?.owner !== shard.owner || known.token !== shard.token
  }

  /** Applies an instance's report of the shards it owns. A shard that it no longer lists is marked as disowned. */
  learnOwned (owner: InstanceId, owned: readonly OwnedShard[]): void {
    for (const { failureDomain, token, load, endpointsDigest } of owned) {
      this.learnOwner({ failureDomain, owner, token })
      if (endpointsDigest !== undefined) this.peer(owner, '').endpointsDigests.set(failureDomain, endpointsDigest)
      const shard = this.shards.get(failureDomain)
      if (shard?.owner === owner) Object.assign(shard, { load, disowned: false })
    }
    for (const shard of this.shards.values()) {
      if (shard.owner === owner && !owned.some(entry => entry.failureDomain === shard.failureDomain)) shard.disowned = true
    }
  }

  /**
   * Applies the report that the owner of this instance's own domain makes about other owners. What an owner reports about
   * itself takes precedence: under the same token, a shard that it has disowned stays disowned.
   */
  learnOthers (others: readonly OtherShard[], now: Ms): void {
    for (const { failureDomain, owner, address, token, load, clock, endpointsDigest } of others) {
      const peer = this.peer(owner, address)
      peer.reportedLiveAt = now
      // What the owner says itself is later than what others pass on.
      if (endpointsDigest !== undefined && (peer.lastReceivedAt === undefined || !peer.endpointsDigests.has(failureDomain))) peer.endpointsDigests.set(failureDomain, endpointsDigest)
      if (clock !== undefined && isBetterReading(peer, clock, now)) peer.clock = { reading: clock, readAt: now }
      this.learnOwner({ failureDomain, owner, token })
      const shard = this.shards.get(failureDomain)
      if (shard?.owner === owner) shard.load = load
    }
  }
}

/** A reading that came through another instance does not replace a recent one, unless it is ahead of it. */
function isBetterReading ({ clock }: PeerSession, reading: ClockReading, now: Ms): boolean {
  if (clock === undefined || now - clock.readAt >= READING_RECENT_MS) return true
  return reading.incarnation === clock.reading.incarnation && reading.at > clock.reading.at + now - clock.readAt
}
