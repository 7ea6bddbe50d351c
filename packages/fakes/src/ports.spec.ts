import { expect } from 'chai'
import { execFile } from 'node:child_process'
import { createServer } from 'node:net'
import { promisify } from 'node:util'
import { PortRange } from './ports.js'

/** Lower end of the ephemeral port range on common systems. */
const FIRST_EPHEMERAL_PORT = 32_768
const PORTS_PER_RANGE = 200

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

  it('is not shared with another test process whose id chooses the same range', async () => {
    const ports = new PortRange()
    const first = await ports.next()
    const script = `Object.defineProperty(process, 'pid', { value: ${process.pid} })
      const { PortRange } = await import(${JSON.stringify(new URL('ports.js', import.meta.url).href)})
      console.log(await new PortRange().next())`
    const { stdout } = await promisify(execFile)(process.execPath, ['--input-type=module', '-e', script])
    expect(Math.abs(Number(stdout) - first)).to.be.at.least(PORTS_PER_RANGE - 1)
  })
})
