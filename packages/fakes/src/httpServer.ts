/**
 * The HTTP server that the stand-ins share: it listens on loopback, reads whole request bodies and sends JSON.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

/** Answers one request, whose body has been read completely. */
export type Handler = (req: IncomingMessage, res: ServerResponse, body: string) => void

/** A server that listens; `close` also closes its open connections. */
export interface ListeningServer {
  readonly port: number
  close (): Promise<void>
}

/**
 * Listens on loopback.
 * @param port - 0 for any free port
 * @param handler - called with each request once its body is complete
 */
export async function listenHttp (port: number, handler: Handler): Promise<ListeningServer> {
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
  const boundPort = typeof address === 'object' && address !== null ? address.port : port
  return { port: boundPort, close: () => closeServer(server) }
}

function closeServer (server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}

/** Sends a body as JSON and ends the response. */
export function sendJson (res: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  res.end(text)
}

const ENDLESS_BLOCK = Buffer.alloc(65_536, 'x')

/** Sends a body until the connection ends. */
export function sendWithoutEnd (res: ServerResponse): void {
  res.writeHead(200, { 'content-type': 'application/json' })
  const proceed = (): void => {
    while (!res.destroyed) {
      if (!res.write(ENDLESS_BLOCK)) {
        res.once('drain', proceed)
        return
      }
    }
  }
  proceed()
}
