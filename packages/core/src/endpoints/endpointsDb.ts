/**
 * State of the endpoint ledger: the endpoints of owned shards with their runs, and the arithmetic on capacity and clocks.
 * It decides nothing; `EndpointsDecider` changes it, and placement reads the free capacity.
 */
import type { EndpointClockMs, EndpointId, EndpointReport, FailureDomain, FencingToken, Ms, Resources, TaskName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { LedgerEndpoint, LedgerRun } from './types.js'

export const NO_RESOURCES: Resources = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }

/** Returns the free capacity of an endpoint, which is none while a run with unknown needs, or one that must be alone, is there. */
export function freeCapacityOf (endpoint: LedgerEndpoint): Resources {
  endpoint.freeCapacity ??= computeFreeCapacity(endpoint)
  return endpoint.freeCapacity
}

function computeFreeCapacity (endpoint: LedgerEndpoint): Resources {
  let remaining = endpoint.report.capacity
  for (const run of endpoint.runs.values()) {
    if (run.needs === undefined || run.exclusive) return NO_RESOURCES
    remaining = minus(remaining, run.needs)
  }
  return remaining
}

/** Returns until when the endpoint of a report that has just been read is slow after its start. */
export function coldUntil ({ coldForMs }: EndpointReport, now: Ms): Ms {
  return ms(now + (coldForMs ?? 0))
}

/** Returns whether an endpoint is slow because it has started a short time ago. Those of an evacuated domain may have, all at once. */
export function isCold (endpoint: Pick<LedgerEndpoint, 'coldUntil'>, now: Ms): boolean {
  return endpoint.coldUntil > now
}

export function plus (a: Resources, b: Resources): Resources {
  return { cpuMilli: a.cpuMilli + b.cpuMilli, memoryMb: a.memoryMb + b.memoryMb, accelerators: a.accelerators + b.accelerators }
}

export function minus (available: Resources, used: Resources): Resources {
  return { cpuMilli: available.cpuMilli - used.cpuMilli, memoryMb: available.memoryMb - used.memoryMb, accelerators: available.accelerators - used.accelerators }
}

export function fits (needs: Resources, available: Resources): boolean {
  return needs.cpuMilli <= available.cpuMilli && needs.memoryMb <= available.memoryMb && needs.accelerators <= available.accelerators
}

/**
 * Creates the ledger entry of a run.
 * @param overrides - values that differ from those of a start that has not been sent
 */
export function makeRun (endpoint: Pick<LedgerEndpoint, 'id'>, task: TaskName, run: number, now: Ms, overrides: Partial<LedgerRun> & Pick<LedgerRun, 'state'>): LedgerRun {
  return {
    task,
    run,
    endpoint: endpoint.id,
    needs: undefined,
    expectedMs: undefined,
    spec: '',
    notAfter: 0 as EndpointClockMs,
    orderedAt: now,
    startedAt: now,
    confirmed: false,
    token: 0 as FencingToken,
    orderId: 0,
    lease: { endsBy: now },
    exclusive: false,
    sends: 0,
    refusedSends: 0,
    silentSends: 0,
    awaitsRetry: false,
    lastSentAt: now,
    startSentAt: now,
    percent: 0,
    percentAt: now,
    foundPercent: undefined,
    ...overrides
  }
}

/** Endpoints of the shards that this instance owns. */
export class EndpointsDb {
  private readonly endpoints = new Map<EndpointId, LedgerEndpoint>()
  /** The run of each task. A task should have one at a time; of several, the run added first stays here. */
  private readonly byTask = new Map<TaskName, LedgerRun>()
  /** Counts the endpoints that were added or removed, so that what is derived from all of them can be kept meanwhile. */
  changes = 0

  /** Returns the endpoint if it belongs to an owned shard. */
  get (id: EndpointId): LedgerEndpoint | undefined {
    return this.endpoints.get(id)
  }

  all (): IterableIterator<LedgerEndpoint> {
    return this.endpoints.values()
  }

  /** Returns the endpoints of a failure domain. */
  inFailureDomain (failureDomain: FailureDomain): LedgerEndpoint[] {
    return [...this.endpoints.values()].filter(({ report }) => report.failureDomain === failureDomain)
  }

  /** Adds an endpoint of which only the report is known. */
  add (report: EndpointReport, now: Ms): LedgerEndpoint {
    const endpoint: LedgerEndpoint = {
      id: report.id,
      report,
      answeredUnderToken: false,
      bornAt: undefined,
      clockOffset: undefined,
      runs: new Map(),
      acknowledged: 0,
      hold: undefined,
      unansweredHolds: 0,
      runsAtRefusal: undefined,
      runsLostInSilence: [],
      answeredAt: now,
      nextHoldAt: now,
      leasesEndBy: now,
      leaseUntil: 0 as EndpointClockMs,
      startsBlockedUntil: now,
      coldUntil: coldUntil(report, now),
      unlisted: false,
      listedSinceTakeover: false,
      outdated: false,
      cutOffFromStore: false,
      freeCapacity: undefined
    }
    this.endpoints.set(report.id, endpoint)
    this.changes++
    return endpoint
  }

  /** Removes an endpoint with its runs. */
  remove (id: EndpointId): void {
    const endpoint = this.endpoints.get(id)
    if (endpoint === undefined) return
    for (const run of endpoint.runs.values()) this.byTask.delete(run.task)
    this.endpoints.delete(id)
    this.changes++
  }

  /** Adds a run, which occupies capacity from now on. */
  addRun (endpoint: LedgerEndpoint, run: LedgerRun): void {
    endpoint.runs.set(run.task, run)
    endpoint.freeCapacity = undefined
    if (!this.byTask.has(run.task)) this.byTask.set(run.task, run)
  }

  /** Removes a run and frees its capacity. */
  removeRun (endpoint: LedgerEndpoint, run: LedgerRun): void {
    endpoint.runs.delete(run.task)
    endpoint.freeCapacity = undefined
    if (this.byTask.get(run.task) === run) this.byTask.delete(run.task)
  }

  /** Returns the run of a task that is or may be in progress. */
  runOf (task: TaskName): LedgerRun | undefined {
    return this.byTask.get(task)
  }
}

/** Returns until when the endpoint's lease may last, which all runs there share: none of them may outlast the lease of its job. */
export function leaseBoundOf (endpoint: LedgerEndpoint): Ms {
  let bound = Infinity
  for (const { lease } of endpoint.runs.values()) bound = Math.min(bound, lease.endsBy)
  return ms(bound)
}

/**
 * Estimates the present value of an endpoint's clock.
 * @param endpoint - the endpoint, which must have reported its clock before
 * @param now - this instance's time
 * @returns a value that is behind the true one by the time that the answer took to arrive, and ahead of it by what a slow clock has lost since then
 */
export function endpointClock (endpoint: LedgerEndpoint, now: Ms): EndpointClockMs {
  return Math.floor(now + (endpoint.clockOffset ?? 0)) as EndpointClockMs
}

/**
 * Returns the latest time on this instance's clock at which a lease that ends at `until` on the endpoint's clock may still
 * be in force.
 */
export function latestLeaseEnd (endpoint: LedgerEndpoint, until: EndpointClockMs, now: Ms, drift: number, slack: Ms): Ms {
  const remainingMs = Math.max(0, until - endpointClock(endpoint, now))
  return ms(now + remainingMs * (1 + drift) + slack)
}
