/**
 * Decides whether a new owner knows all runs that earlier owners of its shard started for a job. Until then nothing of the job
 * starts, so that no task runs twice at the same time.
 */
import type { DispatchOrder, EndpointId } from '@cranberryyard/protocol'
import type { EndpointList } from '../endpoints/endpointList.js'
import type { EndpointSets } from '../endpoints/endpointSets.js'
import type { EndpointsDecider } from '../endpoints/endpointsDecider.js'
import type { OwnedJob } from '../execution/types.js'
import type { OwnershipDecider } from '../ownership/ownershipDecider.js'
import type { ShardContext } from './types.js'

/** A list to which endpoints were added, or from which they were removed, within this time before a takeover or since may lack some that run tasks of the earlier owner. */
const LIST_DOUBT_MS = 5000

/** What the decision depends on. */
export interface EarlierRunsParts {
  readonly ownership: OwnershipDecider
  readonly endpoints: EndpointsDecider
  readonly endpointList: EndpointList
  readonly endpointSets: EndpointSets
}

/** Compares the endpoints of earlier owners with those that have answered under the present token. */
export class EarlierRuns {
  constructor (private readonly ctx: ShardContext, private readonly parts: EarlierRunsParts) {}

  /**
   * Returns whether this owner knows all runs that earlier owners started for a job. They are known once every endpoint of this owner and of the
   * earlier ones has answered a hold under the present token, and have ended once their leases have expired. Until the list is complete and has been
   * read since the takeover, an earlier owner may have used endpoints that this one does not know and on which no token
   * fences it. Nor does one at an endpoint that has not answered: an earlier owner renews the lease there until the front sends the job here.
   */
  areKnown ({ failureDomain, receivedAt, order }: OwnedJob): boolean {
    const { now, cfg } = this.ctx
    const { ownership, endpointList } = this.parts
    const owned = ownership.db.owned.get(failureDomain)
    const { knownInFullSince, freshAt } = endpointList
    if (owned === undefined || knownInFullSince === undefined) return false
    const leasesEndMs = cfg.supersededMs + cfg.leaseMs * (1 + cfg.clockDrift) + cfg.leaseSlackMs
    const allHaveAnswered = endpointList.inFailureDomain(failureDomain).every(({ id }) => this.hasAnswered(id)) && this.earlierEndpointsHaveAnswered(order)
    if (now - Math.max(owned.since, knownInFullSince) > leasesEndMs) return allHaveAnswered || now - Math.max(owned.tokenSince, receivedAt) > leasesEndMs
    // A list that became complete only with this takeover may lack endpoints that lapsed at both of its reads.
    if (freshAt === undefined || freshAt < owned.since || knownInFullSince >= owned.since) return false
    if (endpointList.changedAfter(failureDomain, owned.since - LIST_DOUBT_MS)) return false
    return allHaveAnswered
  }

  private hasAnswered (id: EndpointId): boolean {
    return this.parts.endpoints.db.get(id)?.answeredUnderToken === true
  }

  /**
   * Returns whether the endpoints of all earlier owners of a job are known here and have answered. The list alone does not show this: an owner goes on
   * with the runs at an endpoint whose entry is missing, and an instance that started meanwhile has never seen that entry.
   */
  private earlierEndpointsHaveAnswered ({ earlierEndpoints }: DispatchOrder): boolean {
    return earlierEndpoints?.every((digest) => {
      const ids = this.parts.endpointSets.get(digest)
      return ids !== undefined && [...ids].every(id => this.hasAnswered(id))
    }) === true
  }
}
