/**
 * Fair queueing between customers, by whole jobs. A job's turn is its arrival, or, for a customer that has asked
 * for more than its fair part of the slots, the time at which that part would have come to the job, less a
 * tolerance; the earliest turn goes first. Customers within their fair part are so served in order of arrival, as
 * by one central queue, and a burst pushes back only the jobs behind it. A customer of whom little waits goes
 * before all others: that delays them hardly, and keeps its response where it is while others burst.
 */
import type { CustomerId, Ms } from '@cranberryyard/protocol'
import { Flow } from './fairnessDb.js'
import type { WaitingJob } from './fairnessDb.js'
import type { QueuedJob } from './types.js'

/** Little waits when a customer's fair part of the slots could run it in this time. */
const LIGHT_MS = 250

interface Candidate<J extends QueuedJob> {
  readonly head: WaitingJob<J>
  readonly turn: number
}

/** Decides whose job is next. */
export class FairnessDecider<J extends QueuedJob> {
  private readonly flows = new Map<CustomerId, Flow<J>>()
  private arrivals = 0
  private slots = 1

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
    this.slots = Math.max(1, slots)
    flow.weight = job.weight
    if (flow.waiting === 0) this.beginBusy(flow, now)
    flow.waiting += job.waiting()
    const isLight = flow.waitingMs() + job.workMs <= LIGHT_MS * this.fairSlots(flow, this.weights())
    flow.jobs.push({ job, arrivedAt: now, workBeforeMs: flow.workMs, isLight, arrival: this.arrivals++ })
    flow.workMs += job.workMs
  }

  /** Adjusts a customer's number of waiting tasks when a task starts, is put back, or is dropped. */
  adjustWaiting (customer: CustomerId, by: number): void {
    const flow = this.flows.get(customer)
    if (flow !== undefined) flow.waiting += by
  }

  /** Puts a job back at the head of its queue after a start was refused. */
  putBack (job: J): void {
    const flow = this.flowOf(job)
    if (flow.jobs.some(t => t.job === job)) return
    flow.jobs.unshift({ job, arrivedAt: 0, workBeforeMs: 0, isLight: true, arrival: -1 })
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
    const weights = this.weights()
    let first: Candidate<J> | undefined
    for (const flow of this.flows.values()) {
      if (flow.waiting <= 0 || skipped.has(flow.customer)) continue
      const head = flow.head()
      if (head === undefined) continue
      const candidate = { head, turn: this.turnOf(head, flow, weights) }
      if (first === undefined || precedes(candidate, first)) first = candidate
    }
    return first?.head.job
  }

  private flowOf (job: J): Flow<J> {
    const flow = this.flows.get(job.customer) ?? new Flow<J>(job.customer)
    this.flows.set(job.customer, flow)
    return flow
  }

  /** What a customer used beyond its fair part before it fell idle counts on, up to the tolerance. */
  private beginBusy (flow: Flow<J>, now: Ms): void {
    const fairSlots = this.fairSlots(flow, this.weights() + flow.weight)
    const leftMs = flow.workMs - (now - flow.busySince) * fairSlots
    flow.workMs = Math.max(0, Math.min(leftMs, this.toleranceMs * fairSlots))
    flow.busySince = now
  }

  private turnOf (waiting: WaitingJob<J>, flow: Flow<J>, weights: number): number {
    if (waiting.isLight) return waiting.arrivedAt - this.toleranceMs
    const fairTime = flow.busySince + waiting.workBeforeMs / this.fairSlots(flow, weights)
    return Math.max(waiting.arrivedAt, fairTime - this.toleranceMs)
  }

  /** The part of the slots that is a customer's while those who wait share them. */
  private fairSlots (flow: Flow<J>, weights: number): number {
    return this.slots * flow.weight / Math.max(flow.weight, weights)
  }

  private weights (): number {
    let weights = 0
    for (const flow of this.flows.values()) if (flow.waiting > 0) weights += flow.weight
    return weights
  }
}

function precedes<J extends QueuedJob> (a: Candidate<J>, b: Candidate<J>): boolean {
  return a.turn < b.turn || (a.turn === b.turn && a.head.arrival < b.head.arrival)
}
