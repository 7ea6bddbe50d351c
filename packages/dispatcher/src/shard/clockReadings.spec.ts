import { systemClock } from '@cranberryyard/protocol'
import { expect } from 'chai'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { Worker } from 'node:worker_threads'
import { SocketReads } from './socketReads.js'
import { ConnectionReads } from '../utils/connectionReads.js'

/** Three connections. While the server is busy with what `slow` sent, the caller leaves, and then the peer sends a reading of its clock on `link`, on which a byte waits already. */
const CLIENT = `
const { parentPort, workerData: { port, flag } } = require('node:worker_threads')
const { connect } = require('node:net')
const [slow, link, caller] = ['S', 'L', 'C'].map(name => connect(port, '127.0.0.1', function () { this.setNoDelay(true).write(name) }))
const sleep = durationMs => new Promise(resolve => setTimeout(resolve, durationMs))
const reached = async step => { while (Atomics.load(flag, 0) < step) await sleep(1) }
const play = async () => {
  await sleep(100)
  parentPort.postMessage('started')
  await reached(1)
  slow.write('s')
  await sleep(20)
  link.write('l')
  await sleep(20)
  Atomics.store(flag, 0, 2)
  await reached(3)
  caller.end(async () => {
    await sleep(200)
    link.write('R')
    await sleep(20)
    Atomics.store(flag, 0, 4)
  })
}
play()
`
/** The step of the play, which both threads wait for. */
const flag = new Int32Array(new SharedArrayBuffer(4))

function blockUntil (step: number): void {
  for (let seen = Atomics.load(flag, 0); seen < step; seen = Atomics.load(flag, 0)) Atomics.wait(flag, 0, seen, 1)
}

describe('a reading of a peer\'s clock that arrived behind the end of a caller', () => {
  let server: Server
  let client: Worker
  afterEach(async () => {
    await client.terminate()
    server.close()
  })

  it('does not count as handled before that end is read', async () => {
    const reads = new SocketReads(systemClock)
    let left = false
    let readAt = Infinity
    server = createServer({ allowHalfOpen: true }, (socket) => {
      reads.accepted()
      const connection = new ConnectionReads(reads, systemClock.now())
      socket.on('error', () => {}).on('data', (piece: Buffer) => {
        const text = piece.toString()
        if (text === 'C') {
          reads.callBegan('c', connection)
          socket.on('end', () => {
            left = true
          })
        }
        if (text === 's') {
          Atomics.store(flag, 0, 3)
          blockUntil(4)
        }
        if (text.includes('R')) readAt = systemClock.now()
      })
    }).listen(0, '127.0.0.1')
    await once(server, 'listening')
    client = new Worker(CLIENT, { eval: true, workerData: { port: (server.address() as AddressInfo).port, flag } })
    await once(client, 'message')
    await new Promise<void>(resolve => setTimeout(() => reads.afterNextRead(resolve), 20))
    await new Promise<void>(resolve => setTimeout(() => {
      Atomics.store(flag, 0, 1)
      blockUntil(2)
      reads.afterNextRead(resolve)
    }, 1))
    // SessionsDecider.clockAt takes such a reading as it is if it was handled by `endedAt`.
    expect({ left, isHandled: readAt < Infinity, countsForCaller: readAt <= reads.endedAt && !left }).to.deep.equal({ left: false, isHandled: true, countsForCaller: false })
  })
})
