/**
 * Renders the documentation pages that are generated from code: settings, metrics and state charts. `npm run docs` writes them, and
 * a test fails when a page in `docs/` differs from its rendering.
 */
import { CHART_NAMES, COUNTERS, readChart } from '@cranberryyard/core'
import type { ChartName } from '@cranberryyard/core'
import { CONNECTION_BYTES, CONNECTION_DEFAULTS, DEFAULT_MACHINE, RECEIVE_BUFFER_BYTES, SHARD_COUNTERS, SHARD_GAUGES, allowancesFor, backlogsFor } from '@cranberryyard/core/shard'
import { GAUGES, TIMELINESS_COUNTERS } from '@cranberryyard/dispatcher'
import { SHARD_HISTOGRAMS, metricName } from '@cranberryyard/dispatcher/shard'
import { settingsSchema } from '@cranberryyard/protocol'
import { z } from 'zod'
import { tableOf } from '../measure/report.js'

/** The part of a JSON schema that the settings page shows. */
interface JsonSchema {
  readonly type?: string
  readonly description?: string
  readonly default?: unknown
  readonly enum?: readonly unknown[]
  readonly minimum?: number
  readonly maximum?: number
  readonly properties?: Readonly<Record<string, JsonSchema>>
  readonly items?: JsonSchema
}

/** Renders docs/SETTINGS.md from the schema of the settings, with a row for each key. */
export function renderSettings (): string {
  const schema = z.toJSONSchema(settingsSchema, { io: 'input' }) as JsonSchema
  const rows = settingRows(schema, '')
  return [
    '# Settings',
    '',
    'One TOML file for each entry instance. `cranberryyardd --settings FILE --check` reports every fault with its key and line.',
    'Keys that end in `Ms` are milliseconds. Keys without a default are needed. This page is rendered from the schema in',
    '`packages/protocol/src/settings.ts`; an example stands in `examples/bantay/entry-1.toml`.',
    '',
    'Plain ports serve without TLS and only where a settings file says `plain = true`; the peers\' port uses mutual TLS.',
    '',
    tableOf(['key', 'type', 'default', 'meaning'], rows),
    '',
    '## Limits on what others send',
    '',
    'Derived from `machine` here and from `limits.memoryMb` and `limits.maxFds` of the settings file on the platform; without these, from',
    `${DEFAULT_MACHINE.memoryMb} MB and ${DEFAULT_MACHINE.maxFds} descriptors as below. [Intake budget](design/intake-budget.md) says who is turned away.`,
    '',
    tableOf(['limit', 'default', 'meaning'], connectionLimits()),
    ''
  ].join('\n')
}

function connectionLimits (): string[][] {
  const { callers, peers, operators, answers } = allowancesFor(DEFAULT_MACHINE)
  const backlogs = backlogsFor(DEFAULT_MACHINE)
  const mb = ({ bytes }: { readonly bytes: number }): string => `${(bytes / 1_048_576).toFixed(1)} MB`
  return [
    ['connections of callers', String(callers.connections), 'The smaller of half the descriptors beyond 200 and eight for each MB of memory.'],
    ['bytes for callers', mb(callers), 'A tenth of the memory; for bodies, open requests and what waits to be read.'],
    ['connections that peers open', String(peers.connections), 'A quarter of the descriptors beyond 200.'],
    ['bytes for peers', mb(peers), 'A twentieth of the memory; for messages that are not complete.'],
    ['connections of operators', String(operators.connections), 'A twentieth of the descriptors beyond 200; in `cranberryyardd`.'],
    ['bytes for operators', mb(operators), 'A fiftieth of the memory; in `cranberryyardd`.'],
    ['bytes for answers', mb(answers), 'A twentieth of the memory; for answers of endpoints and of the store that are not complete.'],
    ['connections for probes, for metrics', '32 each', 'Connections to the readiness port and to the metrics address.'],
    ['connections that wait to be accepted', `${backlogs.callers}, ${backlogs.peers}, ${backlogs.others}`, 'Of callers (1.5 for each MB of memory, at most 511), of peers (0.6 for each MB), of probes and for metrics.'],
    ['unread bytes of a connection', `${RECEIVE_BUFFER_BYTES} bytes`, 'Held, beside what has been read, for a connection on which more waits than is read at once: its receive buffer.'],
    ['cost of a connection', `${CONNECTION_BYTES} bytes`, 'Weighs with what it holds when connections are compared.'],
    ['size of a body', '1,048,576 bytes', 'A larger one is refused with 413 when it is announced, or at the byte that exceeds it. The rest is dropped for up to 4 MiB and a second.'],
    ['values in a body', '262,144', 'Commas and opening brackets of JSON; more are refused with 413.'],
    ['size of headers', '32,768 bytes', 'Request line and headers together; larger ones are refused with 431.'],
    ['time for headers', '5,000 ms', 'On the platform; `jobs.senderTimeoutMs` for whole requests in `cranberryyardd`.'],
    ['grace of a body or message', `${CONNECTION_DEFAULTS.stallGraceMs} ms`, 'It may stand still for so long.'],
    ['least progress', `${CONNECTION_DEFAULTS.leastBytesPerS} bytes/s`, 'Mean rate below which a body or message is given up after its grace.'],
    ['answers that are not read', '15,000 ms', 'Without any progress for so long, the connection is closed.'],
    ['idle connections', '30,000 ms', 'A connection without a request is closed after so long.'],
    ['size of a message of a peer', '4,194,304 bytes', 'Also at most 500,000 values, 48 deep.'],
    ['size of an answer', '8,388,608 bytes', 'Of the store, and of an endpoint in `cranberryyardd`; 1,048,576 bytes of an endpoint on the platform.']
  ]
}

function settingRows (schema: JsonSchema, path: string): string[][] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, property]) => {
    const key = path === '' ? name : `${path}.${name}`
    if (property.properties !== undefined) return settingRows(property, key)
    const items = property.items?.properties === undefined ? [] : settingRows(property.items, `${key}[]`)
    const settingRow = [`\`${key}\``, typeOf(property), property.default === undefined ? '' : `\`${JSON.stringify(property.default)}\``, property.description ?? '']
    return [settingRow, ...items]
  })
}

function typeOf (schema: JsonSchema): string {
  if (schema.enum !== undefined) return schema.enum.map(String).join(' or ')
  const range = schema.minimum !== undefined && schema.maximum !== undefined ? ` ${schema.minimum} to ${schema.maximum}` : ''
  return `${schema.type ?? ''}${range}`
}

function shardRows (metrics: Readonly<Record<string, string>>, type: string): string[][] {
  return Object.entries(metrics).map(([name, text]) => [`\`${metricName(name.startsWith('shard.') ? name : `shard.${name}`)}\``, type, text])
}

/** Renders docs/METRICS.md from the declarations of counters, gauges and histograms. */
export function renderMetrics (): string {
  const rows = (metrics: Readonly<Record<string, string>>, type: string): string[][] => Object.entries(metrics).map(([name, text]) => [`\`cranberryyard.${name}\``, type, text])
  return [
    '# Metrics',
    '',
    'Sent to statsd by `hot-shots` when `metrics.statsdAddress` is set. This page is rendered from the code. An example:',
    '',
    '```toml',
    '[metrics]',
    'statsdAddress = "127.0.0.1:8125"',
    'flushMs = 1000',
    '```',
    '',
    tableOf(['name', 'type', 'meaning'], [...rows(COUNTERS, 'counter'), ...rows(TIMELINESS_COUNTERS, 'counter'), ...rows(GAUGES, 'gauge')]),
    '',
    '## On the platform',
    '',
    'Served as text on the metrics address (`deploy/system.toml`). Histograms have the label `label`: queue or way of succession.',
    '',
    tableOf(['name', 'type', 'meaning'], [...shardRows(SHARD_COUNTERS, 'counter'), ...shardRows(SHARD_GAUGES, 'gauge'), ...shardRows(SHARD_HISTOGRAMS, 'histogram, ms')]),
    ''
  ].join('\n')
}

/** Renders docs/STATE-CHARTS.md, with a Mermaid diagram for each chart that the code interprets. */
export function renderCharts (): string {
  return [
    '# State charts',
    '',
    'The files under `packages/core/src/charts/` are interpreted by the code (`utils/chart.ts`) and drawn here from the same files.',
    '',
    ...CHART_NAMES.flatMap(name => [`## ${name}`, '', '```mermaid', ...mermaidOf(name), '```', ''])
  ].join('\n')
}

function mermaidOf (name: ChartName): string[] {
  const { initial, states } = readChart(name)
  const lines = ['stateDiagram-v2', `  [*] --> ${initial}`]
  for (const [state, { on = {}, type }] of Object.entries(states)) {
    for (const [event, target] of Object.entries(on)) lines.push(`  ${state} --> ${target}: ${event}`)
    if (type === 'final') lines.push(`  ${state} --> [*]`)
  }
  return lines
}

/** Functions that render the generated pages, by file name in `docs/`. */
export const RENDERED_PAGES: Readonly<Record<string, () => string>> = {
  'SETTINGS.md': renderSettings,
  'METRICS.md': renderMetrics,
  'STATE-CHARTS.md': renderCharts
}
