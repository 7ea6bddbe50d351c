/**
 * Types of the evacuation decision: what this instance knows of each domain that operators have emptied, and what it asks and
 * tells the rest of the instance.
 */
import type { FailureDomain, Ms } from '@cranberryyard/protocol'

/** A failure domain that gets no new work. */
export interface EvacuatedDomain {
  /** When this instance learned of the evacuation. */
  readonly since: Ms
  /** Revision of the store as of which it did. */
  readonly revision: number
  /** When this instance last sent a start to the domain since then. */
  lastStartAt: Ms | undefined
  /** It was reported that nothing here belongs to a domain of this name. */
  reportedUnknown: boolean
}

/** The domains that differ between two revisions. */
export interface EvacuationChange {
  readonly evacuated: readonly FailureDomain[]
  readonly ended: readonly FailureDomain[]
}

/** Connects the decision with the rest of the instance. */
export interface EvacuationPorts {
  /** Returns whether an owner or endpoints of the domain are known. */
  domainKnown (failureDomain: FailureDomain): boolean
  /** Called when domains were evacuated or taken back. @param source - the peer that told it, or `store` */
  changed (change: EvacuationChange, source: string): void
}
