import { expect } from 'chai'
import type { ShardInput } from '@cranberryyard/core/shard'
import type { JobId } from '@cranberryyard/protocol'
import { ms, systemClock } from '@cranberryyard/protocol'
import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { ConnectionGuard } from '../utils/connectionGuard.js'
import { listen } from '../utils/plainServer.js'
import { JobServerTask } from './jobServerTask.js'
import { SocketReads } from './socketReads.js'
import type { CallerWire } from './wires.js'

const REQUEST = 'POST /q/1 HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n{}'
/** Longer than the server needs for anything that has arrived. */
const SETTLED_MS = 100

const WIRE: CallerWire = {
  read: (_method, path) => ({ type: 'submit', path, job: { id: '1' as JobId, spec: '', features: [], steps: [] }, deadlineMs: ms(1000) }),
  answer: () => ({ status: 200, headers: {}, body: '{}' }),
  answerMalformed: () => ({ status: 400, headers: {}, body: '{}' }),
  answerTooLarge: () => ({ status: 413, headers: {}, body: '{}' }),
  answerUnknownJob: () => ({ status: 410, headers: {}, body: '{}' }),
  answerWaitingCount: () => ({ status: 200, headers: {}, body: '{}' })
}

/** Lets a caller leave while the event loop is blocked, and ticks as a timer that was due meanwhile does. @returns the types of the inputs */
async function inputsWithTick (leave: (caller: Socket) => void): Promise<string[]> {
  const inputs: string[] = []
  const reads = new SocketReads(systemClock)
  const task = new JobServerTask(WIRE, ({ type }: ShardInput) => inputs.push(type), () => undefined, reads)
  const caller = connect(await listen(task.callers, '127.0.0.1', 0), '127.0.0.1')
  caller.on('error', () => {})
  caller.write(REQUEST)
  await sleep(SETTLED_MS)
  await new Promise<void>(resolve => setTimeout(() => {
    leave(caller)
    for (const end = performance.now() + SETTLED_MS; performance.now() < end;);
    reads.afterNextRead(() => {
      inputs.push('tick')
      resolve()
    })
  }))
  await sleep(SETTLED_MS)
  task.callers.close()
  return inputs
}

/** Sends a request on a connection that the server reads only after the caller has done something more. @returns the types of the inputs */
async function inputsOf (andThen: (caller: Socket) => void): Promise<string[]> {
  const inputs: string[] = []
  const task = new JobServerTask(WIRE, ({ type }: ShardInput) => inputs.push(type), () => undefined, new SocketReads(systemClock))
  const holding = createServer({ pauseOnConnect: true })
  const caller = connect(await listen(holding, '127.0.0.1', 0), '127.0.0.1')
  caller.on('error', () => {})
  const [held] = await once(holding, 'connection') as [Socket]
  caller.write(REQUEST)
  andThen(caller)
  await sleep(SETTLED_MS)
  task.callers.emit('connection', held)
  held.resume()
  await sleep(SETTLED_MS)
  caller.destroy()
  await sleep(SETTLED_MS)
  holding.close()
  return inputs
}

/** Sends bytes to a task that answers each body with its length, and returns all that it sends until it closes the connection or `count` answers have come. */
async function answersTo (parts: readonly string[], count = 1): Promise<string> {
  const wire: CallerWire = { ...WIRE, read: (_method, _path, _headers, body) => ({ type: 'malformed', message: String(body.length) }), answerMalformed: body => ({ status: 200, headers: {}, body }) }
  const task = new JobServerTask(wire, () => {}, () => undefined, new SocketReads(systemClock))
  const caller = connect(await listen(task.callers, '127.0.0.1', 0), '127.0.0.1')
  let received = ''
  for (const part of parts) caller.write(part)
  await new Promise<void>((resolve) => {
    caller.on('error', () => {}).once('close', resolve).on('data', (data: Buffer) => {
      received += data.toString()
      if (received.split('HTTP/1.1 ').length > count) resolve()
    })
  })
  caller.destroy()
  task.callers.close()
  return received
}

describe('the task that serves callers', () => {
  it('serves a body of the largest size that the pages allow, in chunks of one byte, and pipelined requests', async () => {
    const size = 262_144
    expect(await answersTo(['POST /q/1 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n', '1\r\nx\r\n'.repeat(size), '0\r\n\r\n'])).to.match(new RegExp(`^HTTP/1.1 200[^]*${size}$`))
    expect((await answersTo([REQUEST.repeat(300)], 300)).match(/HTTP\/1.1 200/g)?.length).to.equal(300)
  })

  it('refuses a body above the limit before it has come, at the byte that exceeds it, or because of the number of its values, and closes the connection', async () => {
    const limit = 1_048_576
    const chunked = 'POST /q/1 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'
    const values = '{},'.repeat(300_000)
    for (const parts of [[`POST /q/1 HTTP/1.1\r\nhost: h\r\ncontent-length: ${limit + 1}\r\n\r\n`], [chunked, `${limit.toString(16)}\r\n${'x'.repeat(limit)}\r\n`, '1\r\nx'], [`POST /q/1 HTTP/1.1\r\nhost: h\r\ncontent-length: ${values.length}\r\n\r\n${values}`]]) {
      expect((await answersTo(parts, 2)).toLowerCase()).to.match(/^http\/1.1 413[^]*connection: close/)
    }
  })

  it('reports each caller that has left when a connection with several open requests ends', async () => {
    expect(await inputsOf(caller => caller.write(REQUEST))).to.deep.equal(['submit', 'submit', 'callerLeft', 'callerLeft'])
  })

  it('submits the job of a caller that waits, and reports when the caller leaves', async () => {
    expect(await inputsOf(() => {})).to.deep.equal(['submit', 'callerLeft'])
  })

  it('reports that a caller has left before a tick confirms its job, when both waited for a blocked event loop', async () => {
    expect(await inputsWithTick(caller => caller.destroy())).to.deep.equal(['submit', 'callerLeft', 'tick'])
    expect(await inputsWithTick(caller => caller.resetAndDestroy())).to.deep.equal(['submit', 'callerLeft', 'tick'])
  })

  it('answers a request about a job with the refusal of its queue, if there is one', async () => {
    const wire: CallerWire = { ...WIRE, read: (_method, path) => ({ type: 'state', path }), answer: reply => ({ status: reply.type === 'refused' ? 503 : 200, headers: {}, body: '{}' }) }
    const task = new JobServerTask(wire, () => {}, (_host, path) => path === '/new/1' ? { type: 'refused', cause: 'outdatedState', retryAfterMs: ms(1000) } : undefined, new SocketReads(systemClock))
    const port = await listen(task.callers, '127.0.0.1', 0)
    const statuses = await Promise.all(['/new/1', '/q/1'].map(async path => (await fetch(`http://127.0.0.1:${port}${path}`)).status))
    task.callers.close()
    task.callers.closeAllConnections()
    expect(statuses).to.deep.equal([503, 410])
  })

  it('submits no job of a caller that had left before its request was read', async () => {
    expect(await inputsOf(caller => caller.destroySoon())).to.deep.equal([])
    expect(await inputsOf(caller => setTimeout(() => caller.resetAndDestroy(), SETTLED_MS / 4))).to.deep.equal([])
  })

  it('reports that the caller has left when its connection is closed for the budget while its job runs, and submits no job that waits on it', async () => {
    const inputs: string[] = []
    const guard = new ConnectionGuard({ connections: 1, bytes: 1_000_000 }, systemClock, () => {})
    const task = new JobServerTask(WIRE, ({ type }: ShardInput) => inputs.push(type), () => undefined, new SocketReads(systemClock), guard)
    const port = await listen(task.callers, '127.0.0.1', 0)
    const caller = connect(port, '127.0.0.1').on('error', () => {})
    caller.write(REQUEST)
    await sleep(SETTLED_MS)
    expect(inputs).to.deep.equal(['submit'])
    const closed = once(caller, 'close')
    const other = connect(port, '127.0.0.1').on('error', () => {})
    caller.write(REQUEST)
    await closed
    await sleep(SETTLED_MS)
    other.destroy()
    task.callers.close()
    expect(inputs.filter(type => type === 'submit').length).to.equal(inputs.filter(type => type === 'callerLeft').length)
    expect(guard.usage().bytes).to.equal(0)
  })
})
