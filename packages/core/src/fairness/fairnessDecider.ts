/**
 * Fair queueing between customers, by whole jobs. Each customer has a clock that runs ahead by a job's work over
 * the customer's fair part of the slots. A job's turn is its arrival, or, for a customer that has run further
 * ahead than the tolerance, the time at which its clock comes back within it; the earliest turn goes first.
 * Customers within their fair part are so served in order of arrival, as by one central queue, and a burst pushes
 * back only the jobs behind it. A customer of whom little waits goes before all others: that delays them hardly,
 * and keeps its response where it is while others burst.
 */
import type { CustomerId, Ms } from '@cranberryyard/protocol'
import { Flow } from './fairnessDb.js'
import type { TaggedJob } from './fairnessDb.js'
import type { QueuedJob } from './types.js'

/** Little waits when a customer's fair part of the slots could run it in this time. */
const LIGHT_MS = 250

/** Decides whose job is next. */
export class FairnessDecider<J extends QueuedJob> {
  private readonly flows = new Map<CustomerId, Flow<J>>()
  private arrivals = 0

  /** @param toleranceMs - time by which a customer may run ahead of its fair part before it is pushed back */
  constructor (private readonly toleranceMs: number) {}

  /**
   * Adds a job at the end of its customer's queue.
   * @param job - the job
   * @param now - time of arrival
   * @param slots - slots that all customers share
   */
  push (job: J, now: Ms, slots: number): void {
    const flow = this.flowOf(job)
    flow.weight = job.weight
    if (flow.waiting === 0) flow.aheadUntil = Math.min(flow.aheadUntil, now + this.toleranceMs)
    const pushedBack = Math.max(now, flow.aheadUntil - this.toleranceMs)
    flow.waiting += job.waiting()
    const fairSlots = this.fairSlots(flow, slots)
    flow.aheadUntil = Math.max(now, flow.aheadUntil) + job.workMs / fairSlots
    const isLight = flow.waitingMs() + job.workMs <= LIGHT_MS * fairSlots
    const turn = isLight ? now - this.toleranceMs : pushedBack
    flow.jobs.push({ job, turn, arrival: this.arrivals++ })
  }

  private flowOf (job: J): Flow<J> {
    const flow = this.flows.get(job.customer) ?? new Flow<J>(job.customer)
    this.flows.set(job.customer, flow)
    return flow
  }

  /** The part of the slots that is a customer's while those who wait now share them. */
  private fairSlots (flow: Flow<J>, slots: number): number {
    let weights = 0
    for (const f of this.flows.values()) if (f.waiting > 0) weights += f.weight
    return Math.max(1, slots) * flow.weight / Math.max(flow.weight, weights)
  }

  /** Adjusts a customer's number of waiting tasks when a task starts, is put back, or is dropped. */
  adjustWaiting (customer: CustomerId, by: number): void {
    const flow = this.flows.get(customer)
    if (flow === undefined) return
    flow.waiting += by
  }

  /** Puts a job back at the head of its queue after a start was refused. */
  putBack (job: J): void {
    const flow = this.flowOf(job)
    if (!flow.jobs.some(t => t.job === job)) flow.jobs.unshift({ job, turn: -Infinity, arrival: -1 })
  }

  /** @returns number of a customer's waiting tasks */
  waitingOf (customer: CustomerId): number {
    return this.flows.get(customer)?.waiting ?? 0
  }

  /** @returns number of waiting tasks of all customers */
  waiting (): number {
    let total = 0
    for (const flow of this.flows.values()) total += flow.waiting
    return total
  }

  /**
   * Picks the next job.
   * @param skipped - customers that cannot start anything now
   * @returns the job that is first in order, or undefined
   */
  next (skipped: ReadonlySet<CustomerId>): J | undefined {
    let first: TaggedJob<J> | undefined
    for (const flow of this.flows.values()) {
      if (skipped.has(flow.customer)) continue
      const head = flow.head()
      if (head !== undefined && (first === undefined || precedes(head, first))) first = head
    }
    return first?.job
  }
}

function precedes (a: { turn: number, arrival: number }, b: { turn: number, arrival: number }): boolean {
  return a.turn < b.turn || (a.turn === b.turn && a.arrival < b.arrival)
}
