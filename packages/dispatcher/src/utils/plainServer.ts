/**
 * Makes HTTP servers without TLS and binds servers to a port. It is separate from `httpServer.ts` so that a process that
 * needs no TLS does not load the TLS modules.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Server as NetServer } from 'node:net'

/** Handles a request and reads its body. */
export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => void

/** Timeouts of a server that bound how long slow senders and idle connections occupy it. */
export interface SenderLimits {
  readonly requestTimeout: number
  readonly headersTimeout: number
  readonly connectionsCheckingInterval: number
  readonly keepAliveTimeout: number
  readonly maxHeaderSize: number
}

/** Largest request line and headers together. */
const MAX_HEADER_BYTES = 32_768
const KEEP_ALIVE_MS = 30_000

/**
 * Derives the server options that limit slow senders.
 * @param senderTimeoutMs - longest time that a sender may take for a whole request
 */
export function senderLimits (senderTimeoutMs: number): SenderLimits {
  return { requestTimeout: senderTimeoutMs, headersTimeout: senderTimeoutMs, connectionsCheckingInterval: 500, keepAliveTimeout: KEEP_ALIVE_MS, maxHeaderSize: MAX_HEADER_BYTES }
}

/**
 * Derives the server options that limit the headers only; how slowly a body may arrive is the decision of a `ConnectionGuard`.
 * @param headersTimeoutMs - longest time that a sender may take for the headers
 */
export function headerLimits (headersTimeoutMs: number): SenderLimits {
  return { ...senderLimits(headersTimeoutMs), requestTimeout: 0 }
}

/**
 * Makes a server without TLS.
 * @param limits - limits on slow senders
 * @param handler - called for each request
 * @returns the server, not listening yet
 */
export function makePlainServer (limits: SenderLimits, handler: RequestHandler): Server {
  return createServer(limits, handler)
}

/**
 * Listens on an address.
 * @param server - the server
 * @param address - IP address
 * @param port - port, or 0 for any free one
 * @param backlog - connections that may wait to be accepted
 * @returns the bound port
 */
export function listen (server: NetServer, address: string, port: number, backlog?: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, address, backlog, () => {
      const bound = server.address()
      resolve(typeof bound === 'object' && bound !== null ? bound.port : port)
    })
  })
}
