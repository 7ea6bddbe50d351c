/**
 * Inputs and effects of an instance that owns or uses shards of endpoints, and the context that its decisions share. They
 * are the whole interface between the decisions and the shell around them, which does the I/O.
 */
import type {
  DesiredState,
  EndpointClockMs,
  EndpointId,
  EndpointReport,
  Evacuations,
  FencingToken,
  HoldOutcome,
  InstanceId,
  JobRequest,
  JobOutcome,
  MemberRecord,
  Ms,
  Revised,
  ShardMessage,
  ShardRecord,
  TaskName,
  TaskStartOutcome,
  TaskStopOutcome
} from '@cranberryyard/protocol'
import type { ShardCounterName, ShardGaugeName } from './counters.js'
import type { ShardSettings } from './settings.js'

/** This instance as it registers in the store. */
export type ShardSelf = MemberRecord

/** How a conditional write to the store ended; `unknown` means that it may still take effect. */
export type ClaimResult =
  | { readonly type: 'written', readonly revision: number }
  | { readonly type: 'conflict' }
  | { readonly type: 'unavailable' }
  | { readonly type: 'unknown' }

export type ShardInput =
  | { readonly type: 'tick' }
  | { readonly type: 'submit', readonly callId: string, readonly host: string, readonly path: string, readonly job: JobRequest, readonly deadlineMs: Ms }
  | { readonly type: 'callerLeft', readonly callId: string }
  | { readonly type: 'peer', readonly from: InstanceId, readonly message: ShardMessage }
  | { readonly type: 'sendFailed', readonly to: InstanceId, readonly message: ShardMessage }
  | { readonly type: 'linkDown', readonly peer: InstanceId }
  | { readonly type: 'holdOutcome', readonly endpoint: EndpointId, readonly orderId: number, readonly outcome: HoldOutcome }
  | { readonly type: 'taskStartOutcome', readonly endpoint: EndpointId, readonly orderId: number, readonly outcome: TaskStartOutcome }
  | { readonly type: 'taskStopOutcome', readonly endpoint: EndpointId, readonly orderId: number, readonly outcome: TaskStopOutcome }
  | { readonly type: 'desired', readonly state: DesiredState }
  | { readonly type: 'evacuations', readonly evacuations: Evacuations }
  /** `fresh`: the read began after this instance had become an owner, and was not served from a copy that may be stale. */
  | { readonly type: 'endpoints', readonly reports: readonly EndpointReport[], readonly fresh: boolean }
  | { readonly type: 'records', readonly members: readonly Revised<MemberRecord>[], readonly shards: readonly Revised<ShardRecord>[] }
  | { readonly type: 'storeReachable', readonly reachable: boolean }
  | { readonly type: 'claimOutcome', readonly claimId: number, readonly result: ClaimResult }
  | { readonly type: 'leave' }

/** How far this process has read what its callers sent. Everything that had arrived by `upTo` was handled by `endedAt`. */
export interface CallerReads {
  readonly upTo: Ms
  readonly endedAt: Ms
  /** Returns up to when the connection of a call has been read, if that is behind `upTo`, since input waits there for its turn. */
  behindAt? (callId: string): Ms | undefined
}

/**
 * Why a job was refused. No part of it has run or will run. `outdatedState`: a newer version is still on its way, and there is
 * no such queue here, or the version here was replaced too long ago. `evacuated`: operators have emptied every failure domain.
 */
export type RefusalCause = 'noDesiredState' | 'outdatedState' | 'noQueue' | 'unsupported' | 'noOwner' | 'overloaded' | 'cannotFit' | 'leaving' | 'evacuated'

/** Answer to a caller. */
export type CallerReply =
  | { readonly type: 'ended', readonly outcome: JobOutcome }
  /** The job has not run; the caller may send it again after the given time. */
  | { readonly type: 'refused', readonly cause: RefusalCause, readonly retryAfterMs: Ms }
  /** The job may have run; the caller may send it again. */
  | { readonly type: 'lost' }

/**
 * How fresh the store's lists have to be for an instance. `owner`: it acts on them. `losing`: the same while entries of endpoints go missing, since more may follow. `near`: it may have to take over soon,
 * or its domain has no known owner. `far`: it needs them only if all instances ranked before it are lost.
 */
export type ListPace = 'losing' | 'owner' | 'near' | 'far'

/** Fields of a log line. Those that every line carries are reserved: a reader of JSON keeps only one of two fields with the same name. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>> & { readonly instance?: never, readonly incarnation?: never, readonly failureDomain?: never }

export type ShardEffect =
  | { readonly type: 'reply', readonly callId: string, readonly reply: CallerReply }
  | { readonly type: 'send', readonly to: InstanceId, readonly address: string, readonly message: ShardMessage }
  | { readonly type: 'resetLink', readonly peer: InstanceId }
  /** Send later messages to the peer on a new connection; those on the present one may still arrive. */
  | { readonly type: 'renewLink', readonly peer: InstanceId }
  | { readonly type: 'hold', readonly endpoint: EndpointId, readonly address: string, readonly orderId: number, readonly token: FencingToken, readonly extendTo: EndpointClockMs | undefined, readonly acknowledged: number, readonly waitMs: Ms, readonly timeoutMs: Ms }
  /** `bornAt`: the incarnation of the endpoint, which is the only one that may carry out the order. */
  | { readonly type: 'startTask', readonly endpoint: EndpointId, readonly bornAt: number, readonly address: string, readonly orderId: number, readonly token: FencingToken, readonly task: TaskName, readonly run: number, readonly spec: string, readonly notAfter: EndpointClockMs, readonly timeoutMs: Ms }
  | { readonly type: 'stopTask', readonly endpoint: EndpointId, readonly address: string, readonly orderId: number, readonly token: FencingToken, readonly task: TaskName, readonly run: number, readonly timeoutMs: Ms }
  | { readonly type: 'writeMember', readonly record: MemberRecord }
  | { readonly type: 'claimShard', readonly claimId: number, readonly expectedRevision: number, readonly record: ShardRecord }
  /** Read the member and shard records again at once. */
  | { readonly type: 'refreshRecords' }
  /** Change how often the store's lists are read. */
  | { readonly type: 'listPace', readonly pace: ListPace }
  | { readonly type: 'state', readonly name: 'ready' | 'notReady' | 'drained' }
  | { readonly type: 'log', readonly level: 'info' | 'warn', readonly event: string, readonly fields: LogFields }
  | { readonly type: 'observe', readonly histogram: 'jobMs' | 'queueWaitMs' | 'takeoverMs', readonly label: string, readonly valueMs: number }

/** Collects the effects of one input, and the counters. */
export class ShardOutbox {
  private effects: ShardEffect[] = []
  readonly counters = new Map<ShardCounterName, number>()
  readonly gauges = new Map<ShardGaugeName, number>()

  /** @param effect - action that the shell has to perform */
  push (effect: ShardEffect): void {
    this.effects.push(effect)
  }

  /** Returns the effects pushed since the last call and removes them. */
  takeEffects (): ShardEffect[] {
    const taken = this.effects
    this.effects = []
    return taken
  }

  /** Logs one change in what this instance knows, or one decision about a job. */
  log (event: string, fields: LogFields, level: 'info' | 'warn' = 'info'): void {
    this.push({ type: 'log', level, event, fields })
  }

  /** Adds to a counter. */
  count (name: ShardCounterName, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by)
  }

  setGauge (name: ShardGaugeName, value: number): void {
    this.gauges.set(name, value)
  }
}

/**
 * Context shared by all decisions. `now` is the monotonic time of the current input. Peers are told `now + suspendedMs`: some monotonic clocks do not
 * count the time for which a machine is suspended, and messages that arrived meanwhile must not count as sent just now.
 */
export interface ShardContext {
  readonly self: ShardSelf
  readonly cfg: ShardSettings
  readonly out: ShardOutbox
  now: Ms
  suspendedMs: Ms
}
