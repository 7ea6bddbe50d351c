/**
 * The endpoints' HTTP API, published in docs/ENDPOINT.md. Each task has one start request and one answer. A refusal is an
 * answer that guarantees that this request has not started the task.
 */
import type { EndpointId, FailureDomain, TaskId } from './ids.js'
import type { Ms } from './clock.js'

/** Body of `POST /v1/start`. */
export interface StartRequest {
  readonly taskId: TaskId
  /** Holder id of the instance that is responsible for the task and renews its lease. */
  readonly holder: string
  /** The endpoint ends the task when no renewal arrives within this time. */
  readonly leaseMs: Ms
  /** Wall-clock time after which the endpoint must refuse the start. */
  readonly notAfter: Ms
  readonly cores: number
  readonly memoryMb: number
  readonly accelerators: number
  readonly payload: unknown
}

/**
 * Why an endpoint refused a start. The refused request has not started the task; `known` means that the endpoint already
 * knows the task from an earlier request.
 */
export type RefusalReason = 'busy' | 'expired' | 'leaving' | 'tooLarge' | 'known'

/** Outcome of a start as its holder sees it. `unknown` means that the request was sent and no answer arrived, so the task may have run. */
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

/** An endpoint in the platform's instance list. */
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
