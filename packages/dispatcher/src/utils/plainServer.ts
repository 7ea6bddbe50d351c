/**
 * Listening without TLS, kept apart so that a process that needs no TLS does not load it.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Server as NetServer } from 'node:net'

/** Handles a request; it reads the body itself. */
export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => void

/** Bounds on senders that take their time. */
export interface SenderLimits {
  readonly requestTimeout: number
  readonly headersTimeout: number
  readonly connectionsCheckingInterval: number
  readonly keepAliveTimeout: number
}

/**
 * Makes the limits of a server.
 * @param senderTimeoutMs - longest time a sender may take for a whole request
 */
export function senderLimits (senderTimeoutMs: number): SenderLimits {
  return { requestTimeout: senderTimeoutMs, headersTimeout: senderTimeoutMs, connectionsCheckingInterval: 500, keepAliveTimeout: 30_000 }
}

/**
 * Makes a server without TLS.
 * @param senderTimeoutMs - longest time a sender may take for a whole request
 * @param handler - called for each request
 * @returns the server, not listening yet
 */
export function makePlainServer (senderTimeoutMs: number, handler: RequestHandler): Server {
  return createServer(senderLimits(senderTimeoutMs), handler)
}

/**
 * Listens on an address.
 * @param server - the server
 * @param address - IP number
 * @param port - port, 0 for any
 * @returns the port
 */
export function listen (server: NetServer, address: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, address, () => {
      const bound = server.address()
      resolve(typeof bound === 'object' && bound !== null ? bound.port : port)
    })
  })
}
