/**
 * An endpoint that takes orders under fencing tokens, reduced to its published behaviour: it refuses lower tokens,
 * keeps one lease for all that runs, lists runs and ends, and starts anew without any memory. Time comes from outside.
 * It does not guard its capacity, so that tests see every order that exceeds it.
 */

/** Longest lease it grants. */
const LEASE_MAX_MS = 1000
/** Time from a stop to the end of the run. */
const STOP_MS = 30

/** What a task asks for and how it behaves; tests write it into the task's text. */
export interface ModelTask {
  readonly cpuMilli: number
  readonly workMs: number
  readonly fails: boolean
}

/** A run at the endpoint. */
export interface ModelRun {
  readonly task: string
  readonly run: number
  readonly spec: ModelTask
  readonly startedAt: number
  readonly endsAt: number
  stopAt: number | undefined
}

/** An end that the endpoint lists. */
export interface ModelEnd {
  readonly sequence: number
  readonly task: string
  readonly run: number
  readonly how: 'done' | 'failed' | 'stopped' | 'lapsed'
}

/** An order to start. */
export interface ModelStart {
  readonly token: number
  readonly task: string
  readonly run: number
  readonly spec: ModelTask
  readonly untilMs: number
}

export type ModelStartReply = 'started' | 'fenced' | 'oldRun' | 'late' | 'unhealthy'

/** How the endpoint misbehaves. */
export interface ModelFaults {
  /** Factor on the work of tasks that start from now on. */
  slowness: number
  failsAll: boolean
  /** Tasks make no progress. */
  hangs: boolean
  refusesStarts: boolean
}

/** One endpoint. */
export class FencedEndpointModel {
  readonly runs = new Map<string, ModelRun>()
  readonly faults: ModelFaults = { slowness: 1, failsAll: false, hangs: false, refusesStarts: false }
  private ends: ModelEnd[] = []
  private readonly highestRun = new Map<string, number>()
  private sequence = 0
  private token = 0
  private leaseUntil = 0
  private waiters: (() => void)[] = []
  up = true

  /**
   * @param id - the endpoint's id, kept when it is born again
   * @param cpuMilli - capacity
   * @param bornAt - start of this life
   * @param onEnd - told of each end
   */
  constructor (readonly id: string, readonly cpuMilli: number, public bornAt: number, private readonly onEnd: (run: ModelRun, how: ModelEnd['how'], at: number) => void = () => {}) {}

  /** @returns the endpoint's clock */
  clock (now: number): number {
    return Math.floor(now - this.bornAt)
  }

  /** Takes an order to start. */
  start (now: number, order: ModelStart): ModelStartReply {
    this.advance(now)
    if (order.token < this.token) return 'fenced'
    this.token = order.token
    if (this.runs.get(order.task)?.run === order.run) return 'started'
    if (order.run <= (this.highestRun.get(order.task) ?? 0)) return 'oldRun'
    if (order.untilMs <= this.clock(now)) return 'late'
    if (this.faults.refusesStarts) return 'unhealthy'
    this.extend(now, order.untilMs)
    this.highestRun.set(order.task, order.run)
    const endsAt = this.faults.hangs ? Infinity : now + order.spec.workMs * this.faults.slowness
    this.runs.set(order.task, { task: order.task, run: order.run, spec: order.spec, startedAt: now, endsAt, stopAt: undefined })
    return 'started'
  }

  /** Takes an order to stop; a run that has not arrived is refused later. */
  stop (now: number, token: number, task: string, run: number): 'stopping' | 'fenced' {
    this.advance(now)
    if (token < this.token) return 'fenced'
    this.token = token
    this.highestRun.set(task, Math.max(run, this.highestRun.get(task) ?? 0))
    const known = this.runs.get(task)
    if (known?.run === run) known.stopAt ??= now + STOP_MS
    return 'stopping'
  }

  /** Takes a hold or a look. @returns false when the token is too low */
  hold (now: number, token: number, lastSeen: number, untilMs: number | undefined): boolean {
    this.advance(now)
    if (token < this.token) return false
    this.token = token
    if (untilMs !== undefined) this.extend(now, untilMs)
    this.ends = this.ends.filter(end => end.sequence > lastSeen)
    return true
  }

  /** @returns what a hold is answered with */
  listing (now: number): { readonly clock: number, readonly bornAt: number, readonly running: { task: string, run: number, percent: number }[], readonly ended: ModelEnd[] } {
    this.advance(now)
    const running = [...this.runs.values()].map(({ task, run, startedAt, endsAt }) => ({ task, run, percent: endsAt === Infinity ? 0 : Math.min(99, Math.floor(100 * (now - startedAt) / (endsAt - startedAt))) }))
    return { clock: this.clock(now), bornAt: this.bornAt, running, ended: [...this.ends] }
  }

  /** Calls back at the next end. */
  onNextEnd (callback: () => void): void {
    if (this.ends.length > 0) callback()
    else this.waiters.push(callback)
  }

  /** @returns thousandths of a core in use, runs that are being stopped included */
  usedCpuMilli (): number {
    return [...this.runs.values()].reduce((sum, run) => sum + run.spec.cpuMilli, 0)
  }

  /** Crashes and starts again under the same id: nothing of before is known. */
  rebirth (now: number): void {
    this.runs.clear()
    this.ends = []
    this.highestRun.clear()
    this.sequence = 0
    this.token = 0
    this.leaseUntil = 0
    this.waiters = []
    this.bornAt = now
  }

  /** Brings the endpoint up to a time: runs end, stop or lapse. */
  advance (now: number): void {
    const lapseAt = this.bornAt + this.leaseUntil
    for (const run of [...this.runs.values()]) {
      const stopAt = run.stopAt ?? Infinity
      const at = Math.min(run.endsAt, stopAt, lapseAt)
      if (at > now) continue
      this.runs.delete(run.task)
      this.noteEnd(run, at === run.endsAt ? (run.spec.fails || this.faults.failsAll ? 'failed' : 'done') : at === stopAt ? 'stopped' : 'lapsed', at)
    }
    if (this.ends.length === 0) return
    for (const waiter of this.waiters.splice(0)) waiter()
  }

  private noteEnd (run: ModelRun, how: ModelEnd['how'], at: number): void {
    this.ends.push({ sequence: ++this.sequence, task: run.task, run: run.run, how })
    this.onEnd(run, how, at)
  }

  private extend (now: number, untilMs: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(untilMs, this.clock(now) + LEASE_MAX_MS))
  }
}
