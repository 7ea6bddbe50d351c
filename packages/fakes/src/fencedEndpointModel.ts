/**
 * Models the published behaviour of an endpoint that is controlled under fencing tokens. It refuses orders with a token lower
 * than the highest it has seen, keeps one lease for all its runs, and lists running and ended runs. After a restart it has no
 * memory of earlier runs and tokens. The caller passes the time into each method. The model does not enforce its capacity,
 * so that tests see every order that exceeds it.
 */

/** Longest lease that the endpoint grants, counted from the order that extends it. */
const LEASE_MAX_MS = 1000
/** Time from a stop order to the end of the run. */
const STOP_DELAY_MS = 30
/** Rate of the slowest clock that an endpoint may have, on which it measures its lease. */
export const SLOWEST_CLOCK_RATE = 0.98

/** Resources that a task needs and how it behaves. Tests pass it, as JSON, in the task's spec. */
export interface ModelTask {
  readonly cpuMilli: number
  readonly workMs: number
  readonly fails: boolean
  /** Time after its start at which the task crashes its endpoint; undefined for a task that does not. */
  readonly crashAfterMs?: number
}

/** @returns the task's behaviour: a spec is the JSON of one `ModelTask` for all tasks of a job, or of a list with one for each, with or without a byte order mark */
export function taskSpec (spec: string, task: string): ModelTask {
  const parsed = JSON.parse(spec.replace(/^\uFEFF/, '')) as ModelTask | readonly ModelTask[]
  if (!Array.isArray(parsed)) return parsed as ModelTask
  return parsed[Number(task.slice(task.lastIndexOf('.') + 1))] as ModelTask
}

/** Length of a marked spec, beyond which text takes other paths through codecs than short text. */
const MARKED_SPEC_LENGTH = 300

/** @returns the same spec as a program writes it that begins its text with a byte order mark */
export function withByteOrderMark (spec: string): string {
  return `\uFEFF${spec}`.padEnd(MARKED_SPEC_LENGTH)
}

/** A run of a task at the endpoint; `run` is its number, which rises with each new attempt. */
export interface ModelRun {
  readonly task: string
  readonly run: number
  readonly spec: ModelTask
  readonly startedAt: number
  readonly endsAt: number
  stopAt: number | undefined
}

/** The end of a run. The endpoint lists it until a hold acknowledges its sequence number. */
export interface ModelEnd {
  readonly sequence: number
  readonly task: string
  readonly run: number
  readonly how: 'done' | 'failed' | 'stopped' | 'lapsed'
}

/** An order to start a run. It is valid until `untilMs` on the endpoint's clock and extends the lease up to that time. */
export interface ModelStart {
  readonly token: number
  readonly task: string
  readonly run: number
  readonly spec: ModelTask
  readonly untilMs: number
}

export type ModelStartReply = 'started' | 'fenced' | 'oldRun' | 'late' | 'unhealthy'

/** Misbehaviour that a test can switch on. */
export interface ModelFaults {
  /** Factor on the run time of tasks that start after the change. */
  slowdownFactor: number
  failsEveryTask: boolean
  /** Tasks that start while this is set make no progress. */
  hangs: boolean
  refusesStarts: boolean
}

/** The model of one endpoint. */
export class FencedEndpointModel {
  readonly runs = new Map<string, ModelRun>()
  readonly faults: ModelFaults = { slowdownFactor: 1, failsEveryTask: false, hangs: false, refusesStarts: false }
  private unacknowledgedEnds: ModelEnd[] = []
  private readonly highestRun = new Map<string, number>()
  private sequence = 0
  private highestToken = 0
  private leaseUntilClockMs = 0
  private endListeners: (() => void)[] = []
  up = true
  /** Called when a task crashes the endpoint, before its runs are gone. */
  onCrash: (at: number) => void = () => {}

  /**
   * @param id - the endpoint's id, kept across restarts
   * @param cpuMilli - capacity in thousandths of a core
   * @param bornAt - time of the latest start of the endpoint
   * @param onEnd - called with each end of a run
   * @param clockRate - milliseconds that the endpoint's clock counts in one
   */
  constructor (readonly id: string, public cpuMilli: number, public bornAt: number, private readonly onEnd: (run: ModelRun, how: ModelEnd['how'], at: number) => void = () => {}, private readonly clockRate = 1) {}

  /** @returns the endpoint's clock: milliseconds since its latest start, as it counts them */
  clock (now: number): number {
    return Math.floor((now - this.bornAt) * this.clockRate)
  }

  /**
   * Executes an order to start a run; a repeated order for the same run is answered `started` again. A start that is repeated or refused as `oldRun`
   * extends the lease as well.
   */
  start (now: number, order: ModelStart): ModelStartReply {
    this.advance(now)
    if (order.token < this.highestToken) return 'fenced'
    this.highestToken = order.token
    const isRepeated = this.runs.get(order.task)?.run === order.run
    if (isRepeated || order.run <= (this.highestRun.get(order.task) ?? 0)) {
      this.extendLease(now, order.untilMs)
      return isRepeated ? 'started' : 'oldRun'
    }
    if (order.untilMs <= this.clock(now)) return 'late'
    if (this.faults.refusesStarts) return 'unhealthy'
    this.extendLease(now, order.untilMs)
    this.highestRun.set(order.task, order.run)
    const endsAt = this.faults.hangs ? Infinity : now + order.spec.workMs * this.faults.slowdownFactor
    this.runs.set(order.task, { task: order.task, run: order.run, spec: order.spec, startedAt: now, endsAt, stopAt: undefined })
    return 'started'
  }

  /** Executes an order to stop a run. If the start order of the run arrives later, `start` refuses it as `oldRun`. */
  stop (now: number, token: number, task: string, run: number): 'stopping' | 'fenced' {
    this.advance(now)
    if (token < this.highestToken) return 'fenced'
    this.highestToken = token
    this.highestRun.set(task, Math.max(run, this.highestRun.get(task) ?? 0))
    const running = this.runs.get(task)
    if (running?.run === run) running.stopAt ??= now + STOP_DELAY_MS
    return 'stopping'
  }

  /**
   * Extends the lease to `untilMs`, or leaves it as it is when that is undefined, and drops acknowledged ends.
   * @returns false when the token is lower than the highest seen
   */
  hold (now: number, token: number, acknowledgedSequence: number, untilMs: number | undefined): boolean {
    this.advance(now)
    if (token < this.highestToken) return false
    this.highestToken = token
    if (untilMs !== undefined) this.extendLease(now, untilMs)
    this.unacknowledgedEnds = this.unacknowledgedEnds.filter(end => end.sequence > acknowledgedSequence)
    return true
  }

  /** @returns the content of the answer to a hold: clock, running runs and ends that are not acknowledged yet */
  listing (now: number): { readonly clock: number, readonly bornAt: number, readonly running: { task: string, run: number, percent: number }[], readonly ended: ModelEnd[] } {
    this.advance(now)
    const running = [...this.runs.values()].map(({ task, run, startedAt, endsAt }) => ({ task, run, percent: endsAt === Infinity ? 0 : Math.min(99, Math.floor(100 * (now - startedAt) / (endsAt - startedAt))) }))
    return { clock: this.clock(now), bornAt: this.bornAt, running, ended: [...this.unacknowledgedEnds] }
  }

  /** Calls back once at the next end of a run, or at once when an unacknowledged end exists. */
  onNextEnd (callback: () => void): void {
    if (this.unacknowledgedEnds.length > 0) callback()
    else this.endListeners.push(callback)
  }

  /** @returns thousandths of a core in use, including runs that are being stopped */
  usedCpuMilli (): number {
    return [...this.runs.values()].reduce((sum, run) => sum + run.spec.cpuMilli, 0)
  }

  /** Crashes and restarts under the same id, without any earlier state. */
  restart (now: number): void {
    this.runs.clear()
    this.unacknowledgedEnds = []
    this.highestRun.clear()
    this.sequence = 0
    this.highestToken = 0
    this.leaseUntilClockMs = 0
    this.endListeners = []
    this.bornAt = now
    this.up = true
  }

  /** Crashes; nothing runs and nothing is answered until `restart`. */
  crash (now: number): void {
    this.onCrash(now)
    this.up = false
    this.runs.clear()
    this.endListeners = []
  }

  /** Ends the runs that have finished, were stopped or lost their lease up to a time, or crashes if one of them is due to do that. */
  advance (now: number): void {
    if ([...this.runs.values()].some(run => run.startedAt + (run.spec.crashAfterMs ?? Infinity) <= now)) this.crash(now)
    const leaseEndsAt = this.bornAt + this.leaseUntilClockMs / this.clockRate
    for (const run of [...this.runs.values()]) {
      const stopAt = run.stopAt ?? Infinity
      const at = Math.min(run.endsAt, stopAt, leaseEndsAt)
      if (at > now) continue
      this.runs.delete(run.task)
      this.recordEnd(run, at === run.endsAt ? (run.spec.fails || this.faults.failsEveryTask ? 'failed' : 'done') : at === stopAt ? 'stopped' : 'lapsed', at)
    }
    if (this.unacknowledgedEnds.length === 0) return
    for (const listener of this.endListeners.splice(0)) listener()
  }

  private recordEnd (run: ModelRun, how: ModelEnd['how'], at: number): void {
    this.unacknowledgedEnds.push({ sequence: ++this.sequence, task: run.task, run: run.run, how })
    this.onEnd(run, how, at)
  }

  private extendLease (now: number, untilMs: number): void {
    this.leaseUntilClockMs = Math.max(this.leaseUntilClockMs, Math.min(untilMs, this.clock(now) + LEASE_MAX_MS))
  }
}
