/**
 * Types of the endpoint ledger: the owner's view of each endpoint of its shards and of the runs there, and the interface
 * through which changes of runs are reported. The ledger reserves capacity for every run that may still take effect, so it can
 * contain runs that the endpoint itself has already ended or will never start.
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
 * State of a run in the ledger.
 * `ordered`: the start was sent and not yet answered; it may still take effect until `notAfter`.
 * `unclaimed`: the run was found at the endpoint after a takeover, and no job has claimed it, so its resource needs are unknown; or
 * its job was dropped after a pause of this process.
 */
export type RunState = 'ordered' | 'running' | 'stopping' | 'unclaimed'

/**
 * Until when the runs of a job may go on unless its front confirms the job again. Endpoints enforce it: no order lets their lease last longer. The runs of
 * a job share one object, which the job's confirmations extend.
 */
export interface RunLease {
  endsBy: Ms
}

/** A run that occupies capacity at an endpoint. */
export interface LedgerRun {
  readonly task: TaskName
  readonly run: number
  readonly endpoint: EndpointId
  /** Undefined for a run that was found and never claimed; nothing else starts at the endpoint while it is there. */
  needs: Resources | undefined
  state: RunState
  /** Expected run time at this endpoint; undefined for a run that no job has claimed. */
  expectedMs: number | undefined
  /** Text handed to the task; kept because the start may have to be sent again. */
  readonly spec: string
  /** Latest time, on the endpoint's clock, at which any of the start orders can still take effect. */
  notAfter: EndpointClockMs
  /** When the start was first sent. */
  readonly orderedAt: Ms
  /** When the endpoint confirmed the start, or when the run became unclaimed. */
  startedAt: Ms
  /** The endpoint's clock when it confirmed the start; undefined for a run of which that is not known. */
  startedClock: EndpointClockMs | undefined
  /** Run time by the endpoint's clock, which does not depend on how late this owner handles answers; undefined if either end of it is not known. */
  ranMs: number | undefined
  /** When the endpoint last listed the run, as far as its clock tells. */
  listedAt: Ms
  /** True once the endpoint has confirmed the start or listed the run. */
  confirmed: boolean
  /** Fencing token of the latest order. */
  token: FencingToken
  /** Order id of the latest start or stop, to match its answer. */
  orderId: number
  /** The lease of its job; that of a found run has ended until a job claims the run. */
  lease: RunLease
  /** Nothing else starts at the endpoint while the run is there. */
  exclusive: boolean
  /** How often the latest order, a start or a stop, was sent. */
  sends: number
  /** How often the start could not be sent, or was refused by the network, so that it did not arrive. */
  refusedSends: number
  /** How often the start was sent without an answer, so that it may have arrived. */
  silentSends: number
  /** The start had no outcome at a time at which it could not be sent again. */
  awaitsRetry: boolean
  lastSentAt: Ms
  /** When the start was last sent. */
  startSentAt: Ms
  percent: number
  percentAt: Ms
  /** Progress at the time at which this owner found the run; undefined for a run that it started itself. */
  readonly foundPercent: number | undefined
}

/** A hold (a long poll that may renew leases) that the endpoint has not answered yet. */
export interface PendingHold {
  readonly orderId: number
  readonly token: FencingToken
  readonly sentAt: Ms
  /** The endpoint answers it when a run ends, and not at once. */
  readonly waits: boolean
  /** The endpoint was observed without a gap up to this hold, which waits for an end; the end's time is therefore known. */
  readonly endTimeKnown: boolean
}

/**
 * What showed that a run was lost. `refused`: the endpoint refused connections until the leases had run out, so it has most likely
 * crashed. `silent`: it gave no answer, so it may have crashed or been cut off. `restarted`: another incarnation of it answered.
 * `unlisted`: it answers and no longer lists the run.
 */
export type LossReason = 'refused' | 'silent' | 'restarted' | 'unlisted'

/** The circumstances of a lost run. */
export interface RunLoss {
  readonly why: LossReason
  /** Number of runs that the endpoint had when it was lost, this one included. */
  readonly runsThere: number
  readonly endpoint: LedgerEndpoint
}

/** The owner's view of one endpoint. */
export interface LedgerEndpoint {
  readonly id: EndpointId
  report: EndpointReport
  /** The endpoint has answered under the present fencing token; before that nothing may start there. */
  answeredUnderToken: boolean
  /** Incarnation of the endpoint (its start time) whose listing was seen last. */
  bornAt: number | undefined
  /** The endpoint's clock minus this instance's, at the latest answer. */
  clockOffset: number | undefined
  /** The same at the answer that was handled most promptly, with the time at which it was handled. */
  promptOffset: { readonly value: number, readonly at: Ms } | undefined
  /** How late the latest listing was handled, compared with the most prompt one. */
  handlingDelayMs: Ms
  readonly runs: Map<TaskName, LedgerRun>
  /** Sequence number of the latest end that this owner has processed. */
  acknowledged: number
  hold: PendingHold | undefined
  /** Number of consecutive holds without an answer. */
  unansweredHolds: number
  /** Runs that were lost because the endpoint did not answer. Its next answer shows whether it had crashed. */
  runsLostInSilence: readonly LedgerRun[]
  /** The runs there when one of the consecutive holds without an answer was first refused; undefined when none was. */
  runsAtRefusal: readonly LedgerRun[] | undefined
  /** Time of the latest answer to a hold. */
  answeredAt: Ms
  /** When the next hold is due if none is pending. */
  nextHoldAt: Ms
  /** Latest time, on this instance's clock, up to which runs may keep running without further holds. */
  leasesEndBy: Ms
  /** Latest time, on the endpoint's clock, up to which its lease may last. */
  leaseUntil: EndpointClockMs
  /** Nothing is placed before this time, because starts sent to an earlier incarnation may still arrive. */
  startsBlockedUntil: Ms
  /** The endpoint is slow until then, since it has started a short time ago; it gets one task at a time. */
  coldUntil: Ms
  /** The store's list has left the endpoint out for a while; it gets no more work. */
  unlisted: boolean
  /** This owner has seen the endpoint's entry in a list that it read since it took over. */
  listedSinceTakeover: boolean
  /** The entry dates from before the takeover and a list read since then lacks it; the endpoint may drain by now. */
  outdated: boolean
  /** The latest list lacks the entry, though the store answers; the endpoint may have shrunk or drain, and cannot tell. */
  cutOffFromStore: boolean
  /** Cached free capacity; undefined when it has to be computed again. */
  freeCapacity: Resources | undefined
}

/** Why a run has not started and never will. */
export type RejectionReason = 'refused' | 'unsent' | 'otherLife' | 'oldRun' | 'late' | 'noRoom' | 'invalid' | 'unhealthy' | 'fenced' | 'neverArrived'

/** Receives the changes of runs. */
export interface RunListener {
  runStarted (run: LedgerRun): void
  /** @param endTimeKnown - a hold was waiting at the endpoint when the run ended, so the time of the end is known */
  runEnded (run: LedgerRun, how: RunEnd, endTimeKnown: boolean): void
  /** The run has not started and never will. */
  runRejected (run: LedgerRun, reason: RejectionReason): void
  /** The run no longer exists and its end was not reported: its lease ran out, its endpoint restarted, or a later listing lacks it. */
  runLost (run: LedgerRun, loss: RunLoss): void
  /**
   * An endpoint refuses connections, so it has most likely crashed under these runs, which are lost once their leases have ended.
   * Called again for a run whose start had no outcome at that time and may have arrived.
   */
  endpointRefused (endpoint: LedgerEndpoint, runs: readonly LedgerRun[], runsThere: number): void
  /** The endpoint answers in the given incarnation, which settles what became of runs that this owner or an earlier one lost in its silence. */
  endpointAnswered (endpoint: LedgerEndpoint, bornAt: number): void
  /** The endpoint answers again in the same incarnation, so it had not crashed under these runs. */
  endpointBack (endpoint: LedgerEndpoint, runs: readonly LedgerRun[]): void
  /** The endpoint answers in another incarnation, so it had crashed under these runs, which were lost in silence. */
  endpointHadCrashed (endpoint: LedgerEndpoint, runs: readonly LedgerRun[]): void
  runProgressed (run: LedgerRun): void
  /** The endpoint listed a run that the ledger did not contain, such as one of an earlier owner. */
  runFound (run: LedgerRun): void
  /** Capacity may have become free at an endpoint. */
  capacityChanged (): void
  /** An endpoint refused this owner's fencing token, so another instance has taken over the shard. */
  superseded (failureDomain: FailureDomain, token: FencingToken): void
}
