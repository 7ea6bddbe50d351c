/**
 * Submits jobs to entry instances over HTTP and records how each call ended. It makes one attempt per submission and never
 * retries, so that a test sees every connection that ended without an answer.
 */
import type { Answer } from '@cranberryyard/protocol'
import { Agent, request } from 'undici'

/** A finished call. Times come from `performance.now()`. */
export interface CallEnd {
  readonly requestId: string
  readonly startedAt: number
  readonly endedAt: number
  /** Undefined when the connection ended without an answer. */
  readonly answer: Answer | undefined
}

/** A job to submit, with one task for each run time in milliseconds. */
export interface CallJob {
  readonly requestId: string
  readonly kind: string
  readonly runTimes: readonly number[]
}

/** Submits jobs with the key of one customer and collects the finished calls. */
export class Caller {
  readonly ends: CallEnd[] = []
  private readonly agent: Agent
  /** @param tls - what certificates the caller accepts, for ports with TLS */
  constructor (private readonly key: string, private readonly customer: string, tls: { readonly rejectUnauthorized?: boolean } = {}) {
    this.agent = new Agent({ connections: 256, pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: tls })
  }

  /** Submits a job and waits until the call ends. */
  async submit (url: string, job: CallJob): Promise<CallEnd> {
    const tasks = job.runTimes.map((runMs, i) => ({ payload: { runMs, value: `${job.requestId}:${i}`, customer: this.customer, requestId: job.requestId, kind: job.kind } }))
    const startedAt = performance.now()
    const answer = await this.post(url, { requestId: job.requestId, kind: job.kind, tasks })
    const end = { requestId: job.requestId, startedAt, endedAt: performance.now(), answer }
    this.ends.push(end)
    return end
  }

  /** Closes the connections; open calls end without an answer. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async post (url: string, body: unknown): Promise<Answer | undefined> {
    try {
      const res = await request(`${url}/v1/jobs`, {
        method: 'POST',
        dispatcher: this.agent,
        headers: { authorization: `Bearer ${this.key}`, 'content-type': 'application/json' },
        body: JSON.stringify(body)
      })
      return await res.body.json() as Answer
    } catch {
      return undefined
    }
  }
}
