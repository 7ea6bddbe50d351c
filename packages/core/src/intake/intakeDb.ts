/**
 * State of the intake decision: the jobs in flight at this front, and the calls that wait for each. A job is removed with
 * its reply; no outcome is kept here. `IntakeDecider` makes all decisions.
 */
import type { InstanceId, JobId } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { CallerReads } from '../shard/types.js'
import type { FrontedJob } from './types.js'

/** The jobs for which this instance is the front, indexed by job and by call. */
export class IntakeDb {
  readonly jobs = new Map<JobId, FrontedJob>()
  callerReads: CallerReads = { upTo: ms(Infinity), endedAt: ms(Infinity) }
  private readonly byCall = new Map<string, JobId>()

  /** Adds a call that waits for a job. */
  addCall (job: FrontedJob, callId: string): void {
    job.calls.add(callId)
    this.byCall.set(callId, job.id)
  }

  /** Returns the job that a call waits for. */
  jobOfCall (callId: string): FrontedJob | undefined {
    const id = this.byCall.get(callId)
    return id === undefined ? undefined : this.jobs.get(id)
  }

  removeCall (callId: string): void {
    this.jobOfCall(callId)?.calls.delete(callId)
    this.byCall.delete(callId)
  }

  /** Removes a job with its calls. */
  remove (job: FrontedJob): void {
    for (const callId of job.calls) this.byCall.delete(callId)
    this.jobs.delete(job.id)
  }

  /** Returns the owners that have jobs of this front. */
  owners (): Set<InstanceId> {
    const owners = new Set<InstanceId>()
    for (const { location } of this.jobs.values()) {
      if (location.type === 'atOwner') owners.add(location.owner)
    }
    return owners
  }

  /** Returns the jobs at an owner, but not those that wait for its successor. */
  jobsAt (owner: InstanceId): FrontedJob[] {
    return [...this.jobs.values()].filter(job => job.location.type === 'atOwner' && job.location.owner === owner)
  }
}
