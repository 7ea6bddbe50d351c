/**
 * `cranberryyard endpoint`: lists endpoints, and drains, stops or resumes one of them. An order is a change like a contract change:
 * it goes through `sendChange` and the audit trail records it.
 */
import type { StatusReport } from '@cranberryyard/core'
import type { EndpointOrder } from '@cranberryyard/protocol'
import { sendRequest } from '../utils/client.js'
import type { Target } from '../utils/client.js'
import { reportChange, sendChange } from '../utils/changes.js'
import { EXIT } from '../utils/exit.js'
import type { ExitCode } from '../utils/exit.js'
import { renderFailure, table } from '../utils/output.js'

/**
 * Lists the endpoints with the order, health and running tasks that the contacted instance knows.
 * @returns the exit code
 */
export async function listEndpoints (target: Target, json: boolean): Promise<ExitCode> {
  const { status, body } = await sendRequest<StatusReport>(target, 'GET', '/v1/status')
  if (status !== 200) {
    console.error(renderFailure(body as never))
    return EXIT.refused
  }
  if (json) console.log(JSON.stringify(body.endpoints))
  else console.log(table(['endpoint', 'domain', 'rack', 'slots', 'running', 'order', 'health'], body.endpoints.map(e => [e.endpoint, e.failureDomain, e.rack, e.slots, e.running, e.order, e.health])))
  return EXIT.ok
}

/**
 * Sends an order for an endpoint. Repeating the current order changes nothing.
 * @param target - an operators' port
 * @param endpoint - name of the endpoint
 * @param order - state that the endpoint is ordered into
 * @param reason - reason that the audit trail records
 * @param force - applies the order even to the last active endpoint of its size
 * @returns the exit code
 */
export async function orderEndpoint (target: Target, endpoint: string, order: EndpointOrder, reason: string, force: boolean): Promise<ExitCode> {
  const reply = await sendChange(target, { type: 'endpoint', endpoint, order, force }, reason)
  return reportChange(`endpoint ${endpoint} ${order}`, reply)
}
