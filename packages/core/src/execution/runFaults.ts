/**
 * Decides what the runs that went wrong say about their tasks and endpoints, and passes on to fronts and other owners what is
 * new: the job may go on at another owner, or come again from another front.
 */
import type { JobId } from '@cranberryyard/protocol'
import type { AttemptsDecider } from '../attempts/attemptsDecider.js'
import { jobIdOf } from '../attempts/attemptsDb.js'
import type { RunFault } from '../attempts/types.js'
import type { LedgerEndpoint, LedgerRun } from '../endpoints/types.js'
import type { PlacementDecider } from '../placement/placementDecider.js'
import type { OwnedTask } from './types.js'

/** When a failed task already avoids this many endpoints, it starts a new list, so that some endpoint remains to run it. */
const AVOIDED_ENDPOINTS_MAX = 3

/** Called with the jobs of whose tasks new attempts are known. */
export type AttemptsChanged = (jobs: ReadonlySet<JobId>) => void

/** Records runs that went wrong. */
export class RunFaults {
  constructor (private readonly placement: PlacementDecider, private readonly attempts: AttemptsDecider, private readonly attemptsChanged: AttemptsChanged) {}

  /** Records what became of runs at an endpoint. */
  record (runs: readonly LedgerRun[], endpoint: LedgerEndpoint, fault: RunFault): void {
    const changed = jobIdsOf(runs.filter(run => this.attempts.record(run, endpoint, fault)))
    if (changed.size > 0) this.attemptsChanged(changed)
  }

  /** Returns whether there are attempts at tasks of the run's job. */
  isKnown (run: LedgerRun): boolean {
    return this.attempts.db.has(jobIdOf(run.task))
  }

  /**
   * Counts the task's first failure against the endpoint. After a second failure the fault is taken to be the task's, and
   * neither failure counts against an endpoint.
   */
  attribute (task: OwnedTask, run: LedgerRun, attempts: number): void {
    if (task.failedEndpoints.size === 0) {
      this.placement.recordFailure(run.endpoint)
    } else if (attempts === 2) {
      for (const id of task.failedEndpoints) this.placement.retractFailure(id)
    }
    task.failedEndpoints.add(run.endpoint)
    if (task.avoid.size >= AVOIDED_ENDPOINTS_MAX) task.avoid.clear()
    task.avoid.add(run.endpoint)
  }
}

/** Returns the jobs that runs belong to. */
export function jobIdsOf (runs: readonly LedgerRun[]): Set<JobId> {
  return new Set(runs.map(run => jobIdOf(run.task)))
}
