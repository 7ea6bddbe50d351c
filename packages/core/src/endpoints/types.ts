/**
 * Types of the endpoint ledger: what an owner believes of each endpoint of its shards, and who learns of changes.
 */
import type {
  EndpointClockMs,
  EndpointId,
  EndpointReport,
  FencingToken,
  FailureDomain,
  Ms,
  Resources,
  RunEnd,
  TaskName
} from '@cranberryyard/protocol'

/**
 * A run as the ledger knows it. `ordered`: the start has no answer yet and may still take effect until `notAfter`.
 * `unclaimed`: found at the endpoint after a takeover; its size is unknown.
 */
export type RunState = 'ordered' | 'running' | 'stopping' | 'unclaimed'

/** A run that takes room at an endpoint. */
export interface LedgerRun {
  readonly task: TaskName
  readonly run: number
  readonly endpoint: EndpointId
  /** Unknown for a run that was found and never claimed; nothing else starts beside it. */
  needs: Resources | undefined
  state: RunState
  /** Text handed to the task; kept while the start may have to be sent again. */
  readonly spec: string
  /** Latest time at which any of the start orders can still take effect, on the endpoint's clock. */
  notAfter: EndpointClockMs
  /** When the start was first sent. */
  readonly orderedAt: Ms
  /** When the endpoint confirmed the start, or when the run was found. */
  startedAt: Ms
  /** The endpoint has confirmed the start or listed the run. */
  confirmed: boolean
  /** Token of the latest order. */
  token: FencingToken
  /** Order id of the latest start or stop, to match its answer. */
  orderId: number
  sends: number
  lastSentAt: Ms
  percent: number
  percentAt: Ms
  /** Progress when this owner found the run; undefined for a run that it started itself. */
  readonly foundPercent: number | undefined
}

/** One hold that has not been answered. */
export interface PendingHold {
  readonly orderId: number
  readonly token: FencingToken
  readonly sentAt: Ms
  /** The endpoint was being watched up to this hold, and the hold waits for an end. */
  readonly seamless: boolean
}

/** What an owner believes of one endpoint. */
export interface LedgerEndpoint {
  readonly id: EndpointId
  report: EndpointReport
  /** The endpoint answered under the present token; before that nothing may start there. */
  looked: boolean
  /** Life whose list was seen last. */
  bornAt: number | undefined
  /** The endpoint's clock minus this instance's, at the latest answer. */
  clockOffset: number | undefined
  readonly runs: Map<TaskName, LedgerRun>
  /** Highest end that was taken note of. */
  acknowledged: number
  hold: PendingHold | undefined
  /** Holds without an answer in a row. */
  silent: number
  /** Time of the latest answer to a hold. */
  answeredAt: Ms
  nextLookAt: Ms
  /** Until then runs may live on without further holds. */
  leaseHorizon: Ms
  /** Starts of an earlier life that may still arrive; nothing is placed before this time. */
  quarantineUntil: Ms
  /** The store's list has not shown the endpoint for a while; it gets no more work. */
  unlisted: boolean
  /** Room left; undefined when it has to be counted again. */
  free: Resources | undefined
}

/** Why a run has not started and will not. */
export type RejectionReason = 'oldRun' | 'late' | 'noRoom' | 'invalid' | 'unhealthy' | 'fenced' | 'neverArrived'

/** Receives what becomes of runs. */
export interface RunListener {
  runStarted (run: LedgerRun): void
  /** @param seenAtOnce - a hold was waiting at the endpoint when the run ended, so that its time is known */
  runEnded (run: LedgerRun, how: RunEnd, seenAtOnce: boolean): void
  /** The run has not started and will not. */
  runRejected (run: LedgerRun, reason: RejectionReason): void
  /** The endpoint was lost and the run can no longer live. */
  runLost (run: LedgerRun): void
  runProgressed (run: LedgerRun): void
  /** A run of an earlier owner was found at an endpoint. */
  runFound (run: LedgerRun): void
  /** Room may have become free at the endpoint. */
  roomChanged (): void
  /** An endpoint refused this owner's token. */
  superseded (failureDomain: FailureDomain, token: FencingToken): void
}
