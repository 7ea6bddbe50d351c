/**
 * Which share of first attempts of non-idempotent requests is served in a long outage of the platform's store,
 * with all domains connected, with one instance dead, and with one domain cut off.
 */
import type { CallRecord, MemoryFleet } from '../memory/memoryFleet.js'
import { testJob, testKeyHash } from '../memory/workload.js'
import { PLATFORM } from '../memory/link.js'
import { Oracle } from '../fuzz/oracle.js'
import { WARM_UP_MS, makeShapedFleet } from './memoryShape.js'
import { round } from './policyRun.js'
import { OFFICE } from './shapes.js'

const OUTAGE_MS = 300_000
const SETTLE_MS = 8000
const REQUESTS = 600
const GAP_MS = 400
const CUSTOMER = 'laboratories'

/** Share of first attempts with a complete answer. */
export interface ClaimsResult {
  readonly scenario: 'connected' | 'instanceDead' | 'domainCut'
  readonly served: number
  /** Of requests that reached an instance of the cut-off domain. */
  readonly servedInCutDomain: number
  /** Of requests that reached the others. */
  readonly servedElsewhere: number
  readonly refusedAsNotRun: number
  readonly endedOtherwise: number
}

/** Measures the three scenarios. */
export function runClaims (seed: number): ClaimsResult[] {
  return (['connected', 'instanceDead', 'domainCut'] as const).map(scenario => runScenario(seed, scenario))
}

function runScenario (seed: number, scenario: ClaimsResult['scenario']): ClaimsResult {
  const fleet = makeShapedFleet(OFFICE, seed, {})
  const oracle = new Oracle(fleet)
  fleet.run(WARM_UP_MS)
  fleet.storeDown = true
  applyFault(fleet, oracle, scenario)
  fleet.run(SETTLE_MS)
  const calls: CallRecord[] = []
  const live = fleet.nodes.filter(n => n.core !== undefined)
  for (let i = 0; i < REQUESTS; i++) {
    const node = live[i % live.length]
    const job = testJob(CUSTOMER, `certificate-${i}`, 'serial', [100, 200, 300])
    fleet.time.after(i * GAP_MS, () => node !== undefined && calls.push(fleet.submit(node, testKeyHash(CUSTOMER), CUSTOMER, job)))
  }
  fleet.run(OUTAGE_MS)
  oracle.check()
  return { scenario, ...count(calls, id => fleet.node(id as never)?.domain === 'domain-3') }
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

function count (calls: readonly CallRecord[], isCut: (instance: string) => boolean): Omit<ClaimsResult, 'scenario'> {
  const isServed = (c: CallRecord): boolean => c.answers[0]?.answer.outcome === 'complete'
  const part = (set: readonly CallRecord[]): number => set.length === 0 ? 0 : round(set.filter(isServed).length / set.length)
  const refused = calls.filter((c) => {
    const answer = c.answers[0]?.answer
    return c.refusals.length > 0 || (answer?.outcome === 'failed' && answer.ran === 'no')
  }).length
  return {
    served: part(calls),
    servedInCutDomain: part(calls.filter(c => isCut(c.instance))),
    servedElsewhere: part(calls.filter(c => !isCut(c.instance))),
    refusedAsNotRun: refused,
    endedOtherwise: calls.length - calls.filter(isServed).length - refused
  }
}
