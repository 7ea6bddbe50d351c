/**
 * Small helpers for the stand-ins: an HTTP server with JSON bodies on a loopback address.
 */
import { createServer } from 'node:http'

/** Resolves after the given number of milliseconds. */
export function sleep (ms) {
  return new Promise(resolve => setTimeout(resolve, ms))
}

/** Answers a request with a JSON body. */
export function sendJson (res, status, body) {
  if (res.destroyed || res.headersSent) return
  const text = JSON.stringify(body)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  res.end(text)
}

/** Starts a server; `handle` gets the request, the response and the decoded body. */
export async function listenJson (ip, handle) {
  const server = createServer((req, res) => {
    const parts = []
    req.on('data', part => parts.push(part))
    req.on('error', () => {})
    res.on('error', () => {})
    req.on('end', () => {
      const text = Buffer.concat(parts).toString()
      let body = {}
      try {
        if (text !== '') body = JSON.parse(text)
      } catch {
        return sendJson(res, 400, {})
      }
      handle(req, res, body)
    })
  })
  server.keepAliveTimeout = 0
  server.requestTimeout = 0
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, ip, resolve)
  })
  return {
    port: server.address().port,
    close () {
      server.closeAllConnections()
      return new Promise(resolve => server.close(resolve))
    }
  }
}
