/**
 * Decides from the attempts at a task whether it may start again. A task can crash every endpoint that starts it. The endpoint then
 * lists no end of the run, so such attempts are counted here and not by the endpoint's answers. An endpoint runs tasks of several
 * jobs, and only one of them causes the crash: after a crash each of them is suspect and starts alone, so that a second crash
 * shows the cause and costs no other job its run. An endpoint that falls silent may have crashed or may be cut off, and its next
 * answer shows which; until then the silence keeps a task from starting at most, and fails no job.
 */
import type { AttemptFault, EndpointId, JobId, TaskAttempts, TaskName } from '@cranberryyard/protocol'
import type { LedgerEndpoint, LedgerRun } from '../endpoints/types.js'
import type { ShardContext } from '../shard/types.js'
import { AttemptsDb, isOfIncarnation, jobIdOf, runName } from './attemptsDb.js'
import type { TaskStanding } from './types.js'

/** Crashes under a task, one of them while nothing else ran there, after which it is not started again. */
const CRASHES_MAX = 2
/** Crashes under a task, beside others or not, after which it is not started again; silent endpoints count until their next answer. */
const LOSSES_MAX = 3
/** Silent endpoints after which a task is suspect; a single one is more often the network's fault. */
const SUSPECT_SILENCES = 2

/** Keeps the attempts that went wrong, those of other owners included. */
export class AttemptsDecider {
  readonly db = new AttemptsDb()

  constructor (private readonly ctx: ShardContext) {}

  /**
   * Records that a run went wrong.
   * @returns false when this was known
   */
  record (run: LedgerRun, endpoint: Pick<LedgerEndpoint, 'bornAt'>, fault: AttemptFault): boolean {
    return this.db.add(run.task, runName(run.endpoint, endpoint.bornAt ?? 0, run.run), fault, this.ctx.now)
  }

  /**
   * Adds attempts that another instance knows of.
   * @returns the jobs about which something new was learned
   */
  learn (tasks: readonly TaskAttempts[]): Set<JobId> {
    const changed = new Set<JobId>()
    for (const { task, attempts } of tasks) {
      for (const { run, fault } of attempts) {
        if (this.db.add(task, run, fault, this.ctx.now)) changed.add(jobIdOf(task))
      }
    }
    return changed
  }

  /**
   * Settles the silences of an endpoint that answers, those that an earlier owner has met included. Another incarnation has crashed; how many
   * runs it had then is not known.
   * @returns the jobs about which something new is known
   */
  endpointAnswered (endpoint: EndpointId, bornAt: number): Set<JobId> {
    const changed = new Set<JobId>()
    for (const { task, run } of this.db.silentAt(endpoint)) {
      if (this.db.add(task, run, isOfIncarnation(run, bornAt) ? 'outOfReach' : 'crashed', this.ctx.now)) changed.add(jobIdOf(task))
    }
    return changed
  }

  /** @returns whether a task may start as usual, only alone at an endpoint, not for now, or not at all */
  standingOf (task: TaskName): TaskStanding {
    const { crashed, crashedAlone, silent } = this.db.countsOf(task)
    const crashes = crashedAlone + crashed
    if ((crashes >= CRASHES_MAX && crashedAlone > 0) || crashes >= LOSSES_MAX) return 'crashing'
    if (crashes + silent >= LOSSES_MAX) return 'unclear'
    return crashes > 0 || silent >= SUSPECT_SILENCES ? 'suspect' : 'sound'
  }

  /** @returns how many runs of a task its endpoints have listed as failed */
  failuresOf (task: TaskName): number {
    return this.db.countsOf(task).failed
  }

  /**
   * @param maxAttempts - number of failed runs after which a task is not started again
   * @returns a task of the job that must not start again, if there is one
   */
  hopelessTaskOf (id: JobId, maxAttempts: number): TaskName | undefined {
    for (const task of this.db.doubtfulTasksOf(id)) {
      if (this.standingOf(task) === 'crashing' || this.failuresOf(task) >= Math.max(1, maxAttempts)) return task
    }
    return undefined
  }

  tick (): void {
    this.db.expire(this.ctx.now)
  }
}
