/**
 * Messages between entry instances. All are one-way; a reply is a separate message. Member names are sent as they are.
 */
import type { Answer, JobSpec } from './callerApi.js'
import type { Fleet } from './fleet.js'
import type { CustomerId, FailureDomain, HolderId, InstanceId, RequestId, SubmissionId } from './ids.js'
import type { Ms } from './clock.js'

/** Lifecycle status that an instance announces to its peers. */
export type MemberStatus = 'starting' | 'serving' | 'leaving'

/** One instance's gossip entry. The instance it describes increases `heartbeat` with every heartbeat that it sends. */
export interface MemberEntry {
  readonly instance: InstanceId
  readonly incarnation: number
  readonly failureDomain: FailureDomain
  readonly address: string
  readonly heartbeat: number
  readonly status: MemberStatus
  /** Fleet version whose limits the instance fully complies with. */
  readonly versionInForce: number
  /** Newest fleet version that the instance knows. */
  readonly versionKnown: number
  /** Epoch of claim voters for which the instance has imported all claims of its buckets. */
  readonly claimsReadyEpoch: number
  /** Tasks waiting in the instance's scheduler. */
  readonly backlog: number
}

/** Number of permits of one customer that a lender grants. */
export interface PermitCount {
  readonly customer: CustomerId
  readonly count: number
}

/** A borrower's request for one customer: permits that it already holds and keeps (`hold`), and the total that it wants (`want`). */
export interface PermitDemand {
  readonly customer: CustomerId
  readonly hold: number
  readonly want: number
}

/** A claim on a request that must run at most once. */
export interface Claim {
  readonly customer: CustomerId
  readonly requestId: RequestId
  readonly submissionId: SubmissionId
  /** Time until the claim expires, counted from when the message was sent. */
  readonly ttlMs: Ms
}

/** A job forwarded by the instance that accepted it to the instance that schedules it. */
export interface ForwardedJob {
  readonly submissionId: SubmissionId
  readonly customer: CustomerId
  readonly job: JobSpec
  /** Time until the deadline that follows from the contract's `answerWithinMs`. */
  readonly remainingMs: Ms
}

/** A voter's answer to a claim request; `by` is the earlier submission that holds the claim. */
export type ClaimVerdict =
  | { readonly type: 'granted' }
  | { readonly type: 'taken', readonly by: SubmissionId }
  | { readonly type: 'notReady' }
  | { readonly type: 'staleEpoch' }

/** Any message between entry instances. */
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
  | { readonly type: 'permitRequest', readonly borrower: HolderId, readonly lender: HolderId, readonly sequence: number, readonly wishes: readonly PermitDemand[] }
  | { readonly type: 'permitGrant', readonly lender: HolderId, readonly sequence: number, readonly validMs: Ms, readonly grants: readonly PermitCount[] }
  | { readonly type: 'claimRequest', readonly epoch: number, readonly claim: Claim }
  | { readonly type: 'claimVote', readonly epoch: number, readonly submissionId: SubmissionId, readonly verdict: ClaimVerdict }
  | { readonly type: 'claimRelease', readonly customer: CustomerId, readonly requestId: RequestId, readonly submissionId: SubmissionId }
  | { readonly type: 'claimsRequest', readonly epoch: number, readonly buckets: readonly number[] }
  | { readonly type: 'claimsReply', readonly epoch: number, readonly holder: HolderId, readonly buckets: readonly number[], readonly claims: readonly Claim[] }

/** Names of all peer messages. */
export type PeerMessageType = PeerMessage['type']
