/**
 * State of the intake decision: jobs in flight, and outcomes kept for callers that send a job again.
 */
import type { InstanceId, JobId } from '@cranberryyard/protocol'
import type { FrontedJob } from './types.js'

/** Jobs at their front. */
export class IntakeDb {
  readonly jobs = new Map<JobId, FrontedJob>()
  private readonly byCall = new Map<string, JobId>()

  /** Adds a call that waits for a job. */
  addCall (job: FrontedJob, callId: string): void {
    job.calls.add(callId)
    this.byCall.set(callId, job.id)
  }

  /** @returns the job that a call waits for */
  jobOfCall (callId: string): FrontedJob | undefined {
    const id = this.byCall.get(callId)
    return id === undefined ? undefined : this.jobs.get(id)
  }

  /** Removes one call. */
  removeCall (callId: string): void {
    this.jobOfCall(callId)?.calls.delete(callId)
    this.byCall.delete(callId)
  }

  /** Removes a job with its calls. */
  remove (job: FrontedJob): void {
    for (const callId of job.calls) this.byCall.delete(callId)
    this.jobs.delete(job.id)
  }

  /** @returns owners that have jobs of this front */
  owners (): Set<InstanceId> {
    const owners = new Set<InstanceId>()
    for (const { where } of this.jobs.values()) {
      if (where.type === 'atOwner') owners.add(where.owner)
    }
    return owners
  }

  /** @returns jobs at an owner */
  at (owner: InstanceId): FrontedJob[] {
    return [...this.jobs.values()].filter(job => job.where.type === 'atOwner' && job.where.owner === owner)
  }
}
