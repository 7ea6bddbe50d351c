/**
 * `cranberryyard endpoint`: list, drain, stop, resume.
 */
import type { StatusReport } from '@cranberryyard/core'
import type { EndpointOrder } from '@cranberryyard/protocol'
import { call } from '../utils/client.js'
import type { Target } from '../utils/client.js'
import { reportChange, sendChange } from '../utils/changes.js'
import { EXIT } from '../utils/exit.js'
import type { ExitCode } from '../utils/exit.js'
import { renderFailure, table } from '../utils/output.js'

/** Lists endpoints as the instance asked uses them. @returns the exit code */
export async function listEndpoints (target: Target, json: boolean): Promise<ExitCode> {
  const { status, body } = await call<StatusReport>(target, 'GET', '/v1/status')
  if (status !== 200) {
    console.error(renderFailure(body as never))
    return EXIT.refused
  }
  if (json) console.log(JSON.stringify(body.endpoints))
  else console.log(table(['endpoint', 'domain', 'rack', 'slots', 'running', 'order', 'health'], body.endpoints.map(e => [e.endpoint, e.failureDomain, e.rack, e.slots, e.running, e.order, e.health])))
  return EXIT.ok
}

/**
 * Gives an order for an endpoint; the same order again changes nothing.
 * @param target - an operators' port
 * @param endpoint - its name
 * @param order - what it shall be
 * @param reason - why, for the audit trail
 * @param force - also when it is the last of its size
 * @returns the exit code
 */
export async function orderEndpoint (target: Target, endpoint: string, order: EndpointOrder, reason: string, force: boolean): Promise<ExitCode> {
  const reply = await sendChange(target, { type: 'endpoint', endpoint, order, force }, reason)
  return reportChange(`endpoint ${endpoint} ${order}`, reply)
}
