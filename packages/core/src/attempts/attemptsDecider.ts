/**
 * Decides from the attempts at a task whether it may start again. A task can crash every endpoint that starts it. The endpoint then
 * lists no end of the run, so such attempts are counted here and not by the endpoint's answers. An endpoint runs tasks of several
 * jobs, and only one of them causes the crash: after a crash each of them is suspect and starts alone, so that a second crash
 * shows the cause and costs no other job its run. An endpoint that refuses connections or falls silent may have crashed or may be cut off, and
 * its next answer shows which; until then it keeps a task from starting at most, and fails no job.
 */
import type { EndpointId, JobId, TaskAttempts, TaskName } from '@cranberryyard/protocol'
import type { LedgerEndpoint, LedgerRun } from '../endpoints/types.js'
import type { ShardContext } from '../shard/types.js'
import { AttemptsDb, isOfIncarnation, jobIdOf, runName } from './attemptsDb.js'
import { afterRestart, faultOf } from './faults.js'
import type { RunFault, TaskStanding } from './types.js'

/** Crashes under a task, one of them while nothing else ran there, after which it is not started again. */
const CRASHES_MAX = 2
/** Crashes under a task, beside others or not, after which it is not started again; endpoints that refuse connections or are silent count until their next answer. */
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
  record (run: LedgerRun, endpoint: Pick<LedgerEndpoint, 'bornAt'>, fault: RunFault): boolean {
    return this.db.add(run.task, runName(run.endpoint, endpoint.bornAt ?? 0, run.run), fault, this.ctx.now)
  }

  /**
   * Adds attempts that another instance knows of.
   * @returns the jobs about which something new was learned
   */
  learn (tasks: readonly TaskAttempts[]): Set<JobId> {
    const changed = new Set<JobId>()
    for (const { task, attempts } of tasks) {
      for (const attempt of attempts) {
        if (this.db.add(task, attempt.run, faultOf(attempt), this.ctx.now)) changed.add(jobIdOf(task))
      }
    }
    return changed
  }

  /**
   * Settles the silences and refusals of an endpoint that answers, those that an earlier owner has met included. Another incarnation has crashed; how
   * many runs it had then is known only if it refused connections.
   * @returns the jobs about which something new is known
   */
  endpointAnswered (endpoint: EndpointId, bornAt: number): Set<JobId> {
    const changed = new Set<JobId>()
    for (const { task, run, fault } of this.db.silentAt(endpoint)) {
      if (this.db.add(task, run, isOfIncarnation(run, bornAt) ? 'outOfReach' : afterRestart(fault), this.ctx.now)) changed.add(jobIdOf(task))
    }
    return changed
  }

  /** @returns whether a task may start as usual, only alone at an endpoint, not for now, or not at all */
  standingOf (task: TaskName): TaskStanding {
    const { crashed, crashedAlone, refused, refusedAlone, silent } = this.db.countsOf(task)
    const crashes = crashedAlone + crashed
    const refusals = refusedAlone + refused
    if (areTooMany(crashes, crashedAlone)) return 'crashing'
    if (areTooMany(crashes + refusals, crashedAlone + refusedAlone) || crashes + refusals + silent >= LOSSES_MAX) return 'unclear'
    return crashes + refusals > 0 || silent >= SUSPECT_SILENCES ? 'suspect' : 'sound'
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

/** Returns whether a task under which so many endpoints crashed, some of them while nothing else ran there, is not started again. */
function areTooMany (crashes: number, alone: number): boolean {
  return (crashes >= CRASHES_MAX && alone > 0) || crashes >= LOSSES_MAX
}
