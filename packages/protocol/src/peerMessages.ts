/**
 * Messages between entry instances. All are one-way; a reply is a message of its own.
 */
import type { Answer, JobSpec } from './callerApi.js'
import type { Fleet } from './fleet.js'
import type { CustomerId, FailureDomain, HolderId, InstanceId, RequestId, SubmissionId } from './ids.js'
import type { Ms } from './clock.js'

/** How an instance presents itself. */
export type MemberStatus = 'starting' | 'serving' | 'leaving'

/** What one instance knows of another. `heartbeat` grows with every round of its owner. */
export interface MemberEntry {
  readonly instance: InstanceId
  readonly incarnation: number
  readonly failureDomain: FailureDomain
  readonly address: string
  readonly heartbeat: number
  readonly status: MemberStatus
  /** Fleet version whose limits the instance keeps to in full. */
  readonly versionInForce: number
  /** Newest fleet version that the instance knows. */
  readonly versionKnown: number
  /** Epoch of claim voters for which the instance has collected all claims of its buckets. */
  readonly claimsReadyEpoch: number
  /** Tasks waiting in the instance's scheduler. */
  readonly backlog: number
}

/** A range of one customer's permits, in a request or a grant. */
export interface PermitCount {
  readonly customer: CustomerId
  readonly count: number
}

/** What a borrower keeps and what it would like to have, of one customer's permits. */
export interface PermitWish {
  readonly customer: CustomerId
  readonly hold: number
  readonly want: number
}

/** A claim on a request that must run at most once. */
export interface Claim {
  readonly customer: CustomerId
  readonly requestId: RequestId
  readonly submissionId: SubmissionId
  /** Remaining life of the claim when the message was sent. */
  readonly ttlMs: Ms
}

/** A job on its way from the instance that accepted it to the one that schedules it. */
export interface ForwardedJob {
  readonly submissionId: SubmissionId
  readonly customer: CustomerId
  readonly job: JobSpec
  /** Time left until the contract's answer time is over. */
  readonly remainingMs: Ms
}

/** How a claim holder voted. */
export type ClaimVerdict =
  | { readonly type: 'granted' }
  | { readonly type: 'taken', readonly by: SubmissionId }
  | { readonly type: 'notReady' }
  | { readonly type: 'staleEpoch' }

export type PeerMessage =
  | { readonly type: 'gossip', readonly entries: readonly MemberEntry[], readonly fleetVersion: number }
  | { readonly type: 'fleetRequest' }
  | { readonly type: 'fleet', readonly fleet: Fleet, readonly storeRevision: number, readonly confirmed: boolean }
  | { readonly type: 'forward', readonly job: ForwardedJob }
  | { readonly type: 'forwardCancel', readonly submissionId: SubmissionId }
  | { readonly type: 'forwardCheck', readonly scheduler: HolderId, readonly submissionId: SubmissionId, readonly ageMs: Ms }
  | { readonly type: 'forwardReturn', readonly submissionId: SubmissionId }
  | { readonly type: 'forwardAnswer', readonly answer: Answer }
  | { readonly type: 'answerRequest', readonly submissionId: SubmissionId, readonly customer: CustomerId, readonly replyTo: string }
  | { readonly type: 'answerReply', readonly replyTo: string, readonly answer: Answer | null, readonly pending: boolean }
  | { readonly type: 'permitRequest', readonly borrower: HolderId, readonly lender: HolderId, readonly sequence: number, readonly wishes: readonly PermitWish[] }
  | { readonly type: 'permitGrant', readonly lender: HolderId, readonly sequence: number, readonly validMs: Ms, readonly grants: readonly PermitCount[] }
  | { readonly type: 'claimRequest', readonly epoch: number, readonly claim: Claim }
  | { readonly type: 'claimVote', readonly epoch: number, readonly submissionId: SubmissionId, readonly verdict: ClaimVerdict }
  | { readonly type: 'claimRelease', readonly customer: CustomerId, readonly requestId: RequestId, readonly submissionId: SubmissionId }
  | { readonly type: 'claimsRequest', readonly epoch: number, readonly buckets: readonly number[] }
  | { readonly type: 'claimsReply', readonly epoch: number, readonly holder: HolderId, readonly buckets: readonly number[], readonly claims: readonly Claim[] }

/** Names of all peer messages. */
export type PeerMessageType = PeerMessage['type']
