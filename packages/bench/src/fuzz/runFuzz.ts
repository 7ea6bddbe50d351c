/**
 * Runs the stateful fuzzer. The seed determines every run, each run has a new fleet, and fast-check shrinks a failing
 * command sequence to a short one. Traces use the same fleet and the same end of a run, without the generated commands.
 */
import fc from 'fast-check'
import type { Parameters } from 'fast-check'
import { MemoryFleet } from '../memory/memoryFleet.js'
import { TEAM_KEY_HASH, testContract } from '../memory/workload.js'
import { COMMANDS, FUZZ_CUSTOMERS } from './commands.js'
import type { Model, SystemUnderTest } from './commands.js'
import { Oracle } from './oracle.js'

/** Time for the instances to join before the first command. */
const WARM_UP_MS = 6000
/** Time after the last fault in which every call must end. It covers late jobs, waits after removals, and lease expiry. */
const QUIESCE_MS = 260_000
/** The oracle checks the fleet after each step of this length. */
const QUIESCE_STEP_MS = 5000

/** Options of a fuzz run. */
export interface FuzzOptions {
  readonly seed: number
  readonly runs: number
  readonly commandsMax: number
  /** Path of a failed run to replay, as fast-check reported it. */
  readonly path?: string
  /** Stops at the first failure without shrinking. */
  readonly endOnFailure?: boolean
}

/** How a fuzz run ended. */
export interface FuzzOutcome {
  readonly failed: boolean
  readonly runs: number
  /** Message of the violation; empty when there was none. */
  readonly reason: string
  readonly report: string
}

/** How many instances schedule jobs: one, some, or every instance its own. More schedulers contend more for permits. */
export const SCHEDULING_MODES = ['one', 'some', 'each'] as const

/** One of the scheduling modes. */
export type SchedulingMode = typeof SCHEDULING_MODES[number]

const ROUTING_BY_MODE: Readonly<Record<SchedulingMode, Record<string, unknown>>> = {
  one: {},
  some: { expectedStartsPerSecond: 18_000 },
  each: { policy: 'twoChoices' }
}

/**
 * Creates a fleet and its oracle, and lets the instances join.
 * @param seed - seed of the fleet's random numbers
 * @param mode - how many instances schedule
 * @returns the fleet after the warm-up, with its oracle
 */
export function makeSystem (seed: number, mode: SchedulingMode = 'one'): SystemUnderTest {
  const fleet = new MemoryFleet({
    seed,
    domains: 3,
    instancesPerDomain: 3,
    endpointsPerDomain: 2,
    endpointSize: { slots: 8, cores: 32, memoryMb: 131_072, accelerators: 0 },
    contracts: FUZZ_CUSTOMERS.map(c => testContract(c.name, c.running)),
    link: { nearMs: 0.3, farMs: 1.5, jitterMs: 3, lossPerMille: 0, latePerMille: 0, doublePerMille: 0 },
    teamKeyHash: TEAM_KEY_HASH,
    settings: { routing: ROUTING_BY_MODE[mode] },
    skewMs: 100
  })
  const oracle = new Oracle(fleet)
  fleet.run(WARM_UP_MS)
  return { fleet, oracle }
}

/** Ends all faults, waits until every call has ended, and runs the final checks of the oracle. */
export function quiesce (system: SystemUnderTest): void {
  const { fleet, oracle } = system
  fleet.heal()
  Object.assign(fleet.links.profile, { lossPerMille: 0, latePerMille: 0, doublePerMille: 0 })
  fleet.storeDown = false
  fleet.loseStoreReplies = 0
  fleet.brokenStartsPerMille = 0
  fleet.startDelayMs = 0
  for (const e of fleet.endpoints) e.model.misbehaviour = 'none'
  for (let t = 0; t < QUIESCE_MS; t += QUIESCE_STEP_MS) {
    fleet.run(QUIESCE_STEP_MS)
    oracle.check()
    const hasOpenCall = fleet.calls.some(c => c.answers.length + c.refusals.length === 0)
    if (!hasOpenCall && t > 2 * QUIESCE_STEP_MS) break
  }
  oracle.checkEnd()
}

/**
 * Runs the fuzzer.
 * @param options - seed, number of runs, length
 * @returns whether an invariant was violated, with the shrunk command sequence
 */
export async function runFuzz (options: FuzzOptions): Promise<FuzzOutcome> {
  const { seed, runs, commandsMax, path, endOnFailure = false } = options
  const property = fc.asyncProperty(fc.nat(0xffff), fc.commands(COMMANDS, { maxCommands: commandsMax, size: 'max' }), async (fleetSeed, commands) => {
    const system = makeSystem(fleetSeed, SCHEDULING_MODES[fleetSeed % SCHEDULING_MODES.length])
    const model: Model = {}
    await fc.asyncModelRun(() => ({ model, real: system }), commands)
    quiesce(system)
  })
  const parameters: Parameters<[number, Iterable<never>]> = { seed, numRuns: runs, ...(path === undefined ? {} : { path }), endOnFailure }
  const details = await fc.check(property, parameters as never)
  const report = details.failed ? fc.defaultReportMessage(details) ?? '' : ''
  const reason = details.errorInstance instanceof Error ? details.errorInstance.message : ''
  return { failed: details.failed, runs: details.numRuns, reason, report }
}
