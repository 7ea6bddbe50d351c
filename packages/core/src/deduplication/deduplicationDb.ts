/**
 * Claims kept here, by bucket, and what is known of claims made under earlier rosters.
 */
import type { CustomerId, HolderId, Ms, RequestId, RosterEntry, SubmissionId } from '@cranberryyard/protocol'
import { hash32, rendezvous } from '../utils/rendezvous.js'
import type { ClaimAttempt, StoredClaim } from './types.js'

/** Requests are spread over this many buckets; each has its own holders. */
export const BUCKETS = 256
/** Copies of every claim. Two of three decide, so one may be lost. */
export const CLAIM_COPIES = 3

/**
 * Finds the bucket of a request.
 * @param customer - whose request
 * @param requestId - the caller's id
 * @returns 0 to BUCKETS - 1
 */
export const bucketOf = (customer: CustomerId, requestId: RequestId): number => hash32(`${customer}/${requestId}`) % BUCKETS

/**
 * Chooses the holders of a bucket, in different failure domains as far as there are enough.
 * @param bucket - the bucket
 * @param entries - the roster
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

/** @returns how many holders must agree */
export const majorityOf = (holders: number): number => Math.floor(holders / 2) + 1

/** Holders of all buckets under one roster. */
export class HolderTable {
  private readonly byBucket: readonly (readonly HolderId[])[]

  constructor (readonly epoch: number, entries: readonly RosterEntry[]) {
    this.byBucket = Array.from({ length: BUCKETS }, (_, bucket) => holdersOf(bucket, entries))
  }

  /** @returns the holders of a bucket */
  of (bucket: number): readonly HolderId[] {
    return this.byBucket[bucket] ?? []
  }

  /** @returns the buckets a holder keeps */
  bucketsOf (holder: HolderId): number[] {
    return this.byBucket.flatMap((holders, bucket) => holders.includes(holder) ? [bucket] : [])
  }
}

/** A bucket that this instance took over and whose earlier claims it is collecting. */
export interface BucketImport {
  readonly bucket: number
  readonly sources: readonly HolderId[]
  readonly received: Set<HolderId>
  /** After this time every earlier claim has passed its window. */
  readonly endsAt: Ms
}

/** State of the deduplication decision. */
export class DeduplicationDb {
  readonly attempts = new Map<SubmissionId, ClaimAttempt>()
  readonly imports = new Map<number, BucketImport>()
  private readonly claims = new Map<string, StoredClaim>()

  /** @returns the live claim on a request, if any */
  get (customer: CustomerId, requestId: RequestId, now: Ms): StoredClaim | undefined {
    const claim = this.claims.get(`${customer}/${requestId}`)
    return claim !== undefined && now < claim.expiresAt ? claim : undefined
  }

  /** Stores a claim. */
  put (claim: StoredClaim): void {
    this.claims.set(`${claim.customer}/${claim.requestId}`, claim)
  }

  /** Removes a claim if it belongs to a submission. */
  release (customer: CustomerId, requestId: RequestId, submissionId: SubmissionId): void {
    const key = `${customer}/${requestId}`
    if (this.claims.get(key)?.submissionId === submissionId) this.claims.delete(key)
  }

  /** Drops claims whose window has passed; insertion order is close to expiry order. */
  expire (now: Ms): void {
    for (const [key, claim] of this.claims) if (now >= claim.expiresAt) this.claims.delete(key)
  }

  /** @returns live claims of some buckets */
  inBuckets (buckets: ReadonlySet<number>, now: Ms): StoredClaim[] {
    return [...this.claims.values()].filter(c => now < c.expiresAt && buckets.has(bucketOf(c.customer, c.requestId)))
  }

  /** @returns number of claims kept */
  size (): number {
    return this.claims.size
  }
}
