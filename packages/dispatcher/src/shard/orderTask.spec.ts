import { expect } from 'chai'
import { listenHttp, sendJson } from '@cranberryyard/fakes'
import type { ListeningServer } from '@cranberryyard/fakes'
import type { ShardInput } from '@cranberryyard/core/shard'
import type { EndpointClockMs, EndpointId, FencingToken, TaskName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { OrderTask } from './orderTask.js'
import type { EndpointWire, HttpReply } from './wires.js'

const LONG_TIMEOUT_MS = ms(5000)

/** A minimal format: the path names the order, and the answer to a hold is the incarnation. */
const wire: EndpointWire = {
  hold: () => ({ method: 'POST', path: '/hold', body: '{}' }),
  readHold: ({ body }: HttpReply) => ({ type: 'listed', listing: { clock: 1 as EndpointClockMs, bornAt: (JSON.parse(body) as { bornAt: number }).bornAt, running: [], ended: [] } }),
  start: () => ({ method: 'POST', path: '/start', body: '{}' }),
  readStart: () => ({ type: 'started', clock: 1 as EndpointClockMs }),
  stop: () => ({ method: 'POST', path: '/stop', body: '{}' }),
  readStop: () => ({ type: 'stopping' })
}

/** An endpoint at one address, whose incarnations follow one another. */
class RestartingEndpoint {
  /** The orders that each incarnation has received. */
  readonly orders: string[] = []
  port = 0
  silent = false
  private server: ListeningServer | undefined

  async start (bornAt: number): Promise<void> {
    this.server = await listenHttp(this.port, (req, res) => {
      this.orders.push(`${bornAt} ${req.url ?? ''}`)
      if (!this.silent) sendJson(res, 200, { bornAt })
    })
    this.port = this.server.port
  }

  async end (): Promise<void> {
    await this.server?.close()
  }
}

class Sender {
  readonly outcomes: string[] = []
  readonly task = new OrderTask(wire, (input: ShardInput) => {
    if ('outcome' in input) this.outcomes.push(input.outcome.type)
  }, () => {})

  constructor (private readonly address: string) {}

  hold (): Promise<void> {
    return this.task.hold({ type: 'hold', ...this.order(LONG_TIMEOUT_MS), extendTo: undefined, acknowledged: 0, waitMs: ms(0) })
  }

  start (bornAt: number, timeoutMs = LONG_TIMEOUT_MS): Promise<void> {
    return this.task.start({ type: 'startTask', ...this.order(timeoutMs), bornAt, task: 't' as TaskName, run: 1, spec: '', notAfter: 9 as EndpointClockMs })
  }

  private order (timeoutMs: typeof LONG_TIMEOUT_MS): { endpoint: EndpointId, address: string, orderId: number, token: FencingToken, timeoutMs: typeof LONG_TIMEOUT_MS } {
    return { endpoint: 'e' as EndpointId, address: this.address, orderId: 1, token: 1 as FencingToken, timeoutMs }
  }
}

describe('the task that sends orders to endpoints', () => {
  const endpoint = new RestartingEndpoint()
  let sender: Sender

  beforeEach(async () => {
    endpoint.orders.length = 0
    endpoint.silent = false
    await endpoint.start(1)
    sender = new Sender(`127.0.0.1:${endpoint.port}`)
  })

  afterEach(() => endpoint.end())

  it('sends starts over the connection on which the incarnation has answered a hold', async () => {
    await sender.hold()
    await sender.start(1)
    await sender.start(1)
    expect(endpoint.orders).to.deep.equal(['1 /hold', '1 /start', '1 /start'])
    expect(sender.outcomes).to.deep.equal(['listed', 'started', 'started'])
  })

  it('asks on a new connection which incarnation answers before it sends a start', async () => {
    await Promise.all([sender.start(1), sender.start(1)])
    expect([...endpoint.orders].sort()).to.deep.equal(['1 /hold', '1 /hold', '1 /start', '1 /start'])
  })

  // The endpoint has forgotten its fencing token, and the sender does not know yet.
  it('sends no start to an endpoint that has restarted since it answered', async () => {
    await sender.hold()
    await endpoint.end()
    await endpoint.start(2)
    // The first of them may meet the broken connection before its end has been noticed.
    for (let i = 0; i < 3; i++) await sender.start(1)
    expect(endpoint.orders.filter(order => order.endsWith('start'))).to.deep.equal([])
    expect(sender.outcomes.slice(-2)).to.deep.equal(['otherLife', 'otherLife'])
    await sender.start(2)
    expect(endpoint.orders.filter(order => order.endsWith('start'))).to.deep.equal(['2 /start'])
  })

  it('sends no start to an endpoint that restarts while the start waits for the answer', async () => {
    endpoint.silent = true
    const outcome = sender.start(1)
    while (endpoint.orders.length === 0) await new Promise(resolve => setTimeout(resolve, 5))
    await endpoint.end()
    endpoint.silent = false
    await endpoint.start(2)
    await outcome
    expect(endpoint.orders).to.deep.equal(['1 /hold'])
    expect(sender.outcomes).to.deep.equal(['unsent'])
  })

  it('reports a start as not sent when no incarnation has answered in time, and as silent when one has', async () => {
    await sender.hold()
    endpoint.silent = true
    await sender.start(1, ms(50))
    await sender.start(1, ms(50))
    expect(endpoint.orders).to.deep.equal(['1 /hold', '1 /start', '1 /hold'])
    expect(sender.outcomes).to.deep.equal(['listed', 'silent', 'unsent'])
  })

  it('reports an endpoint that refuses connections, and an address that is none', async () => {
    await endpoint.end()
    await sender.start(1)
    await sender.hold()
    const senderToNobody = new Sender('nowhere')
    await senderToNobody.start(1)
    expect([sender.outcomes, senderToNobody.outcomes]).to.deep.equal([['refused', 'refused'], ['unsent']])
  })

  it('makes as many calls at once as there may be connections, and the others after them', async () => {
    await Promise.all(Array.from({ length: 20 }, () => sender.start(1)))
    expect(sender.outcomes).to.deep.equal(Array.from({ length: 20 }, () => 'started'))
    expect(endpoint.orders.filter(order => order === '1 /hold').length).to.be.at.most(6)
  })
})
