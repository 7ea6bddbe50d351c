/**
 * Ports for processes that a test starts. They lie below those that the system hands out for connections: a port that
 * was free a moment ago could otherwise be taken by any connection before the process listens there.
 */
import { createServer } from 'node:net'
import process from 'node:process'

/**
 * First port, and size and number of the ranges, which end well below the ports that the lesson uses. Processes with
 * different ids mostly use different ranges.
 */
const PORTS_FROM = 15_000
const RANGE_SIZE = 200
const RANGES = 75

/** Hands out free ports, each once. */
export class PortRange {
  private following = PORTS_FROM + (process.pid % RANGES) * RANGE_SIZE

  /** @returns a port on which nothing listens */
  async next (): Promise<number> {
    while (!await isFree(this.following)) this.following++
    return this.following++
  }
}

function isFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
