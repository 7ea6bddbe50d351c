/**
 * Types used to deduplicate requests: stored claims, attempts to win a claim, and their outcomes. They are separate
 * from `DeduplicationDecider`, so that its database need not import it.
 */
import type { CustomerId, HolderId, Ms, RequestId, SubmissionId } from '@cranberryyard/protocol'

/** A claim as one of its three holders stores it. */
export interface StoredClaim {
  readonly customer: CustomerId
  readonly requestId: RequestId
  readonly submissionId: SubmissionId
  readonly expiresAt: Ms
}

/** An attempt of this instance to win a claim. */
export interface ClaimAttempt {
  readonly customer: CustomerId
  readonly requestId: RequestId
  readonly submissionId: SubmissionId
  readonly giveUpAt: Ms
  epoch: number
  holders: readonly HolderId[]
  retryAt: Ms
  /** Holders that granted the claim. */
  readonly granted: Set<HolderId>
  /** Holders that refused, each with the submission that already has the claim. */
  readonly taken: Map<HolderId, SubmissionId>
}

/** Result of an attempt. It is undecidable when the votes show neither a winner nor an earlier claimant. */
export type ClaimOutcome =
  | { readonly type: 'won' }
  | { readonly type: 'taken', readonly by: SubmissionId }
  | { readonly type: 'undecidable' }

/** Called when an attempt ends by itself; abandoned attempts are not reported. */
export type ClaimListener = (submissionId: SubmissionId, outcome: ClaimOutcome) => void
