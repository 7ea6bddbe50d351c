import { expect } from 'chai'
import { ms } from '@cranberryyard/protocol'
import { listenHttp, sendJson } from '@cranberryyard/fakes'
import { HttpCaller } from './httpCaller.js'

const call = { method: 'POST', path: '/x', body: '{"a":1}' } as const
/** Far above what a reply over loopback takes. */
const PATIENT = ms(5000)

function standStill (forMs: number): void {
  const until = performance.now() + forMs
  while (performance.now() < until);
}

describe('the HTTP caller', () => {
  it('returns status and whole body', async () => {
    const long = 'x'.repeat(300_000)
    const server = await listenHttp(0, (_req, res) => {
      sendJson(res, 409, { long })
    })
    const caller = new HttpCaller(2)
    const result = await caller.call(`127.0.0.1:${server.port}`, call, PATIENT)
    await caller.close()
    await server.close()
    expect(result).to.deep.equal({ type: 'reply', reply: { status: 409, body: JSON.stringify({ long }) } })
  })

  it('tells a refused connection from a silent one', async () => {
    const server = await listenHttp(0, () => {})
    const caller = new HttpCaller(2)
    const silent = await caller.call(`127.0.0.1:${server.port}`, call, ms(50))
    const { port } = server
    await caller.close()
    await server.close()
    const next = new HttpCaller(2)
    const refused = await next.call(`127.0.0.1:${port}`, call, PATIENT)
    await next.close()
    expect([silent.type, refused.type]).to.deep.equal(['silent', 'refused'])
  })

  it('takes an answer that arrived in time although the event loop was behind', async () => {
    const timeoutMs = ms(100)
    const server = await listenHttp(0, (_req, res) => {
      // The answer is on its way; nothing is read until the time is up.
      res.on('finish', () => standStill(2 * timeoutMs))
      sendJson(res, 200, {})
    })
    const caller = new HttpCaller(1)
    const result = await caller.call(`127.0.0.1:${server.port}`, call, timeoutMs)
    await caller.close()
    await server.close()
    expect(result.type).to.equal('reply')
  })

  it('waits for a large answer as long as parts of it arrive, within the whole time', async () => {
    const silenceMs = ms(200)
    const pauseMs = 50
    const server = await listenHttp(0, (req, res) => {
      res.writeHead(200)
      const parts = req.url === '/ends' ? 3 * silenceMs / pauseMs : Infinity
      const write = (part: number): void => {
        if (res.destroyed) return
        if (part >= parts) res.end()
        else res.write('x', () => setTimeout(() => write(part + 1), pauseMs))
      }
      write(0)
    })
    const caller = new HttpCaller(2)
    const address = `127.0.0.1:${server.port}`
    const ends = await caller.call(address, { method: 'GET', path: '/ends' }, { silenceMs, totalMs: PATIENT })
    const endless = await caller.call(address, { method: 'GET', path: '/endless' }, { silenceMs, totalMs: ms(3 * silenceMs) })
    await caller.close()
    await server.close()
    expect([ends.type, endless.type]).to.deep.equal(['reply', 'silent'])
  })

  it('never sends a call whose time was up while it waited for a connection', async () => {
    const seen: string[] = []
    let release = (): void => {}
    const server = await listenHttp(0, (req, res) => {
      seen.push(req.url ?? '')
      if (req.url === '/first') release = () => sendJson(res, 200, {})
      else sendJson(res, 200, {})
    })
    const address = `127.0.0.1:${server.port}`
    const caller = new HttpCaller(1)
    const first = caller.call(address, { method: 'GET', path: '/first' }, PATIENT)
    const late = await caller.call(address, { method: 'GET', path: '/late' }, ms(50))
    release()
    expect((await first).type).to.equal('reply')
    expect((await caller.call(address, { method: 'GET', path: '/next' }, PATIENT)).type).to.equal('reply')
    await caller.close()
    await server.close()
    expect(late.type).to.equal('silent')
    expect(seen).to.deep.equal(['/first', '/next'])
  })
})
