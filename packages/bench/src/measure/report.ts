/**
 * Renders the figures of a full measurement as a Markdown page and SVG plots, and compares them with the targets. It only
 * returns file contents; the caller writes them.
 */
import type { ClaimsResult } from './claimsRun.js'
import type { IsolationResult } from './isolationRun.js'
import { renderPlot } from './plot.js'
import type { Policy, PolicyResult } from './policyRun.js'
import type { ThroughputResult } from './throughputRun.js'

/** All figures of a full measurement. */
export interface Measurements {
  readonly summary: object
  readonly results: readonly PolicyResult[]
  readonly isolation: readonly IsolationResult[]
  readonly claims: readonly ClaimsResult[]
  readonly throughput: ThroughputResult
}

/** Name and content of a file in the report folder. */
export interface ReportFile {
  readonly name: string
  readonly content: string
}

const POLICIES: readonly Policy[] = ['random', 'twoChoices', 'scheduler']

/** Bounds from the stated list of performance targets; a bound is never derived from a measured figure. */
const TARGETS = {
  p50: 1.05,
  p99: 1.25,
  wasted70: 0.02,
  wasted95: 0.1,
  startsPerCore: 8000
} as const

/** Renders the page, and two plots for each deployment. */
export function renderReport (m: Measurements): ReportFile[] {
  const shapes = [...new Set(m.results.map(r => r.shape))]
  const plots = shapes.flatMap(shape => [
    { name: `${shape}-p99.svg`, content: renderFigurePlot(m, shape, 'responseOverIdealP99', 'response over ideal, p99') },
    { name: `${shape}-wasted.svg`, content: renderFigurePlot(m, shape, 'wastedMessagesPerTask', 'wasted messages a task') }
  ])
  return [{ name: 'README.md', content: renderMarkdown(m, shapes) }, ...plots]
}

function renderFigurePlot (m: Measurements, shape: string, figure: 'responseOverIdealP99' | 'wastedMessagesPerTask', label: string): string {
  const series = POLICIES.map(policy => ({
    name: policy,
    points: m.results.filter(r => r.shape === shape && r.policy === policy).map(r => ({ x: r.load, y: r[figure] }))
  }))
  return renderPlot({ title: `${shape}: ${label}`, xLabel: 'load', yLabel: label, series })
}

function renderMarkdown (m: Measurements, shapes: readonly string[]): string {
  return [
    '# Measurements',
    '',
    'Written by `npm run measure`. Routing, isolation and claims run on core instances over in-memory links on virtual time, with the',
    'deployments\' delays; throughput runs one real daemon on loopback. Wasted messages are messages between instances for',
    'single jobs, refused starts, and calls to endpoints beyond one start and one answer a task; heartbeats and permits are',
    'the control columns.',
    '',
    ...shapes.flatMap(shape => renderShapeSection(m, shape)),
    '## Isolation',
    '',
    'A steady customer with jobs of 4 tasks of 200 ms, alone and beside a burst of 6,800 tasks; response in milliseconds.',
    '',
    tableOf(['burstToleranceMs', 'alone p50', 'alone p99', 'beside burst p50', 'beside burst p99'], m.isolation.map(i => [i.burstToleranceMs, i.aloneP50, i.aloneP99, i.besideBurstP50, i.besideBurstP99])),
    '',
    '## Non-idempotent requests in a store outage of 5 minutes',
    '',
    tableOf(['scenario', 'served', 'in the cut domain', 'elsewhere', 'refused as not run', 'ended otherwise'], m.claims.map(c => [c.scenario, c.served, c.servedInCutDomain, c.servedElsewhere, c.refusedAsNotRun, c.endedOtherwise])),
    '',
    '## Throughput of one entry instance',
    '',
    `${m.throughput.startsPerSecondPerCore} starts for a second of processor time (target ${TARGETS.startsPerCore}); ${m.throughput.startsPerSecond} starts a second on ${m.throughput.cores} of a core, ${m.throughput.residentMb} MB resident.`,
    '',
    '## Targets',
    '',
    tableOf(['target', 'bound', 'worst of both deployments', 'met'], targetRows(m)),
    ''
  ].join('\n')
}

function renderShapeSection (m: Measurements, shape: string): string[] {
  const rows = m.results.filter(r => r.shape === shape).map(r => [r.load, r.policy, r.jobs, r.tasks, r.responseOverIdealP50, r.responseOverIdealP99, r.wastedMessagesPerTask, r.refusedStartsPerTask, r.controlMessagesPerSecond, r.controlMessagesPerTask, r.storeCallsPerSecond, r.limitOvershoot])
  return [
    `## ${shape}`,
    '',
    tableOf(['load', 'policy', 'jobs', 'tasks', 'p50', 'p99', 'wasted/task', 'refused/task', 'control/s', 'control/task', 'store calls/s', 'overshoot'], rows),
    '',
    `![p99](${shape}-p99.svg) ![wasted](${shape}-wasted.svg)`,
    ''
  ]
}

function targetRows (m: Measurements): (string | number)[][] {
  const schedulerResults = (load: number): PolicyResult[] => m.results.filter(r => r.policy === 'scheduler' && r.load === load)
  const worst = (load: number, pick: (r: PolicyResult) => number): number => Math.max(...schedulerResults(load).map(pick))
  const row = (name: string, bound: number, value: number): (string | number)[] => [name, bound, value, value <= bound ? 'yes' : 'no']
  return [
    row('response over ideal, p50, 70% load', TARGETS.p50, worst(0.7, r => r.responseOverIdealP50)),
    row('response over ideal, p99, 70% load', TARGETS.p99, worst(0.7, r => r.responseOverIdealP99)),
    row('wasted messages a task, 70% load', TARGETS.wasted70, worst(0.7, r => r.wastedMessagesPerTask)),
    row('wasted messages a task, 95% load', TARGETS.wasted95, worst(0.95, r => r.wastedMessagesPerTask)),
    row('limit overshoot', 0, Math.max(...m.results.map(r => r.limitOvershoot))),
    ['starts a second per core', TARGETS.startsPerCore, m.throughput.startsPerSecondPerCore, m.throughput.startsPerSecondPerCore >= TARGETS.startsPerCore ? 'yes' : 'no']
  ]
}

/**
 * Renders a Markdown table.
 * @param header - column names
 * @param rows - cells
 * @returns the lines of the table, joined by newlines
 */
export function tableOf (header: readonly string[], rows: readonly (readonly (string | number)[])[]): string {
  const line = (cells: readonly (string | number)[]): string => `| ${cells.join(' | ')} |`
  return [line(header), line(header.map(() => '---')), ...rows.map(line)].join('\n')
}
