/**
 * Types of the deduplication decision: at most once across resubmissions.
 */
import type { CustomerId, HolderId, Ms, RequestId, SubmissionId } from '@cranberryyard/protocol'

/** A claim kept by one of its three holders. */
export interface StoredClaim {
  readonly customer: CustomerId
  readonly requestId: RequestId
  readonly submissionId: SubmissionId
  readonly expiresAt: Ms
}

/** A claim that this instance is trying to win. */
export interface ClaimAttempt {
  readonly customer: CustomerId
  readonly requestId: RequestId
  readonly submissionId: SubmissionId
  readonly giveUpAt: Ms
  epoch: number
  holders: readonly HolderId[]
  retryAt: Ms
  readonly granted: Set<HolderId>
  readonly taken: Map<HolderId, SubmissionId>
}

/** How an attempt ended. */
export type ClaimOutcome =
  | { readonly type: 'won' }
  | { readonly type: 'taken', readonly by: SubmissionId }
  | { readonly type: 'undecidable' }

/** Told when an attempt ends. */
export type ClaimListener = (submissionId: SubmissionId, outcome: ClaimOutcome) => void
