/**
 * Types used to change the agreed fleet value: who makes a change, what it changes, and how it ends. They are
 * separate from `ContractsDecider`, so that the rules and mutations need not import it.
 */
import type { ChangeId, CodedError, CustomerId, EndpointInfo, Fleet, HolderId, InstanceId, Ms, RosterEntry, FailureDomain } from '@cranberryyard/protocol'
import type { ChangeRequest } from '../instance/types.js'

/** The person whom an operator key identifies: a member of the team, or of a customer's staff. */
export type Actor =
  | { readonly type: 'team', readonly name: string }
  | { readonly type: 'staff', readonly name: string, readonly customer: CustomerId }

/** A change of the fleet value. After a lost compare-and-swap it can be applied again to the newer value. */
export type Mutation =
  | { readonly type: 'join', readonly entry: RosterEntry, readonly predecessorWaitMs: Ms }
  | { readonly type: 'remove', readonly holder: HolderId, readonly failureDomain: FailureDomain, readonly waitMs: Ms }
  | { readonly type: 'assignVoters', readonly afterEpoch: number }
  | { readonly type: 'change', readonly request: ChangeRequest, readonly actor: Actor, readonly at: Ms, readonly instance: InstanceId }
  | { readonly type: 'archived', readonly through: number }

/** Input besides the fleet value that applying a mutation needs. */
export interface MutationContext {
  readonly endpoints: readonly EndpointInfo[]
}

/** Called when an instance adopts a new fleet value. */
export interface FleetListener {
  fleetAdopted (fleet: Fleet, previous: Fleet): void
}

/** A change that waits for a compare-and-swap. */
export interface PendingMutation {
  readonly mutation: Mutation
  readonly callId: string | undefined
  readonly changeId: ChangeId | undefined
  readonly giveUpAt: Ms
  /** True once a write that contains it was sent and the outcome of the write is unknown. */
  writeOutcomeUnknown: boolean
}

/** Outcome of a pending change. */
export type PendingOutcome =
  | { readonly type: 'accepted', readonly fleet: Fleet }
  | { readonly type: 'rejected', readonly error: CodedError }
