/**
 * Decides which version of the desired state is in force and what to request of peers. New versions normally come from the store. Peers name the
 * versions that they have; a newer one is requested of them as its difference from a version that both hold, since the store sends every version
 * whole, which takes long on a slow or busy link. A whole copy is requested when the store is unreachable or late.
 */
import type { DesiredChange, DesiredState, InstanceId, Ms, ShardMessage } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { ShardContext } from '../shard/types.js'
import { DesiredDb } from './desiredDb.js'
import { DesiredHistory } from './desiredHistory.js'
import { NewerVersions } from './newerVersions.js'
import type { Requester } from './types.js'

/** Sends a message to a peer. */
export type SendToPeer = (to: InstanceId, message: ShardMessage) => void

/** Time for the store to deliver a version that a peer has mentioned; its update is usually on the way already. */
const CHANGE_REQUEST_DELAY_MS = 100
/** Minimum time between two requests for a change; a round trip on a busy link. */
const CHANGE_REQUEST_INTERVAL_MS = 300
/** The delay before a whole copy is requested, which is as large as the store's. */
const COPY_REQUEST_DELAY_MS = 500
/** The same while jobs wait for the version; an instance that the store does not serve notices this only later. */
const COPY_REQUEST_DELAY_FOR_JOBS_MS = 150
/** Minimum time between two requests for a whole copy: half a megabyte must be able to arrive at a few Mbit/s. */
const COPY_REQUEST_INTERVAL_MS = 1500
/** Part of the time in which a version has to be in force after which an instance without it stops to act; the rest is for the version's way to the first peer. */
const OVERDUE_SHARE = 0.5
/** A change of more queues than this is sent like a whole copy, to one peer at a time. */
const SMALL_CHANGE_QUEUES = 100

/** Puts versions of the desired state in force and exchanges them with peers. */
export class DesiredDecider {
  readonly db = new DesiredDb()
  private readonly history = new DesiredHistory()
  /** Peers that wait for a copy. One is served per tick, because a state with many queues saturates a connection. */
  private readonly requesters = new Map<InstanceId, Requester>()
  private readonly newer = new NewerVersions()
  private behindSince: Ms | undefined
  /** Since when the version in force has existed, as far as is known here. */
  private inForceSince: Ms = ms(0)
  /** A peer whose jobs wait here for a newer version, until it has been asked; it may be lost by then, so later requests go to whoever mentions the version. */
  private toAskForJobs: InstanceId | undefined
  private copyRequestedAt = -Infinity
  private changeRequestedAt = -Infinity

  constructor (private readonly ctx: ShardContext, private readonly send: SendToPeer, private readonly storeReachable: () => boolean) {}

  /** Puts a version in force if it is higher than the current one. */
  adopt (state: DesiredState, source: string): void {
    const { now } = this.ctx
    const before = this.db.version()
    if (state.version <= before) return
    this.inForceSince = this.newer.cameIntoForce(state.version, now)
    const behindMs = this.behindSince === undefined ? undefined : Math.round(now - this.behindSince)
    this.db.adopt(this.history.keep(state), now)
    this.behindSince = undefined
    this.toAskForJobs = undefined
    this.copyRequestedAt = -Infinity
    this.changeRequestedAt = -Infinity
    this.ctx.out.log('desired.inForce', { version: state.version, before, source, queues: state.queues.length, behindMs })
  }

  /** Puts the version in force to which a difference leads. If it does not fit here, a whole copy is requested instead. */
  changeReceived (change: DesiredChange, from: InstanceId): void {
    if (change.version <= this.db.version()) return
    const state = this.history.apply(change)
    if (state !== undefined) return this.adopt(state, from)
    this.ctx.out.log('desired.changeUnusable', { version: change.version, changeFrom: change.from, versionInForce: this.db.version(), peer: from }, 'warn')
    if (change.from !== 0) this.requestCopy(from)
  }

  /**
   * A peer mentioned its version. It is asked for it if the version is newer and the store does not deliver it in time.
   * @param ageMs - how long the peer has known of the version; undefined if it runs an earlier version of this program
   */
  peerVersionReceived (from: InstanceId, version: number, ageMs?: Ms): void {
    this.newer.setSendsChanges(from, ageMs !== undefined)
    this.noteVersion(from, version, ageMs ?? ms(0))
    if (version > this.db.version()) this.requestIfOverdue(from, COPY_REQUEST_DELAY_MS)
  }

  /**
   * A peer sent a job whose queue comes from the given version.
   * @param waits - whether the job waits for that version
   */
  jobReceived (from: InstanceId, version: number, waits: boolean): void {
    this.noteVersion(from, version, ms(0))
    if (waits) this.toAskForJobs = from
    if (version > this.db.version()) this.requestIfOverdue(from, waits ? COPY_REQUEST_DELAY_FOR_JOBS_MS : COPY_REQUEST_DELAY_MS)
  }

  private noteVersion (from: InstanceId, version: number, ageMs: Ms): void {
    const { now, out } = this.ctx
    if (this.newer.named(from, version, ageMs, now)) out.log('desired.heard', { version, versionInForce: this.db.version(), peer: from })
  }

  private requestIfOverdue (from: InstanceId, copyDelayMs: number): void {
    const { now } = this.ctx
    this.behindSince ??= now
    // After a time without contact, the first mention of a version may come long after the store had it.
    const lateMs = now - Math.min(this.behindSince, this.newer.replacedSince ?? now)
    const storeIsLate = !this.storeReachable() || lateMs >= copyDelayMs
    if (storeIsLate && now - this.copyRequestedAt >= COPY_REQUEST_INTERVAL_MS) this.requestCopy(from)
    else if (lateMs >= CHANGE_REQUEST_DELAY_MS && now - this.changeRequestedAt >= CHANGE_REQUEST_INTERVAL_MS) this.requestChange(from)
  }

  private requestCopy (from: InstanceId): void {
    this.copyRequestedAt = this.ctx.now
    this.changeRequestedAt = this.ctx.now
    this.toAskForJobs = undefined
    this.request(this.newer.peerToAsk(from, false), false)
  }

  private requestChange (from: InstanceId): void {
    this.changeRequestedAt = this.ctx.now
    // Without a version to start from, only a whole copy is of use.
    if (this.db.state !== undefined) this.request(this.newer.peerToAsk(from, true), true)
  }

  private request (peer: InstanceId | undefined, changeOnly: boolean): void {
    if (peer === undefined) return
    const { out, now } = this.ctx
    out.log('desired.requested', { version: this.newer.newest.version, versionInForce: this.db.version(), peer, changeOnly, behindMs: Math.round(now - (this.behindSince ?? now)), storeReachable: this.storeReachable() })
    this.send(peer, { type: 'desiredRequest', known: this.versionsKept(), ...changeOnly ? { changeOnly } : {} })
  }

  /** Returns the versions to which a peer may send a difference. */
  versionsKept (): number[] {
    return this.history.versions()
  }

  /** Returns the newest version that is known to exist; a higher one than that in force is still on its way here. */
  newestKnown (): number {
    return Math.max(this.newer.newest.version, this.db.version())
  }

  /** Returns the version in force, and for how long it has been known to exist. */
  inForce (): { readonly desiredVersion: number, readonly desiredAgeMs: Ms } {
    return { desiredVersion: this.db.version(), desiredAgeMs: ms(Math.max(0, this.ctx.now - this.inForceSince)) }
  }

  /**
   * Returns whether the version in force was replaced so long ago that this instance must not act by it any more. Without contact to peers that have a
   * newer one, it serves by what it has.
   */
  isOverdue (): boolean {
    const { now, cfg } = this.ctx
    return this.newer.replacedFor(cfg.configApplyMs * OVERDUE_SHARE, now)
  }

  /** Returns whether a peer is not known to have the version that is in force here. */
  isBehind (peer: InstanceId): boolean {
    return this.newer.versionOf(peer) < this.db.version()
  }

  /** A peer requests the desired state. It gets a small change at once, and anything larger from `tick`. */
  stateRequested (peer: InstanceId, known?: readonly number[], changeOnly = false): void {
    const change = known === undefined ? undefined : this.history.changeSince(known)
    if (change === undefined && changeOnly) return
    if (change !== undefined && change.queues.length + change.removed.length <= SMALL_CHANGE_QUEUES) this.send(peer, { type: 'desiredChange', change })
    else this.requesters.set(peer, { peer, known })
  }

  /** Requests a version that is overdue, and sends the desired state to the peer that has waited longest. */
  tick (): void {
    if (this.toAskForJobs !== undefined) this.requestIfOverdue(this.toAskForJobs, COPY_REQUEST_DELAY_FOR_JOBS_MS)
    else if (this.newer.lastNamedBy !== undefined) this.requestIfOverdue(this.newer.lastNamedBy, COPY_REQUEST_DELAY_MS)
    const [next] = this.requesters.values()
    if (next === undefined || this.db.state === undefined) return
    this.requesters.delete(next.peer)
    this.sendTo(next, this.db.state)
  }

  private sendTo ({ peer, known }: Requester, state: DesiredState): void {
    const change = known === undefined ? undefined : this.history.changeSince(known) ?? this.history.wholeState()
    this.send(peer, change === undefined ? { type: 'desired', state } : { type: 'desiredChange', change })
  }
}
