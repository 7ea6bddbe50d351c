/** The mutations of the protocol: each leaves one of its rules out, and names what must break in a scope with one job. */
import type { ModelRule } from './explore.js'
import type { ProtocolRule } from './rules.js'
import { scope } from './scopes.js'
import type { Scope } from './types.js'

export interface Mutation {
  /** The rule of the protocol that is left out. */
  readonly rule: ProtocolRule
  /** The first rule that the shortest sequence of steps breaks. */
  readonly breaks: ModelRule
  readonly scope: Scope
}

const oneEndpoint = { jobs: 1, endpoints: 1, maxAttempts: 1 }
const twoEndpoints = { jobs: 1, endpoints: 2, maxAttempts: 1 }
const twoAttempts = { jobs: 1, endpoints: 1, maxAttempts: 2 }

export const MUTATIONS: readonly Mutation[] = [
  { rule: 'confirmAfterWrite', breaks: 'LOST', scope: scope('one crash', oneEndpoint, { crashes: 1 }) },
  { rule: 'startAfterWrite', breaks: 'TWICE', scope: scope('a suspected owner, a repeated copy', twoEndpoints, { suspicions: 1, resends: 1 }) },
  { rule: 'readOnTakeover', breaks: 'LOST', scope: scope('one crash', oneEndpoint, { crashes: 1 }) },
  { rule: 'readAfterClaim', breaks: 'LOST', scope: scope('one crash', oneEndpoint, { crashes: 1 }) },
  { rule: 'conditionalWrites', breaks: 'LOST', scope: scope('a suspected owner', oneEndpoint, { suspicions: 1 }) },
  { rule: 'heedConflicts', breaks: 'LOST', scope: scope('a suspected owner', oneEndpoint, { suspicions: 1 }) },
  { rule: 'settleLostReplies', breaks: 'REFUSED', scope: scope('a lost reply, one crash', oneEndpoint, { crashes: 1, answerLosses: 1 }) },
  { rule: 'confirmCancelAfterWrite', breaks: 'UNASKED', scope: scope('a cancel, one crash', oneEndpoint, { crashes: 1, cancels: 1 }) },
  { rule: 'storeDoneBeforeAcknowledging', breaks: 'TWICE', scope: scope('one crash', oneEndpoint, { crashes: 1 }) },
  { rule: 'storeFailedBeforeAcknowledging', breaks: 'BUDGET', scope: scope('a failed run, one crash', oneEndpoint, { crashes: 1, failures: 1 }) },
  { rule: 'settleBeforeAcknowledging', breaks: 'TWICE', scope: scope('a suspected owner, a restarted endpoint', twoEndpoints, { restarts: 1, suspicions: 1 }) },
  { rule: 'showAfterWrite', breaks: 'TWICE', scope: scope('a silent endpoint, one crash', twoEndpoints, { crashes: 1, silences: 1 }) },
  { rule: 'askEveryEndpoint', breaks: 'TWICE', scope: scope('one crash', twoEndpoints, { crashes: 1 }) },
  { rule: 'outwaitPredecessor', breaks: 'TWICE', scope: scope('a suspected owner, a restarted endpoint', twoEndpoints, { restarts: 1, suspicions: 1 }) },
  { rule: 'askAfterOutwaiting', breaks: 'TWICE', scope: scope('a suspected owner, a restarted endpoint', twoEndpoints, { restarts: 1, suspicions: 1 }) },
  { rule: 'proofFromSending', breaks: 'TWICE', scope: scope('a suspected owner, a restarted endpoint', twoEndpoints, { restarts: 1, suspicions: 1 }) },
  { rule: 'proveAfterOutwaiting', breaks: 'TWICE', scope: scope('a silent endpoint, a suspected owner', twoEndpoints, { silences: 1, suspicions: 1 }) },
  { rule: 'startDeadline', breaks: 'TWICE', scope: scope('a late start', twoEndpoints, { startLosses: 1 }) },
  { rule: 'nameIncarnation', breaks: 'TWICE', scope: scope('a crash of both kinds', twoEndpoints, { crashes: 1, restarts: 1 }) },
  { rule: 'countEndsByRun', breaks: 'LOST', scope: scope('failed runs, one crash', twoAttempts, { crashes: 1, failures: 2 }) },
  { rule: 'distrustAbsence', breaks: 'MIXED', scope: scope('a lost start', oneEndpoint, { startLosses: 1 }) },
  { rule: 'repeatLostStarts', breaks: 'STUCK', scope: scope('a lost start', oneEndpoint, { startLosses: 1 }) },
  { rule: 'awaitEveryCopy', breaks: 'REFUSED', scope: scope('a declined copy of two, a suspected owner', oneEndpoint, { suspicions: 1, resends: 1, declines: 1 }) }
]
