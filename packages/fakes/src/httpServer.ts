/**
 * The few lines of HTTP that the stand-ins share.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

/** Answers one request. */
export type Handler = (req: IncomingMessage, res: ServerResponse, body: string) => void

/** A listening server. */
export interface Listening {
  readonly port: number
  close (): Promise<void>
}

/**
 * Listens on loopback.
 * @param port - 0 for any
 * @param handler - called with the whole body
 * @returns the server
 */
export async function listenHttp (port: number, handler: Handler): Promise<Listening> {
  const server: Server = createServer((req, res) => {
    const chunks: Buffer[] = []
    req.on('data', chunk => chunks.push(chunk as Buffer))
    req.on('end', () => handler(req, res, Buffer.concat(chunks).toString('utf8')))
  })
  server.keepAliveTimeout = 60_000
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', resolve)
  })
  const address = server.address()
  const bound = typeof address === 'object' && address !== null ? address.port : port
  return { port: bound, close: () => closeServer(server) }
}

function closeServer (server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}

/**
 * Sends JSON.
 * @param res - the response
 * @param status - HTTP status
 * @param body - what to send
 */
export function sendJson (res: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  res.end(text)
}
