/**
 * State of the placement decision: how far each endpoint is trusted, judged by its recent runs.
 */
import type { EndpointId } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { EndpointTrust } from './types.js'

/** Pause before a quarantined endpoint gets its first trial task. */
export const FIRST_TRIAL_PAUSE_MS = ms(600)

/** Trust records by endpoint. */
export class PlacementDb {
  private readonly trust = new Map<EndpointId, EndpointTrust>()

  /** @returns the endpoint's trust record; a new endpoint starts with full trust */
  trustOf (id: EndpointId): EndpointTrust {
    const known = this.trust.get(id)
    if (known !== undefined) return known
    const fresh: EndpointTrust = { slowness: 1, failures: 0, soundAt: ms(0), quarantined: false, trialAt: ms(0), trialPauseMs: FIRST_TRIAL_PAUSE_MS }
    this.trust.set(id, fresh)
    return fresh
  }

  /** Forgets an endpoint; its next incarnation starts with full trust. */
  forget (id: EndpointId): void {
    this.trust.delete(id)
  }
}
