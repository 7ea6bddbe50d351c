/**
 * `cranberryyard status`: prints the fleet as one instance sees it. Another instance may report other figures,
 * since each reports from its own state.
 */
import type { StatusReport } from '@cranberryyard/core'
import { sendRequest } from '../utils/client.js'
import type { Target } from '../utils/client.js'
import { EXIT } from '../utils/exit.js'
import type { ExitCode } from '../utils/exit.js'
import { colourText, renderFailure, table } from '../utils/output.js'

const WATCH_INTERVAL_MS = 1000

/** Form of the output, and whether it repeats. */
export interface StatusOptions {
  readonly json: boolean
  readonly watch: boolean
}

/**
 * Prints the status once or, with `watch`, every second until the process is interrupted.
 * @returns the exit code
 */
export async function showStatus (target: Target, options: StatusOptions): Promise<ExitCode> {
  for (;;) {
    const { status, body } = await sendRequest<StatusReport>(target, 'GET', '/v1/status')
    if (status !== 200) {
      console.error(renderFailure(body as never))
      return EXIT.refused
    }
    console.log(options.json ? JSON.stringify(body) : renderStatus(body))
    if (!options.watch) return EXIT.ok
    await new Promise(resolve => setTimeout(resolve, WATCH_INTERVAL_MS))
  }
}

function renderStatus (report: StatusReport): string {
  const head = [
    `${colourText('bold', report.instance)} in ${report.failureDomain}: ${report.state}${report.isScheduler ? ', schedules jobs' : ''}`,
    `store ${report.storeReachable ? colourText('green', 'reachable') : colourText('red', 'unreachable')}, version ${report.fleetVersion}, in force ${report.versionInForce}, acknowledged ${report.acknowledged}`
  ]
  const instances = table(['instance', 'domain', 'status', 'live', 'version in force'], report.instances.map(i => [i.instance, i.failureDomain, i.status, i.live, i.versionInForce]))
  const customers = table(['customer', 'revision', 'limit', 'share', 'borrowed', 'lent', 'running', 'queued'], report.customers.map(c => [c.customer, c.revision, c.limit, c.share, c.borrowed, c.lent, c.running, c.queued]))
  const kinds = table(['customer', 'kind', 'on time', 'late', 'not answered'], report.timeliness.map(t => [t.customer, t.kind, t.onTime, t.late, t.notAnswered]))
  const endpoints = table(['domain', 'endpoints', 'not active', 'not healthy', 'running'], domainRows(report))
  return [...head, '', instances, '', endpoints, '', customers, '', kinds].join('\n')
}

function domainRows (report: StatusReport): (string | number)[][] {
  const domains = [...new Set(report.endpoints.map(e => e.failureDomain))].sort()
  return domains.map((domain) => {
    const domainEndpoints = report.endpoints.filter(e => e.failureDomain === domain)
    const running = domainEndpoints.reduce((sum, e) => sum + e.running, 0)
    return [domain, domainEndpoints.length, domainEndpoints.filter(e => e.order !== 'active').length, domainEndpoints.filter(e => e.health !== 'healthy').length, running]
  })
}
