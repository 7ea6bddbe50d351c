/**
 * This instance's copy of the store's list of endpoints: the entries, how fresh they are, and when one is removed.
 * The store's list is read at intervals, lags behind, and for a while after a store outage leaves out endpoints that still
 * exist. An endpoint is therefore removed only after lists have left it out for `missingEndpointRetentionMs`.
 */
import type { EndpointId, EndpointReport, FailureDomain, Ms } from '@cranberryyard/protocol'
import type { ShardContext } from '../shard/types.js'

/** How long after an entry went missing others that were cut off at the same time may follow: a ping period of the endpoints, with some slack. */
const OTHERS_FOLLOW_MS = 2000
/** Share of a failure domain's entries above which missing entries are put down to the store, not to the endpoints. */
const LOST_BY_STORE_SHARE = 1 / 3

/** The latest entry of an endpoint. */
interface ListEntry {
  readonly report: EndpointReport
  /** When a list first left the endpoint out; a store outage restarts this span. */
  missingSince: Ms | undefined
}

/** The endpoints of all failure domains, as the store listed them. */
export class EndpointList {
  private readonly entries = new Map<EndpointId, ListEntry>()
  private lastFreshAt: Ms | undefined
  private firstReadAt: Ms | undefined
  private completeSince: Ms | undefined
  /** Since when the store has answered, as far as is known here. */
  private storeReachableSince: Ms | undefined
  private lastMissedAt = -Infinity
  /** When an endpoint of the failure domain was last added, by a list after the first, or removed. */
  private readonly changedAt = new Map<FailureDomain, Ms>()

  constructor (private readonly ctx: ShardContext, private readonly onRemoved: (id: EndpointId) => void) {}

  /** When this instance last read the list as an owner, not from a copy that may be old. */
  get freshAt (): Ms | undefined {
    return this.lastFreshAt
  }

  /**
   * When the list was first read at least `missingEndpointRetentionMs` after the first read. Entries that had lapsed
   * before the first read have had time to come back by then. Undefined before that.
   */
  get knownInFullSince (): Ms | undefined {
    return this.completeSince
  }

  /**
   * Returns whether an endpoint of the failure domain was added or removed after the given time. One that was removed may still exist and run
   * tasks, since its entry may have lapsed twice, at the times at which the list was read. One that was added may have been missing for the same
   * reason, and others may still be missing.
   */
  changedAfter (failureDomain: FailureDomain, time: number): boolean {
    return (this.changedAt.get(failureDomain) ?? -Infinity) > time
  }

  /** Returns whether no endpoint is known, as before the first list. */
  isEmpty (): boolean {
    return this.entries.size === 0
  }

  /** Returns the endpoints of a failure domain. */
  inFailureDomain (failureDomain: FailureDomain): EndpointReport[] {
    return this.reports().filter(report => report.failureDomain === failureDomain)
  }

  /** Returns the endpoints of all failure domains. */
  reports (): EndpointReport[] {
    return [...this.entries.values()].map(entry => entry.report)
  }

  /** Adds endpoints that a peer knows, of failure domains of which none is known here, so that they can be passed on. */
  learn (reports: readonly EndpointReport[]): void {
    const known = new Set(this.reports().map(report => report.failureDomain))
    for (const report of reports) if (!known.has(report.failureDomain)) this.entries.set(report.id, { report, missingSince: undefined })
  }

  /** Adds endpoints that the owner of their failure domain has handed over; the store's list may lack some of them. */
  learnFromOwner (reports: readonly EndpointReport[]): void {
    for (const report of reports) if (!this.entries.has(report.id)) this.entries.set(report.id, { report, missingSince: undefined })
  }

  /**
   * Applies a list that was read from the store.
   * @param reports - the entries of the list
   * @param fresh - true when the list was read as an owner, not from a copy that may be old
   */
  applyList (reports: readonly EndpointReport[], fresh: boolean): void {
    const { now, cfg } = this.ctx
    const listedIds = new Set<EndpointId>()
    if (fresh) this.lastFreshAt = now
    const isFirst = this.firstReadAt === undefined
    this.firstReadAt ??= now
    this.storeReachableSince ??= now
    if (now - this.firstReadAt >= cfg.missingEndpointRetentionMs) this.completeSince ??= now
    for (const report of reports) {
      listedIds.add(report.id)
      if (!isFirst && !this.entries.has(report.id)) this.changedAt.set(report.failureDomain, now)
      this.entries.set(report.id, { report, missingSince: undefined })
    }
    for (const [id, entry] of this.entries) {
      if (!listedIds.has(id)) this.removeIfExpired(id, entry)
    }
  }

  /** Called when the store is reachable again: entries that it lost meanwhile get the whole span to come back. */
  storeReachableAgain (): void {
    this.storeReachableSince = this.ctx.now
    for (const entry of this.entries.values()) {
      if (entry.missingSince !== undefined) entry.missingSince = this.ctx.now
    }
  }

  /**
   * Returns the endpoints that the latest list lacks although the store has answered for so long that it shows what reaches it. They are cut off from the
   * store, so nobody hears whether they drain or shrink. When many of a domain are missing at once, it is the store that has lost their entries.
   */
  cutOffFromStore (): ReadonlySet<EndpointId> {
    const { now, cfg } = this.ctx
    if (this.storeReachableSince === undefined || now - this.storeReachableSince < cfg.missingEndpointRetentionMs) return new Set()
    const known = new Map<FailureDomain, number>()
    const missing = new Map<FailureDomain, EndpointId[]>()
    for (const [id, { report: { failureDomain }, missingSince }] of this.entries) {
      known.set(failureDomain, (known.get(failureDomain) ?? 0) + 1)
      if (missingSince !== undefined) missing.set(failureDomain, [...missing.get(failureDomain) ?? [], id])
    }
    return new Set([...missing].filter(([failureDomain, ids]) => ids.length <= (known.get(failureDomain) ?? 0) * LOST_BY_STORE_SHARE).flatMap(([, ids]) => ids))
  }

  /** Returns whether entries have just gone missing, so that the list should be read more often. */
  isLosingEntries (): boolean {
    return this.ctx.now - this.lastMissedAt < OTHERS_FOLLOW_MS
  }

  /**
   * Removes an endpoint that lists have left out for `missingEndpointRetentionMs`. This is checked only when a list is read,
   * because time without any list proves nothing.
   */
  private removeIfExpired (id: EndpointId, entry: ListEntry): void {
    const { now, cfg, out } = this.ctx
    if (entry.missingSince === undefined) this.lastMissedAt = now
    entry.missingSince ??= now
    const missingMs = now - entry.missingSince
    if (missingMs < cfg.missingEndpointRetentionMs) return
    this.entries.delete(id)
    this.changedAt.set(entry.report.failureDomain, now)
    out.log('endpoint.gone', { endpoint: id, shard: entry.report.failureDomain, missingMs: Math.round(missingMs) })
    this.onRemoved(id)
  }
}
