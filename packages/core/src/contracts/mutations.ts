/**
 * Applies mutations to the fleet value. The functions are pure, so that a mutation can be applied again to a newer
 * value after a lost compare-and-swap. An operator's change and its audit entry are made in the same step.
 */
import type { CodedError, Contract, CustomerId, Fleet, RosterEntry, RosterRemoval } from '@cranberryyard/protocol'
import { codedError } from '@cranberryyard/protocol'
import { Result } from 'true-myth'
import type { Change, ChangeRequest } from '../instance/types.js'
import { appendAudit, contentHash, trimAudit } from './auditChain.js'
import { actorName, checkContractChange, checkEndpointChange, findContract, endpointOrderOf } from './changeRules.js'
import type { Mutation, MutationContext } from './types.js'

/** Number of removals that the fleet value keeps. Every instance adopts a removal long before that many others follow. */
const REMOVALS_KEPT = 64

/**
 * Applies one mutation.
 * @param fleet - the present value
 * @param mutation - the mutation
 * @param context - further input of the rules
 * @returns the next value, the same object when nothing changes, or the reason for rejecting the mutation; the caller sets the version
 */
export function applyMutation (fleet: Fleet, mutation: Mutation, context: MutationContext): Result<Fleet, CodedError> {
  switch (mutation.type) {
    case 'join': return Result.ok(join(fleet, mutation.entry, mutation.predecessorWaitMs))
    case 'remove': return Result.ok(remove(fleet, mutation))
    case 'assignVoters': return Result.ok(assignVoters(fleet, mutation.afterEpoch))
    case 'archived': return Result.ok({ ...fleet, audit: trimAudit(fleet.audit, mutation.through) })
    case 'change': return applyChange(fleet, mutation, context)
  }
}

/**
 * Finds an operator's change in the audit trail by its id.
 * @param fleet - the fleet value
 * @param request - the change
 * @returns the change's entry, or undefined if the change has not been made or its entry was archived
 */
export function findChange (fleet: Fleet, request: Pick<ChangeRequest, 'changeId'>): Fleet['audit']['entries'][number] | undefined {
  return fleet.audit.entries.find(e => e.changeId === request.changeId)
}

function join (fleet: Fleet, entry: RosterEntry, predecessorWaitMs: number): Fleet {
  const { entries } = fleet.roster
  if (entries.some(e => e.holder === entry.holder)) return fleet
  const version = fleet.version + 1
  const predecessors = entries.filter(e => e.instance === entry.instance)
  const removals = predecessors.map(e => ({ holder: e.holder, failureDomain: e.failureDomain, version, waitMs: predecessorWaitMs }) as RosterRemoval)
  const kept = entries.filter(e => e.instance !== entry.instance)
  return withRosterEntries(fleet, [...kept, { ...entry, joinedVersion: version }], removals)
}

function remove (fleet: Fleet, mutation: Extract<Mutation, { type: 'remove' }>): Fleet {
  const { entries } = fleet.roster
  if (!entries.some(e => e.holder === mutation.holder)) return fleet
  const { holder, failureDomain, waitMs } = mutation
  const removal = { holder, failureDomain, version: fleet.version + 1, waitMs }
  return withRosterEntries(fleet, entries.filter(e => e.holder !== holder), [removal])
}

function assignVoters (fleet: Fleet, afterEpoch: number): Fleet {
  const { claimVoters, roster } = fleet
  if (claimVoters.epoch !== afterEpoch) return fleet
  return { ...fleet, claimVoters: { epoch: afterEpoch + 1, entries: roster.entries, previousEntries: claimVoters.entries } }
}

function withRosterEntries (fleet: Fleet, entries: readonly RosterEntry[], removals: readonly RosterRemoval[]): Fleet {
  const { roster } = fleet
  const kept = [...roster.removals, ...removals].slice(-REMOVALS_KEPT)
  const sorted = [...entries].sort((a, b) => a.holder < b.holder ? -1 : 1)
  return { ...fleet, roster: { epoch: roster.epoch + 1, entries: sorted, removals: kept } }
}

function applyChange (fleet: Fleet, mutation: Extract<Mutation, { type: 'change' }>, context: MutationContext): Result<Fleet, CodedError> {
  const { request } = mutation
  const earlier = findChange(fleet, request)
  if (earlier !== undefined) return isSameChange(earlier, mutation) ? Result.ok(fleet) : Result.err(codedError('changeReplayed', `change id ${request.changeId} was used for another change`))
  switch (request.change.type) {
    case 'contract': return applyContract(fleet, mutation, request.change)
    case 'endpoint': return applyOrder(fleet, mutation, request.change, context)
  }
}

/** Whether an entry was made by the same author with the same content. Otherwise the change reuses the entry's id. */
function isSameChange (earlier: Fleet['audit']['entries'][number], mutation: Extract<Mutation, { type: 'change' }>): boolean {
  return earlier.by === actorName(mutation.actor) && earlier.contentHash === contentHash(mutation.request.change)
}

function applyContract (fleet: Fleet, mutation: Extract<Mutation, { type: 'change' }>, change: Extract<Change, { type: 'contract' }>): Result<Fleet, CodedError> {
  return checkContractChange(fleet, change, mutation.actor).map((contract) => {
    const current = findContract(fleet, contract.customer)
    const { before, after } = changedSections(current?.contract, contract)
    if (current !== undefined && after === '{}') return fleet
    const revision = (current?.revision ?? 0) + 1
    const others = fleet.contracts.filter(r => r.contract.customer !== contract.customer)
    const contracts = [...others, { revision, contract }].sort((a, b) => a.contract.customer < b.contract.customer ? -1 : 1)
    const subject = { type: 'contract', customer: contract.customer as CustomerId, revision } as const
    return { ...fleet, contracts, audit: appendChangeToAudit(fleet, mutation, { subject, before, after }) }
  })
}

function applyOrder (
  fleet: Fleet,
  mutation: Extract<Mutation, { type: 'change' }>,
  change: Extract<Change, { type: 'endpoint' }>,
  context: MutationContext
): Result<Fleet, CodedError> {
  return checkEndpointChange(fleet, change, mutation.actor, context.endpoints).map((order) => {
    const before = endpointOrderOf(fleet, change.endpoint)
    if (before === order) return fleet
    const others = fleet.endpoints.filter(e => e.endpoint !== change.endpoint)
    const record = { endpoint: change.endpoint, order, by: actorName(mutation.actor), at: mutation.at, reason: mutation.request.reason }
    const subject = { type: 'endpoint', endpoint: change.endpoint } as const
    const audit = appendChangeToAudit(fleet, mutation, { subject, before, after: order })
    return { ...fleet, endpoints: [...others, record], audit }
  })
}

type AuditedDifference = Pick<Fleet['audit']['entries'][number], 'subject' | 'before' | 'after'>

function appendChangeToAudit (fleet: Fleet, mutation: Extract<Mutation, { type: 'change' }>, difference: AuditedDifference): Fleet['audit'] {
  const { request, actor, at, instance } = mutation
  return appendAudit(fleet.audit, { changeId: request.changeId, contentHash: contentHash(request.change), by: actorName(actor), at, instance, reason: request.reason, ...difference })
}

/**
 * Lists the sections of a contract that a change modifies.
 * @param before - the contract before the change, if there was one
 * @param after - the contract after the change
 * @returns both contracts as JSON, reduced to the sections that differ
 */
export function changedSections (before: Contract | undefined, after: Contract): { before: string, after: string } {
  const keys = (Object.keys(after) as (keyof Contract)[]).filter(k => JSON.stringify(before?.[k]) !== JSON.stringify(after[k]))
  const pick = (contract: Contract): string => JSON.stringify(Object.fromEntries(keys.map(k => [k, contract[k]])))
  return { before: before === undefined ? 'null' : pick(before), after: pick(after) }
}
