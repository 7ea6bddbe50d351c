/**
 * `npm run fuzz -- --seed N --runs M`: runs the stateful fuzzer by hand, with a seed and length of choice, or replays a failed
 * run. The last line of the output is a JSON summary; the exit code is 1 when a run failed.
 */
import process from 'node:process'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { runFuzz } from './fuzz/runFuzz.js'

const args = await yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1, describe: 'Seed of the generated commands' })
  .option('runs', { type: 'number', default: 100, describe: 'Number of command sequences' })
  .option('commands', { type: 'number', default: 40, describe: 'Largest number of commands in a sequence' })
  .option('path', { type: 'string', describe: 'Path of a failed run, to replay it' })
  .strict()
  .parse()

const startedAt = performance.now()
const outcome = await runFuzz({ seed: args.seed, runs: args.runs, commandsMax: args.commands, ...(args.path === undefined ? {} : { path: args.path }) })
if (outcome.failed) console.log(`${outcome.reason}\n${outcome.report}`)
console.log(JSON.stringify({ seed: args.seed, runs: outcome.runs, failed: outcome.failed, seconds: Math.round((performance.now() - startedAt) / 1000) }))
process.exit(outcome.failed ? 1 : 0)
