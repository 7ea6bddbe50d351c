/**
 * State of the endpoint ledger: endpoints of owned shards with their runs, and arithmetic on room and clocks.
 */
import type { EndpointClockMs, EndpointId, EndpointReport, FencingToken, Ms, Resources, TaskName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { LedgerEndpoint, LedgerRun } from './types.js'

export const NO_RESOURCES: Resources = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }

/** Room left at an endpoint; nothing while a run of unknown size is there. */
export function freeRoom (endpoint: LedgerEndpoint): Resources {
  endpoint.free ??= countFree(endpoint)
  return endpoint.free
}

function countFree (endpoint: LedgerEndpoint): Resources {
  let room = endpoint.report.capacity
  for (const run of endpoint.runs.values()) {
    if (run.needs === undefined) return NO_RESOURCES
    room = minus(room, run.needs)
  }
  return room
}

/** @returns what two parts take together */
export function plus (a: Resources, b: Resources): Resources {
  return { cpuMilli: a.cpuMilli + b.cpuMilli, memoryMb: a.memoryMb + b.memoryMb, accelerators: a.accelerators + b.accelerators }
}

/** @returns what is left of `room` without `taken` */
export function minus (room: Resources, taken: Resources): Resources {
  return { cpuMilli: room.cpuMilli - taken.cpuMilli, memoryMb: room.memoryMb - taken.memoryMb, accelerators: room.accelerators - taken.accelerators }
}

/** @returns true when the task fits into the room */
export function fits (needs: Resources, room: Resources): boolean {
  return needs.cpuMilli <= room.cpuMilli && needs.memoryMb <= room.memoryMb && needs.accelerators <= room.accelerators
}

/**
 * Makes a run that takes room from now on.
 * @param known - what differs from a start that was not sent yet
 */
export function makeRun (endpoint: LedgerEndpoint, task: TaskName, run: number, now: Ms, known: Partial<LedgerRun> & Pick<LedgerRun, 'state'>): LedgerRun {
  return {
    task,
    run,
    endpoint: endpoint.id,
    needs: undefined,
    spec: '',
    notAfter: 0 as EndpointClockMs,
    orderedAt: now,
    startedAt: now,
    confirmed: false,
    token: 0 as FencingToken,
    orderId: 0,
    sends: 0,
    lastSentAt: now,
    percent: 0,
    percentAt: now,
    foundPercent: undefined,
    ...known
  }
}

/** Endpoints of the shards that this instance owns. */
export class EndpointsDb {
  private readonly endpoints = new Map<EndpointId, LedgerEndpoint>()
  /** Where each task runs or may run; a task has at most one run at a time. */
  private readonly byTask = new Map<TaskName, LedgerRun>()

  /** @returns the endpoint, if it belongs to an owned shard */
  get (id: EndpointId): LedgerEndpoint | undefined {
    return this.endpoints.get(id)
  }

  /** @returns all endpoints of owned shards */
  all (): IterableIterator<LedgerEndpoint> {
    return this.endpoints.values()
  }

  /** Adds an endpoint about which nothing is known but its report. */
  add (report: EndpointReport, now: Ms): LedgerEndpoint {
    const endpoint: LedgerEndpoint = {
      id: report.id,
      report,
      looked: false,
      bornAt: undefined,
      clockOffset: undefined,
      runs: new Map(),
      acknowledged: 0,
      hold: undefined,
      silent: 0,
      answeredAt: now,
      nextLookAt: now,
      leaseHorizon: now,
      quarantineUntil: now,
      unlisted: false,
      free: undefined
    }
    this.endpoints.set(report.id, endpoint)
    return endpoint
  }

  /** Forgets an endpoint and its runs. */
  remove (id: EndpointId): void {
    const endpoint = this.endpoints.get(id)
    if (endpoint === undefined) return
    for (const run of endpoint.runs.values()) this.byTask.delete(run.task)
    this.endpoints.delete(id)
  }

  /** Adds a run; it takes room from now on. */
  addRun (endpoint: LedgerEndpoint, run: LedgerRun): void {
    endpoint.runs.set(run.task, run)
    endpoint.free = undefined
    if (!this.byTask.has(run.task)) this.byTask.set(run.task, run)
  }

  /** Frees the room of a run. */
  removeRun (endpoint: LedgerEndpoint, run: LedgerRun): void {
    endpoint.runs.delete(run.task)
    endpoint.free = undefined
    if (this.byTask.get(run.task) === run) this.byTask.delete(run.task)
  }

  /** @returns the run of a task, if there may be one */
  runOf (task: TaskName): LedgerRun | undefined {
    return this.byTask.get(task)
  }
}

/**
 * Estimates an endpoint's clock.
 * @param endpoint - the endpoint; its clock must have been seen
 * @param now - this instance's time
 * @returns the clock's value now, a little behind the true one
 */
export function endpointClock (endpoint: LedgerEndpoint, now: Ms): EndpointClockMs {
  return Math.floor(now + (endpoint.clockOffset ?? 0)) as EndpointClockMs
}

/** @returns the latest time at which a lease that ends at `until` may still run */
export function horizonOf (endpoint: LedgerEndpoint, until: EndpointClockMs, now: Ms, drift: number, slack: Ms): Ms {
  const left = Math.max(0, until - endpointClock(endpoint, now))
  return ms(now + left * (1 + drift) + slack)
}
