/**
 * Connections to endpoints, each of which reaches a single incarnation of an endpoint. An endpoint may restart at its address under its id, which is all
 * that orders name it by, and then has forgotten what it runs and the fencing token that it has seen. A restart breaks its connections, so whatever is
 * sent on a connection on which an incarnation has answered reaches this incarnation or none. A broken connection is never replaced by another socket.
 */
import type { Ms } from '@cranberryyard/protocol'
import { Client, buildConnector } from 'undici'
import type { AnswerBudget, AnswerLimits } from './answerBudget.js'
import { CONNECTION_OPTIONS, CONNECT_TIMEOUT_MS, originOf, sendCall } from './httpCaller.js'
import type { CallResult, LogFailedCall } from './httpCaller.js'
import type { HttpCall } from './wires.js'

/** Largest answer of an endpoint: a list of some ten thousand runs. */
const MAX_ANSWER_BYTES = 1_048_576

/** Chooses one of the idle connections; undefined if none of them will do and a new one is needed. */
export type ChooseConnection = (idle: readonly EndpointConnection[]) => EndpointConnection | undefined

interface Waiter {
  readonly choose: ChooseConnection
  readonly resolve: (connection: EndpointConnection | undefined) => void
}

/** One connection. It connects with the first call and carries one call at a time. */
export class EndpointConnection {
  /** The incarnation of the endpoint that has answered on this connection. */
  bornAt: number | undefined
  /** Whether a call has been answered on this connection. */
  answered = false
  private closed = false
  private readonly client: Client

  /** @param onClosed - called once when the connection has ended, by either side */
  constructor (private readonly address: string, private readonly logFailure: LogFailedCall, private readonly limits: AnswerLimits, private readonly onClosed: () => void) {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS })
    let connected = false
    this.client = new Client(originOf(address), {
      ...CONNECTION_OPTIONS,
      connect: (options, callback) => {
        if (connected) return callback(new Error('the connection has ended'), null)
        connected = true
        connect(options, callback)
      }
    })
    this.client.on('disconnect', () => this.close())
  }

  /** Makes a call. A connection whose call gets no answer is closed, since it may never work again. */
  async call (call: HttpCall, timeoutMs: Ms): Promise<CallResult> {
    const result = await sendCall(() => this.client, call, timeoutMs, reason => this.logFailure(this.address, reason), this.limits)
    if (result.type === 'reply') this.answered = true
    else this.close()
    return result
  }

  close (): void {
    if (this.closed) return
    this.closed = true
    // Calls in flight have reported their outcome or do so now.
    void this.client.destroy()
    this.onClosed()
  }
}

/** The connections to one address. */
class AddressConnections {
  private readonly connections: EndpointConnection[] = []
  private readonly inUse = new Set<EndpointConnection>()
  private readonly waiters: Waiter[] = []

  constructor (private readonly address: string, private readonly max: number, private readonly logFailure: LogFailedCall, private readonly limits: AnswerLimits) {}

  acquire (choose: ChooseConnection, timeoutMs: Ms): Promise<EndpointConnection | undefined> {
    const connection = this.take(choose)
    if (connection !== undefined) return Promise.resolve(connection)
    return new Promise((resolve) => {
      const waiter: Waiter = {
        choose,
        resolve: (taken) => {
          clearTimeout(timer)
          resolve(taken)
        }
      }
      const timer = setTimeout(() => {
        this.waiters.splice(this.waiters.indexOf(waiter), 1)
        resolve(undefined)
      }, timeoutMs)
      this.waiters.push(waiter)
    })
  }

  release (connection: EndpointConnection): void {
    this.inUse.delete(connection)
    this.serveWaiters()
  }

  /** Closes idle connections on which an earlier incarnation has answered. */
  closeOthers (bornAt: number): void {
    for (const connection of this.idle()) if (connection.bornAt !== undefined && connection.bornAt !== bornAt) connection.close()
  }

  close (): void {
    for (const connection of [...this.connections]) connection.close()
  }

  private idle (): EndpointConnection[] {
    return this.connections.filter(connection => !this.inUse.has(connection))
  }

  private take (choose: ChooseConnection): EndpointConnection | undefined {
    const idle = this.idle()
    let connection = choose(idle)
    if (connection === undefined) {
      if (this.connections.length >= this.max) idle[0]?.close()
      if (this.connections.length >= this.max) return undefined
      connection = this.open()
    }
    this.inUse.add(connection)
    return connection
  }

  private open (): EndpointConnection {
    const connection = new EndpointConnection(this.address, this.logFailure, this.limits, () => {
      this.connections.splice(this.connections.indexOf(connection), 1)
      // Later, since a connection may be closed while one is being chosen for a waiter.
      queueMicrotask(() => this.serveWaiters())
    })
    this.connections.push(connection)
    return connection
  }

  private serveWaiters (): void {
    for (const waiter of [...this.waiters]) {
      const connection = this.take(waiter.choose)
      if (connection === undefined) return
      this.waiters.splice(this.waiters.indexOf(waiter), 1)
      waiter.resolve(connection)
    }
  }
}

/** The connections to all endpoints. */
export class EndpointConnections {
  private readonly byAddress = new Map<string, AddressConnections>()

  private readonly limits: AnswerLimits

  /**
   * @param max - maximum number of connections to one address
   * @param budget - what all answers may hold together
   */
  constructor (private readonly max: number, private readonly logFailure: LogFailedCall, budget: AnswerBudget) {
    this.limits = { maxBytes: MAX_ANSWER_BYTES, budget }
  }

  /**
   * Takes a connection for one exchange; `release` gives it back.
   * @param address - IP address and port; may be any text
   * @returns undefined if none has become free in time; throws if the address cannot be used
   */
  acquire (address: string, choose: ChooseConnection, timeoutMs: Ms): Promise<EndpointConnection | undefined> {
    const connections = this.byAddress.get(address) ?? new AddressConnections(address, this.max, this.logFailure, this.limits)
    this.byAddress.set(address, connections)
    return connections.acquire(choose, timeoutMs)
  }

  release (address: string, connection: EndpointConnection): void {
    this.byAddress.get(address)?.release(connection)
  }

  /** Notes which incarnation has answered on a connection. The others have ended, and so have their connections. */
  identify (address: string, connection: EndpointConnection, bornAt: number): void {
    connection.bornAt = bornAt
    this.byAddress.get(address)?.closeOthers(bornAt)
  }

  /** Closes all connections; calls in flight end as `silent`. */
  close (): void {
    for (const connections of this.byAddress.values()) connections.close()
    this.byAddress.clear()
  }
}
