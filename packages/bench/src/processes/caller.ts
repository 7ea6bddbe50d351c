/**
 * A caller that loads entry instances over HTTP and keeps what it was told.
 */
import type { Answer } from '@cranberryyard/protocol'
import { Agent, request } from 'undici'

/** One call and its end. */
export interface CallEnd {
  readonly requestId: string
  readonly startedAt: number
  readonly endedAt: number
  /** Undefined when the connection ended without an answer. */
  readonly answer: Answer | undefined
}

/** What to submit. */
export interface CallJob {
  readonly requestId: string
  readonly kind: string
  readonly runTimes: readonly number[]
}

/** Sends jobs and collects answers. */
export class Caller {
  readonly ends: CallEnd[] = []
  private readonly agent = new Agent({ connections: 256, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })

  constructor (private readonly key: string, private readonly customer: string) {}

  /** Submits a job and waits for its end. */
  async submit (url: string, job: CallJob): Promise<CallEnd> {
    const tasks = job.runTimes.map((runMs, i) => ({ payload: { runMs, value: `${job.requestId}:${i}`, customer: this.customer, requestId: job.requestId, kind: job.kind } }))
    const startedAt = performance.now()
    const answer = await this.post(url, { requestId: job.requestId, kind: job.kind, tasks })
    const end = { requestId: job.requestId, startedAt, endedAt: performance.now(), answer }
    this.ends.push(end)
    return end
  }

  /** Closes connections. */
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
