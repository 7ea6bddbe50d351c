/**
 * Types of the session decision: which peers are heard, in both directions.
 */
import type { FailureDomain, FencingToken, InstanceId, Ms, ShardLoad } from '@cranberryyard/protocol'

/** Another instance as it is heard here. */
export interface PeerSession {
  readonly instance: InstanceId
  address: string
  /** Life that was heard last; 0 before the first message. */
  incarnation: number
  /** Latest message of any kind; undefined before the first. */
  heardAt: Ms | undefined
  /** Latest time at which the owner of this instance's own domain said that it hears the peer. */
  vouchedAt: Ms | undefined
  /** First ping since the peer was last heard. */
  pingedSince: Ms | undefined
  lastPingAt: Ms | undefined
  /** When this instance last told the peer the load of its shards. */
  loadToldAt: Ms | undefined
  /** The connection was replaced since the peer was last heard. */
  relinked: boolean
  /** The peer uses a shard that this instance owns. */
  pingsUs: boolean
  lost: boolean
}

/** A shard as its owner announced it. */
export interface KnownShard {
  readonly failureDomain: FailureDomain
  owner: InstanceId
  token: FencingToken
  /** The owner answers, but not as the owner. */
  disowned: boolean
  load: ShardLoad
}

/** Learns of peers. */
export interface SessionListener {
  /** The peer fell silent, refuses connections or came back as another life. */
  peerLost (instance: InstanceId, why: string): void
  /** The peer is heard again or for the first time. */
  peerHeard (instance: InstanceId): void
}
