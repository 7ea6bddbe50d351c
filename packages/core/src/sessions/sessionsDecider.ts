/**
 * Watches peers: fronts ping the owners they use, owners answer. A silent connection is replaced once; a peer that
 * stays silent, refuses connections or comes back as another life is lost, and whoever depends on it is told.
 * Owners of other domains are pinged only by owners and by fronts with jobs there; the owner of the own domain vouches
 * for them, so that pings do not grow with instances times domains.
 */
import type { FailureDomain, InstanceId, Ms, ShardMessage } from '@cranberryyard/protocol'
import type { ShardContext } from '../shard/types.js'
import { SessionsDb } from './sessionsDb.js'
import type { PeerSession, SessionListener } from './types.js'

/** Period of pings to an owner that is lost, to learn that it is back. */
const LOST_PING_MS = 400

/** How long an owner of another domain counts as live after the own domain's owner vouched for it; a few of its pings. */
const VOUCHED_MS = 800

/** Says which version of the desired state is in force here. */
export type VersionOf = () => number

/** The session decision. */
export class SessionsDecider {
  readonly db = new SessionsDb()

  constructor (private readonly ctx: ShardContext, private readonly desiredVersion: VersionOf, private readonly listener: SessionListener) {}

  /** Sends a message to a peer whose address is known. */
  tell (to: InstanceId, message: ShardMessage): void {
    const peer = this.db.peers.get(to)
    if (peer === undefined || peer.address === '') return
    this.ctx.out.push({ type: 'send', to, address: peer.address, message })
  }

  /** Notes that something arrived from a peer. */
  heard (from: InstanceId, incarnation: number | undefined, address: string): void {
    const peer = this.db.peer(from, address)
    const otherLife = incarnation !== undefined && peer.incarnation !== 0 && incarnation !== peer.incarnation
    if (otherLife) this.lose(peer, 'otherLife')
    if (incarnation !== undefined) peer.incarnation = incarnation
    peer.heardAt = this.ctx.now
    peer.pingedSince = undefined
    peer.relinked = false
    if (peer.lost) {
      peer.lost = false
      this.ctx.out.log('peer.heard', { peer: from, incarnation: peer.incarnation })
      this.listener.peerHeard(from)
    }
  }

  /** A peer uses a shard that this instance owns; it is watched from now on. */
  pinged (from: InstanceId): void {
    const peer = this.db.peers.get(from)
    if (peer !== undefined) peer.pingsUs = true
  }

  /** A connection to a peer could not be made: the process is gone or cut off. */
  unreachable (instance: InstanceId): void {
    const peer = this.db.peers.get(instance)
    if (peer !== undefined) this.lose(peer, 'unreachable')
  }

  /** A connection broke; a ping shows at once whether the peer still lives. */
  linkDown (instance: InstanceId): void {
    const peer = this.db.peers.get(instance)
    if (peer !== undefined && peer.address !== '') this.ping(peer)
  }

  /**
   * Pings the owners that this instance uses when they are silent; watches all peers that were heard.
   * @param targets - owners with the silence after which each is pinged
   * @param needs - whether the silence of any other peer matters here
   */
  tick (targets: ReadonlyMap<InstanceId, Ms>, needs: (peer: PeerSession) => boolean): void {
    for (const peer of this.db.peers.values()) {
      const periodMs = targets.get(peer.instance)
      if (periodMs !== undefined && this.isPingDue(peer, periodMs)) this.ping(peer)
      if (periodMs !== undefined || needs(peer)) {
        this.watch(peer)
      } else {
        peer.heardAt = undefined
        peer.pingedSince = undefined
      }
    }
  }

  /** @returns true when the peer was heard lately */
  isLive (instance: InstanceId): boolean {
    const peer = this.db.peers.get(instance)
    if (peer === undefined || peer.lost) return false
    return peer.heardAt !== undefined || this.ctx.now - (peer.vouchedAt ?? -Infinity) < VOUCHED_MS
  }

  /** @returns true when messages to the peer were without an answer for too long, or its process refuses connections */
  isLost (instance: InstanceId): boolean {
    return this.db.peers.get(instance)?.lost === true
  }

  /** @returns live owner of a shard */
  ownerOf (failureDomain: FailureDomain): InstanceId | undefined {
    const shard = this.db.shards.get(failureDomain)
    if (shard === undefined || shard.disowned) return undefined
    return shard.owner === this.ctx.self.instance || this.isLive(shard.owner) ? shard.owner : undefined
  }

  private isPingDue (peer: PeerSession, periodMs: Ms): boolean {
    const { now } = this.ctx
    const pinged = peer.lastPingAt ?? -Infinity
    if (peer.lost) return now - pinged >= LOST_PING_MS
    return now - Math.max(pinged, peer.heardAt ?? -Infinity) >= periodMs
  }

  private ping (peer: PeerSession): void {
    const { now, self } = this.ctx
    peer.lastPingAt = now
    peer.pingedSince ??= now
    this.tell(peer.instance, { type: 'ping', incarnation: self.incarnation, address: self.address, desiredVersion: this.desiredVersion() })
  }

  private watch (peer: PeerSession): void {
    const { now, cfg, out } = this.ctx
    const since = peer.heardAt ?? peer.pingedSince
    if (peer.lost || since === undefined) return
    const silentMs = now - since
    if (silentMs >= cfg.peerTimeoutMs) {
      this.lose(peer, 'silent')
    } else if (silentMs >= cfg.relinkMs && !peer.relinked) {
      peer.relinked = true
      out.push({ type: 'resetLink', peer: peer.instance })
      this.ping(peer)
    }
  }

  private lose (peer: PeerSession, why: string): void {
    const { out, now } = this.ctx
    if (peer.lost) return
    peer.lost = true
    peer.pingsUs = false
    out.count('shard.peers.lost')
    out.log('peer.lost', { peer: peer.instance, why, silentMs: Math.round(now - (peer.heardAt ?? now)), incarnation: peer.incarnation }, 'warn')
    this.listener.peerLost(peer.instance, why)
  }
}
