import { expect } from 'chai'
import { ms } from '@cranberryyard/protocol'
import { listenHttp, sendJson } from '@cranberryyard/fakes'
import { AnswerBudget } from './answerBudget.js'
import { HttpCaller } from './httpCaller.js'

const call = { method: 'POST', path: '/x', body: '{"a":1}' } as const
/** A timeout far longer than a reply over loopback takes. */
const LONG_TIMEOUT_MS = ms(5000)

const ignoreReason = (): void => {}

function blockEventLoop (durationMs: number): void {
  const endAt = performance.now() + durationMs
  while (performance.now() < endAt);
}

describe('the HTTP caller', () => {
  it('returns the status and the complete body', async () => {
    const long = 'x'.repeat(300_000)
    const server = await listenHttp(0, (_req, res) => {
      sendJson(res, 409, { long })
    })
    const caller = new HttpCaller(2, ignoreReason)
    const result = await caller.call(`127.0.0.1:${server.port}`, call, LONG_TIMEOUT_MS)
    await caller.close()
    await server.close()
    expect(result).to.deep.equal({ type: 'reply', reply: { status: 409, body: JSON.stringify({ long }) } })
  })

  it('gives up an answer that is too large, and answers that use up the budget', async () => {
    const server = await listenHttp(0, (_req, res) => {
      const timer = setInterval(() => res.write('x'.repeat(30_000)), 1)
      res.once('close', () => clearInterval(timer))
    })
    const reasons: string[] = []
    const closed: string[] = []
    for (const [maxBytes, bytes] of [[100_000, 1_000_000], [1_000_000, 100_000]] as const) {
      const caller = new HttpCaller(2, (_address, reason) => reasons.push(reason), { maxBytes, budget: new AnswerBudget({ connections: 10, bytes }, undefined, reason => closed.push(reason)) })
      expect((await caller.call(`127.0.0.1:${server.port}`, call, LONG_TIMEOUT_MS)).type).to.equal('silent')
      await caller.close()
    }
    await server.close()
    expect(reasons).to.deep.equal(['the answer is larger than 100000 bytes', 'the answers that are received use up the budget'])
    expect(closed).to.deep.equal(['tooLarge', 'memory'])
  })

  it('distinguishes a refused connection from a missing answer', async () => {
    const server = await listenHttp(0, () => {})
    const caller = new HttpCaller(2, ignoreReason)
    const silent = await caller.call(`127.0.0.1:${server.port}`, call, ms(50))
    const { port } = server
    await caller.close()
    await server.close()
    const secondCaller = new HttpCaller(2, ignoreReason)
    const refused = await secondCaller.call(`127.0.0.1:${port}`, call, LONG_TIMEOUT_MS)
    await secondCaller.close()
    expect([silent.type, refused.type]).to.deep.equal(['silent', 'refused'])
  })

  it('accepts an answer that arrived in time although the event loop was blocked beyond the timeout', async () => {
    const timeoutMs = ms(100)
    const server = await listenHttp(0, (_req, res) => {
      // The answer has been sent; the blocked event loop reads nothing until the timeout has passed.
      res.on('finish', () => blockEventLoop(2 * timeoutMs))
      sendJson(res, 200, {})
    })
    const caller = new HttpCaller(1, ignoreReason)
    const result = await caller.call(`127.0.0.1:${server.port}`, call, timeoutMs)
    await caller.close()
    await server.close()
    expect(result.type).to.equal('reply')
  })

  it('waits for a large answer while parts of it keep arriving, up to the total timeout', async () => {
    const idleTimeoutMs = ms(200)
    const pauseMs = 50
    const server = await listenHttp(0, (req, res) => {
      res.writeHead(200)
      const parts = req.url === '/ends' ? 3 * idleTimeoutMs / pauseMs : Infinity
      const write = (part: number): void => {
        if (res.destroyed) return
        if (part >= parts) res.end()
        else res.write('x', () => setTimeout(() => write(part + 1), pauseMs))
      }
      write(0)
    })
    const caller = new HttpCaller(2, ignoreReason)
    const address = `127.0.0.1:${server.port}`
    const ends = await caller.call(address, { method: 'GET', path: '/ends' }, { idleTimeoutMs, totalTimeoutMs: LONG_TIMEOUT_MS })
    const endless = await caller.call(address, { method: 'GET', path: '/endless' }, { idleTimeoutMs, totalTimeoutMs: ms(3 * idleTimeoutMs) })
    await caller.close()
    await server.close()
    expect([ends.type, endless.type]).to.deep.equal(['reply', 'silent'])
  })

  it('never sends a call that timed out while it waited for a connection', async () => {
    const receivedPaths: string[] = []
    let release = (): void => {}
    const server = await listenHttp(0, (req, res) => {
      receivedPaths.push(req.url ?? '')
      if (req.url === '/first') release = () => sendJson(res, 200, {})
      else sendJson(res, 200, {})
    })
    const address = `127.0.0.1:${server.port}`
    const caller = new HttpCaller(1, ignoreReason)
    const first = caller.call(address, { method: 'GET', path: '/first' }, LONG_TIMEOUT_MS)
    const late = await caller.call(address, { method: 'GET', path: '/late' }, ms(50))
    release()
    expect((await first).type).to.equal('reply')
    expect((await caller.call(address, { method: 'GET', path: '/next' }, LONG_TIMEOUT_MS)).type).to.equal('reply')
    await caller.close()
    await server.close()
    expect(late.type).to.equal('silent')
    expect(receivedPaths).to.deep.equal(['/first', '/next'])
  })

  it('ends a call that cannot be sent like one to an address out of reach, and says why, instead of throwing', async () => {
    const reasons: string[] = []
    const caller = new HttpCaller(1, (address, reason) => reasons.push(`${address}: ${reason}`))
    const odd = ['127.0.0.1:99999', '127.0.0.1:-1', '127.0.0.1:text', '127.0.0.1', '', 'a b:80', '[::1', '127.0.0.1:80/x', 'no-such-host.invalid:80']
    const results = await Promise.all(odd.map(address => caller.call(address, call, LONG_TIMEOUT_MS)))
    await caller.close()
    expect(results.map(({ type }) => type)).to.deep.equal(odd.map(() => 'silent'))
    expect(reasons).to.deep.equal(odd.map(address => `${address}: the address is not an IP address with a port`))
  })

  it('serves an address after calls to it with a header that cannot be sent', async () => {
    const server = await listenHttp(0, (_req, res) => sendJson(res, 200, {}))
    const caller = new HttpCaller(1, ignoreReason)
    const address = `127.0.0.1:${server.port}`
    const oddCall = { ...call, headers: { 'expect-instance': 'line\nbreak \u20ac' } }
    const results = [await caller.call(address, oddCall, LONG_TIMEOUT_MS), await caller.call(address, oddCall, LONG_TIMEOUT_MS), await caller.call(address, call, LONG_TIMEOUT_MS)]
    await caller.close()
    await server.close()
    expect(results.map(({ type }) => type)).to.deep.equal(['silent', 'silent', 'reply'])
  })
})
