/**
 * Models the published behaviour of an endpoint (docs/ENDPOINT.md): slots, capacity, task leases and stop requests. Tests can
 * also switch on misbehaviour. The caller passes the time into each method, so in-memory tests on virtual time and the HTTP
 * stand-in share this model.
 */
import type { RefusalReason, StartOutcome, StartRequest, TaskId } from '@cranberryyard/protocol'

/** Kinds of misbehaviour that a test can switch on. */
export type Misbehaviour = 'none' | 'failsEveryTask' | 'straggler' | 'hangs' | 'refuses'

/** A start that the endpoint accepted. Tests use the log as evidence of what ran. */
export interface StartLogEntry {
  readonly taskId: TaskId
  readonly holder: string
  readonly payload: unknown
  readonly startedAt: number
  endedAt: number | undefined
}

/** Capacity of an endpoint. */
export interface EndpointSize {
  readonly slots: number
  readonly cores: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** Payload of a stand-in task: it runs for `runMs`, then returns its result or fails. */
export interface TaskPayload {
  readonly runMs: number
  readonly fail?: boolean
  readonly value?: unknown
}

interface RunningTask {
  readonly request: StartRequest
  readonly log: StartLogEntry
  readonly finish: (outcome: StartOutcome) => void
  endsAt: number
  leaseExpiresAt: number
}

/** Factor by which a straggler takes longer for a task. */
const STRAGGLER_FACTOR = 8
/** Number of started task ids that the endpoint remembers in order to refuse a repeated start. */
const MAX_STARTED_IDS = 200_000

/** The model of one endpoint. */
export class EndpointModel {
  readonly log: StartLogEntry[] = []
  misbehaviour: Misbehaviour = 'none'
  throttle = 1
  leaving = false
  checkpoints = 0
  private readonly running = new Map<TaskId, RunningTask>()
  private readonly startedIds = new Set<TaskId>()

  constructor (readonly size: EndpointSize, private readonly keepsLog = true) {}

  /**
   * Starts a task or refuses it.
   * @param request - the start request
   * @param now - monotonic time in milliseconds
   * @param wall - wall-clock time in milliseconds
   * @param finish - called once with the outcome, for a refusal before this method returns
   */
  start (request: StartRequest, now: number, wall: number, finish: (outcome: StartOutcome) => void): void {
    this.advance(now)
    const reason = this.refusalReason(request, wall)
    if (reason !== undefined) {
      finish({ type: 'refused', reason })
      return
    }
    this.rememberStartedId(request.taskId)
    const log: StartLogEntry = { taskId: request.taskId, holder: request.holder, payload: request.payload, startedAt: now, endedAt: undefined }
    if (this.keepsLog) this.log.push(log)
    this.running.set(request.taskId, { request, log, finish, endsAt: now + this.effectiveRunMs(request), leaseExpiresAt: now + request.leaseMs })
  }

  /** @returns monotonic time of the next task end or lease expiry; undefined when no task runs */
  nextEventAt (): number | undefined {
    let next: number | undefined
    for (const task of this.running.values()) {
      const at = Math.min(task.endsAt, task.leaseExpiresAt)
      if (next === undefined || at < next) next = at
    }
    return next
  }

  /**
   * Ends tasks that have finished or whose lease has expired. Each end is recorded with the time at which it was due, even if
   * this method is called later.
   */
  advance (now: number): void {
    for (const [id, task] of this.running) {
      if (now >= task.leaseExpiresAt && task.leaseExpiresAt <= task.endsAt) this.endTask(id, task, task.leaseExpiresAt, { type: 'stopped' })
      else if (now >= task.endsAt) this.endTask(id, task, task.endsAt, outcomeOf(task, task.endsAt, this.misbehaviour))
    }
  }

  /** Renews the leases of tasks, unless the request is past `notAfter`. @returns the tasks whose lease was renewed */
  renew (tasks: readonly TaskId[], now: number, wall: number, notAfter: number): TaskId[] {
    this.advance(now)
    if (wall > notAfter) return []
    const found = tasks.filter(id => this.running.has(id))
    for (const id of found) {
      const task = this.running.get(id)
      if (task !== undefined) task.leaseExpiresAt = now + task.request.leaseMs
    }
    return found
  }

  /** Stops running tasks; ignores ids of tasks that do not run here. */
  stop (tasks: readonly TaskId[], now: number): void {
    this.advance(now)
    for (const id of tasks) {
      const task = this.running.get(id)
      if (task !== undefined) this.endTask(id, task, now, { type: 'stopped' })
    }
  }

  get runningCount (): number {
    return this.running.size
  }

  private refusalReason (request: StartRequest, wall: number): RefusalReason | undefined {
    if (this.leaving) return 'leaving'
    if (wall > request.notAfter) return 'expired'
    if (this.startedIds.has(request.taskId)) return 'known'
    if (this.misbehaviour === 'refuses' || this.running.size >= this.size.slots) return 'busy'
    const tooLarge = request.cores > this.size.cores || request.memoryMb > this.size.memoryMb || request.accelerators > this.size.accelerators
    return tooLarge ? 'tooLarge' : undefined
  }

  private effectiveRunMs (request: StartRequest): number {
    const { runMs } = request.payload as TaskPayload
    switch (this.misbehaviour) {
      case 'failsEveryTask': return 2
      case 'hangs': return Infinity
      case 'straggler': return runMs * STRAGGLER_FACTOR * this.throttle
      case 'none':
      case 'refuses': return runMs * this.throttle
    }
  }

  private rememberStartedId (id: TaskId): void {
    this.startedIds.add(id)
    if (this.startedIds.size <= MAX_STARTED_IDS) return
    const [oldest] = this.startedIds
    if (oldest !== undefined) this.startedIds.delete(oldest)
  }

  private endTask (id: TaskId, task: RunningTask, now: number, outcome: StartOutcome): void {
    this.running.delete(id)
    task.log.endedAt = now
    task.finish(outcome)
  }
}

function outcomeOf (task: RunningTask, now: number, misbehaviour: Misbehaviour): StartOutcome {
  const { fail, value } = task.request.payload as TaskPayload
  const runMs = now - task.log.startedAt
  if (fail === true || misbehaviour === 'failsEveryTask') return { type: 'failed', message: 'the task reported an error', runMs }
  return { type: 'done', result: value ?? task.request.taskId, runMs }
}
