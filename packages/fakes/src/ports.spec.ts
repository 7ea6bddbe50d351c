import { expect } from 'chai'
import { createServer } from 'node:net'
import { PortRange } from './ports.js'

/** First port that common systems hand out for connections. */
const EPHEMERAL_FROM = 32_768

describe('ports for processes of a test', () => {
  it('are each handed out once, free, and never one that a connection may take', async () => {
    const ports = new PortRange()
    const first = await ports.next()
    const server = createServer()
    await new Promise<void>(resolve => server.listen(first + 1, '127.0.0.1', resolve))
    const next = [await ports.next(), await ports.next()]
    await new Promise(resolve => server.close(resolve))
    expect(next).to.not.include(first).and.not.include(first + 1)
    expect(Math.max(first, ...next)).to.be.below(EPHEMERAL_FROM)
  })
})
