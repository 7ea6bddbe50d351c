/**
 * Types of the job decision: a submission from its acceptance to its one answer. States are those of charts/job.json.
 */
import type { Answer, CustomerId, InstanceId, JobSpec, KindTerms, Ms, SubmissionId } from '@cranberryyard/protocol'

export type JobState = 'claiming' | 'placing' | 'scheduledHere' | 'forwarded' | 'answered'
export type JobEvent = 'claimed' | 'refuse' | 'placeLocal' | 'placeRemote' | 'returned' | 'schedulerLost' | 'answer' | 'giveUp'

/** A submission that this instance answers for. */
export interface FrontJob {
  readonly submissionId: SubmissionId
  readonly customer: CustomerId
  readonly job: JobSpec
  readonly terms: KindTerms
  readonly acceptedAt: Ms
  readonly deadline: Ms
  state: JobState
  /** Calls that wait for the answer. */
  readonly waiting: string[]
  /** Instance that schedules the job, while forwarded. */
  scheduler: { readonly instance: InstanceId, readonly incarnation: number } | undefined
  forwardedAt: Ms
  /** When to ask the scheduler whether it has the job; set once the connection to it broke. */
  checkAt: Ms | undefined
  readonly excluded: Set<string>
  /** Earlier submission of the same request whose answer is awaited. */
  earlier: { readonly submissionId: SubmissionId, askAt: Ms } | undefined
}

/** An answer that can still be fetched. */
export interface RetainedAnswer {
  readonly customer: CustomerId
  readonly requestId: string
  readonly answer: Answer
  readonly until: Ms
}
