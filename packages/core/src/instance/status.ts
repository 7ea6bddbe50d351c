/**
 * Composes the report that `cranberryyard status` prints. It reads the state of all deciders and changes none, and
 * returns plain data, so that the report can be sent as JSON. Member names of the rows are part of the report's format.
 */
import type { CustomerId, EndpointId, FailureDomain, InstanceId } from '@cranberryyard/protocol'
import { endpointOrderOf } from '../contracts/changeRules.js'
import type { Instance } from './instance.js'
import type { TimelinessCount } from './types.js'

/** One instance of the fleet as this instance knows it. */
export interface InstanceRow {
  readonly instance: InstanceId
  readonly incarnation: number
  readonly failureDomain: FailureDomain
  readonly status: string
  readonly live: boolean
  readonly versionInForce: number
  readonly versionKnown: number
}

/** One endpoint as this instance knows and uses it; `order` is the operators' standing order. */
export interface EndpointRow {
  readonly endpoint: EndpointId
  readonly failureDomain: FailureDomain
  readonly rack: string
  readonly slots: number
  readonly running: number
  readonly order: string
  readonly health: string
  readonly leaving: boolean
}

/** One customer's permits and tasks on this instance; `limit` is the contract's limit for the whole fleet. */
export interface CustomerRow {
  readonly customer: CustomerId
  readonly revision: number
  readonly limit: number
  readonly share: number
  readonly borrowed: number
  readonly lent: number
  readonly running: number
  readonly queued: number
}

/** The status report of one instance. */
export interface StatusReport {
  readonly instance: InstanceId
  readonly incarnation: number
  readonly failureDomain: FailureDomain
  readonly state: string
  readonly isScheduler: boolean
  readonly acknowledged: boolean
  readonly storeReachable: boolean
  readonly fleetVersion: number
  readonly versionInForce: number
  readonly rosterEpoch: number
  readonly roster: readonly string[]
  readonly claimsKept: number
  readonly claimBucketsImporting: number
  readonly instances: readonly InstanceRow[]
  readonly endpoints: readonly EndpointRow[]
  readonly customers: readonly CustomerRow[]
  readonly timeliness: readonly TimelinessCount[]
  readonly counters: Readonly<Record<string, number>>
}

/**
 * Composes the status report.
 * @param instance - the instance to report on
 * @param state - the instance's lifecycle state
 * @returns plain data without references to the instance's state
 */
export function composeStatus (instance: Instance, state: string): StatusReport {
  const { ctx, contracts, limits, routing, deduplication, jobs } = instance
  const { fleet } = contracts.db
  return {
    instance: ctx.self.instance,
    incarnation: ctx.self.incarnation,
    failureDomain: ctx.self.failureDomain,
    state,
    isScheduler: routing.isScheduler(),
    acknowledged: limits.isAcknowledged,
    storeReachable: contracts.storeReachable,
    fleetVersion: fleet.version,
    versionInForce: limits.versionInForce,
    rosterEpoch: fleet.roster.epoch,
    roster: fleet.roster.entries.map(e => e.holder),
    claimsKept: deduplication.db.size(),
    claimBucketsImporting: deduplication.importingBuckets(),
    instances: instanceRows(instance, state),
    endpoints: endpointRows(instance),
    customers: customerRows(instance),
    timeliness: jobs.db.timelinessCounts(),
    counters: Object.fromEntries(instance.counters())
  }
}

function instanceRows (instance: Instance, state: string): InstanceRow[] {
  const { ctx, membership, limits, contracts } = instance
  const own = {
    instance: ctx.self.instance,
    incarnation: ctx.self.incarnation,
    failureDomain: ctx.self.failureDomain,
    status: state,
    live: true,
    versionInForce: limits.versionInForce,
    versionKnown: contracts.version
  }
  const others = membership.db.all().map(m => ({
    instance: m.instance,
    incarnation: m.incarnation,
    failureDomain: m.failureDomain,
    status: m.status,
    live: membership.isLive(m),
    versionInForce: m.versionInForce,
    versionKnown: m.versionKnown
  }))
  return [own, ...others].sort((a, b) => a.instance < b.instance ? -1 : 1)
}

function endpointRows (instance: Instance): EndpointRow[] {
  const { routing, health, contracts } = instance
  return routing.db.all().map(e => ({
    endpoint: e.info.id,
    failureDomain: e.info.failureDomain,
    rack: e.info.rack,
    slots: e.info.slots,
    running: e.running,
    order: endpointOrderOf(contracts.db.fleet, e.info.id),
    health: health.db.record(e.info.id).state,
    leaving: e.info.leaving
  }))
}

function customerRows (instance: Instance): CustomerRow[] {
  const { contracts, limits, scheduling } = instance
  const permits = new Map(limits.report().map(r => [r.customer, r]))
  return contracts.db.fleet.contracts.map(({ revision, contract }) => {
    const customer = contract.customer as CustomerId
    const row = permits.get(customer)
    return {
      customer,
      revision,
      limit: contract.limits.running,
      share: row?.share ?? 0,
      borrowed: row?.borrowed ?? 0,
      lent: row?.lent ?? 0,
      running: row?.running ?? 0,
      queued: scheduling.db.queue.waitingTasksOf(customer)
    }
  })
}
