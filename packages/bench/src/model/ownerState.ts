/** What an owner may conclude from what it knows. */
import type { ProtocolRules } from './rules.js'
import type { EndpointIndex, JobIndex, OwnerState } from './types.js'
import { at } from './state.js'

/** @returns whether no run can exist or begin that the owner has not seen or ordered itself */
export function knowsAllRuns (owner: OwnerState, rules: ProtocolRules): boolean {
  return owner.outwaited && (!rules.askEveryEndpoint || owner.views.every(view => view !== 'unknown'))
}

/** @returns whether the owner may store, acknowledge and show ends of runs: no predecessor can start a run after them */
export function isSettled (owner: OwnerState, rules: ProtocolRules): boolean {
  return !rules.settleBeforeAcknowledging || knowsAllRuns(owner, rules)
}

/** @returns whether the owner may start the job's task at an endpoint that has answered under its token */
export function mayStart (owner: OwnerState, index: JobIndex, endpoint: EndpointIndex, maxAttempts: number, rules: ProtocolRules): boolean {
  const job = owner.jobs[index]
  if (job === undefined || !owner.hasProof || at(owner.views, endpoint) !== 'answered') return false
  if (job.accepted !== 'stored' && rules.startAfterWrite) return false
  if (job.cancelled !== 'no' || job.done !== 'no' || job.failed.length >= maxAttempts || job.run !== undefined) return false
  return job.isNew || knowsAllRuns(owner, rules)
}
