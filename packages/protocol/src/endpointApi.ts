/**
 * The endpoints' interface, published in docs/ENDPOINT.md. One start and one answer a task;
 * a refusal is an answer that promises the task has not started.
 */
import type { EndpointId, FailureDomain, TaskId } from './ids.js'
import type { Ms } from './clock.js'

/** Body of `POST /v1/start`. */
export interface StartRequest {
  readonly taskId: TaskId
  /** Instance that answers for the task and renews its lease. */
  readonly holder: string
  /** The endpoint ends the task when no renewal arrives within this span. */
  readonly leaseMs: Ms
  /** Wall-clock time after which the endpoint must refuse the start. */
  readonly notAfter: Ms
  readonly cores: number
  readonly memoryMb: number
  readonly accelerators: number
  readonly payload: unknown
}

/** Why an endpoint refused a start; none of these has started the task. */
export type RefusalReason = 'busy' | 'expired' | 'leaving' | 'tooLarge' | 'known'

/** What the holder of a task learns. `unknown` means that the request was sent and no answer came. */
export type StartOutcome =
  | { readonly type: 'done', readonly result: unknown, readonly runMs: number }
  | { readonly type: 'failed', readonly message: string, readonly runMs: number }
  | { readonly type: 'stopped' }
  | { readonly type: 'refused', readonly reason: RefusalReason }
  | { readonly type: 'notSent' }
  | { readonly type: 'unknown' }

/** Body of `POST /v1/renew` and `POST /v1/stop`. */
export interface TaskListRequest {
  readonly tasks: readonly TaskId[]
  /** Wall-clock time after which the endpoint must ignore the request. */
  readonly notAfter: Ms
}

/** What the platform says of an endpoint. */
export interface EndpointInfo {
  readonly id: EndpointId
  readonly failureDomain: FailureDomain
  readonly rack: string
  readonly address: string
  readonly slots: number
  readonly cores: number
  readonly memoryMb: number
  readonly accelerators: number
  readonly leaving: boolean
}
