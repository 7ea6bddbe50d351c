/**
 * Serves the callers' HTTP API: accepts jobs and returns their answers. Checks the form of each request and refuses an
 * invalid one here, so that the core task receives valid jobs only. Keeps the open requests until the core task's
 * effects answer them.
 */
import type { Answer, CodedError, SubmissionId } from '@cranberryyard/protocol'
import { codedError, jobSchema } from '@cranberryyard/protocol'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { EffectOf, Post } from '../messages.js'
import type { ConnectionGuard } from '../utils/connectionGuard.js'
import { keyHashOf } from '../utils/keys.js'
import { readJson, sendJson, statusOf, targetOf } from '../utils/httpServer.js'

/** An open request of a caller. */
interface Call {
  readonly res: ServerResponse
  /** False when the caller asked for the submission's id only (`wait=0`): the call ends once the job is accepted. */
  readonly waitsForAnswer: boolean
}

const JOB_PATH = /^\/v1\/jobs\/([\w.:-]{1,200})$/

/** Handles the callers' requests and keeps the open ones. */
export class CallerTask {
  private readonly calls = new Map<string, Call>()
  private lastCallNumber = 0
  /** Result of the health check; the load balancer sends no requests to the instance while it is false. */
  healthy = false
  server: Server | undefined

  constructor (private readonly post: Post, private readonly guard: ConnectionGuard) {}

  /** Routes one request of a caller: health check, submission, or the fetch or cancellation of an earlier one. */
  handle (req: IncomingMessage, res: ServerResponse): void {
    this.guard.of(req).begin(req, res)
    const target = targetOf(req)
    if (target.isErr) return this.sendRefusal(res, target.error)
    const url = target.value
    if (req.method === 'GET' && url.pathname === '/healthz') return sendJson(res, this.healthy ? 200 : 503, { serving: this.healthy })
    if (req.method === 'POST' && url.pathname === '/v1/jobs') {
      void this.submit(req, res, url.searchParams.get('wait') !== '0')
      return
    }
    const id = JOB_PATH.exec(url.pathname)?.[1]
    if (id === undefined) return this.sendRefusal(res, codedError('unknownSubmission', `no such path: ${url.pathname}`))
    this.fetchOrCancel(req, res, id as SubmissionId)
  }

  /** Number of requests that wait for an answer. */
  get openCalls (): number {
    return this.calls.size
  }

  /** Sends the submission's id to a caller that asked for the id only; other callers stay connected until the answer. */
  onAccepted (effect: EffectOf<'accepted'>): void {
    const call = this.calls.get(effect.callId)
    if (call === undefined || call.waitsForAnswer) return
    this.calls.delete(effect.callId)
    sendJson(call.res, 202, { submissionId: effect.submissionId })
  }

  /** Sends a refusal of the core task. */
  onRefused (effect: EffectOf<'refused'>): void {
    const call = this.removeCall(effect.callId)
    if (call !== undefined) this.sendRefusal(call.res, effect.error)
  }

  /** Sends the job's answer. */
  onAnswer (effect: EffectOf<'answer'>): void {
    const call = this.removeCall(effect.callId)
    if (call !== undefined) sendJson(call.res, statusOfAnswer(effect.answer), effect.answer)
  }

  /** Responds to a fetch that the submission is still running. */
  onPending (effect: EffectOf<'pending'>): void {
    const call = this.removeCall(effect.callId)
    if (call !== undefined) sendJson(call.res, 202, { outcome: 'pending', code: codedError('stillRunning', '').code })
  }

  private async submit (req: IncomingMessage, res: ServerResponse, waitsForAnswer: boolean): Promise<void> {
    const keyHash = keyHashOf(req)
    const body = await readJson(req, res, this.guard)
    if (body.isErr) return this.sendRefusal(res, body.error)
    const job = jobSchema.safeParse(body.value)
    if (!job.success) {
      const issue = job.error.issues[0]
      const field = issue?.path.map(String).join('.') ?? ''
      this.sendRefusal(res, codedError('invalidField', `${issue?.message ?? 'invalid'}; not run`, field))
      return
    }
    const callId = this.registerCall(res, waitsForAnswer)
    this.post({ type: 'submit', callId, keyHash, job: job.data })
  }

  private fetchOrCancel (req: IncomingMessage, res: ServerResponse, submissionId: SubmissionId): void {
    const keyHash = keyHashOf(req)
    const callId = this.registerCall(res, true)
    if (req.method === 'GET') this.post({ type: 'fetch', callId, keyHash, submissionId })
    else if (req.method === 'DELETE') this.post({ type: 'cancel', callId, keyHash, submissionId })
    else this.onRefused({ type: 'refused', callId, error: codedError('invalidField', `method ${req.method} is not supported`, 'method'), ran: 'no' })
  }

  private registerCall (res: ServerResponse, waitsForAnswer: boolean): string {
    const callId = `call-${++this.lastCallNumber}`
    this.calls.set(callId, { res, waitsForAnswer })
    res.on('close', () => this.calls.delete(callId))
    return callId
  }

  private removeCall (callId: string): Call | undefined {
    const call = this.calls.get(callId)
    this.calls.delete(callId)
    return call
  }

  private sendRefusal (res: ServerResponse, error: CodedError): void {
    sendJson(res, statusOf(error.code), { outcome: 'failed', ...error, ran: 'no' })
  }
}

function statusOfAnswer (answer: Answer): number {
  return answer.outcome === 'complete' ? 200 : statusOf(answer.code)
}
