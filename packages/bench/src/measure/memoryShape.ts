/**
 * Builds in-memory fleets with the size, delays and customers of a deployment. All measurements in memory share this
 * module, so that their figures refer to the same fleets.
 */
import type { Contract } from '@cranberryyard/protocol'
import { MemoryFleet } from '../memory/memoryFleet.js'
import { TEAM_KEY_HASH, testContract } from '../memory/workload.js'
import { SLOTS_PER_ENDPOINT } from './shapes.js'
import type { Shape } from './shapes.js'

/** One-way delay inside a failure domain. */
export const SAME_DOMAIN_DELAY_MS = 0.2
/** Time in which all instances join and the claim voters are settled, before anything is measured. */
export const WARM_UP_MS = 6000

/**
 * Makes a fleet for a deployment.
 * @param shape - size, delays and customers of the deployment
 * @param seed - seed of the fleet's randomness
 * @param routing - routing settings that differ from the defaults
 * @returns the fleet; the caller runs it for `WARM_UP_MS` before it measures
 */
export function makeShapedFleet (shape: Shape, seed: number, routing: Record<string, unknown>): MemoryFleet {
  const contracts: Contract[] = shape.customers.map(c => testContract(c.name, c.running))
  return new MemoryFleet({
    seed,
    domains: shape.domains.length,
    instancesPerDomain: shape.instancesPerDomain,
    endpointsPerDomain: shape.endpointsPerDomain,
    endpointSize: { slots: SLOTS_PER_ENDPOINT, cores: 32, memoryMb: 131_072, accelerators: 0 },
    contracts,
    link: { nearMs: SAME_DOMAIN_DELAY_MS, farMs: shape.crossDomainDelayMs, jitterMs: 0.2, lossPerMille: 0, latePerMille: 0, doublePerMille: 0 },
    settings: { routing },
    teamKeyHash: TEAM_KEY_HASH,
    skewMs: 50
  })
}
