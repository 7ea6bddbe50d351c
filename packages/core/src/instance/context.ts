/**
 * The context that all deciders of an instance share: the instance's identity, the configuration, the time of the
 * current input, the random source, and the outbox. The outbox collects effects and counters, so that deciders
 * need no I/O and a test can replay an input with the same result.
 */
import type { InstanceId, Ms, PeerMessage } from '@cranberryyard/protocol'
import type { Random } from '../utils/random.js'
import type { CoreConfig, Effect, Self } from './types.js'

/** Collects the effects of the current input, and counters since the start of the instance. */
export class Outbox {
  private effects: Effect[] = []
  private readonly counters = new Map<string, number>()

  /**
   * Queues an effect.
   * @param effect - the action that the shell carries out
   */
  push (effect: Effect): void {
    this.effects.push(effect)
  }

  /** @returns the effects queued since the last call, in order; the queue is empty afterwards */
  takeEffects (): Effect[] {
    const queued = this.effects
    this.effects = []
    return queued
  }

  /**
   * Adds to a counter.
   * @param name - a name listed in docs/METRICS.md
   * @param by - the increment
   */
  count (name: CounterName, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by)
  }

  /** @returns totals since the start of the instance */
  totals (): ReadonlyMap<string, number> {
    return this.counters
  }
}

/** All counters of core with their help texts. docs/METRICS.md is checked against this list. */
export const COUNTERS = {
  'jobs.accepted': 'Submissions accepted.',
  'jobs.refused': 'Submissions refused; nothing ran.',
  'jobs.complete': 'Answers with every result.',
  'jobs.failed': 'Answers that report a failure.',
  'jobs.forwarded': 'Jobs sent to another instance for scheduling.',
  'jobs.resubmitted': 'Submissions answered from an earlier submission of the same request.',
  'tasks.started': 'Start requests sent to endpoints.',
  'tasks.done': 'Tasks with a result.',
  'tasks.failed': 'Tasks that their endpoint reported as failed.',
  'tasks.refused': 'Starts refused by an endpoint, known not to have run.',
  'tasks.unknown': 'Tasks whose outcome could not be learned.',
  'tasks.renewed': 'Task lease renewals sent, one a task.',
  'messages.sent': 'Messages to other instances.',
  'messages.control': 'Messages to other instances that serve no single job: heartbeats, fleet values, permits, claim transfer.',
  'permits.requested': 'Permit requests sent to lenders.',
  'permits.lapsed': 'Borrowed permits that ran out without renewal.',
  'claims.granted': 'Claims won on non-idempotent requests.',
  'claims.taken': 'Claims lost to an earlier submission.',
  'claims.undecidable': 'Claims without enough votes.',
  'endpoints.setAside': 'Endpoints taken out of use after failures.',
  'endpoints.probes': 'Probes of endpoints that are set aside.',
  'store.calls': 'Calls to the platform\'s store.',
  'store.conflicts': 'Compare-and-swap calls lost to another writer.',
  'members.suspected': 'Members whose heartbeat stood still.'
} as const

/** Name of a counter. */
export type CounterName = keyof typeof COUNTERS

/** Messages that serve a single job; `messages.control` counts all others. */
const JOB_MESSAGES: ReadonlySet<PeerMessage['type']> = new Set([
  'forward',
  'forwardCheck',
  'forwardCancel',
  'forwardReturn',
  'forwardAnswer',
  'answerRequest',
  'answerReply',
  'claimRequest',
  'claimVote',
  'claimRelease'
])

/** Shared by all deciders. `now` (monotonic) and `wall` (wall clock) are the times of the current input. */
export interface Context {
  readonly self: Self
  readonly cfg: CoreConfig
  readonly random: Random
  readonly out: Outbox
  now: Ms
  wall: Ms
}

/**
 * Queues a message to a peer and counts it.
 * @param ctx - context of the sending instance
 * @param to - the receiver
 * @param address - the receiver's peer address
 * @param message - the message
 */
export function sendPeer (ctx: Context, to: InstanceId, address: string, message: PeerMessage): void {
  ctx.out.count('messages.sent')
  if (!JOB_MESSAGES.has(message.type)) ctx.out.count('messages.control')
  ctx.out.push({ type: 'send', to, address, message })
}
