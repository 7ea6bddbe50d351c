/**
 * Rules on who may change what in the fleet value. The team may change everything. A customer's staff may change
 * their own contract within the bounds that the team set, and drain endpoints while enough others stay active.
 * The rules are pure functions, so that a change can be checked again after a lost compare-and-swap.
 */
import type { CodedError, Contract, ContractRecord, CustomerId, EndpointId, EndpointInfo, EndpointOrder, Fleet, Settings } from '@cranberryyard/protocol'
import { codedError, contractSchema } from '@cranberryyard/protocol'
import { Result } from 'true-myth'
import { Chart } from '../utils/chart.js'
import type { Change } from '../instance/types.js'
import type { Actor } from './types.js'

/** Fraction of the endpoints that must stay active when a customer's staff drain one. */
const STAFF_ACTIVE_SHARE_MIN = 0.75

/** Sections of a contract that only the team may change. */
const TEAM_SECTIONS = ['customer', 'team', 'weight', 'bounds', 'staff'] as const

const orderChart = new Chart<EndpointOrder, 'drain' | 'stop' | 'resume'>('endpointOrder')
const ORDER_EVENT = { active: 'resume', draining: 'drain', stopped: 'stop' } as const

/**
 * Finds the owner of an operator key.
 * @param keyHash - hash of the presented key
 * @param teamKeys - team operators from the settings
 * @param fleet - contracts with their staff
 * @returns the actor, or undefined for an unknown key
 */
export function findActor (keyHash: string, teamKeys: Settings['operators']['teamKeys'], fleet: Fleet): Actor | undefined {
  const team = teamKeys.find(k => k.keyHash === keyHash)
  if (team !== undefined) return { type: 'team', name: team.name }
  for (const { contract } of fleet.contracts) {
    const staff = contract.staff.find(s => s.keyHash === keyHash)
    if (staff !== undefined) return { type: 'staff', name: staff.name, customer: contract.customer as CustomerId }
  }
  return undefined
}

/**
 * Names an actor in the audit trail.
 * @param actor - the actor
 * @returns `team/<name>` or `<customer>/<name>`
 */
export const actorName = (actor: Actor): string => actor.type === 'team' ? `team/${actor.name}` : `${actor.customer}/${actor.name}`

/**
 * Checks a contract change.
 * @param fleet - the fleet value that the change applies to
 * @param change - the new contract and the revision that it was based on
 * @param actor - who requests the change
 * @returns the validated contract, or the reason for rejecting it
 */
export function checkContractChange (fleet: Fleet, change: Extract<Change, { type: 'contract' }>, actor: Actor): Result<Contract, CodedError> {
  const parsed = contractSchema.safeParse(change.contract)
  if (!parsed.success) return Result.err(invalidContract(parsed.error.issues[0]))
  const contract = parsed.data
  const current = findContract(fleet, contract.customer)
  const denied = checkMayChange(actor, contract, current)
  if (denied !== undefined) return Result.err(denied)
  const keyConflict = checkKeysUnique(fleet, contract)
  if (keyConflict !== undefined) return Result.err(keyConflict)
  const actual = current?.revision ?? 0
  if (actual !== change.expectedRevision) {
    return Result.err(codedError('revisionConflict', `planned on revision ${change.expectedRevision}, but revision ${actual} is current`, 'expectedRevision'))
  }
  return Result.ok(contract)
}

function invalidContract (issue: { readonly path: readonly PropertyKey[], readonly message: string } | undefined): CodedError {
  const field = issue?.path.map(String).join('.') ?? ''
  const name = field === 'customer' ? 'invalidName' : 'invalidContract'
  return codedError(name, issue?.message ?? 'invalid', field)
}

function checkMayChange (actor: Actor, contract: Contract, current: ContractRecord | undefined): CodedError | undefined {
  const violation = checkBounds(contract)
  if (actor.type === 'team') return violation
  if (actor.customer !== contract.customer) return codedError('notPermitted', `staff of ${actor.customer} may not change ${contract.customer}`)
  if (current === undefined) return codedError('notPermitted', 'only the team creates contracts')
  const teamSection = TEAM_SECTIONS.find(s => JSON.stringify(contract[s]) !== JSON.stringify(current.contract[s]))
  if (teamSection !== undefined) return codedError('notPermitted', `only the team changes ${teamSection}`, teamSection)
  return violation
}

function checkBounds ({ limits, bounds }: Contract): CodedError | undefined {
  const keys = ['running', 'startsPerSecond', 'queued'] as const
  const exceeded = keys.find(k => limits[k] > bounds[k])
  if (exceeded === undefined) return undefined
  return codedError('outOfBounds', `${limits[exceeded]} is above the bound ${bounds[exceeded]}`, `limits.${exceeded}`)
}

/** Rejects key hashes that another contract lists: a key must identify one customer, or the caller would be ambiguous. */
function checkKeysUnique (fleet: Fleet, contract: Contract): CodedError | undefined {
  const others = fleet.contracts.filter(r => r.contract.customer !== contract.customer)
  const usedHashes = new Set(others.flatMap(r => [...r.contract.callers, ...r.contract.staff]).map(k => k.keyHash))
  const duplicate = [...contract.callers, ...contract.staff].find(k => usedHashes.has(k.keyHash))
  return duplicate === undefined ? undefined : codedError('invalidContract', 'a key hash is in use by another contract', duplicate.name)
}

/**
 * Checks an order for an endpoint.
 * @param fleet - the fleet value that the change applies to
 * @param change - the endpoint and its new order
 * @param actor - who requests the change
 * @param endpoints - endpoints in the platform's list
 * @returns the new order, or the reason for rejecting it
 */
export function checkEndpointChange (
  fleet: Fleet,
  change: Extract<Change, { type: 'endpoint' }>,
  actor: Actor,
  endpoints: readonly EndpointInfo[]
): Result<EndpointOrder, CodedError> {
  const info = endpoints.find(e => e.id === change.endpoint)
  const record = fleet.endpoints.find(e => e.endpoint === change.endpoint)
  if (info === undefined && record === undefined) return Result.err(codedError('unknownEndpoint', `no endpoint ${change.endpoint}`))
  const next = orderChart.next(record?.order ?? 'active', ORDER_EVENT[change.order])
  if (next === undefined) return Result.err(codedError('invalidTransition', `${record?.order ?? 'active'} cannot become ${change.order}`))
  const active = endpoints.filter(e => e.id !== change.endpoint && endpointOrderOf(fleet, e.id) === 'active')
  if (actor.type === 'staff') {
    const denied = checkStaffOrder(change, actor, record, active.length, endpoints.length)
    if (denied !== undefined) return Result.err(denied)
  }
  if (next !== 'active' && !change.force && info !== undefined && !active.some(e => covers(e, info))) {
    return Result.err(codedError('lastEndpoint', `${change.endpoint} is the last active endpoint of its size`))
  }
  return Result.ok(next)
}

function checkStaffOrder (
  change: Extract<Change, { type: 'endpoint' }>,
  actor: Extract<Actor, { type: 'staff' }>,
  record: { readonly by: string } | undefined,
  activeOthers: number,
  total: number
): CodedError | undefined {
  if (change.force) return codedError('notPermitted', 'only the team may force an order')
  switch (change.order) {
    case 'stopped':
      return codedError('notPermitted', 'only the team stops endpoints')
    case 'draining':
      return activeOthers >= total * STAFF_ACTIVE_SHARE_MIN ? undefined : codedError('notPermitted', `only ${activeOthers} of ${total} endpoints would stay active, and staff must leave ${100 * STAFF_ACTIVE_SHARE_MIN} % active`)
    case 'active':
      return record === undefined || record.by.startsWith(`${actor.customer}/`) ? undefined : codedError('notPermitted', `the current order was given by ${record.by}`)
  }
}

/** Whether an endpoint has at least the capacity of another one, so that it can run the same tasks. */
function covers (larger: EndpointInfo, smaller: EndpointInfo): boolean {
  return larger.cores >= smaller.cores && larger.memoryMb >= smaller.memoryMb && larger.accelerators >= smaller.accelerators
}

/** @returns the operators' order for an endpoint, which is active unless they gave another one */
export function endpointOrderOf (fleet: Fleet, endpoint: EndpointId): EndpointOrder {
  return fleet.endpoints.find(e => e.endpoint === endpoint)?.order ?? 'active'
}

/** @returns a customer's contract record, if there is one */
export function findContract (fleet: Fleet, customer: string): ContractRecord | undefined {
  return fleet.contracts.find(r => r.contract.customer === customer)
}
