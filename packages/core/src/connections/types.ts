/**
 * Types of the connections decision: what one instance spends on connections that others opened to it, or on answers that it receives, and which
 * of them it gives up when the budget is used up.
 */
import type { Ms } from '@cranberryyard/protocol'

/** Resources of the machine, from the settings. */
export interface MachineLimits {
  readonly memoryMb: number
  readonly maxFds: number
}

/** What connections of one kind may use together. */
export interface Allowance {
  readonly connections: number
  readonly bytes: number
}

/** The allowances of an instance. Each kind has its own, so that a crowd of callers cannot take what peers need. */
export interface ConnectionAllowances {
  readonly callers: Allowance
  /** Connections that peers opened. */
  readonly peers: Allowance
  /** Connections of operators. */
  readonly operators: Allowance
  /** Answers of endpoints and of the store while they are received; `connections` counts calls. */
  readonly answers: Allowance
}

/** Connections to each kind of port that may wait to be accepted. What they have sent waits unread. */
export interface ConnectionBacklogs {
  readonly callers: number
  readonly peers: number
  /** Ports for probes and for metrics. */
  readonly others: number
}

/**
 * What a connection does. `idle`: nothing has arrived of a next request. `receiving`: a request or message has begun and is not complete. `served`: what
 * has arrived is complete, and this instance owes the answer. `answered`: its last answer is written, and what arrives is dropped.
 */
export type ConnectionPhase = 'idle' | 'receiving' | 'served' | 'answered'

/** Why a connection is closed. */
export type CloseReason =
  /** There are more connections than the allowance. */
  | 'tooMany'
  /** Connections hold more bytes than the allowance. */
  | 'memory'
  /** A request or message arrives too slowly, or a peer has never sent any. */
  | 'stalled'
  /** The other side does not read its answers. */
  | 'unread'
  /** A body, message or answer is larger than the limit. */
  | 'tooLarge'

/** One connection. It is the handle by which the shell names it. */
export interface Connection {
  readonly openedAt: Ms
  phase: ConnectionPhase
  /** When this phase began. */
  since: Ms
  /** Bytes that are held for it beyond `CONNECTION_BYTES`. */
  bytes: number
  /** Bytes that have arrived in this phase. */
  received: number
  /** Whether bytes of it wait for a turn of this instance, which then owes the progress. */
  awaitsTurn: boolean
}

/** Limits that do not depend on the machine. */
export interface ConnectionSettings {
  /** Time for which a request or message may stand still, whatever has arrived of it. */
  readonly stallGraceMs: Ms
  /** Rate in bytes per second below which a request or message counts as stalled once the grace is over. */
  readonly leastBytesPerS: number
}
