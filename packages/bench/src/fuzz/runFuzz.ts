/**
 * Runs the stateful fuzzer: fixed seed, fresh fleet for each run, shrinking to a short trace.
 */
import fc from 'fast-check'
import type { Parameters } from 'fast-check'
import { MemoryFleet } from '../memory/memoryFleet.js'
import { TEAM_KEY_HASH, testContract } from '../memory/workload.js'
import { COMMANDS, FUZZ_CUSTOMERS } from './commands.js'
import type { Model, World } from './commands.js'
import { Oracle } from './oracle.js'

/** Time for joins before commands begin. */
const WARM_UP_MS = 6000
/** Time after the last fault in which every call must end: late jobs, waits after removals, lease ends. */
const QUIESCE_MS = 260_000
/** Step of quiescing, so that promises are checked on the way. */
const QUIESCE_STEP_MS = 5000

/** What to run. */
export interface FuzzOptions {
  readonly seed: number
  readonly runs: number
  readonly commandsMax: number
  /** Replays one path of a failed run. */
  readonly path?: string
  /** Stops at the first failure without shrinking. */
  readonly endOnFailure?: boolean
}

/** How a fuzz run ended. */
export interface FuzzOutcome {
  readonly failed: boolean
  readonly runs: number
  /** What the oracle said. */
  readonly reason: string
  readonly report: string
}

/** How many instances schedule: one, some, or each its own jobs. The more do, the more permits are contended for. */
export const SCHEDULING_MODES = ['one', 'some', 'each'] as const

/** One of them. */
export type SchedulingMode = typeof SCHEDULING_MODES[number]

const MODE_ROUTING: Readonly<Record<SchedulingMode, Record<string, unknown>>> = {
  one: {},
  some: { expectedStartsPerSecond: 18_000 },
  each: { policy: 'twoChoices' }
}

/**
 * Makes a fleet and its oracle.
 * @param seed - seed of the fleet's own randomness
 * @param mode - how many instances schedule
 * @returns the world, warmed up
 */
export function makeWorld (seed: number, mode: SchedulingMode = 'one'): World {
  const fleet = new MemoryFleet({
    seed,
    domains: 3,
    instancesPerDomain: 3,
    endpointsPerDomain: 2,
    endpointSize: { slots: 8, cores: 32, memoryMb: 131_072, accelerators: 0 },
    contracts: FUZZ_CUSTOMERS.map(c => testContract(c.name, c.running)),
    link: { nearMs: 0.3, farMs: 1.5, jitterMs: 3, lossPerMille: 0, latePerMille: 0, doublePerMille: 0 },
    teamKeyHash: TEAM_KEY_HASH,
    settings: { routing: MODE_ROUTING[mode] },
    skewMs: 100
  })
  const oracle = new Oracle(fleet)
  fleet.run(WARM_UP_MS)
  return { fleet, oracle }
}

/** Ends all faults and lets every call end. */
export function quiesce (world: World): void {
  const { fleet, oracle } = world
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
    const open = fleet.calls.some(c => c.answers.length + c.refusals.length === 0)
    if (!open && t > 2 * QUIESCE_STEP_MS) break
  }
  oracle.checkEnd()
}

/**
 * Runs the fuzzer.
 * @param options - seed, number of runs, length
 * @returns whether a promise was broken, with the shrunk trace
 */
export async function runFuzz (options: FuzzOptions): Promise<FuzzOutcome> {
  const { seed, runs, commandsMax, path, endOnFailure = false } = options
  const property = fc.asyncProperty(fc.nat(0xffff), fc.commands(COMMANDS, { maxCommands: commandsMax, size: 'max' }), async (fleetSeed, commands) => {
    const world = makeWorld(fleetSeed, SCHEDULING_MODES[fleetSeed % SCHEDULING_MODES.length])
    const model: Model = {}
    await fc.asyncModelRun(() => ({ model, real: world }), commands)
    quiesce(world)
  })
  const parameters: Parameters<[number, Iterable<never>]> = { seed, numRuns: runs, ...(path === undefined ? {} : { path }), endOnFailure }
  const details = await fc.check(property, parameters as never)
  const report = details.failed ? fc.defaultReportMessage(details) ?? '' : ''
  const reason = details.errorInstance instanceof Error ? details.errorInstance.message : ''
  return { failed: details.failed, runs: details.numRuns, reason, report }
}
