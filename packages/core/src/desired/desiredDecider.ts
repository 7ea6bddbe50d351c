/**
 * Brings versions of the desired state into force, from the store or from a peer that heard of one first.
 */
import type { DesiredState, InstanceId, Ms, ShardMessage } from '@cranberryyard/protocol'
import type { ShardContext } from '../shard/types.js'
import { DesiredDb } from './desiredDb.js'

/** Sends a message to a peer whose address is known. */
export type Tell = (to: InstanceId, message: ShardMessage) => void

/** The store's own word of a new version is on its way when a peer mentions one; only one that is late is asked for. */
const ASK_AFTER_MS = 500
/** Time for a peer's copy to arrive before another peer is asked; half a megabyte at a few Mbit/s. */
const ASK_AGAIN_MS = 1500

/** The desired state's decisions. */
export class DesiredDecider {
  readonly db = new DesiredDb()
  /** Peers that wait for a copy; one is served a tick, since a state of many queues fills a link. */
  private readonly askers = new Set<InstanceId>()
  private behindSince: Ms | undefined
  private askedAt = -Infinity

  constructor (private readonly ctx: ShardContext, private readonly tell: Tell, private readonly storeReachable: () => boolean) {}

  /** Takes a version; an older one or the same is ignored. */
  take (state: DesiredState, source: string): void {
    const before = this.db.version()
    if (state.version <= before) return
    this.db.take(state)
    this.behindSince = undefined
    this.askedAt = -Infinity
    this.ctx.out.log('desired.inForce', { version: state.version, before, source, queues: state.queues.length })
  }

  /** A peer mentioned its version; it is asked for a newer one when the store does not bring it. */
  heard (from: InstanceId, version: number): void {
    if (version <= this.db.version()) return
    const { now } = this.ctx
    this.behindSince ??= now
    const late = !this.storeReachable() || now - this.behindSince >= ASK_AFTER_MS
    if (!late || now - this.askedAt < ASK_AGAIN_MS) return
    this.askedAt = now
    this.tell(from, { type: 'desiredRequest' })
  }

  /** A peer asks for the desired state. */
  asked (from: InstanceId): void {
    this.askers.add(from)
  }

  /** Answers one of the peers that asked. */
  tick (): void {
    const [next] = this.askers
    if (next === undefined || this.db.state === undefined) return
    this.askers.delete(next)
    this.tell(next, { type: 'desired', state: this.db.state })
  }
}
