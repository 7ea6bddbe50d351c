/**
 * Steps of the store: it executes a write if the shard's record still has the token of the writer, now or after the writer has lost its memory.
 * A write that is sent again has the same key and content, so the model has one step for all of its sendings.
 */
import type { ProtocolRules } from './rules.js'
import { NO_TOKEN, addFacts, at, factsSent, indexesOf, updateOwner } from './state.js'
import type { ModelState, OwnerIndex, Transition } from './types.js'

/** @returns whether another instance may own the shard before this owner learns the outcome of its write, unless this one crashes */
function mayBeSucceeded (state: ModelState, index: OwnerIndex): boolean {
  return state.allowance.suspicions > 0 || state.owners.some(({ token }, other) => other !== index && token !== NO_TOKEN)
}

/** @returns the state after the store has executed an owner's write, or refused it */
function executeWrite (state: ModelState, index: OwnerIndex, rules: ProtocolRules): ModelState {
  const owner = at(state.owners, index)
  if (owner.token !== state.store.token && rules.conditionalWrites) return updateOwner(state, index, { write: 'conflict' })
  return { ...updateOwner(state, index, { write: 'executed' }), store: { ...state.store, jobs: addFacts(state.store.jobs, factsSent(owner)) } }
}

/**
 * Executes an owner's write at the moment at which the owner learns the outcome, or crashes. Nobody else sees the store before the next takeover, so the
 * execution is a step of its own only while another instance may take over from the living owner.
 * @returns the state itself if the write is not executed now
 */
export function afterExecution (state: ModelState, index: OwnerIndex, rules: ProtocolRules): ModelState {
  return at(state.owners, index).write === 'sent' && !mayBeSucceeded(state, index) ? executeWrite(state, index, rules) : state
}

/** Adds the steps of the store that are possible in a state. */
export function addStoreSteps (state: ModelState, rules: ProtocolRules, add: (transition: Transition) => void): void {
  const { store } = state
  for (const index of indexesOf<OwnerIndex>(state.owners)) {
    if (at(state.owners, index).write !== 'sent' || !mayBeSucceeded(state, index)) continue
    const next = executeWrite(state, index, rules)
    add({ step: { type: 'executeWrite', owner: index, outcome: at(next.owners, index).write === 'executed' ? 'executed' : 'conflict' }, state: next, isFault: false, violation: undefined })
  }
  for (const late of state.lateWrites) {
    if (late.token !== store.token && rules.conditionalWrites) continue
    const next = { ...state, store: { ...store, jobs: addFacts(store.jobs, late.facts) }, lateWrites: state.lateWrites.filter(other => other !== late) }
    add({ step: { type: 'executeLateWrite', token: late.token }, state: next, isFault: true, violation: undefined })
  }
}
