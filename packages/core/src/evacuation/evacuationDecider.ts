/**
 * Decides which failure domains get no new work because operators have emptied them. The store is the only source; peers pass on what
 * they know of it with their pings and pongs, which reaches instances that the store does not serve. Each report is the complete set
 * as of a revision, and the highest revision wins. An instance that missed an evacuation, its end and a new one thus ends up with the
 * set in force, and a report that arrives late brings nothing back. Before any report, no domain is evacuated.
 */
import type { Evacuations, FailureDomain } from '@cranberryyard/protocol'
import type { ShardContext } from '../shard/types.js'
import { EvacuationDb } from './evacuationDb.js'
import type { EvacuationPorts } from './types.js'

/** Time to learn of the owners and endpoints of a domain, after which an evacuation of none is reported. */
const DOMAIN_KNOWN_MS = 5000

/** Keeps the evacuations that are in force. */
export class EvacuationDecider {
  readonly db = new EvacuationDb()

  constructor (private readonly ctx: ShardContext, private readonly ports: EvacuationPorts) {}

  /**
   * Replaces the evacuations by newer ones.
   * @param source - the peer that told them, or `store`
   */
  learn (evacuations: Evacuations, source: string): void {
    const { inForce } = this.db
    if (inForce !== undefined && evacuations.revision <= inForce.revision) return
    const change = this.db.changeTo(evacuations)
    for (const domain of change.ended) this.logEnd(domain, evacuations.revision, source)
    this.db.replace(evacuations, change, this.ctx.now)
    for (const domain of change.evacuated) this.logStart(domain, evacuations.revision, inForce?.revision, source)
    if (change.evacuated.length + change.ended.length === 0) return
    this.ctx.out.setGauge('shard.evacuatedDomains', this.db.size)
    this.ports.changed(change, source)
  }

  /** Returns whether a domain gets no new work. */
  isEvacuated (failureDomain: FailureDomain): boolean {
    return this.db.get(failureDomain) !== undefined
  }

  /** Returns the evacuations that this instance passes on; undefined while it knows none. */
  inForce (): Evacuations | undefined {
    return this.db.inForce
  }

  /** A start was sent to a domain. After the evacuation was learned, it should not have been. */
  startSent (failureDomain: FailureDomain): void {
    const { now, out } = this.ctx
    const domain = this.db.get(failureDomain)
    if (domain === undefined) return
    domain.lastStartAt = now
    const afterMs = Math.round(now - domain.since)
    out.setGauge('shard.evacuation.lastStartMs', afterMs)
    out.log('evacuation.started', { shard: failureDomain, revision: domain.revision, afterMs }, 'warn')
  }

  /** Reports evacuated domains to which nothing belongs here, such as those with a misspelt name. They change nothing. */
  tick (): void {
    const { now, out } = this.ctx
    for (const [shard, domain] of this.db.entries()) {
      if (domain.reportedUnknown || now - domain.since < DOMAIN_KNOWN_MS || this.ports.domainKnown(shard)) continue
      domain.reportedUnknown = true
      out.count('shard.evacuations.unknownDomains')
      out.log('evacuation.unknownDomain', { shard, revision: domain.revision }, 'warn')
    }
  }

  private logStart (shard: FailureDomain, revision: number, before: number | undefined, source: string): void {
    const { out } = this.ctx
    out.count('shard.evacuations.learned')
    out.setGauge('shard.evacuation.lastStartMs', 0)
    out.log('evacuation.learned', { shard, revision, before, source })
  }

  private logEnd (shard: FailureDomain, revision: number, source: string): void {
    const { out, now } = this.ctx
    const domain = this.db.get(shard)
    if (domain === undefined) return
    out.count('shard.evacuations.ended')
    out.log('evacuation.ended', { shard, revision, evacuatedAt: domain.revision, source, ageMs: Math.round(now - domain.since), lastStartMs: domain.lastStartAt === undefined ? undefined : Math.round(domain.lastStartAt - domain.since) })
  }
}
