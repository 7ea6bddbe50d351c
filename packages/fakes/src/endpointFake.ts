/**
 * A stand-in for an endpoint that serves EndpointModel over the HTTP interface of docs/ENDPOINT.md. It adds sockets and
 * timers, which the model leaves out so that in-memory tests can run it on virtual time. Tests inject faults through `/fake/`.
 */
import type { StartRequest, StartOutcome, TaskListRequest } from '@cranberryyard/protocol'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { EndpointModel } from './endpointModel.js'
import type { EndpointSize, Misbehaviour } from './endpointModel.js'
import { listenHttp, sendJson } from './httpServer.js'
import type { ListeningServer } from './httpServer.js'

/** Age of the sample that `GET /v1/usage` reports, since the usage reports of a real endpoint lag behind. */
const USAGE_LAG_MS = 2000

interface UsageSample {
  readonly at: number
  readonly running: number
}

/** An endpoint that listens on a loopback port. */
export class EndpointFake {
  readonly model: EndpointModel
  private server: ListeningServer | undefined
  private wakeTimer: NodeJS.Timeout | undefined
  private wakeTimerDueAt = Infinity
  private readonly usage: UsageSample[] = []

  constructor (size: EndpointSize, keepsLog = true) {
    this.model = new EndpointModel(size, keepsLog)
  }

  /** @returns the port on which the endpoint listens */
  async listen (port = 0): Promise<number> {
    this.server = await listenHttp(port, (req, res, body) => this.handle(req, res, body))
    return this.server.port
  }

  /** Closes all connections without a reply, as a crash of the endpoint does. The model records no end for its tasks. */
  async close (): Promise<void> {
    clearTimeout(this.wakeTimer)
    this.wakeTimer = undefined
    this.wakeTimerDueAt = Infinity
    await this.server?.close()
  }

  private handle (req: IncomingMessage, res: ServerResponse, body: string): void {
    switch (`${req.method} ${req.url}`) {
      case 'POST /v1/start': return this.start(JSON.parse(body) as StartRequest, res)
      case 'POST /v1/renew': return this.renew(JSON.parse(body) as TaskListRequest, res)
      case 'POST /v1/stop': return this.stop(JSON.parse(body) as TaskListRequest, res)
      case 'POST /v1/checkpoint':
        this.model.checkpoints++
        return sendJson(res, 200, { checkpoints: this.model.checkpoints })
      case 'POST /v1/throttle':
        this.model.throttle = (JSON.parse(body) as { factor: number }).factor
        return sendJson(res, 200, {})
      case 'POST /fake/misbehave':
        this.model.misbehaviour = (JSON.parse(body) as { as: Misbehaviour }).as
        return sendJson(res, 200, {})
      case 'GET /v1/health': return sendJson(res, this.model.misbehaviour === 'refuses' ? 503 : 200, {})
      case 'GET /v1/usage': return sendJson(res, 200, this.delayedUsage())
      case 'GET /fake/log': return sendJson(res, 200, this.model.log)
      default: return sendJson(res, 404, {})
    }
  }

  private start (request: StartRequest, res: ServerResponse): void {
    this.model.start(request, performance.now(), Date.now(), outcome => sendOutcome(res, outcome))
    this.usage.push({ at: Date.now(), running: this.model.runningCount })
    if (this.usage.length > 1000) this.usage.splice(0, 500)
    this.armWakeTimer()
  }

  private renew (request: TaskListRequest, res: ServerResponse): void {
    const found = this.model.renew(request.tasks, performance.now(), Date.now(), request.notAfter)
    sendJson(res, 200, { renewed: found })
    this.armWakeTimer()
  }

  private stop (request: TaskListRequest, res: ServerResponse): void {
    this.model.stop(request.tasks, performance.now())
    sendJson(res, 200, {})
    this.armWakeTimer()
  }

  private delayedUsage (): UsageSample {
    const until = Date.now() - USAGE_LAG_MS
    return this.usage.filter(u => u.at <= until).at(-1) ?? { at: until, running: 0 }
  }

  /** Sets the timer for the next end of a task or expiry of a lease. */
  private armWakeTimer (): void {
    const next = this.model.nextEventAt()
    if (next === undefined || next >= this.wakeTimerDueAt) return
    clearTimeout(this.wakeTimer)
    this.wakeTimerDueAt = next
    this.wakeTimer = setTimeout(() => this.advanceModel(), Math.min(0x7fffffff, Math.max(0, next - performance.now())))
  }

  /** A timer may fire shortly before the time for which it was set. The model ends nothing early then, and the timer is set again. */
  private advanceModel (): void {
    this.wakeTimerDueAt = Infinity
    this.model.advance(performance.now())
    this.armWakeTimer()
  }
}

function sendOutcome (res: ServerResponse, outcome: StartOutcome): void {
  switch (outcome.type) {
    case 'done': return sendJson(res, 200, { result: outcome.result, runMs: outcome.runMs })
    case 'failed': return sendJson(res, 500, { message: outcome.message, runMs: outcome.runMs })
    case 'stopped': return sendJson(res, 410, {})
    case 'refused': return sendJson(res, 409, { reason: outcome.reason })
    case 'notSent':
    case 'unknown': res.destroy()
  }
}
