/**
 * State of the attempts decision: the attempts that went wrong, by job, task and run. They outlive the job, because its caller may send
 * it again, and are forgotten some time after the last one. Their number is bounded. When a whole failure domain falls silent, that says
 * nothing about its tasks, so jobs of which only that is known are dropped first.
 */
import type { EndpointId, JobId, Ms, TaskAttempts, TaskName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { isUnsettled, toAttempt } from './faults.js'
import type { RunFault } from './types.js'

/** How long the attempts of a job are kept; callers send a job again within seconds, a few times. */
const RETENTION_MS = 60_000
/** Upper bound of the attempts that are kept: a few racks that crash, and what still fits into one message to a new owner. */
const ATTEMPTS_MAX = 5000

/** Number of a task's attempts by what became of them. */
export type FaultCounts = Readonly<Record<RunFault, number>>

const NO_FAULTS: FaultCounts = { silent: 0, refused: 0, refusedAlone: 0, crashed: 0, crashedAlone: 0, failed: 0, outOfReach: 0 }

interface TaskHistory {
  readonly runs: Map<string, RunFault>
  readonly counts: Record<RunFault, number>
}

interface JobAttempts {
  until: Ms
  attempts: number
  /** A run has failed, or an endpoint has crashed under it or refused connections, so what is known counts for more than silence. */
  evident: boolean
  readonly tasks: Map<TaskName, TaskHistory>
  /** Tasks whose attempts may be reason enough to give the job up. */
  readonly doubtful: Set<TaskName>
}

/** A later report on the same run replaces an earlier one only with a fault further down in this list. */
const PRECEDENCE: readonly RunFault[] = ['silent', 'refused', 'refusedAlone', 'crashed', 'crashedAlone', 'failed', 'outOfReach']

/** A run whose endpoint has not answered since. */
export interface SilentAttempt {
  readonly task: TaskName
  readonly run: string
  readonly fault: RunFault
}

/** Attempts that went wrong. */
export class AttemptsDb {
  private readonly jobs = new Map<JobId, JobAttempts>()
  /** The jobs that are dropped first. Both maps are in order of change, so that the oldest entry comes first. */
  private readonly silentJobs = new Map<JobId, JobAttempts>()
  private readonly silences = new Map<string, Map<string, SilentAttempt>>()
  private attempts = 0

  /**
   * Adds what became of a run.
   * @returns false when it was known
   */
  add (task: TaskName, run: string, fault: RunFault, now: Ms): boolean {
    const id = jobIdOf(task)
    const job = this.jobs.get(id) ?? { until: now, attempts: 0, evident: false, tasks: new Map<TaskName, TaskHistory>(), doubtful: new Set<TaskName>() }
    const history = job.tasks.get(task) ?? { runs: new Map<string, RunFault>(), counts: { ...NO_FAULTS } }
    const known = history.runs.get(run)
    if (known !== undefined && PRECEDENCE.indexOf(fault) <= PRECEDENCE.indexOf(known)) return false
    this.drop(id, job)
    job.tasks.set(task, history)
    history.runs.set(run, fault)
    history.counts[fault]++
    if (known === undefined) job.attempts++
    else history.counts[known]--
    if (isUnsettled(fault)) this.keepSilence({ task, run, fault })
    else if (known !== undefined && isUnsettled(known)) this.dropSilence(task, run)
    if (history.counts.failed > 0 || history.counts.crashed + history.counts.crashedAlone > 1) job.doubtful.add(task)
    job.evident ||= fault !== 'silent' && fault !== 'outOfReach'
    job.until = ms(now + RETENTION_MS)
    this.keep(id, job)
    while (this.attempts > ATTEMPTS_MAX) this.dropOldest()
    return true
  }

  /** @returns the faults of a task's attempts */
  faultsOf (task: TaskName): readonly RunFault[] {
    return [...this.jobs.get(jobIdOf(task))?.tasks.get(task)?.runs.values() ?? []]
  }

  /** @returns how many of a task's attempts ended in each way */
  countsOf (task: TaskName): FaultCounts {
    return this.jobs.get(jobIdOf(task))?.tasks.get(task)?.counts ?? NO_FAULTS
  }

  /** @returns the tasks of a job with a failed run or more than one crash; no other task can be reason to give the job up */
  doubtfulTasksOf (id: JobId): Iterable<TaskName> {
    return this.jobs.get(id)?.doubtful ?? []
  }

  /** @returns the attempts at an endpoint that has not answered since, or has only refused connections */
  silentAt (endpoint: EndpointId): SilentAttempt[] {
    return [...this.silences.get(endpoint)?.values() ?? []]
  }

  /** @returns whether any attempt at a task of the job went wrong */
  has (id: JobId): boolean {
    return this.jobs.has(id)
  }

  /** @returns the attempts at the tasks of a job */
  ofJob (id: JobId): TaskAttempts[] {
    return [...this.jobs.get(id)?.tasks ?? []].map(([task, { runs }]) => ({ task, attempts: [...runs].map(([run, fault]) => toAttempt(run, fault)) }))
  }

  /** @returns the jobs with attempts that went wrong */
  jobIds (): IterableIterator<JobId> {
    return this.jobs.keys()
  }

  /** Drops what has not changed for `RETENTION_MS`. */
  expire (now: Ms): void {
    for (const [id, job] of this.jobs) {
      if (job.until > now) return
      this.forget(id, job)
    }
  }

  private keep (id: JobId, job: JobAttempts): void {
    this.jobs.set(id, job)
    if (!job.evident) this.silentJobs.set(id, job)
    this.attempts += job.attempts
  }

  private drop (id: JobId, job: JobAttempts): void {
    if (!this.jobs.delete(id)) return
    this.silentJobs.delete(id)
    this.attempts -= job.attempts
  }

  private forget (id: JobId, job: JobAttempts): void {
    this.drop(id, job)
    for (const [task, { runs }] of job.tasks) {
      for (const [run, fault] of runs) if (isUnsettled(fault)) this.dropSilence(task, run)
    }
  }

  private keepSilence (attempt: SilentAttempt): void {
    const endpoint = endpointOf(attempt.run)
    const there = this.silences.get(endpoint) ?? new Map<string, SilentAttempt>()
    this.silences.set(endpoint, there.set(`${attempt.task}#${attempt.run}`, attempt))
  }

  private dropSilence (task: TaskName, run: string): void {
    const there = this.silences.get(endpointOf(run))
    there?.delete(`${task}#${run}`)
    if (there?.size === 0) this.silences.delete(endpointOf(run))
  }

  private dropOldest (): void {
    const [oldest] = this.silentJobs.size > 0 ? this.silentJobs : this.jobs
    if (oldest !== undefined) this.forget(...oldest)
  }
}

/** @returns the name of a run over all incarnations of all endpoints; the run numbers of different tasks may be the same */
export function runName (endpoint: EndpointId, bornAt: number, run: number): string {
  return `${endpoint}@${bornAt}#${run}`
}

const endpointOf = (run: string): string => run.slice(0, run.lastIndexOf('@'))

/** @returns whether a run was started at this incarnation of its endpoint */
export function isOfIncarnation (run: string, bornAt: number): boolean {
  return run.slice(run.lastIndexOf('@') + 1, run.lastIndexOf('#')) === String(bornAt)
}

/** @returns the job that a task belongs to; its id is the first part of the task's name */
export function jobIdOf (task: TaskName): JobId {
  return task.slice(0, task.indexOf('.')) as JobId
}
