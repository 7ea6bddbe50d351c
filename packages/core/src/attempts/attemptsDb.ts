/**
 * State of the attempts decision: the attempts that went wrong, by job, task and run. They outlive the job, because its caller may send
 * it again, and are forgotten some time after the last one.
 */
import type { AttemptFault, JobId, Ms, TaskAttempts, TaskName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'

/** How long the attempts of a job are kept; callers send a job again within seconds, a few times. */
const RETENTION_MS = 60_000
/** Upper bound of the jobs that are kept; beyond it, the one without a change for longest is dropped. */
const JOBS_MAX = 1000

interface JobAttempts {
  until: Ms
  readonly tasks: Map<TaskName, Map<string, AttemptFault>>
}

/** A later report on the same run replaces an earlier one only with a fault further down in this list. */
const PRECEDENCE: readonly AttemptFault[] = ['silent', 'crashed', 'crashedAlone', 'failed', 'outOfReach']

/** Attempts that went wrong. */
export class AttemptsDb {
  private readonly jobs = new Map<JobId, JobAttempts>()

  /**
   * Adds what became of a run.
   * @returns false when it was known
   */
  add (task: TaskName, run: string, fault: AttemptFault, now: Ms): boolean {
    const id = jobIdOf(task)
    const job = this.jobs.get(id) ?? { until: now, tasks: new Map() }
    const runs = job.tasks.get(task) ?? new Map<string, AttemptFault>()
    const known = runs.get(run)
    if (known !== undefined && PRECEDENCE.indexOf(fault) <= PRECEDENCE.indexOf(known)) return false
    runs.set(run, fault)
    job.tasks.set(task, runs)
    job.until = ms(now + RETENTION_MS)
    // The map is in order of change, so that the oldest entry comes first.
    this.jobs.delete(id)
    this.jobs.set(id, job)
    if (this.jobs.size > JOBS_MAX) this.jobs.delete(this.jobs.keys().next().value as JobId)
    return true
  }

  /** @returns the faults of a task's attempts */
  faultsOf (task: TaskName): readonly AttemptFault[] {
    return [...this.jobs.get(jobIdOf(task))?.tasks.get(task)?.values() ?? []]
  }

  /** @returns whether any attempt at a task of the job went wrong */
  has (id: JobId): boolean {
    return this.jobs.has(id)
  }

  /** @returns the attempts at the tasks of a job */
  ofJob (id: JobId): TaskAttempts[] {
    return [...this.jobs.get(id)?.tasks ?? []].map(([task, runs]) => ({ task, attempts: [...runs].map(([run, fault]) => ({ run, fault })) }))
  }

  /** @returns the jobs with attempts that went wrong */
  jobIds (): IterableIterator<JobId> {
    return this.jobs.keys()
  }

  /** Drops what has not changed for `RETENTION_MS`. */
  expire (now: Ms): void {
    for (const [id, job] of this.jobs) {
      if (job.until > now) return
      this.jobs.delete(id)
    }
  }
}

/** @returns the job that a task belongs to; its id is the first part of the task's name */
export function jobIdOf (task: TaskName): JobId {
  return task.slice(0, task.indexOf('.')) as JobId
}
