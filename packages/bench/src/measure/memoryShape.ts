/**
 * In-memory fleets in a deployment's shape, for measurements.
 */
import type { Contract } from '@cranberryyard/protocol'
import { MemoryFleet } from '../memory/memoryFleet.js'
import { TEAM_KEY_HASH, testContract } from '../memory/workload.js'
import { SLOTS } from './shapes.js'
import type { Shape } from './shapes.js'

/** One way inside a failure domain. */
export const NEAR_MS = 0.2
/** Time for joins and claim voters to settle. */
export const WARM_UP_MS = 6000

/**
 * Makes a fleet in a shape.
 * @param shape - the deployment
 * @param seed - seed of the fleet's randomness
 * @param routing - changes to the routing settings
 * @returns the fleet, not warmed up
 */
export function makeShapedFleet (shape: Shape, seed: number, routing: Record<string, unknown>): MemoryFleet {
  const contracts: Contract[] = shape.customers.map(c => testContract(c.name, c.running))
  return new MemoryFleet({
    seed,
    domains: shape.domains.length,
    instancesPerDomain: shape.instancesPerDomain,
    endpointsPerDomain: shape.endpointsPerDomain,
    endpointSize: { slots: SLOTS, cores: 32, memoryMb: 131_072, accelerators: 0 },
    contracts,
    link: { nearMs: NEAR_MS, farMs: shape.farMs, jitterMs: 0.2, lossPerMille: 0, latePerMille: 0, doublePerMille: 0 },
    settings: { routing },
    teamKeyHash: TEAM_KEY_HASH,
    skewMs: 50
  })
}
