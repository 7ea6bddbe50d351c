import { expect } from 'chai'
import { encode } from '@msgpack/msgpack'
import { systemClock } from '@cranberryyard/protocol'
import type { InstanceId, JobId, ShardMessage } from '@cranberryyard/protocol'
import { connect } from 'node:net'
import { ConnectionGuard } from '../utils/connectionGuard.js'
import { LinkTask } from './linkTask.js'
import type { LinkEvent } from './linkTask.js'

const A = 'a' as InstanceId
const B = 'b' as InstanceId
const message = (n: number): ShardMessage => ({ type: 'cancelJob', jobId: String(n) as JobId })
const HOST = '127.0.0.1'

/** A link task that records its events and lets a test wait until a condition on them holds. */
class TestPeer {
  readonly events: LinkEvent[] = []
  private waiters: (() => void)[] = []
  readonly brokenLinks: string[] = []
  readonly task: LinkTask
  port = 0

  constructor (name: InstanceId, guard?: ConnectionGuard) {
    this.task = new LinkTask(name, (event) => {
      this.events.push(event)
      for (const wake of this.waiters.splice(0)) wake()
    }, (peer, why) => this.brokenLinks.push(`${peer ?? 'unknown'}: ${why}`), guard)
  }

  async listen (): Promise<this> {
    this.port = await this.task.listen(HOST, 0)
    return this
  }

  get address (): string {
    return `${HOST}:${this.port}`
  }

  async waitUntil (condition: () => boolean): Promise<void> {
    while (!condition()) await new Promise<void>(resolve => this.waiters.push(resolve))
  }

  ofType<T extends LinkEvent['type']> (type: T): Extract<LinkEvent, { type: T }>[] {
    return this.events.filter((event): event is Extract<LinkEvent, { type: T }> => event.type === type)
  }
}

describe('links between instances', () => {
  it('deliver each message once and in order', async () => {
    const [a, b] = [await new TestPeer(A).listen(), await new TestPeer(B).listen()]
    for (let n = 0; n < 500; n++) a.task.send({ to: B, address: b.address, message: message(n) })
    await b.waitUntil(() => b.events.length >= 500)
    a.task.close()
    b.task.close()
    expect(b.ofType('peer').map(event => [event.from, event.message])).to.deep.equal(Array.from({ length: 500 }, (_, n) => [A, message(n)]))
  })

  // A peer that received nothing for a while took a renewed connection for a broken one and sent its jobs again.
  it('deliver what was sent before and after a connection is renewed, whose end is no sign of a broken link', async () => {
    const [a, b] = [await new TestPeer(A).listen(), await new TestPeer(B).listen()]
    a.task.send({ to: B, address: b.address, message: message(0) })
    await b.waitUntil(() => b.events.length === 1)
    a.task.send({ to: B, address: b.address, message: message(1) })
    a.task.renew(B)
    a.task.send({ to: B, address: b.address, message: message(2) })
    await b.waitUntil(() => b.ofType('peer').length === 3)
    expect([...a.ofType('linkDown'), ...b.ofType('linkDown')]).to.deep.equal([])
    a.task.reset(B)
    await b.waitUntil(() => b.ofType('linkDown').length > 0)
    a.task.close()
    b.task.close()
    expect(b.ofType('peer').map(event => (event.message as { jobId?: string }).jobId).sort()).to.deep.equal(['0', '1', '2'])
  })

  // Guards against tasks that start with another spec than the caller sent.
  it('deliver text unchanged: long and short, with a byte order mark, and with unpaired surrogates', async () => {
    const [a, b] = [await new TestPeer(A).listen(), await new TestPeer(B).listen()]
    const texts = ['', 'x', '\uFEFF', '\ud800', 'a\udc00b', '\uFEFF\uFEFF', '\ud83d\ude00', 'é'].flatMap(text => [text, `${text}${'y'.repeat(60)}`, `${text}${'z'.repeat(300)}`, `${'z'.repeat(300)}${text}`])
    for (const text of texts) a.task.send({ to: B, address: b.address, message: { ...message(0), jobId: text as JobId } as ShardMessage })
    await b.waitUntil(() => b.events.length >= texts.length)
    a.task.close()
    b.task.close()
    expect(b.ofType('peer').map(event => 'jobId' in event.message ? event.message.jobId : '')).to.deep.equal(texts)
  })

  it('report messages as not sent when nothing listens at the address of the peer', async () => {
    const closedPeer = await new TestPeer(B).listen()
    closedPeer.task.close()
    const a = new TestPeer(A)
    a.task.send({ to: B, address: closedPeer.address, message: message(1) })
    a.task.send({ to: B, address: closedPeer.address, message: message(2) })
    await a.waitUntil(() => a.events.length >= 2)
    expect(a.events).to.deep.equal([1, 2].map(n => ({ type: 'sendFailed', to: B, message: message(n) })))
  })

  it('notify both sides when a connection breaks, and reconnect for the next message', async () => {
    const [a, b] = [await new TestPeer(A).listen(), await new TestPeer(B).listen()]
    a.task.send({ to: B, address: b.address, message: message(1) })
    await b.waitUntil(() => b.events.length === 1)
    a.task.reset(B)
    await b.waitUntil(() => b.events.length === 2)
    a.task.send({ to: B, address: b.address, message: message(2) })
    await b.waitUntil(() => b.events.length === 3)
    a.task.close()
    b.task.close()
    expect(a.events).to.deep.equal([{ type: 'linkDown', peer: B }])
    expect(b.events[1]).to.deep.equal({ type: 'linkDown', peer: A })
    expect(b.events[2]).to.deep.equal({ type: 'peer', from: A, message: message(2) })
  })

  it('report a peer that closes its connections', async () => {
    const [a, b] = [await new TestPeer(A).listen(), await new TestPeer(B).listen()]
    a.task.send({ to: B, address: b.address, message: message(1) })
    await b.waitUntil(() => b.events.length === 1)
    b.task.close()
    await a.waitUntil(() => a.events.length === 1)
    a.task.close()
    expect(a.events).to.deep.equal([{ type: 'linkDown', peer: B }])
  })

  it('close a connection whose envelope contains an invalid message', async () => {
    const b = await new TestPeer(B).listen()
    const socket = connect({ host: HOST, port: b.port })
    socket.on('error', () => {})
    socket.resume()
    socket.write(encode([A, { type: 'submit' }]))
    await new Promise(resolve => socket.once('close', resolve))
    b.task.close()
    expect(b.events.filter(event => event.type === 'peer')).to.deep.equal([])
    expect(b.brokenLinks.length).to.equal(1)
  })

  it('close only the connection that carries data other than envelopes', async () => {
    const [a, b] = [await new TestPeer(A).listen(), await new TestPeer(B).listen()]
    for (const bytes of [Buffer.from('GET / HTTP/1.1\r\n\r\n'), Buffer.from([0xc1]), Buffer.from([0xdd, 0xff, 0xff, 0xff, 0xff])]) {
      const socket = connect({ host: HOST, port: b.port })
      socket.on('error', () => {})
      socket.resume()
      socket.write(bytes)
      await new Promise(resolve => socket.once('close', resolve))
    }
    a.task.send({ to: B, address: b.address, message: message(3) })
    await b.waitUntil(() => b.events.length > 0)
    a.task.close()
    b.task.close()
    expect(b.events).to.deep.equal([{ type: 'peer', from: A, message: message(3) }])
    expect(b.brokenLinks.map(line => line.split(':')[0])).to.deep.equal(['unknown', 'unknown', 'unknown'])
  })

  it('report messages to an address that nothing can connect to as not sent, in a later turn, and log it once', async () => {
    const a = new TestPeer(A)
    const odd = ['127.0.0.1:99999', '127.0.0.1:-1', '127.0.0.1:text', '127.0.0.1', '', 'a b:80', '[::1', 'localhost:80']
    for (const [n, address] of odd.entries()) {
      for (let copy = 0; copy < 3; copy++) a.task.send({ to: B, address, message: message(n) })
    }
    expect(a.events).to.deep.equal([])
    await a.waitUntil(() => a.events.length >= 3 * odd.length)
    a.task.close()
    expect(a.events).to.deep.equal(odd.flatMap((_, n) => [n, n, n]).map(n => ({ type: 'sendFailed', to: B, message: message(n) })))
    expect(a.brokenLinks).to.deep.equal(odd.map(address => `${B}: '${address}' is not an IP address with a port`))
  })

  it('leave out a message that cannot be encoded, and deliver the others', async () => {
    const [a, b] = [await new TestPeer(A).listen(), await new TestPeer(B).listen()]
    let deep: unknown = 1
    for (let depth = 0; depth < 1000; depth++) deep = [deep]
    for (const sent of [message(1), { ...message(2), ...{ deep } }, message(3)]) a.task.send({ to: B, address: b.address, message: sent })
    await b.waitUntil(() => b.events.length === 2)
    a.task.send({ to: B, address: b.address, message: { ...message(4), ...{ deep } } })
    a.task.send({ to: B, address: b.address, message: message(5) })
    await b.waitUntil(() => b.events.length === 3)
    a.task.close()
    b.task.close()
    expect(b.ofType('peer').map(event => event.message)).to.deep.equal([message(1), message(3), message(5)])
    expect(a.brokenLinks.length).to.equal(2)
  })

  it('close connections that send nothing when there are too many, and none of a peer', async () => {
    const closed: string[] = []
    const b = new TestPeer(B, new ConnectionGuard({ connections: 8, bytes: 100_000 }, systemClock, reason => closed.push(reason)))
    const a = await new TestPeer(A).listen()
    await b.listen()
    a.task.send({ to: B, address: b.address, message: message(0) })
    await b.waitUntil(() => b.events.length === 1)
    const sockets = Array.from({ length: 20 }, () => connect(b.port, HOST).on('error', () => {}))
    await Promise.all(sockets.slice(0, 5).map(socket => new Promise(resolve => socket.once('close', resolve))))
    a.task.send({ to: B, address: b.address, message: message(1) })
    await b.waitUntil(() => b.events.length === 2)
    for (const socket of sockets) socket.destroy()
    a.task.close()
    b.task.close()
    expect(b.ofType('linkDown')).to.deep.equal([])
    expect(new Set(closed)).to.deep.equal(new Set(['tooMany']))
  })

  it('give up a connection that is not established while too many messages wait for it', async () => {
    const [a, b] = [new TestPeer(A), await new TestPeer(B).listen()]
    const count = 10_000
    // No connection is established before this loop ends.
    for (let n = 0; n < count; n++) a.task.send({ to: B, address: b.address, message: message(n) })
    await a.waitUntil(() => a.events.length >= count)
    a.task.send({ to: B, address: b.address, message: message(count) })
    await b.waitUntil(() => b.ofType('peer').length > 0)
    a.task.close()
    b.task.close()
    expect(a.ofType('sendFailed').length).to.equal(count)
    expect(b.ofType('peer').map(event => event.message)).to.deep.equal([message(count)])
    expect(a.brokenLinks).to.deep.equal([`${B}: ${count} messages waited for a connection`])
  })
})
