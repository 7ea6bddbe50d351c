/**
 * Sends counters and gauges to statsd with hot-shots. Reads the status report periodically, so that the core task needs
 * no metrics client. docs/METRICS.md lists all metrics.
 */
import type { StatusReport } from '@cranberryyard/core'
import type { Settings } from '@cranberryyard/protocol'
import { StatsD } from 'hot-shots'

const PREFIX = 'cranberryyard.'

/** Gauges and their help texts. A check compares docs/METRICS.md with this list. */
export const GAUGES = {
  'fleet.version': 'Fleet version known here.',
  'fleet.versionInForce': 'Fleet version whose limits are kept here in full.',
  'customer.running': 'Tasks running under this instance, by customer.',
  'customer.queued': 'Tasks waiting here, by customer.',
  'customer.permits': 'Own share plus borrowed permits, by customer.',
  'store.reachable': '1 while the platform\'s store answers.'
} as const

/** Timeliness counters and their help texts. */
export const TIMELINESS_COUNTERS = {
  'answers.onTime': 'Complete answers within the contract\'s answer time, by customer and kind.',
  'answers.late': 'Complete answers after it, by customer and kind.',
  'answers.notAnswered': 'Accepted submissions that ended without a complete answer, by customer and kind.'
} as const

/** Sends the metrics every `flushMs`; does nothing without a statsd address in the settings. */
export class MetricsTask {
  private readonly client: StatsD | undefined
  /** Last total sent of each counter and its tags: the status report has totals, statsd expects increments. */
  private readonly lastSentTotals = new Map<string, number>()
  private timer: NodeJS.Timeout | undefined

  constructor (settings: Settings['metrics'], private readonly status: () => StatusReport) {
    if (settings.statsdAddress === '') return
    const [host, port] = settings.statsdAddress.split(':')
    this.client = new StatsD({ host: host ?? '127.0.0.1', port: Number(port), prefix: PREFIX, errorHandler: () => {} })
    this.timer = setInterval(() => this.flush(), settings.flushMs)
  }

  /** Sends the metrics a last time and closes the socket. */
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
    this.sendGauges(status)
  }

  private sendGauges (status: StatusReport): void {
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
    const delta = total - (this.lastSentTotals.get(key) ?? 0)
    this.lastSentTotals.set(key, total)
    if (delta > 0) this.client?.increment(name, delta, tags)
  }
}
