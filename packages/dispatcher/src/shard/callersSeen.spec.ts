import { ms, systemClock } from '@cranberryyard/protocol'
import { expect } from 'chai'
import { once } from 'node:events'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Worker } from 'node:worker_threads'
import { SocketReads } from './socketReads.js'
import { ConnectionGuard } from '../utils/connectionGuard.js'
import { headerLimits, makePlainServer } from '../utils/plainServer.js'

/** Opens a connection, sends a request and says so; on a message, sends another one and ends the connection while the server's event loop is blocked. */
const CLIENT = `
const { parentPort, workerData: { port, flag } } = require('node:worker_threads')
const socket = require('node:net').connect(port, '127.0.0.1', () => socket.write('GET /a HTTP/1.1\\r\\nhost: h\\r\\n\\r\\n'))
socket.on('error', () => {})
parentPort.on('message', () => {
  socket.end('GET /b HTTP/1.1\\r\\nhost: h\\r\\n\\r\\n', () => {
    Atomics.store(flag, 0, 1)
    Atomics.notify(flag, 0)
  })
})
`
/** Time for the end to arrive on loopback after it was sent. */
const ARRIVAL_MS = 50

describe('what a front knows of a caller whose end arrived behind a small request while the event loop was blocked', () => {
  let server: Server
  let client: Worker
  afterEach(async () => {
    await client.terminate()
    server.closeAllConnections()
    server.close()
  })

  it('is no later than that end', async () => {
    const reads = new SocketReads(systemClock)
    const guard = new ConnectionGuard({ connections: 10, bytes: 1_000_000 }, systemClock, () => {}, reads)
    let left = false
    const firstRequest = new Promise<void>((resolve) => {
      server = makePlainServer(headerLimits(5000), (req, res) => {
        guard.of(req).begin(req, res)
        if (req.url !== '/a') return
        reads.callBegan('a', guard.of(req).reads)
        guard.of(req).whenLeft(() => {
          left = true
        })
        resolve()
      })
    })
    guard.watch(server)
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const flag = new Int32Array(new SharedArrayBuffer(4))
    client = new Worker(CLIENT, { eval: true, workerData: { port: (server.address() as AddressInfo).port, flag } })
    await firstRequest
    client.postMessage('end')
    // Is due before the event loop goes on, and so runs before sockets are read.
    const tick = new Promise<void>(resolve => setTimeout(resolve, 1))
    Atomics.wait(flag, 0, 0, 5000)
    expect(Atomics.load(flag, 0)).to.equal(1)
    Atomics.wait(flag, 0, 1, ARRIVAL_MS)
    const endedBy = systemClock.now()
    Atomics.wait(flag, 0, 1, ARRIVAL_MS)
    await tick
    const seenAt = await new Promise<number>(resolve => reads.afterNextRead(() => resolve(left ? 0 : reads.behindAt('a') ?? reads.upTo)))
    expect(seenAt, `ended by ${endedBy}`).to.be.at.most(ms(endedBy))
  })
})
