/**
 * State of the evacuation decision: the newest set of evacuated domains that is known here. `EvacuationDecider` replaces it as a whole.
 */
import type { Evacuations, FailureDomain, Ms } from '@cranberryyard/protocol'
import type { EvacuatedDomain, EvacuationChange } from './types.js'

/** The evacuations in force. */
export class EvacuationDb {
  private current: Evacuations | undefined
  private readonly domains = new Map<FailureDomain, EvacuatedDomain>()

  /** The newest evacuations; undefined before any are known. */
  get inForce (): Evacuations | undefined {
    return this.current
  }

  /** Returns what is known of an evacuated domain; undefined if the domain gets work. */
  get (failureDomain: FailureDomain): EvacuatedDomain | undefined {
    return this.domains.get(failureDomain)
  }

  /** Returns the evacuated domains with what is known of them. */
  entries (): IterableIterator<[FailureDomain, EvacuatedDomain]> {
    return this.domains.entries()
  }

  /** The number of evacuated domains. */
  get size (): number {
    return this.domains.size
  }

  /** Returns which domains another set adds and ends. */
  changeTo ({ domains }: Evacuations): EvacuationChange {
    const listed = new Set(domains)
    return {
      evacuated: [...listed].filter(domain => !this.domains.has(domain)),
      ended: [...this.domains.keys()].filter(domain => !listed.has(domain))
    }
  }

  /** Replaces the set. A domain that is in both keeps what is known of it. */
  replace (evacuations: Evacuations, { evacuated, ended }: EvacuationChange, now: Ms): void {
    this.current = evacuations
    for (const domain of ended) this.domains.delete(domain)
    for (const domain of evacuated) this.domains.set(domain, { since: now, revision: evacuations.revision, lastStartAt: undefined, reportedUnknown: false })
  }
}
