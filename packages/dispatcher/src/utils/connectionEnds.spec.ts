import { expect } from 'chai'
import { systemClock } from '@cranberryyard/protocol'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { ConnectionGuard } from './connectionGuard.js'
import { hasUnreadBody, readBody } from './requestBody.js'
import { headerLimits, listen, makePlainServer } from './plainServer.js'

const ALLOWANCE = { connections: 8, bytes: 35_000_000 }
const HEADERS_TIMEOUT_MS = 5000
const MAX_BODY_BYTES = 100_000
/** Longest time to wait for a state that must come about; the length of the wait is not checked. */
const PATIENCE_MS = 3000
const POLL_MS = 5
/** Longer than the server needs for anything that has arrived. */
const SETTLED_MS = 50

const AWAITED = 'POST /awaited HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n{}'
/** So many that their answers use up what a connection may hold, while the requests do not. */
const BEHIND = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(400)
const OVER_LIMIT = `POST / HTTP/1.1\r\nhost: h\r\ncontent-length: ${2 * MAX_BODY_BYTES}\r\n\r\n${'x'.repeat(2 * MAX_BODY_BYTES - 1)}`
const ANSWER = '{"state":"unknown"}'

const ends: Record<string, (caller: Socket) => void> = { closed: caller => caller.end(), reset: caller => caller.resetAndDestroy() }

/** Sends requests behind one whose answer never comes, and ends the connection. @returns what the server knows of it then */
async function afterEnd (requestsBehind: string, end: (caller: Socket) => void): Promise<{ left: boolean, connections: number, bytes: number }> {
  const guard = new ConnectionGuard(ALLOWANCE, systemClock, () => {})
  let left = false
  const onLeft = (): void => {
    left = true
  }
  const server = makePlainServer(headerLimits(HEADERS_TIMEOUT_MS), (req, res) => {
    const guarded = guard.of(req)
    guarded.begin(req, res)
    readBody(req, res, guarded, MAX_BODY_BYTES, ({ type }) => {
      if (req.url !== '/awaited') res.writeHead(type === 'tooLarge' ? 413 : 200, { 'content-length': ANSWER.length, ...(hasUnreadBody(req) ? { connection: 'close' } : {}) }).end(ANSWER)
      else guarded.whenLeft(onLeft)
    })
  })
  guard.watch(server)
  const caller = connect({ port: await listen(server, '127.0.0.1', 0), host: '127.0.0.1', noDelay: true }).on('error', () => {})
  caller.write(AWAITED + requestsBehind)
  await sleep(SETTLED_MS)
  expect(left).to.equal(false)
  end(caller)
  for (const until = performance.now() + PATIENCE_MS; guard.usage().connections > 0 && performance.now() < until;) await sleep(POLL_MS)
  const usage = guard.usage()
  caller.destroy()
  server.close()
  server.closeAllConnections()
  return { left, ...usage }
}

describe('a connection whose other side awaits an answer', () => {
  for (const [how, end] of Object.entries(ends)) {
    it(`is given up when it is ${how} with nothing behind the request`, async () => {
      expect(await afterEnd('', end)).to.deep.equal({ left: true, connections: 0, bytes: 0 })
    })
    it(`is given up when it is ${how} while further requests wait for that answer`, async () => {
      expect(await afterEnd(BEHIND, end)).to.deep.equal({ left: true, connections: 0, bytes: 0 })
    })
    it(`is given up when it is ${how} behind a body over the limit`, async () => {
      expect(await afterEnd(OVER_LIMIT, end)).to.deep.equal({ left: true, connections: 0, bytes: 0 })
    })
  }
})
