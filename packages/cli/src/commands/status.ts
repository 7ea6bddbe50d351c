/**
 * `cranberryyard status`: what one instance sees of the fleet.
 */
import type { StatusReport } from '@cranberryyard/core'
import { call } from '../utils/client.js'
import type { Target } from '../utils/client.js'
import { EXIT } from '../utils/exit.js'
import type { ExitCode } from '../utils/exit.js'
import { paint, renderFailure, table } from '../utils/output.js'

const WATCH_MS = 1000

/** How to show it. */
export interface StatusOptions {
  readonly json: boolean
  readonly watch: boolean
}

/** Shows the status once or every second. @returns the exit code */
export async function showStatus (target: Target, options: StatusOptions): Promise<ExitCode> {
  for (;;) {
    const { status, body } = await call<StatusReport>(target, 'GET', '/v1/status')
    if (status !== 200) {
      console.error(renderFailure(body as never))
      return EXIT.refused
    }
    console.log(options.json ? JSON.stringify(body) : render(body))
    if (!options.watch) return EXIT.ok
    await new Promise(resolve => setTimeout(resolve, WATCH_MS))
  }
}

function render (s: StatusReport): string {
  const head = [
    `${paint('bold', s.instance)} in ${s.failureDomain}: ${s.state}${s.isScheduler ? ', schedules jobs' : ''}`,
    `store ${s.storeReachable ? paint('green', 'reachable') : paint('red', 'unreachable')}, version ${s.fleetVersion}, in force ${s.versionInForce}, acknowledged ${s.acknowledged}`
  ]
  const instances = table(['instance', 'domain', 'status', 'live', 'version in force'], s.instances.map(i => [i.instance, i.failureDomain, i.status, i.live, i.versionInForce]))
  const customers = table(['customer', 'revision', 'limit', 'share', 'borrowed', 'lent', 'running', 'queued'], s.customers.map(c => [c.customer, c.revision, c.limit, c.share, c.borrowed, c.lent, c.running, c.queued]))
  const kinds = table(['customer', 'kind', 'on time', 'late', 'not answered'], s.timeliness.map(t => [t.customer, t.kind, t.onTime, t.late, t.notAnswered]))
  const endpoints = table(['domain', 'endpoints', 'not active', 'not healthy', 'running'], domainRows(s))
  return [...head, '', instances, '', endpoints, '', customers, '', kinds].join('\n')
}

function domainRows (s: StatusReport): (string | number)[][] {
  const domains = [...new Set(s.endpoints.map(e => e.failureDomain))].sort()
  return domains.map((domain) => {
    const own = s.endpoints.filter(e => e.failureDomain === domain)
    const running = own.reduce((sum, e) => sum + e.running, 0)
    return [domain, own.length, own.filter(e => e.order !== 'active').length, own.filter(e => e.health !== 'healthy').length, running]
  })
}
