/**
 * Serves counters, gauges and latency histograms as text on the metrics address. It is separate so that the decision logic in
 * `core` only keeps totals and does not depend on the metrics library.
 */
import type { ShardCounterName, ShardGaugeName } from '@cranberryyard/core/shard'
import { SHARD_COUNTERS, SHARD_GAUGES } from '@cranberryyard/core/shard'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { createServer } from 'node:http'

/** Upper bounds of the histogram buckets in milliseconds, from a short task to the longest latency objective. */
const BUCKETS_MS = [5, 10, 20, 50, 100, 150, 200, 300, 500, 800, 1200, 2000, 3500, 6000, 10_000]

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
   * @param gauges - values, read anew for each request
   */
  constructor (counters: ReadonlyMap<ShardCounterName, number>, gauges: ReadonlyMap<ShardGaugeName, number>) {
    for (const [name, help] of Object.entries(SHARD_COUNTERS)) this.addCounter(name as ShardCounterName, help, counters)
    for (const [name, help] of Object.entries(SHARD_GAUGES)) this.addGauge(name as ShardGaugeName, help, gauges)
    for (const [name, help] of Object.entries(SHARD_HISTOGRAMS)) {
      this.histograms.set(name, new Histogram({ name: metricName(`shard.${name}`), help, labelNames: ['label'], buckets: BUCKETS_MS, registers: [this.registry] }))
    }
  }

  /** Adds a value to a histogram. */
  observe (histogram: keyof typeof SHARD_HISTOGRAMS, label: string, valueMs: number): void {
    this.histograms.get(histogram)?.observe({ label }, valueMs)
  }

  /** Listens and answers every path with the metrics. */
  listen (ip: string, port: number): void {
    const server = createServer((_req, res) => {
      void this.registry.metrics().then((text) => {
        res.writeHead(200, { 'content-type': this.registry.contentType }).end(text)
      })
    })
    server.listen(port, ip)
  }

  private addGauge (name: ShardGaugeName, help: string, gauges: ReadonlyMap<ShardGaugeName, number>): void {
    new Gauge({
      name: metricName(name),
      help,
      registers: [this.registry],
      collect () {
        this.set(gauges.get(name) ?? 0)
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
