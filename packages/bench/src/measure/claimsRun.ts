/**
 * Measures the share of non-idempotent requests that are served on their first attempt during a long outage of the platform's
 * store. Three scenarios run in memory: all failure domains connected, one instance dead, and one domain cut off.
 */
import type { CallRecord, MemoryFleet } from '../memory/memoryFleet.js'
import { testJob, testKeyHash } from '../memory/workload.js'
import { PLATFORM } from '../memory/link.js'
import { Oracle } from '../fuzz/oracle.js'
import { WARM_UP_MS, makeShapedFleet } from './memoryShape.js'
import { round } from './policyRun.js'
import { OFFICE } from './shapes.js'

/** Length of the outage after the fault has settled. */
const OUTAGE_MS = 300_000
/** Time between the start of outage and fault and the first request, so that the requests meet a fleet that has reacted to the fault. */
const FAULT_SETTLE_MS = 8000
const REQUESTS = 600
const REQUEST_INTERVAL_MS = 400
const CUSTOMER = 'laboratories'

/** Shares of first attempts with a complete answer, and counts of the others. */
export interface ClaimsResult {
  readonly scenario: 'connected' | 'instanceDead' | 'domainCut'
  readonly served: number
  /** Share among the requests that were submitted to instances in `domain-3`, the domain that `domainCut` cuts off. */
  readonly servedInCutDomain: number
  /** Share among the requests that were submitted to instances in the other domains. */
  readonly servedElsewhere: number
  readonly refusedAsNotRun: number
  readonly endedOtherwise: number
}

/** Runs the three scenarios, each on a new fleet with the same seed. */
export function runClaims (seed: number): ClaimsResult[] {
  return (['connected', 'instanceDead', 'domainCut'] as const).map(scenario => runScenario(seed, scenario))
}

function runScenario (seed: number, scenario: ClaimsResult['scenario']): ClaimsResult {
  const fleet = makeShapedFleet(OFFICE, seed, {})
  const oracle = new Oracle(fleet)
  fleet.run(WARM_UP_MS)
  fleet.storeDown = true
  applyFault(fleet, oracle, scenario)
  fleet.run(FAULT_SETTLE_MS)
  const calls: CallRecord[] = []
  const liveNodes = fleet.nodes.filter(n => n.core !== undefined)
  for (let i = 0; i < REQUESTS; i++) {
    const node = liveNodes[i % liveNodes.length]
    const job = testJob(CUSTOMER, `certificate-${i}`, 'serial', [100, 200, 300])
    fleet.time.after(i * REQUEST_INTERVAL_MS, () => node !== undefined && calls.push(fleet.submit(node, testKeyHash(CUSTOMER), CUSTOMER, job)))
  }
  fleet.run(OUTAGE_MS)
  oracle.check()
  return { scenario, ...summarizeCalls(calls, id => fleet.node(id as never)?.domain === 'domain-3') }
}

function applyFault (fleet: MemoryFleet, oracle: Oracle, scenario: ClaimsResult['scenario']): void {
  switch (scenario) {
    case 'connected': return
    case 'instanceDead': {
      const node = fleet.nodes[8]
      if (node === undefined) return
      oracle.noteDeath(node)
      return fleet.kill(node)
    }
    case 'domainCut':
      fleet.links.cut('domain-3', 'domain-1')
      fleet.links.cut('domain-3', 'domain-2')
      fleet.links.cut('domain-3', PLATFORM)
  }
}

function summarizeCalls (calls: readonly CallRecord[], isCut: (instance: string) => boolean): Omit<ClaimsResult, 'scenario'> {
  const isServed = (c: CallRecord): boolean => c.answers[0]?.answer.outcome === 'complete'
  const servedShare = (subset: readonly CallRecord[]): number => subset.length === 0 ? 0 : round(subset.filter(isServed).length / subset.length)
  const refused = calls.filter((c) => {
    const answer = c.answers[0]?.answer
    return c.refusals.length > 0 || (answer?.outcome === 'failed' && answer.ran === 'no')
  }).length
  return {
    served: servedShare(calls),
    servedInCutDomain: servedShare(calls.filter(c => isCut(c.instance))),
    servedElsewhere: servedShare(calls.filter(c => !isCut(c.instance))),
    refusedAsNotRun: refused,
    endedOtherwise: calls.length - calls.filter(isServed).length - refused
  }
}
