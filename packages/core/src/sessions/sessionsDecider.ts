/**
 * Decides which peers are live and which are lost. Fronts ping the owners they use, and owners answer. A silent
 * connection is replaced once; a peer that stays silent, refuses connections or restarts with another incarnation is lost,
 * and the listener is notified. Owners of other domains are pinged only by owners and by fronts with jobs there. The other
 * instances rely on the reports of their own domain's owner, so the number of pings does not grow with instances times
 * domains.
 */
import type { ClockReading, Evacuations, FailureDomain, InstanceId, Ms, ShardMessage } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { ShardContext } from '../shard/types.js'
import { SessionsDb } from './sessionsDb.js'
import type { PeerSession, SessionListener } from './types.js'

/** Period of pings to a lost owner; they detect that it is back. */
const LOST_PEER_PING_PERIOD_MS = 400

/** Minimum time between two replacements of a connection for a peer that receives nothing; messages on a slow link take less. */
const MIN_REPLACEMENT_INTERVAL_MS = 3000

/** Silence of an incarnation after which a message of a lower one is taken for a restart with a clock that was set back. */
const FORMER_INCARNATION_SILENCE_MS = 1000

/**
 * Time from the first message of an incarnation for which its silence has to last longer before it counts as lost. A process that has just started works slowly,
 * and after a loss of all machines it gets everything at once; a takeover would make its endpoints and jobs start anew.
 */
const STARTING_MS = 3000
/** Factor by which it has to last longer then. */
const STARTING_PATIENCE = 2

/** How long an owner of another domain counts as live after a report by the own domain's owner; a few of its ping periods. */
const REPORTED_LIVE_VALID_MS = 800

/** Returns the version of the desired state that is in force at this instance, for how long it has been known to exist, and the evacuations in force. */
export type GetDesiredVersion = () => { readonly desiredVersion: number, readonly desiredAgeMs?: Ms, readonly evacuations?: Evacuations }

/** Sends messages to peers, pings them, and tracks whether they are live. */
export class SessionsDecider {
  readonly db = new SessionsDb()
  private leaving = false

  constructor (private readonly ctx: ShardContext, private readonly desiredVersion: GetDesiredVersion, private readonly listener: SessionListener) {}

  /** Sends a message to a peer. Without a known address, the message is dropped. */
  send (to: InstanceId, message: ShardMessage): void {
    const peer = this.db.peers.get(to)
    if (peer === undefined || peer.address === '') return
    this.ctx.out.push({ type: 'send', to, address: peer.address, message })
  }

  /**
   * Records that a message arrived from a peer. A changed incarnation means that its previous process is lost.
   * @param time - the peer's clock when it sent the message, if the message carries it
   * @returns false if the message comes from a process that another one has followed, and has to be ignored. Incarnations rise, but a clock may have
   * been set back before a restart, so a lower one counts once the higher one has been silent.
   */
  messageReceived (from: InstanceId, incarnation: number | undefined, address: string, time?: Ms): boolean {
    const { now, out } = this.ctx
    const known = this.db.peers.get(from)
    if (incarnation !== undefined && known !== undefined && incarnation < known.incarnation && now - (known.incarnationHeardAt ?? -Infinity) < FORMER_INCARNATION_SILENCE_MS) {
      out.log('peer.formerIncarnation', { peer: from, formerIncarnation: incarnation, peerIncarnation: known.incarnation })
      return false
    }
    const peer = this.db.peer(from, address)
    const restarted = incarnation !== undefined && peer.incarnation !== 0 && incarnation !== peer.incarnation
    if (restarted) {
      this.markLost(peer, 'otherLife')
      peer.clock = undefined
      peer.endpointsDigests.clear()
    }
    if (incarnation !== undefined) peer.incarnationHeardAt = now
    if (incarnation !== undefined && incarnation !== peer.incarnation) Object.assign(peer, { incarnation, incarnationSince: now, leaving: false })
    if (incarnation !== undefined && time !== undefined) peer.clock = { reading: { incarnation, at: time }, readAt: this.ctx.now }
    peer.lastReceivedAt = this.ctx.now
    peer.firstUnansweredPingAt = undefined
    peer.connectionReplaced = false
    if (peer.lost) {
      peer.lost = false
      this.ctx.out.log('peer.heard', { peer: from, peerIncarnation: peer.incarnation })
      this.listener.peerRecovered(from)
    }
    return true
  }

  /**
   * A ping arrived: the peer uses a shard that this instance owns, so its silence matters from now on.
   * @param receivesNothing - the peer has received nothing from this instance for a while, though its own connection works
   */
  pingReceived (from: InstanceId, leaving: boolean, receivesNothing: boolean): void {
    const peer = this.db.peers.get(from)
    if (peer === undefined) return
    Object.assign(peer, { usesOwnedShard: true, leaving })
    if (receivesNothing) this.replaceConnectionForPeer(peer)
  }

  /** Tells the owner of this instance's failure domain that this process ends soon, and from now on every peer that it pings. */
  leave (): void {
    this.leaving = true
    const owner = this.db.shards.get(this.ctx.self.failureDomain)?.owner
    const peer = owner === undefined || owner === this.ctx.self.instance ? undefined : this.db.peers.get(owner)
    if (peer !== undefined) this.ping(peer)
  }

  /** Returns whether the peer's process is about to end, so that a shard must not be handed to it. */
  isLeaving (instance: InstanceId): boolean {
    return this.db.peers.get(instance)?.leaving === true
  }

  /** A connection to a peer could not be established: its process has ended or is cut off from the network. */
  connectionFailed (instance: InstanceId): void {
    const peer = this.db.peers.get(instance)
    if (peer !== undefined) this.markLost(peer, 'unreachable')
  }

  /** A connection broke. An immediate ping finds out whether the peer is still live. */
  connectionBroken (instance: InstanceId): void {
    const peer = this.db.peers.get(instance)
    if (peer !== undefined && peer.address !== '') this.ping(peer)
  }

  /** Pings a peer at once to tell it something new of which pings carry the latest. */
  tell (instance: InstanceId): void {
    const peer = this.db.peers.get(instance)
    if (peer !== undefined && instance !== this.ctx.self.instance) this.ping(peer)
  }

  /**
   * A peer answered that it does not own a shard or does not know a job. Its answer to a ping tells which shards it owns. This instance itself answers so
   * after a restart, while the record still names it; an answer to a ping of its own would come when it may own the shard again.
   */
  ownershipDenied (instance: InstanceId): void {
    const { now, cfg, self } = this.ctx
    if (instance === self.instance) return
    const peer = this.db.peers.get(instance)
    if (peer !== undefined && now - (peer.lastPingAt ?? -Infinity) >= cfg.pingMs) this.ping(peer)
  }

  /**
   * Pings silent owners that this instance uses, and checks the silence of these and of all other monitored peers.
   * @param targets - owners to ping, with the silence after which each is pinged
   * @param isMonitored - returns for any other peer whether its silence matters to this instance
   */
  tick (targets: ReadonlyMap<InstanceId, Ms>, isMonitored: (peer: PeerSession) => boolean): void {
    for (const peer of this.db.peers.values()) {
      const periodMs = targets.get(peer.instance)
      if (periodMs !== undefined && this.isPingDue(peer, periodMs)) this.ping(peer)
      if (periodMs !== undefined || isMonitored(peer)) {
        this.checkSilence(peer)
      } else {
        peer.lastReceivedAt = undefined
        peer.firstUnansweredPingAt = undefined
      }
    }
  }

  /** A peer is live while messages arrive from it, or shortly after the own domain's owner reported it as live. */
  isLive (instance: InstanceId): boolean {
    const peer = this.db.peers.get(instance)
    if (peer === undefined || peer.lost) return false
    return peer.lastReceivedAt !== undefined || this.ctx.now - (peer.reportedLiveAt ?? -Infinity) < REPORTED_LIVE_VALID_MS
  }

  /** A peer is lost when it was silent for too long, refused connections or restarted, and has not sent a message since. */
  isLost (instance: InstanceId): boolean {
    return this.db.peers.get(instance)?.lost === true
  }

  /** Returns the time that messages to peers carry. */
  timeForPeers (): Ms {
    return ms(this.ctx.now + this.ctx.suspendedMs)
  }

  /** Returns the time that a peer's clock shows at least; undefined if it is not known. */
  clockOf (instance: InstanceId): ClockReading | undefined {
    return this.clockAt(instance, this.ctx.now, ms(-Infinity))
  }

  /**
   * Returns the earliest time that a peer's clock can have shown when this instance had last read its other connections; undefined if it is not known.
   * @param knownAt - everything that had arrived by then has been handled
   * @param readUntil - when reads of all connections last ended: what had arrived before a reading that was handled by then has been handled too
   */
  clockAt (instance: InstanceId, knownAt: Ms, readUntil: Ms): ClockReading | undefined {
    const clock = this.db.peers.get(instance)?.clock
    if (clock === undefined) return undefined
    const sinceMs = knownAt - clock.readAt
    return { incarnation: clock.reading.incarnation, at: ms(clock.reading.at + (clock.readAt <= readUntil ? Math.max(0, sinceMs) : sinceMs)) }
  }

  /** Returns whether the present incarnation of a peer runs a version that sends clock readings. */
  sendsReadings (instance: InstanceId): boolean {
    const peer = this.db.peers.get(instance)
    return peer?.clock !== undefined && peer.clock.reading.incarnation === peer.incarnation
  }

  /** Returns the digest that an instance last reported of its endpoints as the owner of a shard; undefined if it has reported none. */
  endpointsDigestOf (instance: InstanceId, failureDomain: FailureDomain): number | undefined {
    return this.db.peers.get(instance)?.endpointsDigests.get(failureDomain)
  }

  /** Returns the owner of a shard if it is live or this instance itself. */
  ownerOf (failureDomain: FailureDomain): InstanceId | undefined {
    const shard = this.db.shards.get(failureDomain)
    if (shard === undefined || shard.disowned) return undefined
    return shard.owner === this.ctx.self.instance || this.isLive(shard.owner) ? shard.owner : undefined
  }

  private isPingDue (peer: PeerSession, periodMs: Ms): boolean {
    const { now } = this.ctx
    const lastPingAt = peer.lastPingAt ?? -Infinity
    if (peer.lost) return now - lastPingAt >= LOST_PEER_PING_PERIOD_MS
    return now - Math.max(lastPingAt, peer.lastReceivedAt ?? -Infinity) >= periodMs
  }

  private ping (peer: PeerSession): void {
    const { now, self } = this.ctx
    peer.lastPingAt = now
    peer.firstUnansweredPingAt ??= now
    this.send(peer.instance, { type: 'ping', incarnation: self.incarnation, address: self.address, ...this.desiredVersion(), time: this.timeForPeers(), ...this.leaving ? { leaving: true } : {}, ...peer.connectionReplaced ? { connectionReplaced: true } : {} })
  }

  /**
   * Replaces the connection on which messages to a peer may be lost. Each direction has its own, and as long as the peer's messages arrive, nothing else
   * shows that this instance's connection to it has gone silent. The connection may also be slow, so what is on its way there is not given up.
   */
  private replaceConnectionForPeer (peer: PeerSession): void {
    const { now, out } = this.ctx
    if (now - (peer.connectionReplacedForPeerAt ?? -Infinity) < MIN_REPLACEMENT_INTERVAL_MS) return
    peer.connectionReplacedForPeerAt = now
    out.log('peer.connectionReplaced', { peer: peer.instance })
    out.push({ type: 'renewLink', peer: peer.instance })
  }

  private checkSilence (peer: PeerSession): void {
    const { now, cfg, out } = this.ctx
    const silentSince = peer.lastReceivedAt ?? peer.firstUnansweredPingAt
    if (peer.lost || silentSince === undefined) return
    const silentMs = now - silentSince
    const isStarting = this.isOwner(peer.instance) && peer.incarnationSince !== undefined && now - peer.incarnationSince < STARTING_MS
    if (silentMs >= cfg.peerTimeoutMs * (isStarting ? STARTING_PATIENCE : 1)) {
      this.markLost(peer, 'silent')
    } else if (silentMs >= cfg.reconnectAfterMs && !peer.connectionReplaced) {
      peer.connectionReplaced = true
      out.push({ type: 'resetLink', peer: peer.instance })
      this.ping(peer)
    }
  }

  private isOwner (instance: InstanceId): boolean {
    for (const { owner, disowned } of this.db.shards.values()) if (owner === instance && !disowned) return true
    return false
  }

  private markLost (peer: PeerSession, why: string): void {
    const { out, now } = this.ctx
    if (peer.lost) return
    peer.lost = true
    peer.usesOwnedShard = false
    out.count('shard.peers.lost')
    out.log('peer.lost', { peer: peer.instance, why, silentMs: Math.round(now - (peer.lastReceivedAt ?? now)), peerIncarnation: peer.incarnation }, 'warn')
    this.listener.peerLost(peer.instance, why)
  }
}
