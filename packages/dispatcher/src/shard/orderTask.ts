/**
 * Sends orders to endpoints and reports how each ended.
 */
import type { ShardEffect, ShardInput } from '@cranberryyard/core/shard'
import type { Ms } from '@cranberryyard/protocol'
import { HttpCaller } from './httpCaller.js'
import type { EndpointWire, HttpCall, HttpReply } from './wires.js'

type EffectOf<T extends ShardEffect['type']> = Extract<ShardEffect, { type: T }>

/** Connections to one endpoint: one for the waiting hold, the rest for orders that overlap. */
const CONNECTIONS_PER_ENDPOINT = 6

/** Owns the connections to endpoints. */
export class OrderTask {
  private readonly caller = new HttpCaller(CONNECTIONS_PER_ENDPOINT)

  constructor (private readonly wire: EndpointWire, private readonly post: (input: ShardInput) => void) {}

  /** Holds or looks at an endpoint. */
  async hold (effect: EffectOf<'hold'>): Promise<void> {
    const outcome = await this.order(effect.address, this.wire.hold(effect), effect.timeoutMs, reply => this.wire.readHold(reply))
    this.post({ type: 'holdOutcome', endpoint: effect.endpoint, orderId: effect.orderId, outcome })
  }

  /** Starts a run. */
  async start (effect: EffectOf<'startTask'>): Promise<void> {
    const outcome = await this.order(effect.address, this.wire.start(effect), effect.timeoutMs, reply => this.wire.readStart(reply))
    this.post({ type: 'taskStartOutcome', endpoint: effect.endpoint, orderId: effect.orderId, outcome })
  }

  /** Stops a run. */
  async stop (effect: EffectOf<'stopTask'>): Promise<void> {
    const outcome = await this.order(effect.address, this.wire.stop(effect), effect.timeoutMs, reply => this.wire.readStop(reply))
    this.post({ type: 'taskStopOutcome', endpoint: effect.endpoint, orderId: effect.orderId, outcome })
  }

  private async order<T> (address: string, call: HttpCall, timeoutMs: Ms, read: (reply: HttpReply) => T): Promise<T | { type: 'refused' | 'silent' }> {
    const result = await this.caller.call(address, call, timeoutMs)
    return result.type === 'reply' ? read(result.reply) : { type: result.type }
  }
}
