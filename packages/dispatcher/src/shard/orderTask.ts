/**
 * Sends orders (hold, start and stop) to endpoints and posts the outcome of each. It never retries: the decision
 * logic in `core` decides whether an order without an answer is repeated, since it may have taken effect.
 */
import type { ShardEffect, ShardInput } from '@cranberryyard/core/shard'
import type { Ms } from '@cranberryyard/protocol'
import { HttpCaller } from './httpCaller.js'
import type { LogFailedCall } from './httpCaller.js'
import type { EndpointWire, HttpCall, HttpReply } from './wires.js'

type EffectOf<T extends ShardEffect['type']> = Extract<ShardEffect, { type: T }>

/** Connections to one endpoint: one for the hold, which the endpoint answers only after a wait, the rest for concurrent orders. */
const CONNECTIONS_PER_ENDPOINT = 6

/** Owns the HTTP connections to endpoints. */
export class OrderTask {
  private readonly caller: HttpCaller

  constructor (private readonly wire: EndpointWire, private readonly post: (input: ShardInput) => void, logFailure: LogFailedCall) {
    this.caller = new HttpCaller(CONNECTIONS_PER_ENDPOINT, logFailure)
  }

  /** Sends a hold, which takes or extends the lease on an endpoint or only reads its runs. */
  async hold (effect: EffectOf<'hold'>): Promise<void> {
    const outcome = await this.sendOrder(effect.address, this.wire.hold(effect), effect.timeoutMs, reply => this.wire.readHold(reply))
    this.post({ type: 'holdOutcome', endpoint: effect.endpoint, orderId: effect.orderId, outcome })
  }

  /** Starts a run of a task. */
  async start (effect: EffectOf<'startTask'>): Promise<void> {
    const outcome = await this.sendOrder(effect.address, this.wire.start(effect), effect.timeoutMs, reply => this.wire.readStart(reply))
    this.post({ type: 'taskStartOutcome', endpoint: effect.endpoint, orderId: effect.orderId, outcome })
  }

  /** Stops a run of a task. */
  async stop (effect: EffectOf<'stopTask'>): Promise<void> {
    const outcome = await this.sendOrder(effect.address, this.wire.stop(effect), effect.timeoutMs, reply => this.wire.readStop(reply))
    this.post({ type: 'taskStopOutcome', endpoint: effect.endpoint, orderId: effect.orderId, outcome })
  }

  private async sendOrder<T> (address: string, call: HttpCall, timeoutMs: Ms, parse: (reply: HttpReply) => T): Promise<T | { type: 'refused' | 'silent' }> {
    const result = await this.caller.call(address, call, timeoutMs)
    return result.type === 'reply' ? parse(result.reply) : { type: result.type }
  }
}
