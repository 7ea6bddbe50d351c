import { expect } from 'chai'
import { encode } from '@msgpack/msgpack'
import type { InstanceId, JobId, ShardMessage } from '@cranberryyard/protocol'
import { connect } from 'node:net'
import { LinkTask } from './linkTask.js'
import type { LinkEvent } from './linkTask.js'

const A = 'a' as InstanceId
const B = 'b' as InstanceId
const message = (n: number): ShardMessage => ({ type: 'cancelJob', jobId: String(n) as JobId })
const HOST = '127.0.0.1'

/** A link task that keeps its events and lets a test wait for one. */
class Side {
  readonly events: LinkEvent[] = []
  private waiters: (() => void)[] = []
  readonly broken: string[] = []
  readonly task: LinkTask
  port = 0

  constructor (name: InstanceId) {
    this.task = new LinkTask(name, (event) => {
      this.events.push(event)
      for (const wake of this.waiters.splice(0)) wake()
    }, (peer, why) => this.broken.push(`${peer ?? 'unknown'}: ${why}`))
  }

  async listen (): Promise<this> {
    this.port = await this.task.listen(HOST, 0)
    return this
  }

  get address (): string {
    return `${HOST}:${this.port}`
  }

  async until (done: () => boolean): Promise<void> {
    while (!done()) await new Promise<void>(resolve => this.waiters.push(resolve))
  }

  ofType<T extends LinkEvent['type']> (type: T): Extract<LinkEvent, { type: T }>[] {
    return this.events.filter((event): event is Extract<LinkEvent, { type: T }> => event.type === type)
  }
}

describe('links between instances', () => {
  it('deliver messages once and in order', async () => {
    const [a, b] = [await new Side(A).listen(), await new Side(B).listen()]
    for (let n = 0; n < 500; n++) a.task.send({ to: B, address: b.address, message: message(n) })
    await b.until(() => b.events.length >= 500)
    a.task.close()
    b.task.close()
    expect(b.ofType('peer').map(event => [event.from, event.message])).to.deep.equal(Array.from({ length: 500 }, (_, n) => [A, message(n)]))
  })

  it('give back what was never sent when nobody listens', async () => {
    const gone = await new Side(B).listen()
    gone.task.close()
    const a = new Side(A)
    a.task.send({ to: B, address: gone.address, message: message(1) })
    a.task.send({ to: B, address: gone.address, message: message(2) })
    await a.until(() => a.events.length >= 2)
    expect(a.events).to.deep.equal([1, 2].map(n => ({ type: 'sendFailed', to: B, message: message(n) })))
  })

  it('tell both sides when a connection breaks, and connect again with the next message', async () => {
    const [a, b] = [await new Side(A).listen(), await new Side(B).listen()]
    a.task.send({ to: B, address: b.address, message: message(1) })
    await b.until(() => b.events.length === 1)
    a.task.reset(B)
    await b.until(() => b.events.length === 2)
    a.task.send({ to: B, address: b.address, message: message(2) })
    await b.until(() => b.events.length === 3)
    a.task.close()
    b.task.close()
    expect(a.events).to.deep.equal([{ type: 'linkDown', peer: B }])
    expect(b.events[1]).to.deep.equal({ type: 'linkDown', peer: A })
    expect(b.events[2]).to.deep.equal({ type: 'peer', from: A, message: message(2) })
  })

  it('notice a peer that dies', async () => {
    const [a, b] = [await new Side(A).listen(), await new Side(B).listen()]
    a.task.send({ to: B, address: b.address, message: message(1) })
    await b.until(() => b.events.length === 1)
    b.task.close()
    await a.until(() => a.events.length === 1)
    a.task.close()
    expect(a.events).to.deep.equal([{ type: 'linkDown', peer: B }])
  })

  it('end a connection whose envelope holds no usable message', async () => {
    const b = await new Side(B).listen()
    const socket = connect({ host: HOST, port: b.port })
    socket.on('error', () => {})
    socket.resume()
    socket.write(encode([A, { type: 'submit' }]))
    await new Promise(resolve => socket.once('close', resolve))
    b.task.close()
    expect(b.events.filter(event => event.type === 'peer')).to.deep.equal([])
    expect(b.broken.length).to.equal(1)
  })

  it('end a connection that carries something else, and nothing more', async () => {
    const [a, b] = [await new Side(A).listen(), await new Side(B).listen()]
    for (const bytes of [Buffer.from('GET / HTTP/1.1\r\n\r\n'), Buffer.from([0xc1]), Buffer.from([0xdd, 0xff, 0xff, 0xff, 0xff])]) {
      const socket = connect({ host: HOST, port: b.port })
      socket.on('error', () => {})
      socket.resume()
      socket.write(bytes)
      await new Promise(resolve => socket.once('close', resolve))
    }
    a.task.send({ to: B, address: b.address, message: message(3) })
    await b.until(() => b.events.length > 0)
    a.task.close()
    b.task.close()
    expect(b.events).to.deep.equal([{ type: 'peer', from: A, message: message(3) }])
    expect(b.broken.map(line => line.split(':')[0])).to.deep.equal(['unknown', 'unknown', 'unknown'])
  })
})
