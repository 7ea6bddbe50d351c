/**
 * `npm run fuzz:shard -- --seed N --runs M`: runs an in-memory fleet of shard instances under random faults, once for each seed.
 * Each run prints a line of JSON; the exit code is 1 when a run violated an invariant.
 */
import process from 'node:process'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { runShardScenario } from './shard/shardScenario.js'

const args = await yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1, describe: 'First seed' })
  .option('runs', { type: 'number', default: 20, describe: 'Number of seeds' })
  .option('faulty', { type: 'number', default: 15_000, describe: 'Length of the part of a run that has faults, in milliseconds' })
  .option('rate', { type: 'number', default: 30, describe: 'Jobs submitted per second' })
  .option('hazards', { type: 'boolean', default: true, describe: 'Adds tasks that crash their endpoints, and endpoints that shrink' })
  .option('strain', { type: 'boolean', default: true, describe: 'Adds messages that arrive late, slow instances and losses without a sign' })
  .option('entries', { type: 'boolean', default: true, describe: 'Adds endpoints that are cut off from the store while instances are restarted in turn' })
  .option('encoded', { type: 'boolean', default: true, describe: 'Encodes jobs on their way between instances, some of them with text that codecs change' })
  .option('queues', { type: 'boolean', default: true, describe: 'Adds versions that add and remove queues while an owner is cut off from the store' })
  .option('states', { type: 'boolean', default: true, describe: 'Adds versions of a large desired state on a fleet with narrow links' })
  .option('replacements', { type: 'boolean', default: true, describe: 'Adds machines that are replaced while the store loses answers, followed by an outage' })
  .option('silent', { type: 'boolean', default: true, describe: 'Adds connections between instances that go silent for good' })
  .option('stale', { type: 'boolean', default: true, describe: 'Adds owners that are cut off from the other instances while endpoints restart' })
  .option('evacuations', { type: 'boolean', default: true, describe: 'Adds failure domains that are evacuated and taken back around other faults' })
  .option('work', { type: 'number', default: 1, describe: 'Factor on the run times of tasks' })
  .strict()
  .parse()

let failedRuns = 0
for (let seed = args.seed; seed < args.seed + args.runs; seed++) {
  const result = runShardScenario(seed, args.faulty, { jobsPerSecond: args.rate, withHazards: args.hazards, withStrain: args.strain, withMissingEntries: args.entries, withEncodedJobs: args.encoded, withQueueChanges: args.queues, withLargeStates: args.states, withReplacements: args.replacements, withStaleOwners: args.stale, withSilentConnections: args.silent, withEvacuations: args.evacuations, workFactor: args.work })
  if (result.violations.length > 0) failedRuns++
  console.log(JSON.stringify({ ...result, violations: result.violations.slice(0, 5), violationCount: result.violations.length, faults: result.violations.length > 0 ? result.faults : result.faults.length }))
}
process.exit(failedRuns === 0 ? 0 : 1)
