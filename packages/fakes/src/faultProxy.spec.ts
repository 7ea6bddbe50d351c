import { expect } from 'chai'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { FaultProxy } from './faultProxy.js'

/** Time in which bytes pass a proxy without faults. */
const PASSAGE_MS = 100

describe('a fault proxy', () => {
  let proxy: FaultProxy
  let server: Server
  let port: number
  const received: string[] = []

  beforeEach(async () => {
    received.length = 0
    server = createServer((socket) => {
      let text = ''
      socket.on('data', (chunk) => {
        text += chunk.toString()
        received.push(chunk.toString())
      })
      socket.on('end', () => received.push(`end of ${text}`))
      socket.on('error', () => {})
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    proxy = new FaultProxy((server.address() as AddressInfo).port)
    port = await proxy.listen()
  })
  afterEach(async () => {
    await proxy.close()
    server.close()
  })

  async function open (text: string): Promise<Socket> {
    const socket = connect(port, '127.0.0.1')
    socket.on('error', () => {})
    await once(socket, 'connect')
    socket.write(text)
    await sleep(PASSAGE_MS)
    return socket
  }

  it('delivers over a narrow link in parts, at its speed', async () => {
    proxy.bytesPerMs = 20
    const startedAt = performance.now()
    const socket = connect(port, '127.0.0.1')
    socket.end('x'.repeat(6000))
    while (!received.some(text => text.startsWith('end of'))) await sleep(5)
    expect(performance.now() - startedAt).to.be.greaterThan(6000 / 20 - 1)
    expect(received.length).to.be.greaterThan(3)
    expect(received.at(-1)).to.equal(`end of ${'x'.repeat(6000)}`)
  })

  it('delivers what a hold has kept in order, and the end last, also if the sender has closed the connection', async () => {
    const socket = await open('a')
    proxy.hold()
    socket.write('b')
    await sleep(PASSAGE_MS)
    socket.write('c')
    socket.destroy()
    await sleep(PASSAGE_MS)
    expect(received).to.deep.equal(['a'])
    proxy.release(() => 0)
    await sleep(PASSAGE_MS)
    expect(received.join('')).to.equal('abcend of abc')
  })

  it('establishes connections that are opened during a hold when it ends', async () => {
    let connections = 0
    server.on('connection', () => connections++)
    proxy.hold()
    await open('a')
    expect(connections).to.equal(0)
    proxy.release(() => 0)
    await sleep(PASSAGE_MS)
    expect(received).to.deep.equal(['a'])
  })

  it('lets a new connection overtake an old one after a hold', async () => {
    const ranks = [2, 1]
    const old = await open('old')
    proxy.hold()
    old.write('+')
    old.destroy()
    await open('new')
    proxy.release(() => ranks.shift() ?? PASSAGE_MS)
    await sleep(2 * PASSAGE_MS)
    expect(received).to.deep.equal(['old', 'new', '+', 'end of old+'])
  })

  it('holds only the connections of the given sender', async () => {
    const a = await open('from-a')
    proxy.hold('from-b')
    a.write('1')
    await open('from-b')
    await open('from-a, again')
    expect(received).to.deep.equal(['from-a', '1', 'from-a, again'])
  })

  it('delays the end of a connection as well as its bytes, and keeps them in order when the delay gets shorter', async () => {
    const socket = await open('a')
    proxy.faults.delayMs = 3 * PASSAGE_MS
    socket.write('b')
    await sleep(PASSAGE_MS)
    proxy.faults.delayMs = 0
    socket.end('c')
    await sleep(PASSAGE_MS)
    expect(received).to.deep.equal(['a'])
    await sleep(3 * PASSAGE_MS)
    expect(received.join('')).to.equal('abcend of abc')
  })
})
