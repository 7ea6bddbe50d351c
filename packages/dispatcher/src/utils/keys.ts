/**
 * Keys of callers and operators: random text, of which only the hash is kept.
 */
import { createHash, randomBytes } from 'node:crypto'
import type { IncomingMessage } from 'node:http'

const KEY_BYTES = 32

/**
 * Hashes a key. Keys carry 256 random bits, so a fast hash is safe at rest.
 * @param key - the key
 * @returns `sha256:` and hex
 */
export const hashKey = (key: string): string => `sha256:${createHash('sha256').update(key).digest('hex')}`

/** @returns a new random key */
export const newKey = (): string => `cy_${randomBytes(KEY_BYTES).toString('base64url')}`

/**
 * Reads the bearer key of a request.
 * @param req - the request
 * @returns the key's hash, or an empty string
 */
export function keyHashOf (req: IncomingMessage): string {
  const header = req.headers.authorization ?? ''
  return header.startsWith('Bearer ') ? hashKey(header.slice('Bearer '.length)) : ''
}
