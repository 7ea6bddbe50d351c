/**
 * HTTP client of the command line, for the callers' and the operators' ports.
 */
import { readFileSync } from 'node:fs'
import { Agent, request } from 'undici'

/** Where to send requests and as whom. */
export interface Target {
  readonly url: string
  readonly key: string
  /** PEM authority for the port's certificate; empty for the system's. */
  readonly caFile: string
}

/** A response with its parsed body. */
export interface Reply<T> {
  readonly status: number
  readonly body: T
}

/** The instance could not be reached. */
export class UnreachableError extends Error {}

/**
 * Sends one request.
 * @param target - where and as whom
 * @param method - HTTP method
 * @param path - path and query
 * @param body - JSON body, if any
 * @returns status and parsed body
 * @throws UnreachableError when no response arrives
 */
export async function call<T> (target: Target, method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<Reply<T>> {
  const headers = { authorization: `Bearer ${target.key}`, 'content-type': 'application/json' }
  const dispatcher = target.caFile === '' ? undefined : new Agent({ connect: { ca: readFileSync(target.caFile) } })
  const options = { method, headers, headersTimeout: 0, bodyTimeout: 0, ...(dispatcher === undefined ? {} : { dispatcher }) }
  try {
    const res = await request(`${target.url}${path}`, body === undefined ? options : { ...options, body: JSON.stringify(body) })
    return { status: res.statusCode, body: await res.body.json() as T }
  } catch (err) {
    throw new UnreachableError(`${target.url}: ${err instanceof Error ? err.message : String(err)}`)
  }
}
