/**
 * Types of the job decision, which follows a submission from its acceptance to its one answer. The states and events
 * are those of charts/job.json.
 */
import type { Answer, CustomerId, InstanceId, JobSpec, KindTerms, Ms, SubmissionId } from '@cranberryyard/protocol'

export type JobState = 'claiming' | 'placing' | 'scheduledHere' | 'forwarded' | 'answered'
export type JobEvent = 'claimed' | 'refuse' | 'placeLocal' | 'placeRemote' | 'returned' | 'schedulerLost' | 'answer' | 'giveUp'

/** A submission that this instance has accepted and has to answer. */
export interface FrontJob {
  readonly submissionId: SubmissionId
  readonly customer: CustomerId
  readonly job: JobSpec
  readonly terms: KindTerms
  readonly acceptedAt: Ms
  readonly deadline: Ms
  state: JobState
  /** Ids of the calls that wait for the answer. */
  readonly waitingCalls: string[]
  /** Instance and incarnation that the job was last forwarded to. */
  scheduler: { readonly instance: InstanceId, readonly incarnation: number } | undefined
  forwardedAt: Ms
  /** Time of the next check whether the scheduler has the job; set once the connection to it broke. */
  checkAt: Ms | undefined
  /** Instances that returned the job unstarted; it is not forwarded to them again. */
  readonly excluded: Set<string>
  /** Earlier submission of the same request, at another instance, whose answer this job waits for. */
  earlier: { readonly submissionId: SubmissionId, nextRequestAt: Ms } | undefined
}

/** An answer that callers can still fetch until the end of its retention. */
export interface RetainedAnswer {
  readonly customer: CustomerId
  readonly requestId: string
  readonly answer: Answer
  readonly until: Ms
}
