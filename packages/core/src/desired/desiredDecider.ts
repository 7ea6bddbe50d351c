/**
 * Brings versions of the desired state into force, from the store or from a peer that heard of one first.
 */
import type { DesiredState, InstanceId, ShardMessage } from '@cranberryyard/protocol'
import type { ShardContext } from '../shard/types.js'
import { DesiredDb } from './desiredDb.js'

/** Sends a message to a peer whose address is known. */
export type Tell = (to: InstanceId, message: ShardMessage) => void

/** The desired state's decisions. */
export class DesiredDecider {
  readonly db = new DesiredDb()

  constructor (private readonly ctx: ShardContext, private readonly tell: Tell) {}

  /** Takes a version; an older one or the same is ignored. */
  take (state: DesiredState, source: string): void {
    const before = this.db.version()
    if (state.version <= before) return
    this.db.state = state
    this.ctx.out.log('desired.inForce', { version: state.version, before, source, queues: state.queues.length })
  }

  /** A peer mentioned its version; a newer one is asked for. */
  heard (from: InstanceId, version: number): void {
    if (version > this.db.version()) this.tell(from, { type: 'desiredRequest' })
  }

  /** Answers a peer that asks for the desired state. */
  asked (from: InstanceId): void {
    if (this.db.state !== undefined) this.tell(from, { type: 'desired', state: this.db.state })
  }
}
