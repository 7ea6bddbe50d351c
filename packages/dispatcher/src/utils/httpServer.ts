/**
 * HTTP servers with optional TLS, request bodies of limited size, and JSON answers with result codes. Servers that never
 * use TLS use `plainServer.ts` instead, so that they do not load the TLS modules.
 */
import type { CodedError, ResultName, Settings } from '@cranberryyard/protocol'
import { MAX_BODY_BYTES, RESULT_CODES, codedError } from '@cranberryyard/protocol'
import { readFileSync } from 'node:fs'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import { Result } from 'true-myth'
import type { ConnectionGuard } from './connectionGuard.js'
import { makePlainServer, senderLimits } from './plainServer.js'
import type { RequestHandler } from './plainServer.js'
import { hasUnreadBody, readBody } from './requestBody.js'

type TlsSettings = Settings['callerTls']

/**
 * Makes a server that uses TLS unless the settings select plain HTTP. With a CA file, clients need a certificate.
 * @param tls - the port's TLS settings
 * @param senderTimeoutMs - longest time that a sender may take for a whole request
 * @param handler - called for each request
 * @param guard - the budget of its connections
 * @returns the server, not listening yet
 */
export function makeServer (tls: TlsSettings, senderTimeoutMs: number, handler: RequestHandler, guard: ConnectionGuard): Server {
  const server = tls.plain ? makePlainServer(senderLimits(senderTimeoutMs), handler) : makeTlsServer(tls, senderTimeoutMs, handler)
  guard.watch(server, tls.plain ? 'connection' : 'secureConnection')
  return server
}

function makeTlsServer (tls: TlsSettings, senderTimeoutMs: number, handler: RequestHandler): Server {
  const certificate = { cert: readFileSync(tls.certFile), key: readFileSync(tls.keyFile) }
  const ca = tls.caFile === '' ? {} : { ca: readFileSync(tls.caFile), requestCert: true, rejectUnauthorized: true }
  return createTlsServer({ ...senderLimits(senderTimeoutMs), handshakeTimeout: senderTimeoutMs, ...certificate, ...ca }, handler)
}

/** Parses the target of a request; `//` for example is none. */
export function targetOf (req: IncomingMessage): Result<URL, CodedError> {
  const [target, base] = [req.url ?? '/', 'http://this-server']
  return URL.canParse(target, base) ? Result.ok(new URL(target, base)) : Result.err(codedError('invalidField', 'the target of the request is not a path', 'target'))
}

/**
 * Reads and parses a JSON body within the size limit.
 * @param req - the request
 * @param res - its response
 * @param guard - the budget of the server's connections
 * @returns the parsed value or a coded error
 */
export function readJson (req: IncomingMessage, res: ServerResponse, guard: ConnectionGuard): Promise<Result<unknown, CodedError>> {
  return new Promise((resolve) => {
    readBody(req, res, guard.of(req), MAX_BODY_BYTES, (outcome) => {
      switch (outcome.type) {
        case 'complete': return resolve(parseJson(outcome.body.toString('utf8')))
        case 'tooLarge':
          guard.report('tooLarge')
          return resolve(Result.err(codedError('bodyTooLarge', `the request body is larger than the limit of ${MAX_BODY_BYTES} bytes`)))
        case 'broken': return resolve(Result.err(codedError('slowSender', 'the connection ended before the whole request body was received')))
      }
    })
  })
}

function parseJson (text: string): Result<unknown, CodedError> {
  try {
    return Result.ok(JSON.parse(text))
  } catch {
    return Result.err(codedError('malformedJson', 'the request body is not valid JSON'))
  }
}

const HTTP_STATUS: Partial<Record<ResultName, number>> = {
  complete: 200,
  malformedJson: 400,
  invalidField: 400,
  bodyTooLarge: 413,
  unauthorized: 401,
  rateExceeded: 429,
  queueFull: 429,
  jobTooLarge: 422,
  cannotRun: 422,
  unknownKind: 422,
  duplicateRequest: 409,
  unknownSubmission: 404,
  stillRunning: 202,
  slowSender: 408,
  notPermitted: 403,
  revisionConflict: 409,
  changeReplayed: 409,
  outOfBounds: 422,
  invalidContract: 422,
  invalidName: 422,
  lastEndpoint: 409,
  unknownEndpoint: 404,
  unknownCustomer: 404,
  unknownRevision: 404,
  invalidTransition: 409
}

const NAME_OF_CODE = new Map<number, ResultName>(Object.entries(RESULT_CODES).map(([name, code]) => [code, name as ResultName]))

/**
 * Maps a result code to an HTTP status.
 * @param code - a result code
 * @returns the HTTP status; for a code that the table does not list, 500 if it is between 2000 and 2999 (a failed answer) and
 *   503 otherwise, since a retry may succeed
 */
export function statusOf (code: number): number {
  const name = NAME_OF_CODE.get(code)
  const mapped = name === undefined ? undefined : HTTP_STATUS[name]
  return mapped ?? (code >= 2000 && code < 3000 ? 500 : 503)
}

/**
 * Sends a JSON answer unless one was already sent or the connection is closed.
 * @param res - the response
 * @param status - HTTP status
 * @param body - the value to serialize
 */
export function sendJson (res: ServerResponse, status: number, body: unknown): void {
  if (res.headersSent || res.destroyed) return
  const text = JSON.stringify(body)
  const connectionHeader = hasUnreadBody(res.req) ? { connection: 'close' } : {}
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...connectionHeader })
  res.end(text)
}
