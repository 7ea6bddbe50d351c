/**
 * Steps of owners among themselves and towards the store: takeover, the outcome of a write, the end of an ownership. Replies of the store
 * that are lost are not a step: the owner learns the outcome by reading, later.
 */
import { answerAccepted, answerDeclined } from './callerSteps.js'
import { judgeRefused, judgeShown } from './oracle.js'
import type { Judged } from './oracle.js'
import { isSettled } from './ownerState.js'
import type { ProtocolRules } from './rules.js'
import { afterExecution } from './storeSteps.js'
import { NO_TOKEN, at, factsSent, indexesOf, loseMemory, moveFacts, replaceAt, sendWrite, spend, updateCaller, updateOwner, voidOrders } from './state.js'
import type { EndpointView, FactsByJob, JobIndex, ModelState, OwnedJob, OwnerIndex, OwnerState, Scope, Token, Transition } from './types.js'

/** Adds the steps of owners that are possible in a state. */
export function addOwnerSteps (state: ModelState, rules: ProtocolRules, scope: Scope, add: (transition: Transition) => void): void {
  for (const index of indexesOf<OwnerIndex>(state.owners)) {
    const owner = at(state.owners, index)
    if (owner.token === NO_TOKEN) {
      addTakeover(state, index, rules, scope, add)
      continue
    }
    const executed = afterExecution(state, index, rules)
    const { write } = at(executed.owners, index)
    if (write === 'executed' || write === 'conflict') addOutcome(executed, index, rules, scope, add)
    if (owner.write !== 'none' && !rules.settleLostReplies && state.allowance.answerLosses > 0) add(giveUpWrite(state, index, rules))
    if (owner.token < state.store.token) add({ step: { type: 'noticeSuccessor', owner: index }, state: loseMemory(state, index, rules), isFault: false, violation: undefined })
    if (!owner.outwaited) add(outwaitPredecessor(state, index, rules, scope))
    if (state.allowance.crashes === 0) continue
    add({ step: { type: 'crashOwner', owner: index, writeExecuted: false }, state: loseMemory(spend(state, 'crashes'), index, rules), isFault: true, violation: undefined })
    if (executed !== state) add({ step: { type: 'crashOwner', owner: index, writeExecuted: true }, state: loseMemory(spend(executed, 'crashes'), index, rules), isFault: true, violation: undefined })
  }
}

/** A takeover writes the shard's record and reads its log. Idle owners are interchangeable, so the first of them acts. */
function addTakeover (state: ModelState, index: OwnerIndex, rules: ProtocolRules, scope: Scope, add: (transition: Transition) => void): void {
  if (state.owners.findIndex(({ token, readEarly }) => token === NO_TOKEN && readEarly === at(state.owners, index).readEarly) !== index) return
  const predecessorLives = state.owners.some(({ token }) => token !== NO_TOKEN && token === state.store.token)
  if (predecessorLives && state.allowance.suspicions === 0) return
  const { readEarly } = at(state.owners, index)
  if (!rules.readAfterClaim && readEarly === undefined) {
    add({ step: { type: 'readEarly', owner: index }, state: updateOwner(state, index, { readEarly: state.store.jobs }), isFault: false, violation: undefined })
    return
  }
  const token = state.store.token + 1 as Token
  const before = predecessorLives ? spend(state, 'suspicions') : state
  const othersLive = state.owners.some((other, i) => i !== index && other.token !== NO_TOKEN)
  const jobs = rules.readOnTakeover ? jobsRead(readEarly ?? state.store.jobs) : state.callers.map(() => undefined)
  const claimed: Partial<OwnerState> = { token, hasProof: true, outwaited: !othersLive || !rules.outwaitPredecessor, jobs, readEarly: undefined }
  const lateWrites = rules.conditionalWrites ? [] : before.lateWrites
  const next = updateOwner({ ...before, store: { ...before.store, token }, lateWrites }, index, claimed)
  const judged = showOutcomes({ state: next, violation: undefined }, index, rules, scope)
  add({ step: { type: 'claim', owner: index, token }, ...judged, isFault: predecessorLives })
}

function jobsRead (facts: FactsByJob): (OwnedJob | undefined)[] {
  return facts.map((job): OwnedJob | undefined => job && {
    accepted: job.accepted ? 'stored' : 'no',
    cancelled: job.cancelled ? 'stored' : 'no',
    done: job.done ? 'stored' : 'no',
    failed: job.failed.map(run => ({ run, status: 'stored' })),
    waitingCopies: 0,
    isNew: false,
    run: undefined
  })
}

function addOutcome (state: ModelState, index: OwnerIndex, rules: ProtocolRules, scope: Scope, add: (transition: Transition) => void): void {
  const owner = at(state.owners, index)
  if (owner.write === 'conflict' && rules.heedConflicts) {
    add({ step: { type: 'learnOutcome', owner: index, answersLost: false }, state: loseMemory(state, index, rules), isFault: false, violation: undefined })
    return
  }
  const stored = moveFacts(owner, 'sent', 'stored')
  const jobs = stored.jobs.map(job => job && (job.accepted === 'stored' ? { ...job, waitingCopies: 0 } : job))
  const hasProof = owner.hasProof || !rules.proofFromSending
  const next = sendWrite({ ...stored, jobs, write: 'none', hasProof }, isSettled(owner, rules))
  const learned = { ...state, owners: replaceAt(state.owners, index, next) }
  const answered = showOutcomes({ state: answerWaiting(learned, owner, next), violation: undefined }, index, rules, scope)
  add({ step: { type: 'learnOutcome', owner: index, answersLost: false }, ...answered, isFault: false })
  if (state.allowance.answerLosses === 0 || answered.state.callers === learned.callers) return
  const lost = showOutcomes({ state: loseAnswers(spend(learned, 'answerLosses'), owner, next), violation: undefined }, index, rules, scope)
  add({ step: { type: 'learnOutcome', owner: index, answersLost: true }, ...lost, isFault: true })
}

/** Answers the callers whose acceptance or cancel the write has stored. */
function answerWaiting (state: ModelState, before: OwnerState, after: OwnerState): ModelState {
  let next = state
  for (const job of indexesOf<JobIndex>(after.jobs)) {
    if ((before.jobs[job]?.waitingCopies ?? 0) > 0 && after.jobs[job]?.accepted === 'stored') next = answerAccepted(next, job)
    if (before.jobs[job]?.cancelled === 'sent' && at(state.callers, job).cancel === 'requested') next = updateCaller(next, job, { cancel: 'confirmed' })
  }
  return next
}

function loseAnswers (state: ModelState, before: OwnerState, after: OwnerState): ModelState {
  let next = state
  for (const job of indexesOf<JobIndex>(after.jobs)) {
    if ((before.jobs[job]?.waitingCopies ?? 0) > (after.jobs[job]?.waitingCopies ?? 0)) next = updateCaller(next, job, { copyLost: true })
  }
  return next
}

/** Takes a lost reply for a failure: what was to be accepted is forgotten and refused, the rest is written again. */
function giveUpWrite (state: ModelState, index: OwnerIndex, rules: ProtocolRules): Transition {
  const owner = at(state.owners, index)
  const late = owner.write === 'sent' ? [{ token: owner.token, facts: factsSent(owner) }] : []
  const forgotten = indexesOf<JobIndex>(owner.jobs).filter(job => owner.jobs[job]?.accepted === 'sent')
  const jobs = owner.jobs.map(job => job?.accepted === 'sent' ? undefined : job)
  const next = moveFacts({ ...owner, jobs, write: 'none' }, 'sent', 'wanted')
  let after: ModelState = { ...spend(state, 'answerLosses'), owners: replaceAt(state.owners, index, next), lateWrites: [...state.lateWrites, ...late] }
  for (const job of forgotten) after = answerDeclined(after, job, rules)
  const violation = forgotten.map(job => at(after.callers, job).answer === 'refused' ? judgeRefused(after, job) : undefined).find(found => found !== undefined)
  return { step: { type: 'giveUpWrite', owner: index }, state: after, isFault: true, violation }
}

/** Passes the time after which the proofs of earlier owners, and the orders that they have sent, have ended. */
function outwaitPredecessor (state: ModelState, index: OwnerIndex, rules: ProtocolRules, scope: Scope): Transition {
  const owner = at(state.owners, index)
  const owners = state.owners.map(other => other.token !== NO_TOKEN && other.token < owner.token ? { ...other, hasProof: false } : other)
  const orders = voidOrders(state.orders, order => order.token < owner.token, rules.startDeadline)
  // An endpoint that has answered before may have restarted since, and may then have taken a start of the predecessor.
  const views = rules.askAfterOutwaiting ? owner.views.map((): EndpointView => 'unknown') : owner.views
  const settled = { ...owner, outwaited: true, views }
  const next = { ...state, orders, owners: replaceAt(owners, index, sendWrite(settled, isSettled(settled, rules))) }
  return { step: { type: 'outwaitPredecessor', owner: index }, ...showOutcomes({ state: next, violation: undefined }, index, rules, scope), isFault: false }
}

/** Shows the outcomes that the owner may show. */
export function showOutcomes (judged: Judged, index: OwnerIndex, rules: ProtocolRules, scope: Scope): Judged {
  let next = judged
  for (const [job, owned] of at(judged.state.owners, index).jobs.entries()) {
    if (owned === undefined) continue
    const failed = owned.failed.filter(({ status }) => status === 'stored' || !rules.showAfterWrite)
    if (owned.done === 'stored' || (owned.done !== 'no' && !rules.showAfterWrite)) next = judgeShown(next, job as JobIndex, 'completed', scope.maxAttempts)
    else if (failed.length >= scope.maxAttempts) next = judgeShown(next, job as JobIndex, 'failed', scope.maxAttempts)
  }
  return next
}
