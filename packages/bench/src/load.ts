/**
 * `npm run load -- --shape FILE --seeds N [--without NAME]...`: plays a shape of load on the in-memory fleet, with the product's
 * decisions and with variants that lack a mechanism, all with the same jobs and faults. It prints what callers get, the
 * difference to the product with its 95% interval, and JSON on the last line.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import process from 'node:process'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { planJobs } from './load/arrivals.js'
import { strandedShare } from './load/idleRoom.js'
import { playLoad } from './load/loadRun.js'
import { POLICIES } from './load/policies.js'
import type { Policy } from './load/policies.js'
import { playPackingReference } from './load/packingReference.js'
import { playReference } from './load/reference.js'
import { readShape } from './load/shape.js'
import type { LoadShape } from './load/shape.js'
import { difference, estimate, summarize } from './load/summary.js'
import type { Summary } from './load/summary.js'
import { renderPlot } from './measure/plot.js'

const args = await yargs(hideBin(process.argv))
  .option('shape', { type: 'string', demandOption: true, array: true, describe: 'TOML files that describe loads' })
  .option('seeds', { type: 'number', default: 3, describe: 'Number of runs of each shape and policy' })
  .option('seed', { type: 'number', default: 1, describe: 'First seed' })
  .option('without', { type: 'string', array: true, default: [] as string[], choices: ['all', ...POLICIES.slice(1).map(({ name }) => name)], describe: 'Mechanisms to switch off, one at a time' })
  .option('rate', { type: 'number', array: true, default: [1], describe: 'Multiples of the traffic at which each shape is played' })
  .option('plots', { type: 'string', describe: 'Folder for an SVG of each shape' })
  .strict()
  .parse()

/** The runs of one policy on one shape. */
interface PolicyResult {
  readonly policy: string
  readonly summaries: readonly Summary[]
  readonly violations: number
  /** Share of the room that stayed idle while waiting tasks would have fitted if placed otherwise. */
  readonly strandedShare: number
}

const policies = POLICIES.filter(({ name }, i) => i === 0 || args.without.includes('all') || args.without.includes(name))
const report = args.shape.flatMap(file => args.rate.map(rate => playShape(atRate(readShape(file), rate))))
console.log(JSON.stringify(report))
process.exit(report.every(({ policies: [product] }) => product?.violations === 0) ? 0 : 1)

function atRate (shape: LoadShape, rate: number): LoadShape {
  if (rate === 1) return shape
  return { ...shape, name: `${shape.name} x${rate}`, kinds: shape.kinds.map(kind => ({ ...kind, perSecond: kind.perSecond * rate })) }
}

function playShape (shape: LoadShape): { readonly shape: string, readonly reference: number, readonly packingReference: number, readonly policies: readonly PolicyResult[] } {
  const seeds = Array.from({ length: args.seeds }, (_, i) => args.seed + i)
  const reference = estimate(seeds.map(seed => referenceShare(shape, seed, playReference)))
  const packingReference = estimate(seeds.map(seed => referenceShare(shape, seed, playPackingReference)))
  const results = policies.map(policy => playPolicy(shape, policy, seeds))
  const [product] = results
  console.log(`${shape.name}: reference ${reference.mean}, packing whole tasks ${packingReference.mean}`)
  for (const result of results) console.log(`  ${describe(result, product as PolicyResult)}`)
  if (args.plots !== undefined) writePlot(args.plots, shape, results)
  return { shape: shape.name, reference: reference.mean, packingReference: packingReference.mean, policies: results }
}

function playPolicy (shape: LoadShape, { name, apply }: Policy, seeds: readonly number[]): PolicyResult {
  const undo = apply()
  const runs = seeds.map(seed => playLoad(shape, seed))
  undo()
  return { policy: name, summaries: runs.map(run => summarize(run.jobs)), violations: runs.reduce((sum, run) => sum + run.violations.length, 0), strandedShare: estimate(runs.map(run => strandedShare(run.fleet))).mean }
}

function referenceShare (shape: LoadShape, seed: number, play: typeof playReference): number {
  const jobs = planJobs(shape, seed)
  const served = play(shape, jobs)
  const worth = (of: Iterable<{ worth: number }>): number => [...of].reduce((sum, job) => sum + job.worth, 0)
  return worth(served) / worth(jobs)
}

function describe ({ policy, summaries, violations, strandedShare: stranded }: PolicyResult, product: PolicyResult): string {
  const figure = (pick: (summary: Summary) => number): string => estimate(summaries.map(pick)).mean.toFixed(3)
  const kinds = Object.keys(summaries[0]?.byKind ?? {}).map(kind => `${kind} ${figure(summary => summary.byKind[kind]?.value ?? 0)} (widest ${figure(summary => summary.widest[kind]?.value ?? 0)})`)
  const { mean, plusMinus } = difference(product.summaries, summaries)
  const domains = Object.keys(summaries[0]?.byDomain ?? {}).map(domain => figure(summary => summary.byDomain[domain]?.value ?? 0))
  const compared = policy === product.policy ? '' : `; ${mean.toFixed(3)} +- ${plusMinus.toFixed(3)} against the product`
  return `${policy === product.policy ? policy : `without ${policy}`}: value ${figure(s => s.all.value)}, on time ${figure(s => s.all.onTime)}, late ${figure(s => s.all.late)}, refused ${figure(s => s.all.refused)}, failed ${figure(s => s.all.failed)}; ${kinds.join(', ')}; domains ${domains.join(' ')}; stranded room ${stranded.toFixed(3)}; violations ${violations}${compared}`
}

function writePlot (folder: string, shape: LoadShape, results: readonly PolicyResult[]): void {
  mkdirSync(folder, { recursive: true })
  const series = results.slice(0, 4).map(({ policy, summaries: [first] }) => ({ name: policy, points: (first?.valueBySecond ?? []).map((y, x) => ({ x, y })) }))
  writeFileSync(`${folder}/${shape.name}.svg`, renderPlot({ title: shape.name, xLabel: 'second', yLabel: 'share of value', series }))
}
