/**
 * Types of the decision about the agreed fleet value: who may change what, and how changes are applied.
 */
import type { ChangeId, CodedError, CustomerId, EndpointInfo, Fleet, HolderId, InstanceId, Ms, RosterEntry, FailureDomain } from '@cranberryyard/protocol'
import type { ChangeRequest } from '../instance/types.js'

/** Who stands behind a key. */
export type Actor =
  | { readonly type: 'team', readonly name: string }
  | { readonly type: 'staff', readonly name: string, readonly customer: CustomerId }

/** A change of the fleet value. Each can be applied again to a newer value after a lost race. */
export type Mutation =
  | { readonly type: 'join', readonly entry: RosterEntry, readonly predecessorWaitMs: Ms }
  | { readonly type: 'remove', readonly holder: HolderId, readonly failureDomain: FailureDomain, readonly waitMs: Ms }
  | { readonly type: 'assignVoters', readonly afterEpoch: number }
  | { readonly type: 'change', readonly request: ChangeRequest, readonly actor: Actor, readonly at: Ms, readonly instance: InstanceId }
  | { readonly type: 'archived', readonly through: number }

/** What applying a mutation needs to know besides the fleet value. */
export interface MutationWorld {
  readonly endpoints: readonly EndpointInfo[]
}

/** Told when the agreed value changes. */
export interface FleetListener {
  fleetAdopted (fleet: Fleet, previous: Fleet): void
}

/** A change waiting for its compare-and-swap. */
export interface PendingMutation {
  readonly mutation: Mutation
  readonly callId: string | undefined
  readonly changeId: ChangeId | undefined
  readonly giveUpAt: Ms
  /** True once a write that holds it was sent and its outcome never became known. */
  sentUnknown: boolean
}

/** Outcome of a pending change. */
export type PendingOutcome =
  | { readonly type: 'accepted', readonly fleet: Fleet }
  | { readonly type: 'rejected', readonly error: CodedError }
