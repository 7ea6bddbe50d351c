/**
 * Picks ports for processes that a test starts. The ports lie below the system's ephemeral range: otherwise, any outgoing
 * connection could take a port between the check that it is free and the moment when the process listens on it.
 */
import { createServer } from 'node:net'
import process from 'node:process'

/**
 * Each test process uses one of 75 ranges of 200 ports, the first that is not taken from the one that its process id chooses. It holds
 * the first port of its range until it exits, so that no other test process uses the range meanwhile. The last range ends at 30,000, well below the ports from 31,000 that the tutorial's test
 * (docs.spec.ts in bench) uses.
 */
const FIRST_PORT = 15_000
const PORTS_PER_RANGE = 200
const RANGE_COUNT = 75

let rangeOfProcess: Promise<number> | undefined

/** Returns free ports of the process's range, each only once. */
export class PortRange {
  private candidate: number | undefined

  /** @returns a port on which nothing listens */
  async next (): Promise<number> {
    rangeOfProcess ??= takeRange()
    const first = await rangeOfProcess
    this.candidate ??= first + 1
    while (!await isFree(this.candidate)) this.candidate++
    return this.candidate++
  }
}

/** @returns the first port of the range, on which this process listens from now on */
async function takeRange (): Promise<number> {
  for (let i = 0; i < RANGE_COUNT; i++) {
    const port = FIRST_PORT + ((process.pid + i) % RANGE_COUNT) * PORTS_PER_RANGE
    if (await isTaken(port)) return port
  }
  throw new Error(`all ${RANGE_COUNT} port ranges are in use`)
}

/** @returns whether this process has taken the port, which does not keep it from exiting */
function isTaken (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => resolve(true))
    server.unref()
  })
}

function isFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
