import { systemClock } from '@cranberryyard/protocol'
import { expect } from 'chai'
import { once } from 'node:events'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setImmediate } from 'node:timers/promises'
import { Worker } from 'node:worker_threads'
import { SocketReads } from './socketReads.js'
import { ConnectionGuard } from '../utils/connectionGuard.js'
import { headerLimits, makePlainServer } from '../utils/plainServer.js'

/**
 * On a message, sends `input` and ends the connection while the server's event loop is blocked. The connection is made in advance, with a request,
 * or only then.
 */
const CLIENT = `
const { parentPort, workerData: { port, flag, input, inAdvance } } = require('node:worker_threads')
const open = () => require('node:net').connect(port, '127.0.0.1').on('error', () => {})
const kept = inAdvance ? open() : undefined
kept?.write('GET /a HTTP/1.1\\r\\nhost: h\\r\\n\\r\\n')
parentPort.on('message', () => {
  (kept ?? open()).end(input, () => {
    Atomics.store(flag, 0, 1)
    Atomics.notify(flag, 0)
  })
})
parentPort.postMessage('started')
`
const SMALL_REQUEST = 'GET /b HTTP/1.1\r\nhost: h\r\n\r\n'
/** A request with more behind it than a socket takes from the kernel at once. */
const CROWDED_REQUEST = `GET /a HTTP/1.1\r\nhost: h\r\n\r\nPOST /b HTTP/1.1\r\nhost: h\r\ncontent-length: 300000\r\n\r\n${'x'.repeat(150_000)}`
/** Time for the end to arrive on loopback after it was sent. */
const ARRIVAL_MS = 50

describe('what a front knows of a caller whose end arrived while the event loop was blocked', () => {
  let server: Server
  let client: Worker
  let reads: SocketReads
  let left: boolean
  /** Settles with the request for `/a`. */
  let requested: Promise<void>
  const flag = new Int32Array(new SharedArrayBuffer(4))

  beforeEach(async () => {
    reads = new SocketReads(systemClock)
    left = false
    const guard = new ConnectionGuard({ connections: 10, bytes: 1_000_000 }, systemClock, () => {}, reads)
    requested = new Promise<void>((resolve) => {
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
    Atomics.store(flag, 0, 0)
  })
  afterEach(async () => {
    await client.terminate()
    server.closeAllConnections()
    server.close()
  })

  async function startClient (input: string, inAdvance: boolean): Promise<void> {
    client = new Worker(CLIENT, { eval: true, workerData: { port: (server.address() as AddressInfo).port, flag, input, inAdvance } })
    await once(client, 'message')
  }

  /** Blocks the event loop until the caller has left and for some time after. @returns when it had left */
  function blockUntilLeft (): number {
    client.postMessage('leave')
    Atomics.wait(flag, 0, 0, 5000)
    expect(Atomics.load(flag, 0)).to.equal(1)
    Atomics.wait(flag, 0, 1, ARRIVAL_MS)
    const leftBy = systemClock.now()
    Atomics.wait(flag, 0, 1, ARRIVAL_MS)
    return leftBy
  }

  /** @returns up to when the front knows that the caller was there, with the next read; 0 if it knows that it has left */
  function seenAt (): Promise<number> {
    return new Promise(resolve => reads.afterNextRead(() => resolve(left ? 0 : reads.behindAt('a') ?? reads.upTo)))
  }

  it('is no later than that end if it came behind a small request', async () => {
    await startClient(SMALL_REQUEST, true)
    await requested
    // Is due before the event loop goes on, and so runs before sockets are read.
    const tick = new Promise<void>(resolve => setTimeout(resolve, 1))
    const leftBy = blockUntilLeft()
    await tick
    expect(await seenAt()).to.be.at.most(leftBy)
  })

  it('is no later than that end if the connection had not been accepted before either, and more came than is read at once', async () => {
    await startClient(CROWDED_REQUEST, false)
    const leftBy = blockUntilLeft()
    // The front ticks on meanwhile: the connection is accepted in one turn of the event loop and read in the next.
    let isRequested = false
    void requested.then(() => {
      isRequested = true
    })
    // The read after a message would not be a new one.
    await setImmediate()
    while (!isRequested) await seenAt()
    expect(await seenAt()).to.be.at.most(leftBy)
  })
})
