import { expect } from 'chai'
import { createServer } from 'node:net'
import { PortRange } from './ports.js'

/** Lower end of the ephemeral port range on common systems. */
const FIRST_EPHEMERAL_PORT = 32_768

describe('the port range of a test process', () => {
  it('returns each port once, skips ports in use and stays below the ephemeral ports', async () => {
    const ports = new PortRange()
    const first = await ports.next()
    const server = createServer()
    await new Promise<void>(resolve => server.listen(first + 1, '127.0.0.1', resolve))
    const next = [await ports.next(), await ports.next()]
    await new Promise(resolve => server.close(resolve))
    expect(next).to.not.include(first).and.not.include(first + 1)
    expect(Math.max(first, ...next)).to.be.below(FIRST_EPHEMERAL_PORT)
  })
})
