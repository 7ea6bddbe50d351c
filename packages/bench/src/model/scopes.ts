/**
 * The scopes that are explored. The first one has what the recovery of jobs is about, for two jobs of one endpoint; in the others two owners meet at two endpoints,
 * or faults of other kinds are added, with one job where two would be too many states.
 */
import type { Allowance, Scope } from './types.js'

const NO_FAULTS: Allowance = { crashes: 0, restarts: 0, suspicions: 0, silences: 0, resends: 0, declines: 0, cancels: 0, failures: 0, answerLosses: 0, startLosses: 0 }

/** @returns a scope with two owners and no faults but the named ones */
export function scope (name: string, size: Pick<Scope, 'jobs' | 'endpoints' | 'maxAttempts'>, allowance: Partial<Allowance>): Scope {
  return { name, owners: 2, ...size, allowance: { ...NO_FAULTS, ...allowance } }
}

const twoJobs = { jobs: 2, endpoints: 1, maxAttempts: 1 }
const twoEndpoints = { jobs: 1, endpoints: 2, maxAttempts: 1 }
const twoAttempts = { jobs: 1, endpoints: 2, maxAttempts: 2 }

export const SCOPES: readonly Scope[] = [
  scope('two jobs, three crashes, a cancel', twoJobs, { crashes: 3, cancels: 1 }),
  scope('two jobs, copies that are declined, lost or sent again, a crash', twoJobs, { crashes: 1, resends: 1, declines: 1, answerLosses: 1 }),
  scope('copies that are declined, lost or sent again, a suspected owner', { ...twoJobs, jobs: 1 }, { suspicions: 1, resends: 1, declines: 1, answerLosses: 1 }),
  scope('copies that are sent again, a suspected owner', twoEndpoints, { suspicions: 1, resends: 1 }),
  scope('a suspected owner, a restarted endpoint, a cancel', twoEndpoints, { suspicions: 1, restarts: 1, cancels: 1 }),
  scope('a suspected owner, a silent endpoint, a crash', twoEndpoints, { suspicions: 1, silences: 1, crashes: 1 }),
  scope('a suspected owner, a silent endpoint, a late start', twoEndpoints, { suspicions: 1, silences: 1, startLosses: 1 }),
  scope('a crash, a restarted endpoint, a silent endpoint, a cancel', twoEndpoints, { crashes: 1, restarts: 1, silences: 1, cancels: 1 }),
  scope('failed runs, a crash, a restarted endpoint', twoAttempts, { failures: 2, crashes: 1, restarts: 1 }),
  scope('failed runs, a suspected owner', twoAttempts, { failures: 2, suspicions: 1 })
]
