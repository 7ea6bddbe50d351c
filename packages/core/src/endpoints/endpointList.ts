/**
 * The store's list of endpoints as this instance knows it: entries, how fresh they are, and which endpoints are gone.
 * The list is read at intervals, lags, and leaves out endpoints for a while after the store was away.
 */
import type { EndpointId, EndpointReport, FailureDomain, Ms } from '@cranberryyard/protocol'
import type { ShardContext } from '../shard/types.js'

/** An endpoint's latest entry in the list. */
interface ListEntry {
  readonly report: EndpointReport
  /** When a list first left it out; lists from before the store was away do not count. */
  missingSince: Ms | undefined
}

/** The list. */
export class EndpointList {
  private readonly entries = new Map<EndpointId, ListEntry>()
  private lastFreshAt: Ms | undefined
  private firstReadAt: Ms | undefined
  private completeSince: Ms | undefined

  constructor (private readonly ctx: ShardContext, private readonly onGone: (id: EndpointId) => void) {}

  /** When a list was last read that was not older than this instance's ownership. */
  get freshAt (): Ms | undefined {
    return this.lastFreshAt
  }

  /** When the list was first read with all entries that had lapsed before; undefined before that. */
  get knownInFullSince (): Ms | undefined {
    return this.completeSince
  }

  /** @returns a failure domain's endpoints */
  of (failureDomain: FailureDomain): EndpointReport[] {
    return [...this.entries.values()].map(entry => entry.report).filter(report => report.failureDomain === failureDomain)
  }

  /**
   * Takes a list that was read from the store.
   * @param reports - its entries
   * @param fresh - whether it was read as an owner, not from a copy that may be old
   */
  take (reports: readonly EndpointReport[], fresh: boolean): void {
    const { now, cfg } = this.ctx
    const shown = new Set<EndpointId>()
    if (fresh) this.lastFreshAt = now
    this.firstReadAt ??= now
    if (now - this.firstReadAt >= cfg.missingMs) this.completeSince ??= now
    for (const report of reports) {
      shown.add(report.id)
      this.entries.set(report.id, { report, missingSince: undefined })
    }
    for (const [id, entry] of this.entries) {
      if (!shown.has(id)) this.missing(id, entry)
    }
  }

  /** The store is back: entries that lapsed meanwhile get the whole span to come back. */
  storeRegained (): void {
    for (const entry of this.entries.values()) {
      if (entry.missingSince !== undefined) entry.missingSince = this.ctx.now
    }
  }

  /** An endpoint counts as gone when lists over a whole span do not show it; a span without any list says nothing. */
  private missing (id: EndpointId, entry: ListEntry): void {
    const { now, cfg, out } = this.ctx
    entry.missingSince ??= now
    const missingMs = now - entry.missingSince
    if (missingMs < cfg.missingMs) return
    this.entries.delete(id)
    out.log('endpoint.gone', { endpoint: id, failureDomain: entry.report.failureDomain, missingMs: Math.round(missingMs) })
    this.onGone(id)
  }
}
