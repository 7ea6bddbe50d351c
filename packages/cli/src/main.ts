#!/usr/bin/env node
/**
 * `cranberryyard`: the operators' command line, and submitting a job by hand.
 */
import process from 'node:process'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { runDemo } from './commands/demo.js'

let exitCode = 0

await yargs(hideBin(process.argv))
  .scriptName('cranberryyard')
  .command('demo', 'Run the embedded default and measure one job of 340 tasks', {}, async () => {
    exitCode = await runDemo()
  })
  .demandCommand(1)
  .strict()
  .parse()

process.exit(exitCode)
