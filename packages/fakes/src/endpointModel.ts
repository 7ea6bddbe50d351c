/**
 * An endpoint reduced to its published behaviour (docs/ENDPOINT.md): slots, sizes, task leases, stops, and
 * misbehaviour on demand. Time is given from outside; in-memory tests and the HTTP stand-in share it.
 */
import type { RefusalReason, StartOutcome, StartRequest, TaskId } from '@cranberryyard/protocol'

/** How an endpoint misbehaves. */
export type Misbehaviour = 'none' | 'failsEveryTask' | 'straggler' | 'hangs' | 'refuses'

/** A start as the endpoint saw it; the proof of what ran. */
export interface StartLogEntry {
  readonly taskId: TaskId
  readonly holder: string
  readonly payload: unknown
  readonly startedAt: number
  endedAt: number | undefined
}

/** Size of an endpoint. */
export interface EndpointSize {
  readonly slots: number
  readonly cores: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** What a stand-in task does: runs for a while, then gives its result or fails. */
export interface TaskPayload {
  readonly runMs: number
  readonly fail?: boolean
  readonly value?: unknown
}

interface RunningEntry {
  readonly request: StartRequest
  readonly log: StartLogEntry
  readonly finish: (outcome: StartOutcome) => void
  endsAt: number
  leaseUntil: number
}

/** Factor by which a straggler is slower. */
const STRAGGLER_FACTOR = 8
/** Finished task ids remembered, to refuse a repeated start. */
const KNOWN_TASKS_MAX = 200_000

/** One endpoint. */
export class EndpointModel {
  readonly log: StartLogEntry[] = []
  misbehaviour: Misbehaviour = 'none'
  throttle = 1
  leaving = false
  checkpoints = 0
  private readonly running = new Map<TaskId, RunningEntry>()
  private readonly known = new Set<TaskId>()

  constructor (readonly size: EndpointSize, private readonly keepsLog = true) {}

  /**
   * Starts a task or refuses it. The outcome is given once, at once for a refusal.
   * @param request - the start
   * @param now - monotonic time
   * @param wall - wall-clock time
   * @param finish - receives the outcome
   */
  start (request: StartRequest, now: number, wall: number, finish: (outcome: StartOutcome) => void): void {
    this.advance(now)
    const reason = this.refusal(request, wall)
    if (reason !== undefined) {
      finish({ type: 'refused', reason })
      return
    }
    this.remember(request.taskId)
    const log: StartLogEntry = { taskId: request.taskId, holder: request.holder, payload: request.payload, startedAt: now, endedAt: undefined }
    if (this.keepsLog) this.log.push(log)
    this.running.set(request.taskId, { request, log, finish, endsAt: now + this.runMs(request), leaseUntil: now + request.leaseMs })
  }

  /** @returns when something happens next, or undefined when nothing runs */
  nextEventAt (): number | undefined {
    let next: number | undefined
    for (const r of this.running.values()) {
      const at = Math.min(r.endsAt, r.leaseUntil)
      if (next === undefined || at < next) next = at
    }
    return next
  }

  /** Ends tasks that are done and tasks whose lease has run out, at the time when that was, however late this is called. */
  advance (now: number): void {
    for (const [id, r] of this.running) {
      if (now >= r.leaseUntil && r.leaseUntil <= r.endsAt) this.end(id, r, r.leaseUntil, { type: 'stopped' })
      else if (now >= r.endsAt) this.end(id, r, r.endsAt, outcomeOf(r, r.endsAt, this.misbehaviour))
    }
  }

  /** Extends leases. @returns the tasks that still run here */
  renew (tasks: readonly TaskId[], now: number, wall: number, notAfter: number): TaskId[] {
    this.advance(now)
    if (wall > notAfter) return []
    const found = tasks.filter(id => this.running.has(id))
    for (const id of found) {
      const r = this.running.get(id)
      if (r !== undefined) r.leaseUntil = now + r.request.leaseMs
    }
    return found
  }

  /** Ends tasks on request. */
  stop (tasks: readonly TaskId[], now: number): void {
    this.advance(now)
    for (const id of tasks) {
      const r = this.running.get(id)
      if (r !== undefined) this.end(id, r, now, { type: 'stopped' })
    }
  }

  /** @returns number of tasks that run */
  get runningCount (): number {
    return this.running.size
  }

  private refusal (request: StartRequest, wall: number): RefusalReason | undefined {
    if (this.leaving) return 'leaving'
    if (wall > request.notAfter) return 'expired'
    if (this.known.has(request.taskId)) return 'known'
    if (this.misbehaviour === 'refuses' || this.running.size >= this.size.slots) return 'busy'
    const tooLarge = request.cores > this.size.cores || request.memoryMb > this.size.memoryMb || request.accelerators > this.size.accelerators
    return tooLarge ? 'tooLarge' : undefined
  }

  private runMs (request: StartRequest): number {
    const { runMs } = request.payload as TaskPayload
    switch (this.misbehaviour) {
      case 'failsEveryTask': return 2
      case 'hangs': return Infinity
      case 'straggler': return runMs * STRAGGLER_FACTOR * this.throttle
      case 'none':
      case 'refuses': return runMs * this.throttle
    }
  }

  private remember (id: TaskId): void {
    this.known.add(id)
    if (this.known.size <= KNOWN_TASKS_MAX) return
    const [oldest] = this.known
    if (oldest !== undefined) this.known.delete(oldest)
  }

  private end (id: TaskId, r: RunningEntry, now: number, outcome: StartOutcome): void {
    this.running.delete(id)
    r.log.endedAt = now
    r.finish(outcome)
  }
}

function outcomeOf (r: RunningEntry, now: number, misbehaviour: Misbehaviour): StartOutcome {
  const { fail, value } = r.request.payload as TaskPayload
  const runMs = now - r.log.startedAt
  if (fail === true || misbehaviour === 'failsEveryTask') return { type: 'failed', message: 'the task reported an error', runMs }
  return { type: 'done', result: value ?? r.request.taskId, runMs }
}
