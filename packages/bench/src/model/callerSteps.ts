/**
 * Steps of callers and fronts: copies of a job and its cancel reach an owner. A front that is lost is a copy or an answer that is lost; copies
 * may be delivered in any order and at any later time, as may copies of a job that was accepted long before.
 */
import { isSettled } from './ownerState.js'
import { judgeRefused } from './oracle.js'
import type { ProtocolRules } from './rules.js'
import { at, indexesOf, replaceAt, sendWrite, spend, updateCaller, updateJob } from './state.js'
import type { CallerState, JobIndex, ModelState, OwnedJob, OwnerIndex, OwnerState, Scope, Transition } from './types.js'

/** Copies of one job that may be on their way or wait at owners at the same time. */
const COPIES_MAX = 2

/** Adds the steps of callers and fronts that are possible in a state. */
export function addCallerSteps (state: ModelState, rules: ProtocolRules, scope: Scope, add: (transition: Transition) => void): void {
  for (const job of indexesOf<JobIndex>(state.callers)) {
    const caller = at(state.callers, job)
    if (mayResend(state, job)) add({ step: { type: 'resend', job }, state: updateCaller(spend(state, 'resends'), job, { copies: caller.copies + 1 }), isFault: true, violation: undefined })
    for (const owner of indexesOf<OwnerIndex>(state.owners)) {
      if (at(state.owners, owner).token === 0) continue
      if (caller.copies > 0) addDeliveries(state, job, owner, rules, add)
      if (caller.cancel === 'requested') addCancelDelivery(state, job, owner, false, rules, scope, add)
      if (mayCancel(state, caller)) addCancelDelivery(updateCaller(spend(state, 'cancels'), job, { cancel: 'requested' }), job, owner, true, rules, scope, add)
    }
  }
}

function mayResend (state: ModelState, job: JobIndex): boolean {
  const { answer, copies } = at(state.callers, job)
  return state.allowance.resends > 0 && answer !== 'refused' && !isUntouched(state, job) && copies + waitingCopies(state, job) < COPIES_MAX
}

function mayCancel ({ allowance }: ModelState, { answer, cancel, shown }: CallerState): boolean {
  return allowance.cancels > 0 && answer === 'accepted' && cancel === 'none' && shown === 'none'
}

function isUntouched ({ callers, owners }: ModelState, job: JobIndex): boolean {
  const { copies, copyLost, answer } = at(callers, job)
  return copies === 1 && !copyLost && answer === 'none' && owners.every(({ jobs }) => jobs[job] === undefined)
}

function waitingCopies ({ owners }: ModelState, job: JobIndex): number {
  return owners.reduce((sum, { jobs }) => sum + (jobs[job]?.waitingCopies ?? 0), 0)
}

function addDeliveries (state: ModelState, job: JobIndex, index: OwnerIndex, rules: ProtocolRules, add: (transition: Transition) => void): void {
  const owner = at(state.owners, index)
  const taken = updateCaller(state, job, { copies: at(state.callers, job).copies - 1 })
  const known = owner.jobs[job]
  if (known !== undefined) {
    const next = known.accepted === 'stored'
      ? answerAccepted(taken, job)
      : { ...taken, owners: replaceAt(taken.owners, index, updateJob(owner, job, { waitingCopies: known.waitingCopies + 1 })) }
    add({ step: { type: 'deliverCopy', job, owner: index, verdict: 'known' }, state: next, isFault: false, violation: undefined })
    return
  }
  const admitted = admit(taken, job, index, owner, rules)
  add({ step: { type: 'deliverCopy', job, owner: index, verdict: 'admitted' }, state: admitted, isFault: false, violation: undefined })
  if (state.allowance.declines === 0) return
  const declined = answerDeclined(spend(taken, 'declines'), job, rules)
  add({ step: { type: 'deliverCopy', job, owner: index, verdict: 'declined' }, state: declined, isFault: true, violation: at(declined.callers, job).answer === 'refused' ? judgeRefused(declined, job) : undefined })
}

function admit (state: ModelState, job: JobIndex, index: OwnerIndex, owner: OwnerState, rules: ProtocolRules): ModelState {
  const admitted: OwnedJob = { accepted: 'wanted', cancelled: 'no', done: 'no', failed: [], waitingCopies: 1, isNew: true, run: undefined }
  const next = sendWrite({ ...owner, jobs: replaceAt(owner.jobs, job, admitted) }, isSettled(owner, rules))
  const after = { ...state, owners: replaceAt(state.owners, index, next) }
  return rules.confirmAfterWrite ? after : answerAccepted(after, job)
}

/** Tells a caller that its job is accepted, unless it was told otherwise. */
export function answerAccepted (state: ModelState, job: JobIndex): ModelState {
  return at(state.callers, job).answer === 'none' ? updateCaller(state, job, { answer: 'accepted' }) : state
}

/** Handles a decline at the front, which refuses the job if no other copy can have been taken. */
export function answerDeclined (state: ModelState, job: JobIndex, rules: ProtocolRules): ModelState {
  const { answer, copies, copyLost } = at(state.callers, job)
  const isLast = copies === 0 && !copyLost && waitingCopies(state, job) === 0
  return answer === 'none' && (isLast || !rules.awaitEveryCopy) ? updateCaller(state, job, { answer: 'refused' }) : state
}

/** A cancel that has not reached any owner changes nothing, so a caller cancels a job when an owner hears of it. */
function addCancelDelivery (state: ModelState, job: JobIndex, index: OwnerIndex, isFault: boolean, rules: ProtocolRules, scope: Scope, add: (transition: Transition) => void): void {
  const owner = at(state.owners, index)
  const known = owner.jobs[job]
  if (known === undefined || known.done !== 'no' || known.failed.length >= scope.maxAttempts) return
  const confirmed = updateCaller(state, job, { cancel: 'confirmed' })
  const step = { type: 'deliverCancel', job, owner: index } as const
  if (known.cancelled === 'stored') add({ step, state: confirmed, isFault, violation: undefined })
  if (known.cancelled !== 'no') return
  if (!rules.confirmCancelAfterWrite) {
    add({ step, state: { ...confirmed, owners: replaceAt(state.owners, index, updateJob(owner, job, { cancelled: 'stored' })) }, isFault, violation: undefined })
    return
  }
  const next = sendWrite(updateJob(owner, job, { cancelled: 'wanted' }), isSettled(owner, rules))
  add({ step, state: { ...state, owners: replaceAt(state.owners, index, next) }, isFault, violation: undefined })
}
