/**
 * Creates and hashes the keys of callers and operators. A key is random text; the system stores only its hash, so that
 * read access to the settings does not reveal keys. Servers and command line share this module to get the same hash.
 */
import { createHash, randomBytes } from 'node:crypto'
import type { IncomingMessage } from 'node:http'

const KEY_BYTES = 32

/**
 * Hashes a key. Keys have 256 random bits, so a fast hash is safe for stored keys.
 * @param key - the key
 * @returns `sha256:` followed by the hash in hex
 */
export const hashKey = (key: string): string => `sha256:${createHash('sha256').update(key).digest('hex')}`

/** @returns a new random key */
export const newKey = (): string => `cy_${randomBytes(KEY_BYTES).toString('base64url')}`

/**
 * Hashes the bearer key of a request.
 * @param req - the request
 * @returns the hash of the key, or an empty string if the request has no bearer key
 */
export function keyHashOf (req: IncomingMessage): string {
  const header = req.headers.authorization ?? ''
  return header.startsWith('Bearer ') ? hashKey(header.slice('Bearer '.length)) : ''
}
