/**
 * The callers' port: jobs in, answers out. Each request is checked here; whatever is wrong with it ends here.
 */
import type { Answer, CodedError, SubmissionId } from '@cranberryyard/protocol'
import { codedError, jobSchema } from '@cranberryyard/protocol'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { EffectOf, Post } from '../messages.js'
import { keyHashOf } from '../utils/keys.js'
import { readJson, sendJson, statusOf } from '../utils/httpServer.js'

interface Call {
  readonly res: ServerResponse
  /** False when the caller asked only for the submission's id. */
  readonly waits: boolean
}

const JOB_PATH = /^\/v1\/jobs\/([\w.:-]{1,200})$/

/** Owns the callers' open requests. */
export class CallerTask {
  private readonly calls = new Map<string, Call>()
  private counter = 0
  /** Shown on the health page; the balancer takes an instance out when it is false. */
  healthy = false
  server: Server | undefined

  constructor (private readonly post: Post) {}

  /** Handles one request. */
  handle (req: IncomingMessage, res: ServerResponse): void {
    const url = new URL(req.url ?? '/', 'http://caller')
    if (req.method === 'GET' && url.pathname === '/healthz') return sendJson(res, this.healthy ? 200 : 503, { serving: this.healthy })
    if (req.method === 'POST' && url.pathname === '/v1/jobs') {
      void this.submit(req, res, url.searchParams.get('wait') !== '0')
      return
    }
    const id = JOB_PATH.exec(url.pathname)?.[1]
    if (id === undefined) return this.refuse(res, codedError('unknownSubmission', 'no such page'))
    this.followUp(req, res, id as SubmissionId)
  }

  /** @returns number of requests that wait for an answer */
  get openCalls (): number {
    return this.calls.size
  }

  /** Carries out an effect of the core task. */
  accepted (effect: EffectOf<'accepted'>): void {
    const call = this.calls.get(effect.callId)
    if (call === undefined || call.waits) return
    this.calls.delete(effect.callId)
    sendJson(call.res, 202, { submissionId: effect.submissionId })
  }

  /** Sends a refusal. */
  refused (effect: EffectOf<'refused'>): void {
    const call = this.take(effect.callId)
    if (call !== undefined) this.refuse(call.res, effect.error)
  }

  /** Sends an answer. */
  answered (effect: EffectOf<'answer'>): void {
    const call = this.take(effect.callId)
    if (call !== undefined) sendJson(call.res, statusOfAnswer(effect.answer), effect.answer)
  }

  /** Tells that a submission is still running. */
  pending (effect: EffectOf<'pending'>): void {
    const call = this.take(effect.callId)
    if (call !== undefined) sendJson(call.res, 202, { outcome: 'pending', code: codedError('stillRunning', '').code })
  }

  private async submit (req: IncomingMessage, res: ServerResponse, waits: boolean): Promise<void> {
    const keyHash = keyHashOf(req)
    const body = await readJson(req)
    if (body.isErr) {
      this.refuse(res, body.error)
      if (!req.complete) req.destroy()
      return
    }
    const job = jobSchema.safeParse(body.value)
    if (!job.success) {
      const issue = job.error.issues[0]
      const field = issue?.path.map(String).join('.') ?? ''
      this.refuse(res, codedError('invalidField', `${issue?.message ?? 'invalid'}; not run`, field))
      return
    }
    const callId = this.open(res, waits)
    this.post({ type: 'submit', callId, keyHash, job: job.data })
  }

  private followUp (req: IncomingMessage, res: ServerResponse, submissionId: SubmissionId): void {
    const keyHash = keyHashOf(req)
    const callId = this.open(res, true)
    if (req.method === 'GET') this.post({ type: 'fetch', callId, keyHash, submissionId })
    else if (req.method === 'DELETE') this.post({ type: 'cancel', callId, keyHash, submissionId })
    else this.refused({ type: 'refused', callId, error: codedError('invalidField', 'method not known', 'method'), ran: 'no' })
  }

  private open (res: ServerResponse, waits: boolean): string {
    const callId = `call-${++this.counter}`
    this.calls.set(callId, { res, waits })
    res.on('close', () => this.calls.delete(callId))
    return callId
  }

  private take (callId: string): Call | undefined {
    const call = this.calls.get(callId)
    this.calls.delete(callId)
    return call
  }

  private refuse (res: ServerResponse, error: CodedError): void {
    sendJson(res, statusOf(error.code), { outcome: 'failed', ...error, ran: 'no' })
  }
}

function statusOfAnswer (answer: Answer): number {
  return answer.outcome === 'complete' ? 200 : statusOf(answer.code)
}
