/**
 * Serves counters, gauges and latency histograms as text on the metrics address. It is separate so that the decision logic in
 * `core` only keeps totals and does not depend on the metrics library.
 */
import type { ShardCounterName, ShardGaugeName } from '@cranberryyard/core/shard'
import { SHARD_COUNTERS, SHARD_GAUGES } from '@cranberryyard/core/shard'
import { systemClock } from '@cranberryyard/protocol'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { ConnectionGuard } from '../utils/connectionGuard.js'
import type { ReportClosed } from '../utils/connectionGuard.js'
import { headerLimits, makePlainServer } from '../utils/plainServer.js'
import { hasUnreadBody } from '../utils/requestBody.js'

/** Upper bounds of the histogram buckets in milliseconds, from a short task to the longest latency objective. */
const BUCKETS_MS = [5, 10, 20, 50, 100, 150, 200, 300, 500, 800, 1200, 2000, 3500, 6000, 10_000]

/** What readers of the metrics may use: they are few, and each sends small requests. */
const READER_ALLOWANCE = { connections: 32, bytes: 1_048_576 }
const HEADERS_TIMEOUT_MS = 5000

/** Histograms and their help texts; docs/METRICS.md is checked against this list. */
export const SHARD_HISTOGRAMS = {
  jobMs: 'From the receipt of a job to its reply, by queue.',
  queueWaitMs: 'From the receipt at the owner to the first start, by queue.',
  takeoverMs: 'From the loss of an owner to its successor, by way of succession.'
} as const

/** @returns the name under which a counter or histogram is served */
export const metricName = (name: string): string => `cranberryyard_${name.replace(/([A-Z])/g, '_$1').replaceAll('.', '_').toLowerCase()}`

/** Serves the metrics port. */
export class MetricsServer {
  private readonly registry = new Registry()
  private readonly histograms = new Map<string, Histogram<'label'>>()

  /**
   * @param counters - totals, read anew for each request
   * @param readGauges - returns the present values
   * @param reportClosed - called for each connection of a reader that is closed
   */
  constructor (counters: ReadonlyMap<ShardCounterName, number>, readGauges: () => Readonly<Partial<Record<ShardGaugeName, number>>>, private readonly reportClosed: ReportClosed) {
    for (const [name, help] of Object.entries(SHARD_GAUGES)) this.addGauge(name as ShardGaugeName, help, readGauges)
    for (const [name, help] of Object.entries(SHARD_COUNTERS)) this.addCounter(name as ShardCounterName, help, counters)
    for (const [name, help] of Object.entries(SHARD_HISTOGRAMS)) {
      this.histograms.set(name, new Histogram({ name: metricName(`shard.${name}`), help, labelNames: ['label'], buckets: BUCKETS_MS, registers: [this.registry] }))
    }
  }

  /** Adds a value to a histogram. */
  observe (histogram: keyof typeof SHARD_HISTOGRAMS, label: string, valueMs: number): void {
    this.histograms.get(histogram)?.observe({ label }, valueMs)
  }

  /** Listens and answers every path with the metrics. */
  listen (ip: string, port: number, backlog: number): void {
    const guard = new ConnectionGuard(READER_ALLOWANCE, systemClock, this.reportClosed)
    const server = makePlainServer(headerLimits(HEADERS_TIMEOUT_MS), (req, res) => {
      guard.of(req).begin(req, res)
      void this.registry.metrics().then((text) => {
        res.writeHead(200, { 'content-type': this.registry.contentType, ...(hasUnreadBody(req) ? { connection: 'close' } : {}) }).end(text)
      })
    })
    guard.watch(server)
    server.listen(port, ip, backlog)
  }

  private addGauge (name: ShardGaugeName, help: string, readGauges: () => Readonly<Partial<Record<ShardGaugeName, number>>>): void {
    new Gauge({
      name: metricName(name),
      help,
      registers: [this.registry],
      collect () {
        this.set(readGauges()[name] ?? 0)
      }
    })
  }

  private addCounter (name: ShardCounterName, help: string, counters: ReadonlyMap<ShardCounterName, number>): void {
    let served = 0
    new Counter({
      name: metricName(name),
      help,
      registers: [this.registry],
      collect () {
        const total = counters.get(name) ?? 0
        this.inc(total - served)
        served = total
      }
    })
  }
}
