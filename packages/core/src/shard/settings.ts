/**
 * Settings of an instance that owns or uses shards of endpoints, with defaults. All spans are milliseconds.
 * Bounds that the platform states (lease, stop, resend) are filled in at start.
 */
import type { Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { ListPace } from './types.js'

/** Settings of the shard decisions. */
export interface ShardSettings {
  /** Silence after which a front pings the owner of its own failure domain. */
  readonly pingMs: Ms
  /** The same for other owners, which a front uses only when its own domain has no room. */
  readonly remotePingMs: Ms
  /** Silence after which a connection to a peer is replaced. */
  readonly relinkMs: Ms
  /** Silence after which a peer counts as lost. A lost front's tasks must be gone before its callers send again. */
  readonly peerTimeoutMs: Ms
  /** An owner drops a job that its front has not confirmed for this long, well before callers send it again. */
  readonly jobLeaseMs: Ms
  /** Period in which fronts confirm their jobs to owners. */
  readonly confirmMs: Ms
  /** Pause before an instance that lost a shard claims it again; two that cannot hear each other would take turns. */
  readonly reclaimMs: Ms
  /** Added for each successor before this one, so that they do not all claim at once. */
  readonly successionMs: Ms
  /** Longest wait for the store's answer to a claim before a successor takes over by its rank. */
  readonly claimTimeoutMs: Ms
  /** Longest lease an endpoint grants (platform's bound). */
  readonly leaseMs: Ms
  /** Share by which an endpoint's clock may be slow (platform's bound). */
  readonly clockDrift: number
  /** Time after which a start must be refused by the endpoint; short, since its room stays taken until then. */
  readonly startValidMs: Ms
  /** Longest wait for the answer to a start or stop; several round trips. */
  readonly orderTimeoutMs: Ms
  /** How long a hold waits at an endpoint with work for an end; also the period of progress figures. */
  readonly holdWaitMs: Ms
  /** Period of looks at an endpoint without work. */
  readonly idleLookMs: Ms
  /** Period of looks at an endpoint that does not answer. */
  readonly silentLookMs: Ms
  /** Slack of the scheduler and the network added to lease horizons. */
  readonly leaseSlackMs: Ms
  /** Runs found after a takeover that no front claims within this span are stopped. */
  readonly claimGraceMs: Ms
  /** Longest time until an owner that was superseded gives no more orders: one hold and its answer. */
  readonly supersededMs: Ms
  /** How long a front waits for a new owner before it gives its jobs up. */
  readonly ownerWaitMs: Ms
  /** An event loop that stood still for longer drops its sessions: others have acted meanwhile. */
  readonly pauseMs: Ms
  /** From the request to stop to the end of this process (platform's grace, less the time to close). */
  readonly leaveMs: Ms
  /** A leaving instance takes jobs on connections that are still open this long; later ones are refused. */
  readonly leaveTakeMs: Ms
  /** Factor of the objective up to which a late answer is of use (platform's bound). */
  readonly usefulFactor: number
  /** Entries of endpoints that are missing in the store's list are kept this long after the store came back. */
  readonly missingMs: Ms
}

/** Defaults for a platform that states nothing else. */
export const SHARD_DEFAULTS: ShardSettings = {
  pingMs: ms(200),
  remotePingMs: ms(250),
  relinkMs: ms(400),
  peerTimeoutMs: ms(600),
  jobLeaseMs: ms(700),
  confirmMs: ms(200),
  reclaimMs: ms(2500),
  successionMs: ms(150),
  claimTimeoutMs: ms(250),
  leaseMs: ms(1000),
  clockDrift: 0.02,
  startValidMs: ms(300),
  orderTimeoutMs: ms(100),
  holdWaitMs: ms(250),
  idleLookMs: ms(2000),
  silentLookMs: ms(200),
  leaseSlackMs: ms(60),
  claimGraceMs: ms(250),
  supersededMs: ms(400),
  ownerWaitMs: ms(1200),
  pauseMs: ms(400),
  leaveMs: ms(5200),
  leaveTakeMs: ms(1800),
  usefulFactor: 3,
  missingMs: ms(2500)
}

/**
 * Periods of reading the list of endpoints: an owner has to notice a draining endpoint in time; the others only prepare
 * for a takeover and may read what is a little old.
 */
export const ENDPOINTS_MS: Readonly<Record<ListPace, number>> = { owner: 800, near: 3000, far: 12_000 }
/** Periods of reading registrations and shard records; owners make themselves known besides. */
export const RECORDS_MS: Readonly<Record<ListPace, number>> = { owner: 1500, near: 1500, far: 5000 }
