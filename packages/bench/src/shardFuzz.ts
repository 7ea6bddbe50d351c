/**
 * `npm run fuzz:shard -- --seed N --runs M`: random runs of an in-memory fleet of shard instances under faults.
 */
import process from 'node:process'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { runShardScenario } from './shard/shardScenario.js'

const args = await yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1, describe: 'First seed' })
  .option('runs', { type: 'number', default: 20, describe: 'Number of seeds' })
  .option('faulty', { type: 'number', default: 15_000, describe: 'Milliseconds of faults in a run' })
  .option('rate', { type: 'number', default: 30, describe: 'Jobs a second' })
  .strict()
  .parse()

let broken = 0
for (let seed = args.seed; seed < args.seed + args.runs; seed++) {
  const result = runShardScenario(seed, args.faulty, args.rate)
  if (result.violations.length > 0) broken++
  console.log(JSON.stringify({ ...result, violations: result.violations.slice(0, 5), violationCount: result.violations.length, faults: result.violations.length > 0 ? result.faults : result.faults.length }))
}
process.exit(broken === 0 ? 0 : 1)
