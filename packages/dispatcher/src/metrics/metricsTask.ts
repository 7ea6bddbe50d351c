/**
 * Sends counters and gauges to statsd through hot-shots. docs/METRICS.md lists them.
 */
import type { StatusReport } from '@cranberryyard/core'
import type { Settings } from '@cranberryyard/protocol'
import { StatsD } from 'hot-shots'

const PREFIX = 'cranberryyard.'

/** Gauges, with their meaning; docs/METRICS.md is checked against this list. */
export const GAUGES = {
  'fleet.version': 'Fleet version known here.',
  'fleet.versionInForce': 'Fleet version whose limits are kept here in full.',
  'customer.running': 'Tasks running under this instance, by customer.',
  'customer.queued': 'Tasks waiting here, by customer.',
  'customer.permits': 'Own share plus borrowed permits, by customer.',
  'store.reachable': '1 while the platform\'s store answers.'
} as const

/** Timeliness counters; by customer and kind. */
export const TIMELINESS_COUNTERS = {
  'answers.onTime': 'Complete answers within the contract\'s answer time, by customer and kind.',
  'answers.late': 'Complete answers after it, by customer and kind.',
  'answers.notAnswered': 'Accepted submissions that ended without a complete answer, by customer and kind.'
} as const

/** Owns the statsd socket. */
export class MetricsTask {
  private readonly client: StatsD | undefined
  private readonly sent = new Map<string, number>()
  private timer: NodeJS.Timeout | undefined

  constructor (settings: Settings['metrics'], private readonly status: () => StatusReport) {
    if (settings.statsdAddress === '') return
    const [host, port] = settings.statsdAddress.split(':')
    this.client = new StatsD({ host: host ?? '127.0.0.1', port: Number(port), prefix: PREFIX, errorHandler: () => {} })
    this.timer = setInterval(() => this.flush(), settings.flushMs)
  }

  /** Stops sending. */
  close (): void {
    clearInterval(this.timer)
    if (this.client === undefined) return
    this.flush()
    this.client.close(() => {})
  }

  private flush (): void {
    const status = this.status()
    for (const [name, total] of Object.entries(status.counters)) this.increment(name, total, {})
    for (const row of status.timeliness) {
      const tags = { customer: row.customer, kind: row.kind }
      this.increment('answers.onTime', row.onTime, tags)
      this.increment('answers.late', row.late, tags)
      this.increment('answers.notAnswered', row.notAnswered, tags)
    }
    this.gauges(status)
  }

  private gauges (status: StatusReport): void {
    this.client?.gauge('fleet.version', status.fleetVersion)
    this.client?.gauge('fleet.versionInForce', status.versionInForce)
    this.client?.gauge('store.reachable', status.storeReachable ? 1 : 0)
    for (const row of status.customers) {
      const tags = { customer: row.customer as string }
      this.client?.gauge('customer.running', row.running, tags)
      this.client?.gauge('customer.queued', row.queued, tags)
      this.client?.gauge('customer.permits', row.share + row.borrowed - row.lent, tags)
    }
  }

  private increment (name: string, total: number, tags: Record<string, string>): void {
    const key = `${name} ${JSON.stringify(tags)}`
    const delta = total - (this.sent.get(key) ?? 0)
    this.sent.set(key, total)
    if (delta > 0) this.client?.increment(name, delta, tags)
  }
}
