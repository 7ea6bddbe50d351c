/**
 * Sends orders (hold, start and stop) to endpoints and posts the outcome of each. An order that has been sent is not repeated
 * here: the decision logic in `core` decides whether one without an answer is, since it may have taken effect.
 */
import type { ShardEffect, ShardInput } from '@cranberryyard/core/shard'
import type { HoldOutcome, Ms, TaskStartOutcome, TaskStopOutcome } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { AnswerBudget } from './answerBudget.js'
import { EndpointConnections } from './endpointConnections.js'
import type { ChooseConnection, EndpointConnection } from './endpointConnections.js'
import type { LogFailedCall } from './httpCaller.js'
import type { EndpointWire, HttpCall, HttpReply } from './wires.js'

type EffectOf<T extends ShardEffect['type']> = Extract<ShardEffect, { type: T }>

/** Connections to one endpoint: one for the hold, which the endpoint answers only after a wait, the rest for concurrent orders. */
const CONNECTIONS_PER_ENDPOINT = 6

/** Connections that are tried for an order while nothing has been sent. */
const ATTEMPTS_MAX = 2

/** Owns the HTTP connections to endpoints. */
export class OrderTask {
  private readonly connections: EndpointConnections

  constructor (private readonly wire: EndpointWire, private readonly post: (input: ShardInput) => void, private readonly logFailure: LogFailedCall, budget = new AnswerBudget()) {
    this.connections = new EndpointConnections(CONNECTIONS_PER_ENDPOINT, logFailure, budget)
  }

  /** Sends a hold, which takes or extends the lease on an endpoint or only reads its runs. */
  async hold (effect: EffectOf<'hold'>): Promise<void> {
    const outcome = await this.withConnection<HoldOutcome>(effect, preferUnidentified, connection => this.exchangeHold(connection, effect))
    this.post({ type: 'holdOutcome', endpoint: effect.endpoint, orderId: effect.orderId, outcome })
  }

  /** Starts a run of a task, at no other incarnation of the endpoint than the one that the effect names. */
  async start (effect: EffectOf<'startTask'>): Promise<void> {
    const outcome = await this.withConnection<TaskStartOutcome>(effect, idle => chooseFor(effect.bornAt, idle), connection => this.startAt(connection, effect))
    this.post({ type: 'taskStartOutcome', endpoint: effect.endpoint, orderId: effect.orderId, outcome })
  }

  /** Stops a run of a task. */
  async stop (effect: EffectOf<'stopTask'>): Promise<void> {
    const outcome = await this.withConnection<TaskStopOutcome>(effect, ([idle]) => idle, connection => exchange<TaskStopOutcome>(connection, this.wire.stop(effect), effect.timeoutMs, reply => this.wire.readStop(reply)))
    this.post({ type: 'taskStopOutcome', endpoint: effect.endpoint, orderId: effect.orderId, outcome })
  }

  /** Makes an exchange over a connection, and over another one if the first had ended before anything was sent on it. */
  private async withConnection<T extends { readonly type: string }> ({ address, timeoutMs }: Recipient, choose: ChooseConnection, use: (connection: EndpointConnection) => Promise<T>): Promise<T | typeof UNSENT> {
    try {
      for (let attempt = 1; ; attempt++) {
        const connection = await this.connections.acquire(address, choose, timeoutMs)
        if (connection === undefined) return UNSENT
        const wasAnswered = connection.answered
        const outcome = await use(connection)
        this.connections.release(address, connection)
        if (outcome.type !== 'unsent' || !wasAnswered || attempt === ATTEMPTS_MAX) return outcome
      }
    } catch (err) {
      // The address cannot be used, so the endpoint is out of reach.
      this.logFailure(address, err instanceof Error ? err.message : String(err))
      return UNSENT
    }
  }

  /** Sends a start, after a hold that shows which incarnation answers if the connection is new. */
  private async startAt (connection: EndpointConnection, effect: EffectOf<'startTask'>): Promise<TaskStartOutcome> {
    if (connection.bornAt === undefined) {
      const { type } = await this.exchangeHold(connection, { ...effect, type: 'hold', extendTo: undefined, acknowledged: 0, waitMs: ms(0) })
      if (type === 'silent' || type === 'unreadable') return UNSENT
      if (type !== 'listed') return { type }
    }
    if (connection.bornAt !== effect.bornAt) return { type: 'otherLife' }
    return exchange<TaskStartOutcome>(connection, this.wire.start(effect), effect.timeoutMs, reply => this.wire.readStart(reply))
  }

  private async exchangeHold (connection: EndpointConnection, effect: EffectOf<'hold'>): Promise<HoldOutcome> {
    const outcome = await exchange<HoldOutcome>(connection, this.wire.hold(effect), effect.timeoutMs, reply => this.wire.readHold(reply))
    if (outcome.type === 'listed') this.connections.identify(effect.address, connection, outcome.listing.bornAt)
    return outcome
  }
}

interface Recipient {
  readonly address: string
  readonly timeoutMs: Ms
}

const UNSENT = { type: 'unsent' } as const

async function exchange<T> (connection: EndpointConnection, call: HttpCall, timeoutMs: Ms, parse: (reply: HttpReply) => T): Promise<T | { readonly type: 'refused' | 'silent' | 'unsent' }> {
  const result = await connection.call(call, timeoutMs)
  switch (result.type) {
    case 'reply': return parse(result.reply)
    case 'refused': return { type: 'refused' }
    case 'silent': return result.sent ? { type: 'silent' } : UNSENT
  }
}

/** Chooses a connection on which no incarnation has answered yet, so that the answer to a hold identifies it, or else any. */
function preferUnidentified (idle: readonly EndpointConnection[]): EndpointConnection | undefined {
  return idle.find(({ bornAt }) => bornAt === undefined) ?? idle[0]
}

/** Chooses a connection that reaches the incarnation, or else one that may do so. */
function chooseFor (bornAt: number, idle: readonly EndpointConnection[]): EndpointConnection | undefined {
  return idle.find(connection => connection.bornAt === bornAt) ?? idle.find(connection => connection.bornAt === undefined)
}
