/**
 * Decides which version of the desired state is in force and when to request one from a peer. New versions normally come
 * from the store. A peer is asked for its copy when the store is unreachable or late with a version that the peer mentions.
 */
import type { DesiredState, InstanceId, Ms, ShardMessage } from '@cranberryyard/protocol'
import type { ShardContext } from '../shard/types.js'
import { DesiredDb } from './desiredDb.js'

/** Sends a message to a peer. */
export type SendToPeer = (to: InstanceId, message: ShardMessage) => void

/**
 * Time for the store to deliver a version that a peer has mentioned. Its update is usually on the way already, so a peer
 * is asked only when the update is late.
 */
const REQUEST_DELAY_MS = 500
/** The same while jobs wait for the version; an instance that the store does not serve notices this only later. */
const REQUEST_DELAY_FOR_JOBS_MS = 150
/** Minimum time between two requests to peers: a copy of half a megabyte must be able to arrive at a few Mbit/s. */
const MIN_REQUEST_INTERVAL_MS = 1500

/** Puts versions of the desired state in force and exchanges copies with peers. */
export class DesiredDecider {
  readonly db = new DesiredDb()
  /** Peers that wait for a copy. One is served per tick, because a state with many queues saturates a connection. */
  private readonly requesters = new Set<InstanceId>()
  /** The version that each peer named last. */
  private readonly peerVersions = new Map<InstanceId, number>()
  private behindSince: Ms | undefined
  /** The newest version that a peer has named. */
  private newestHeard = 0
  /** A peer whose jobs wait here for a newer version, until it has been asked; it may be lost by then, so later requests go to whoever mentions the version. */
  private toAskForJobs: InstanceId | undefined
  private lastRequestAt = -Infinity

  constructor (private readonly ctx: ShardContext, private readonly send: SendToPeer, private readonly storeReachable: () => boolean) {}

  /** Puts a version in force if it is higher than the current one. */
  adopt (state: DesiredState, source: string): void {
    const before = this.db.version()
    if (state.version <= before) return
    const behindMs = this.behindSince === undefined ? undefined : Math.round(this.ctx.now - this.behindSince)
    this.db.adopt(state, this.ctx.now)
    this.behindSince = undefined
    this.toAskForJobs = undefined
    this.lastRequestAt = -Infinity
    this.ctx.out.log('desired.inForce', { version: state.version, before, source, queues: state.queues.length, behindMs })
  }

  /** A peer mentioned its version. It is asked for a copy if the version is newer and the store does not deliver it in time. */
  peerVersionReceived (from: InstanceId, version: number): void {
    this.noteVersion(from, version)
    if (version > this.db.version()) this.requestIfOverdue(from, REQUEST_DELAY_MS)
  }

  /**
   * A peer sent a job whose queue comes from the given version.
   * @param waits - whether the job waits for that version
   */
  jobReceived (from: InstanceId, version: number, waits: boolean): void {
    if (!waits) return this.peerVersionReceived(from, version)
    this.noteVersion(from, version)
    this.toAskForJobs = from
    this.requestIfOverdue(from, REQUEST_DELAY_FOR_JOBS_MS)
  }

  private noteVersion (from: InstanceId, version: number): void {
    this.peerVersions.set(from, version)
    if (version <= Math.max(this.newestHeard, this.db.version())) return
    this.newestHeard = version
    this.ctx.out.log('desired.heard', { version, versionInForce: this.db.version(), peer: from })
  }

  private requestIfOverdue (from: InstanceId, delayMs: number): void {
    const { now } = this.ctx
    this.behindSince ??= now
    const isOverdue = !this.storeReachable() || now - this.behindSince >= delayMs
    if (!isOverdue || now - this.lastRequestAt < MIN_REQUEST_INTERVAL_MS) return
    this.lastRequestAt = now
    this.toAskForJobs = undefined
    this.ctx.out.log('desired.requested', { version: this.newestHeard, versionInForce: this.db.version(), peer: from, behindMs: Math.round(now - this.behindSince), storeReachable: this.storeReachable() })
    this.send(from, { type: 'desiredRequest' })
  }

  /** Returns the newest version that is known to exist; a higher one than that in force is still on its way here. */
  newestKnown (): number {
    return Math.max(this.newestHeard, this.db.version())
  }

  /** Returns whether a peer is not known to have the version that is in force here. */
  isBehind (peer: InstanceId): boolean {
    return (this.peerVersions.get(peer) ?? 0) < this.db.version()
  }

  /** A peer requests the desired state; `tick` answers it. */
  stateRequested (from: InstanceId): void {
    this.requesters.add(from)
  }

  /** Requests a version for which jobs wait, and sends the desired state to the peer that has waited longest. */
  tick (): void {
    if (this.toAskForJobs !== undefined) this.requestIfOverdue(this.toAskForJobs, REQUEST_DELAY_FOR_JOBS_MS)
    const [next] = this.requesters
    if (next === undefined || this.db.state === undefined) return
    this.requesters.delete(next)
    this.send(next, { type: 'desired', state: this.db.state })
  }
}
