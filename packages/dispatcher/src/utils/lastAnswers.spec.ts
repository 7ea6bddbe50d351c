import { expect } from 'chai'
import { systemClock } from '@cranberryyard/protocol'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { ConnectionGuard } from './connectionGuard.js'
import { headerLimits, listen, makePlainServer } from './plainServer.js'
import { hasUnreadBody, readBody } from './requestBody.js'

const ALLOWANCE = { connections: 8, bytes: 35_000_000 }
const HEADERS_TIMEOUT_MS = 5000
const MAX_BODY_BYTES = 100_000
/** More than the caller's and the server's socket buffers hold, so the caller can only send it if it is read. */
const REST_BYTES = 3_500_000
/** More than is read after the last answer. */
const ENDLESS_BYTES = 30_000_000
/** Longest time to wait for a state that must come about; the length of the wait is not checked. */
const PATIENCE_MS = 5000
const POLL_MS = 5

const requests: Record<string, { readonly head: string, readonly status: number }> = {
  'a body that is announced over the limit': { head: `POST /job HTTP/1.1\r\nhost: h\r\ncontent-length: ${MAX_BODY_BYTES + REST_BYTES}\r\n\r\n`, status: 413 },
  'a body that is sent over the limit': { head: 'POST /job HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n7fffffff\r\n', status: 413 },
  'a body that nobody reads': { head: `GET /ready HTTP/1.1\r\nhost: h\r\ncontent-length: ${MAX_BODY_BYTES + REST_BYTES}\r\n\r\n`, status: 200 }
}

function handle (guard: ConnectionGuard, req: IncomingMessage, res: ServerResponse): void {
  const guarded = guard.of(req)
  guarded.begin(req, res)
  const answer = (status: number): void => void res.writeHead(status, { 'content-length': 0, ...(hasUnreadBody(req) ? { connection: 'close' } : {}) }).end()
  if (req.url === '/ready') answer(200)
  else readBody(req, res, guarded, MAX_BODY_BYTES, ({ type }) => answer(type === 'tooLarge' ? 413 : 200))
}

function closed (caller: Socket): Promise<unknown> {
  return Promise.race([new Promise(resolve => caller.once('close', resolve)), sleep(PATIENCE_MS, undefined, { ref: false })])
}

/** A server and a caller that has sent a request and got its answer, while parts of the body are still to be sent. */
async function afterAnswer (head: string, play: (caller: Socket) => Promise<unknown>): Promise<{ errors: string[], received: string, readBytes: number, connections: number, bytes: number }> {
  const guard = new ConnectionGuard(ALLOWANCE, systemClock, () => {})
  const server = makePlainServer(headerLimits(HEADERS_TIMEOUT_MS), (req, res) => handle(guard, req, res))
  guard.watch(server)
  let accepted: Socket | undefined
  server.on('connection', (socket: Socket) => {
    accepted = socket
  })
  const errors: string[] = []
  let received = ''
  const caller = connect({ port: await listen(server, '127.0.0.1', 0), host: '127.0.0.1', allowHalfOpen: true })
  caller.on('error', (err: NodeJS.ErrnoException) => errors.push(err.code ?? err.message)).on('data', (piece: Buffer) => {
    received += piece.toString()
  })
  caller.write(head)
  caller.write(Buffer.alloc(MAX_BODY_BYTES + 1))
  while (received === '' && errors.length === 0) await sleep(POLL_MS)
  await play(caller)
  for (const until = performance.now() + PATIENCE_MS; guard.usage().connections > 0 && performance.now() < until;) await sleep(POLL_MS)
  const usage = guard.usage()
  caller.destroy()
  server.close()
  server.closeAllConnections()
  return { errors, received: received.slice(0, 'HTTP/1.1 200'.length), readBytes: accepted?.bytesRead ?? 0, ...usage }
}

describe('a connection that is closed after its last answer', () => {
  for (const [what, { head, status }] of Object.entries(requests)) {
    it(`is not reset while its caller sends the rest of ${what}`, async () => {
      const { readBytes, ...outcome } = await afterAnswer(head, (caller) => {
        caller.end(Buffer.alloc(REST_BYTES))
        return closed(caller)
      })
      expect(readBytes).to.be.greaterThan(REST_BYTES)
      expect(outcome).to.deep.equal({ errors: [], received: `HTTP/1.1 ${status}`, connections: 0, bytes: 0 })
    })

    it(`is closed although its caller does not end it after a part of ${what}`, async () => {
      const { readBytes, ...outcome } = await afterAnswer(head, () => Promise.resolve())
      expect(readBytes).to.be.lessThan(REST_BYTES)
      expect(outcome).to.deep.equal({ errors: [], received: `HTTP/1.1 ${status}`, connections: 0, bytes: 0 })
    })
  }

  it('is closed although its caller goes on sending without end', async () => {
    const { head } = requests['a body that is sent over the limit'] ?? { head: '' }
    const { errors, readBytes, ...outcome } = await afterAnswer(head, (caller) => {
      caller.end(Buffer.alloc(ENDLESS_BYTES))
      return closed(caller)
    })
    expect(outcome).to.deep.equal({ received: 'HTTP/1.1 413', connections: 0, bytes: 0 })
    expect(errors).to.have.length(1)
    expect(readBytes).to.be.lessThan(ENDLESS_BYTES / 4)
  })
})
