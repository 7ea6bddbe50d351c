/**
 * HTTP client of the command line, for the callers' port and the operators' port. All commands send their requests through it, so
 * authentication, the certificate authority and the error for an instance that does not respond are handled in one place.
 */
import { readFileSync } from 'node:fs'
import { Agent, request } from 'undici'

/** Address and credentials for requests. */
export interface Target {
  readonly url: string
  readonly key: string
  /** PEM file with the certificate authority that signed the port's certificate; when empty, the system's authorities apply. */
  readonly caFile: string
}

/** A response with its parsed body. */
export interface Reply<T> {
  readonly status: number
  readonly body: T
}

/** No response arrived from the instance. */
export class UnreachableError extends Error {}

/**
 * Sends one request. It has no time-out, because a job's answer and a change that is not in force yet may take long.
 * @param target - address and credentials
 * @param method - HTTP method
 * @param path - path and query
 * @param body - JSON body, if any
 * @returns status and parsed body
 * @throws UnreachableError when no response arrives or the response cannot be read
 */
export async function sendRequest<T> (target: Target, method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<Reply<T>> {
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
