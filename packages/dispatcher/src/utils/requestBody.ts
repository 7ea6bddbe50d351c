/**
 * Reads the body of a request within a size limit. A body that is announced above the limit is refused before any of it is read, and one that is
 * sent above it at the byte that exceeds it; the connection drops the rest.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { GuardedSocket } from './connectionGuard.js'
import { GrowingBuffer } from './growingBuffer.js'

/** How the reading of a body ended. `tooLarge`: in bytes or in values. `broken`: the connection ended before the body was complete. */
export type BodyOutcome =
  | { readonly type: 'complete', readonly body: Buffer }
  | { readonly type: 'tooLarge' }
  | { readonly type: 'broken' }

/**
 * Separators of JSON that a body may have, each of which becomes a value. No body of this many bytes has more, and a larger one would become a hundred
 * times as large when it is parsed.
 */
const MAX_SEPARATORS = 262_144
const SEPARATORS = new Set([...',[{'].map(character => character.charCodeAt(0)))
/** Bytes of a body whose parsing costs about a unit of the turns. */
const BYTES_PER_UNIT = 64

/**
 * Reads a body and calls back once.
 * @param guarded - the connection, for which the body is counted until the response has closed
 * @param callback - gets the body, which is valid during the call only
 */
export function readBody (req: IncomingMessage, res: ServerResponse, guarded: GuardedSocket, maxBytes: number, callback: (outcome: BodyOutcome) => void): void {
  const announcedBytes = Number(req.headers['content-length'] ?? 0)
  const collected = new GrowingBuffer()
  let whole: Buffer | undefined
  let heldBytes = 0
  let ended = false
  const finish = (outcome: BodyOutcome): void => {
    if (ended) return
    ended = true
    if (outcome.type === 'complete') guarded.completed(outcome.body.length / BYTES_PER_UNIT)
    else guarded.refuseInput()
    if (outcome.type === 'tooLarge') res.setHeader('connection', 'close')
    callback(outcome)
    collected.clear()
  }
  res.once('close', () => guarded.hold(-heldBytes))
  if (announcedBytes > maxBytes) return finish({ type: 'tooLarge' })
  req.on('data', (piece: Buffer) => {
    if (ended) return
    guarded.receive(piece.length)
    if (collected.length === 0 && piece.length === announcedBytes) {
      whole = piece
      return
    }
    if (collected.length + piece.length > maxBytes) return finish({ type: 'tooLarge' })
    collected.append(piece)
    if (collected.capacity === heldBytes) return
    const grownBytes = collected.capacity - heldBytes
    heldBytes = collected.capacity
    guarded.hold(grownBytes)
  })
  req.once('end', () => {
    const body = whole ?? collected.bytes()
    finish(hasTooManyValues(body) ? { type: 'tooLarge' } : { type: 'complete', body })
  })
  req.once('error', () => finish({ type: 'broken' }))
}

function hasTooManyValues (body: Buffer): boolean {
  if (body.length <= MAX_SEPARATORS) return false
  let separators = 0
  for (const byte of body) if (SEPARATORS.has(byte)) separators++
  return separators > MAX_SEPARATORS
}

/** @returns whether a request has a body that has not been read completely, after which its connection cannot be used without reading on */
export function hasUnreadBody (req: IncomingMessage): boolean {
  return !req.complete && (req.headers['transfer-encoding'] !== undefined || Number(req.headers['content-length'] ?? 0) > 0)
}
