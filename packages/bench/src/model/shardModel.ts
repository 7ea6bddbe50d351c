/** The model of stored jobs in one shard: its states and steps, put together for the exploration. */
import { addCallerSteps } from './callerSteps.js'
import { addEndpointSteps } from './endpointSteps.js'
import type { Model } from './explore.js'
import { allEnded, judgeKept } from './oracle.js'
import { addOwnerSteps } from './ownerSteps.js'
import type { ProtocolRules } from './rules.js'
import { initialState } from './state.js'
import { StateKeys } from './stateKeys.js'
import { addStoreSteps } from './storeSteps.js'
import { renumberTokens } from './tokens.js'
import type { ModelState, Scope, Step, Transition } from './types.js'

/** @returns the model for a scope, under the given rules of the protocol */
export function shardModel (scope: Scope, rules: ProtocolRules): Model<ModelState, Step> {
  const keys = new StateKeys()
  return {
    initial: initialState(scope),
    keyOf: state => keys.keyOf(state),
    forEachTransition: (state, add) => {
      const addRenumbered = (transition: Transition): void => {
        add({ ...transition, state: renumberTokens(transition.state) })
      }
      addCallerSteps(state, rules, scope, addRenumbered)
      addStoreSteps(state, rules, addRenumbered)
      addOwnerSteps(state, rules, scope, addRenumbered)
      addEndpointSteps(state, rules, scope, addRenumbered)
    },
    violationOf: judgeKept,
    hasEnded: state => allEnded(state, scope.maxAttempts)
  }
}
