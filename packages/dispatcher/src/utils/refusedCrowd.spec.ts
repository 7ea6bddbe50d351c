import { expect } from 'chai'
import { systemClock } from '@cranberryyard/protocol'
import { once } from 'node:events'
import type { Server } from 'node:http'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { Worker } from 'node:worker_threads'
import { ConnectionGuard } from './connectionGuard.js'
import { headerLimits, listen, makePlainServer } from './plainServer.js'
import { hasUnreadBody, readBody } from './requestBody.js'

/** As of a machine with 350 MB. */
const ALLOWANCE = { connections: 1950, bytes: 36_700_000 }
const HEADERS_TIMEOUT_MS = 5000
const MAX_BODY_BYTES = 1_048_576
/** Callers that announce a body over the limit, go on sending after the answer, and come again. */
const CROWD = `
const { connect } = require('node:net')
const { workerData: port } = require('node:worker_threads')
const piece = Buffer.alloc(65536)
const come = () => {
  const caller = connect({ port, host: '127.0.0.1', allowHalfOpen: true })
  const send = () => { while (!caller.destroyed && caller.write(piece)); }
  caller.on('error', () => {}).on('close', () => setTimeout(come, 5)).on('drain', send).resume()
  caller.write('POST / HTTP/1.1\\r\\nhost: h\\r\\ncontent-length: 900000000\\r\\n\\r\\n')
  send()
}
for (let i = 0; i < 400; i++) come()
`
const CROWD_GATHERS_MS = 1000
const CALLERS = 10
const PIECES = 5
const PIECE_BYTES = 600
const PIECE_MS = 150

describe('callers that take three quarters of a second to send a request', () => {
  let server: Server
  let crowd: Worker

  before(() => {
    const guard = new ConnectionGuard(ALLOWANCE, systemClock, () => {})
    server = makePlainServer(headerLimits(HEADERS_TIMEOUT_MS), (req, res) => {
      const guarded = guard.of(req)
      guarded.begin(req, res)
      readBody(req, res, guarded, MAX_BODY_BYTES, ({ type }) => {
        res.writeHead(type === 'tooLarge' ? 413 : 200, { 'content-length': 0, ...(hasUnreadBody(req) ? { connection: 'close' } : {}) }).end()
      })
    })
    guard.watch(server)
  })
  after(async () => {
    await crowd.terminate()
    server.closeAllConnections()
    server.close()
  })

  async function sendSlowly (port: number): Promise<string> {
    const caller = connect(port, '127.0.0.1')
    let received = ''
    const ended = new Promise<void>((resolve) => {
      caller.on('data', (piece: Buffer) => {
        received += piece.toString()
        resolve()
      }).on('error', () => {}).on('close', () => resolve())
    })
    caller.write(`POST / HTTP/1.1\r\nhost: h\r\ncontent-length: ${PIECES * PIECE_BYTES}\r\n\r\n`)
    for (let i = 0; i < PIECES; i++) {
      await sleep(PIECE_MS)
      caller.write(Buffer.alloc(PIECE_BYTES))
    }
    await ended
    caller.destroy()
    return received.slice(0, 'HTTP/1.1 200'.length)
  }

  it('get their answers beside a crowd that goes on sending refused bodies', async () => {
    const port = await listen(server, '127.0.0.1', 0)
    crowd = new Worker(CROWD, { eval: true, workerData: port })
    await once(crowd, 'online')
    await sleep(CROWD_GATHERS_MS)
    const answers = await Promise.all(Array.from({ length: CALLERS }, () => sendSlowly(port)))
    expect(answers).to.deep.equal(answers.map(() => 'HTTP/1.1 200'))
  })
})
