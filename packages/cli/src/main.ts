#!/usr/bin/env node
/**
 * `cranberryyard`: the operators' command line, which can also submit a job by hand. This module only parses arguments and maps each
 * command to its function in `commands/`; the process ends with the exit code that the function returns.
 */
import process from 'node:process'
import yargs from 'yargs'
import type { Argv } from 'yargs'
import { hideBin } from 'yargs/helpers'
import { hashKey, newKey } from '@cranberryyard/dispatcher'
import { showAudit } from './commands/audit.js'
import { checkConfig } from './commands/config.js'
import { applyContracts, contractHistory, lintContracts, planContracts, showContract, undoContract } from './commands/contract.js'
import { runDemo } from './commands/demo.js'
import { listEndpoints, orderEndpoint } from './commands/endpoint.js'
import { showStatus } from './commands/status.js'
import { submitJob } from './commands/submit.js'
import { UnreachableError } from './utils/client.js'
import type { Target } from './utils/client.js'
import { EXIT } from './utils/exit.js'
import type { ExitCode } from './utils/exit.js'

let exitCode: ExitCode = EXIT.ok

/** Runs a command and stores the exit code for the end of the process. An instance that does not respond gives `EXIT.unreachable`. */
async function runCommand (command: () => ExitCode | Promise<ExitCode>): Promise<void> {
  try {
    exitCode = await command()
  } catch (err) {
    if (!(err instanceof UnreachableError)) throw err
    console.error(`unreachable: ${err.message}`)
    exitCode = EXIT.unreachable
  }
}

interface TargetArgs {
  readonly url: string
  readonly key: string
  readonly ca: string
}

const targetOf = (args: TargetArgs): Target => ({ url: args.url.replace(/\/$/, ''), key: args.key, caFile: args.ca })

const ORDER_BY_VERB = { drain: 'draining', stop: 'stopped', resume: 'active' } as const

function contractCommands (y: Argv<TargetArgs>): Argv<TargetArgs> {
  const withPath = (c: Argv<TargetArgs>) => c.positional('path', { type: 'string', demandOption: true, describe: 'Contract file or folder' })
  const withCustomer = (c: Argv<TargetArgs>) => c.positional('customer', { type: 'string', demandOption: true })
  return y
    .command('lint <path>', 'Check contract files', withPath, args => runCommand(() => lintContracts(args.path)))
    .command('plan <path>', 'Print exactly what would change', withPath, args => runCommand(() => planContracts(targetOf(args), args.path)))
    .command('apply <path>', 'Apply contract files', c => withPath(c)
      .option('reason', { type: 'string', default: '', describe: 'Why, for the audit trail' })
      .option('expect', { type: 'number', describe: 'Revision that the plan was based on' })
      .option('change-id', { type: 'string', describe: 'Id of an earlier attempt to repeat' }), args => runCommand(() => applyContracts(targetOf(args), args.path, args.reason, args.expect, args.changeId)))
    .command('show <customer>', 'Print a contract', withCustomer, args => runCommand(() => showContract(targetOf(args), args.customer)))
    .command('history <customer>', 'List revisions', withCustomer, args => runCommand(() => contractHistory(targetOf(args), args.customer)))
    .command('undo <customer>', 'Write a new revision with the content before the last', c => withCustomer(c).option('reason', { type: 'string', default: '' }), args => runCommand(() => undoContract(targetOf(args), args.customer, args.reason)))
    .demandCommand(1)
}

function endpointCommands (y: Argv<TargetArgs>): Argv<TargetArgs> {
  const withOrders = (['drain', 'stop', 'resume'] as const).reduce((c, verb) => c.command(`${verb} <endpoint>`, `Order an endpoint: ${ORDER_BY_VERB[verb]}`, b => b
    .positional('endpoint', { type: 'string', demandOption: true })
    .option('reason', { type: 'string', default: '', describe: 'Why, for the audit trail' })
    .option('force', { type: 'boolean', default: false, describe: 'Apply the order even to the last active endpoint of its size' }), args => runCommand(() => orderEndpoint(targetOf(args), args.endpoint, ORDER_BY_VERB[verb], args.reason, args.force))), y)
  return withOrders
    .command('list', 'List endpoints', c => c.option('json', { type: 'boolean', default: false }), args => runCommand(() => listEndpoints(targetOf(args), args.json)))
    .demandCommand(1)
}

await yargs(hideBin(process.argv))
  .scriptName('cranberryyard')
  .usage('$0 COMMAND')
  .env('CRANBERRYYARD')
  .option('url', { type: 'string', default: 'http://127.0.0.1:7102', describe: 'Operators\' port, or callers\' port for submit (CRANBERRYYARD_URL)' })
  .option('key', { type: 'string', default: '', describe: 'Key (CRANBERRYYARD_KEY)' })
  .option('ca', { type: 'string', default: '', describe: 'PEM authority of the port\'s certificate' })
  .command('submit', 'Submit a job and wait for its answer', c => c
    .option('kind', { type: 'string', demandOption: true })
    .option('request-id', { type: 'string', describe: 'The request\'s id; the same id again is the same request' })
    .option('file', { type: 'string', describe: 'JSON list of payloads' })
    .option('tasks', { type: 'number', default: 1, describe: 'Sample tasks when no file is given' })
    .option('run-ms', { type: 'number', default: 100, describe: 'Run time of a sample task' })
    .option('json', { type: 'boolean', default: false })
    .example('$0 submit --kind compute --tasks 340', 'submit a job of 340 sample tasks'), args => runCommand(() => submitJob(targetOf(args), { kind: args.kind, requestId: args.requestId, file: args.file, tasks: args.tasks, runMs: args.runMs, json: args.json })))
  .command('status', 'Show the fleet as one instance sees it', c => c
    .option('json', { type: 'boolean', default: false })
    .option('watch', { type: 'boolean', default: false }), args => runCommand(() => showStatus(targetOf(args), { json: args.json, watch: args.watch })))
  .command('contract', 'Contracts under version control', contractCommands)
  .command('config', 'Configurations before they are sent', y => y
    .command('check <path>', 'Find errors, entries that never match and contradictions, and show what would change', c => c
      .positional('path', { type: 'string', demandOption: true, describe: 'Desired state (JSON), contract file (TOML) or folder of contracts' })
      .option('against', { type: 'string', describe: 'The same as it is in force, to compare with' })
      .option('json', { type: 'boolean', default: false }), args => runCommand(() => checkConfig(args.path, args.against, args.json)))
    .demandCommand(1))
  .command('endpoint', 'List, drain, stop and resume endpoints', endpointCommands)
  .command('audit', 'Show who changed what, and check the trail', c => c
    .option('customer', { type: 'string' })
    .option('since', { type: 'string', describe: 'ISO time' })
    .option('json', { type: 'boolean', default: false }), args => runCommand(() => showAudit(targetOf(args), { customer: args.customer, sinceMs: args.since === undefined ? undefined : Date.parse(args.since), json: args.json })))
  .command('key', 'Make a key and print its hash for a contract', {}, () => runCommand(() => {
    const key = newKey()
    console.log(`key  ${key}\nhash ${hashKey(key)}`)
    return EXIT.ok
  }))
  .command('demo', 'Run the embedded default and measure one job of 340 tasks', {}, () => runCommand(runDemo))
  .completion('completion', 'Print a shell completion script')
  .example('$0 contract plan contracts/', 'what would change')
  .example('$0 config check new.json --against inforce.json', 'what is wrong, and what would change')
  .example('$0 endpoint drain endpoint-1-1 --reason "fan swap"', 'take an endpoint out of use')
  .demandCommand(1)
  .strict()
  .parse()

process.exit(exitCode)
