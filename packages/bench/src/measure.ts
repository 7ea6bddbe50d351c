/**
 * `npm run measure`: compares routing policies with the ideal, measures throughput, isolation and claims in outages, and writes
 * the report. `--quick` ends within 45 s and writes no files; `--slopes` measures what control traffic costs at several
 * fleet sizes instead. The last line of the output is JSON.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import process from 'node:process'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { runIsolation } from './measure/isolationRun.js'
import { runClaims } from './measure/claimsRun.js'
import { runPolicy } from './measure/policyRun.js'
import type { PolicyResult } from './measure/policyRun.js'
import { renderReport } from './measure/report.js'
import { BANTAY, OFFICE } from './measure/shapes.js'
import { measureSlopes } from './measure/slopes.js'
import { runThroughput } from './measure/throughputRun.js'

const REPORT_FOLDER = 'docs/measurements'

const args = await yargs(hideBin(process.argv))
  .option('quick', { type: 'boolean', default: false, describe: 'End within 45 s and write no files; JSON on the last line' })
  .option('slopes', { type: 'boolean', default: false, describe: 'Measure what control traffic costs at several fleet sizes' })
  .option('seed', { type: 'number', default: 1 })
  .option('commit', { type: 'string', default: '', describe: 'Name under which the history keeps the figures' })
  .strict()
  .parse()

const log = (text: string): void => console.log(text)

if (args.slopes) await runSlopes()
else await runPolicies()
process.exit(0)

async function runSlopes (): Promise<void> {
  const result = await measureSlopes(log)
  mkdirSync(REPORT_FOLDER, { recursive: true })
  writeFileSync(`${REPORT_FOLDER}/slopes.json`, `${JSON.stringify(result, null, 2)}\n`)
  console.log(JSON.stringify(result.slopes))
}

async function runPolicies (): Promise<void> {
  const durationMs = args.quick ? 30_000 : 60_000
  const loads = args.quick ? [0.7] : [0.5, 0.7, 0.85, 0.95]
  const results: PolicyResult[] = []
  for (const shape of [BANTAY, OFFICE]) {
    for (const load of loads) {
      for (const policy of ['random', 'twoChoices', 'scheduler'] as const) {
        const result = runPolicy({ shape, policy, load, durationMs, seed: args.seed })
        log(JSON.stringify(result))
        results.push(result)
      }
    }
  }
  const isolation = runIsolation(args.seed)
  log(JSON.stringify(isolation))
  const claims = runClaims(args.seed)
  log(JSON.stringify(claims))
  const throughput = await runThroughput(args.quick ? 4000 : 10_000)
  log(JSON.stringify(throughput))
  const summary = summarize(results, throughput.startsPerSecondPerCore)
  if (!args.quick) {
    mkdirSync(`${REPORT_FOLDER}/history`, { recursive: true })
    const all = { summary, results, isolation, claims, throughput }
    for (const file of renderReport(all)) writeFileSync(`${REPORT_FOLDER}/${file.name}`, file.content)
    if (args.commit !== '') writeFileSync(`${REPORT_FOLDER}/history/${args.commit}.json`, `${JSON.stringify(all, null, 2)}\n`)
  }
  console.log(JSON.stringify(summary))
}

interface Summary {
  readonly responseOverIdealP50: number
  readonly responseOverIdealP99: number
  readonly wastedMessagesPerTask: number
  readonly startsPerSecondPerCore: number
  readonly limitOvershoot: number
  readonly answeredOnTime: number
  readonly answeredLate: number
  readonly notAnswered: number
}

/**
 * Summarizes the scheduler policy at 70% load: ratios are the worse of both deployments, counts of answers are sums over both.
 * The limit overshoot is the largest of all policies and loads.
 */
function summarize (results: readonly PolicyResult[], startsPerSecondPerCore: number): Summary {
  const schedulerResults = results.filter(r => r.policy === 'scheduler' && r.load === 0.7)
  const worst = (pick: (r: PolicyResult) => number): number => Math.max(...schedulerResults.map(pick))
  const sum = (pick: (r: PolicyResult) => number): number => schedulerResults.reduce((total, r) => total + pick(r), 0)
  return {
    responseOverIdealP50: worst(r => r.responseOverIdealP50),
    responseOverIdealP99: worst(r => r.responseOverIdealP99),
    wastedMessagesPerTask: worst(r => r.wastedMessagesPerTask),
    startsPerSecondPerCore,
    limitOvershoot: Math.max(...results.map(r => r.limitOvershoot)),
    answeredOnTime: sum(r => r.answeredOnTime),
    answeredLate: sum(r => r.answeredLate),
    notAnswered: sum(r => r.notAnswered)
  }
}
