/**
 * Types of the session decision, which tracks for each peer whether messages still arrive from it. The state of a peer
 * covers both directions: pings that this instance sends and pings that the peer sends because it uses a shard here.
 */
import type { ClockReading, FailureDomain, FencingToken, InstanceId, Ms, ShardLoad } from '@cranberryyard/protocol'

/** What this instance knows about another instance and the connection to it. */
export interface PeerSession {
  readonly instance: InstanceId
  address: string
  /** Latest incarnation that a message carried; 0 before the first message. */
  incarnation: number
  /** When a message of this incarnation first arrived. */
  incarnationSince: Ms | undefined
  /** When a message of this incarnation last arrived. */
  incarnationHeardAt: Ms | undefined
  /** The latest reading of the peer's clock, with this instance's time at which it arrived. */
  clock: { readonly reading: ClockReading, readonly readAt: Ms } | undefined
  /** When the latest message of any kind arrived; undefined before the first and while the peer is not monitored. */
  lastReceivedAt: Ms | undefined
  /** When the owner of this instance's own domain last reported that it receives messages from the peer. */
  reportedLiveAt: Ms | undefined
  /** When the first ping since the peer's latest message was sent. */
  firstUnansweredPingAt: Ms | undefined
  lastPingAt: Ms | undefined
  /** When this instance last sent the peer the load of its shards. */
  loadSentAt: Ms | undefined
  /** The digest that the peer, as the owner of a shard, last reported of its endpoints. */
  readonly endpointsDigests: Map<FailureDomain, number>
  /** The connection was replaced since the peer's latest message. */
  connectionReplaced: boolean
  /** When the connection was last replaced since the peer had received nothing on it. */
  connectionReplacedForPeerAt: Ms | undefined
  /** The peer uses a shard that this instance owns. */
  usesOwnedShard: boolean
  lost: boolean
  /** The peer's process is about to end. */
  leaving: boolean
}

/** A shard with its latest known owner. */
export interface KnownShard {
  readonly failureDomain: FailureDomain
  owner: InstanceId
  token: FencingToken
  /** The instance named as owner still answers, but no longer lists the shard as its own. */
  disowned: boolean
  load: ShardLoad
}

/** Receives the changes of peers between live and lost. */
export interface SessionListener {
  /** The peer fell silent, refuses connections or restarted with another incarnation. */
  peerLost (instance: InstanceId, why: string): void
  /** A message arrived from a peer that was lost. */
  peerRecovered (instance: InstanceId): void
}
