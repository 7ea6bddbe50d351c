/**
 * Stores the claims that this instance holds, and tracks the import of claims made under earlier voters. It also
 * assigns requests to buckets and buckets to holders, by hashing alone, so that all instances agree without messages.
 */
import type { CustomerId, HolderId, Ms, RequestId, RosterEntry, SubmissionId } from '@cranberryyard/protocol'
import { hash32, rendezvous } from '../utils/rendezvous.js'
import type { ClaimAttempt, StoredClaim } from './types.js'

/** Number of buckets that requests are hashed into. Each bucket has its own holders. */
export const BUCKETS = 256
/** Number of holders of each claim. Two of the three decide, so one holder may fail. */
export const CLAIM_COPIES = 3

/**
 * Finds the bucket of a request.
 * @param customer - the customer that sent the request
 * @param requestId - the caller's id for the request
 * @returns 0 to BUCKETS - 1
 */
export const bucketOf = (customer: CustomerId, requestId: RequestId): number => hash32(`${customer}/${requestId}`) % BUCKETS

/**
 * Chooses the holders of a bucket by rendezvous hashing, in different failure domains as far as there are enough.
 * @param bucket - the bucket
 * @param entries - the roster entries that vote on claims
 * @returns up to CLAIM_COPIES holders
 */
export function holdersOf (bucket: number, entries: readonly RosterEntry[]): HolderId[] {
  const ranked = rendezvous(`claims/${bucket}`, entries, e => e.holder)
  const chosen: RosterEntry[] = []
  for (const entry of ranked) {
    if (chosen.length < CLAIM_COPIES && !chosen.some(c => c.failureDomain === entry.failureDomain)) chosen.push(entry)
  }
  for (const entry of ranked) {
    if (chosen.length < CLAIM_COPIES && !chosen.includes(entry)) chosen.push(entry)
  }
  return chosen.map(e => e.holder)
}

/** @returns the smallest number of votes that is a majority of the holders */
export const majorityOf = (holders: number): number => Math.floor(holders / 2) + 1

/** Holders of all buckets in one voter epoch. */
export class HolderTable {
  private readonly byBucket: readonly (readonly HolderId[])[]

  constructor (readonly epoch: number, entries: readonly RosterEntry[]) {
    this.byBucket = Array.from({ length: BUCKETS }, (_, bucket) => holdersOf(bucket, entries))
  }

  forBucket (bucket: number): readonly HolderId[] {
    return this.byBucket[bucket] ?? []
  }

  /** @returns the buckets that a holder votes on */
  bucketsOf (holder: HolderId): number[] {
    return this.byBucket.flatMap((holders, bucket) => holders.includes(holder) ? [bucket] : [])
  }
}

/** A bucket that this instance became a holder of, while it collects the bucket's claims from the earlier holders. */
export interface BucketImport {
  readonly bucket: number
  readonly sources: readonly HolderId[]
  readonly receivedFrom: Set<HolderId>
  /** Time at which all earlier claims have expired, so that the import is no longer needed. */
  readonly endsAt: Ms
}

/** State of `DeduplicationDecider`. */
export class DeduplicationDb {
  readonly attempts = new Map<SubmissionId, ClaimAttempt>()
  readonly imports = new Map<number, BucketImport>()
  private readonly claims = new Map<string, StoredClaim>()

  /** @returns the claim on a request, unless it has expired */
  get (customer: CustomerId, requestId: RequestId, now: Ms): StoredClaim | undefined {
    const claim = this.claims.get(`${customer}/${requestId}`)
    return claim !== undefined && now < claim.expiresAt ? claim : undefined
  }

  put (claim: StoredClaim): void {
    this.claims.set(`${claim.customer}/${claim.requestId}`, claim)
  }

  /** Removes the claim on a request if the submission holds it; another submission's claim stays. */
  release (customer: CustomerId, requestId: RequestId, submissionId: SubmissionId): void {
    const key = `${customer}/${requestId}`
    if (this.claims.get(key)?.submissionId === submissionId) this.claims.delete(key)
  }

  /** Drops expired claims. */
  expire (now: Ms): void {
    for (const [key, claim] of this.claims) if (now >= claim.expiresAt) this.claims.delete(key)
  }

  /** @returns the claims in the given buckets that have not expired */
  inBuckets (buckets: ReadonlySet<number>, now: Ms): StoredClaim[] {
    return [...this.claims.values()].filter(c => now < c.expiresAt && buckets.has(bucketOf(c.customer, c.requestId)))
  }

  /** @returns number of stored claims, including expired ones that have not been dropped yet */
  size (): number {
    return this.claims.size
  }
}
