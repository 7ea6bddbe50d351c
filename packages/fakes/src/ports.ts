/**
 * Picks ports for processes that a test starts. The ports lie below the system's ephemeral range: otherwise, any outgoing
 * connection could take a port between the check that it is free and the moment when the process listens on it.
 */
import { createServer } from 'node:net'
import process from 'node:process'

/**
 * Each test process uses one of 75 ranges of 200 ports, chosen by its process id, so that test processes that run at the same
 * time mostly use different ports. The last range ends at 30,000, well below the ports from 31,000 that the tutorial's test
 * (docs.spec.ts in bench) uses.
 */
const FIRST_PORT = 15_000
const PORTS_PER_RANGE = 200
const RANGE_COUNT = 75

/** Returns free ports of the process's range, each only once. */
export class PortRange {
  private candidate = FIRST_PORT + (process.pid % RANGE_COUNT) * PORTS_PER_RANGE

  /** @returns a port on which nothing listens */
  async next (): Promise<number> {
    while (!await isFree(this.candidate)) this.candidate++
    return this.candidate++
  }
}

function isFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
