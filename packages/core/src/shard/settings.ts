/**
 * Settings of an instance that owns or uses shards of endpoints, with their defaults. All time spans are in milliseconds.
 * Bounds that the platform specifies (lease, stop, resend) are filled in at start.
 */
import type { Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { ListPace } from './types.js'

/** Settings of the shard decisions. */
export interface ShardSettings {
  /** Silence after which a front pings the owner of its own failure domain. */
  readonly pingMs: Ms
  /** The same for owners of other domains, which a front uses only when its own domain has no free capacity. */
  readonly remotePingMs: Ms
  /** Silence after which a connection to a peer is replaced. */
  readonly reconnectAfterMs: Ms
  /** Silence after which a peer counts as lost. The tasks of a lost front must have ended before its callers resubmit their jobs. */
  readonly peerTimeoutMs: Ms
  /**
   * An owner takes no order that is older than this, and starts nothing for a job whose confirmation is: what starts until then is valid for
   * `startValidMs` and ends before the caller sends the job again.
   */
  readonly jobLeaseMs: Ms
  /** Shortest time after which a caller sends a job again whose outcome it does not know (bound of the platform). */
  readonly resendMs: Ms
  /** Period at which fronts confirm their jobs to owners. */
  readonly confirmMs: Ms
  /**
   * Pause before an instance that lost a shard claims it again. Without it, two instances that cannot reach each other
   * would take the shard from each other in turns.
   */
  readonly reclaimMs: Ms
  /** Delay of a claim for each successor ranked before this one, so that successors do not all claim at once. */
  readonly successionMs: Ms
  /** Time-out for the store's answer to a claim, after which a successor takes over by its rank. */
  readonly claimTimeoutMs: Ms
  /** Longest lease that an endpoint grants (bound of the platform). */
  readonly leaseMs: Ms
  /** Largest fraction by which an endpoint's clock may run slow (bound of the platform). */
  readonly clockDrift: number
  /** Validity of a start order; an endpoint refuses it afterwards. Short, because its capacity stays reserved until then. */
  readonly startValidMs: Ms
  /** Time-out for the answer to a start or stop order; several round trips. */
  readonly orderTimeoutMs: Ms
  /** How long a hold waits at an endpoint with runs for a run to end; also the period at which progress is reported. */
  readonly holdWaitMs: Ms
  /** Period of holds at an endpoint without runs. */
  readonly idleHoldPeriodMs: Ms
  /** Period of holds at an endpoint that does not answer. */
  readonly silentHoldPeriodMs: Ms
  /** Slack added to the end of leases for delays of the process scheduler and the network. */
  readonly leaseSlackMs: Ms
  /** Runs found after a takeover that no job claims within this span are stopped. */
  readonly claimGraceMs: Ms
  /** The same at an endpoint that also has claimed runs, whose lease cannot be renewed meanwhile; a claim takes a live front one round trip. */
  readonly claimGraceBesideOthersMs: Ms
  /** Longest time until a superseded owner has stopped sending orders: one hold and its answer. */
  readonly supersededMs: Ms
  /** How long a front waits for a new owner before it gives up its jobs. */
  readonly ownerWaitMs: Ms
  /** An event loop that was blocked for longer drops its jobs, because other instances may have acted in the meantime. */
  readonly pauseMs: Ms
  /** Time from the request to stop until this process ends (grace period of the platform, less the time to close). */
  readonly leaveMs: Ms
  /** How long a leaving instance still accepts jobs on connections that are open; it refuses later ones. */
  readonly leaveAcceptMs: Ms
  /** Multiple of the latency objective up to which a late answer is still useful (bound of the platform). */
  readonly usefulFactor: number
  /** Time within which a version of the desired state has to be in force everywhere (bound of the platform). */
  readonly configApplyMs: Ms
  /** Time within which an evacuated failure domain must get no more starts (bound of the platform); undefined where operators cannot evacuate domains. */
  readonly evacuateMs: Ms | undefined
  /** How long endpoints that are missing from the store's list are kept; the span restarts when the store is reachable again. */
  readonly missingEndpointRetentionMs: Ms
}

/** Defaults for a platform that specifies no other bounds. */
export const SHARD_DEFAULTS: ShardSettings = {
  pingMs: ms(200),
  remotePingMs: ms(250),
  reconnectAfterMs: ms(400),
  peerTimeoutMs: ms(600),
  jobLeaseMs: ms(925),
  resendMs: ms(1300),
  confirmMs: ms(200),
  reclaimMs: ms(2500),
  successionMs: ms(150),
  claimTimeoutMs: ms(250),
  leaseMs: ms(1000),
  clockDrift: 0.02,
  startValidMs: ms(300),
  orderTimeoutMs: ms(100),
  holdWaitMs: ms(250),
  idleHoldPeriodMs: ms(2000),
  silentHoldPeriodMs: ms(200),
  leaseSlackMs: ms(60),
  claimGraceMs: ms(250),
  claimGraceBesideOthersMs: ms(100),
  supersededMs: ms(400),
  ownerWaitMs: ms(1200),
  pauseMs: ms(400),
  leaveMs: ms(5200),
  leaveAcceptMs: ms(1800),
  usefulFactor: 3,
  configApplyMs: ms(2000),
  evacuateMs: undefined,
  missingEndpointRetentionMs: ms(2500)
}

/**
 * Periods in milliseconds for reading the list of endpoints. An owner has to notice a draining endpoint in time; the other
 * instances only prepare for a takeover and may use a list that is slightly out of date.
 */
export const ENDPOINT_LIST_PERIODS_MS: Readonly<Record<ListPace, number>> = { owner: 800, near: 3000, far: 12_000 }
/** Periods in milliseconds for reading member and shard records. They can be long, since owners also announce themselves. */
export const RECORD_LIST_PERIODS_MS: Readonly<Record<ListPace, number>> = { owner: 1500, near: 1500, far: 5000 }
