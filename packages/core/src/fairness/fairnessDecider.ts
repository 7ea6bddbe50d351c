/**
 * Weighted fair queueing between customers, by whole jobs; the job with the earliest virtual start time goes first.
 * The virtual start is the arrival time. For a customer that submits more than its fair share of the slots can run, it is
 * the time at which that share would reach the job, minus a tolerance, if that is later. Customers within their fair share
 * are therefore served in order of arrival, as by one central queue, and a burst delays only the jobs behind it in the
 * burst. A job of a customer with little waiting work is ordered as if it had arrived earlier by the tolerance, which puts
 * it before the others: this hardly delays them, and keeps that customer's response time unchanged while others burst.
 */
import type { CustomerId, Ms } from '@cranberryyard/protocol'
import { Flow } from './fairnessDb.js'
import type { WaitingJob } from './fairnessDb.js'
import type { QueuedJob } from './types.js'

/** A customer's waiting work is light when its fair share of the slots could run it within this time. */
const LIGHT_LOAD_MS = 250

interface Candidate<J extends QueuedJob> {
  readonly head: WaitingJob<J>
  readonly virtualStart: number
}

/** Decides which customer's job starts tasks next. */
export class FairnessDecider<J extends QueuedJob> {
  private readonly flows = new Map<CustomerId, Flow<J>>()
  private nextArrivalOrder = 0
  private slots = 1

  /** @param toleranceMs - time by which a customer may run ahead of its fair share before its jobs are delayed */
  constructor (private readonly toleranceMs: number) {}

  /**
   * Appends a job to its customer's queue.
   * @param job - the job
   * @param now - time of arrival
   * @param slots - number of slots that all customers share
   */
  push (job: J, now: Ms, slots: number): void {
    const flow = this.flowOf(job)
    this.slots = Math.max(1, slots)
    flow.weight = job.weight
    if (flow.waitingTasks === 0) this.startBusyPeriod(flow, now)
    flow.waitingTasks += job.waiting()
    const isLight = flow.waitingMs() + job.workMs <= LIGHT_LOAD_MS * this.fairSlots(flow, this.activeWeight())
    flow.jobs.push({ job, arrivedAt: now, workBeforeMs: flow.workMs, isLight, arrivalOrder: this.nextArrivalOrder++ })
    flow.workMs += job.workMs
  }

  /** Changes a customer's number of waiting tasks by `by`, after tasks were started, put back or dropped. */
  adjustWaiting (customer: CustomerId, by: number): void {
    const flow = this.flows.get(customer)
    if (flow !== undefined) flow.waitingTasks += by
  }

  /** Returns a job to the head of its customer's queue after an endpoint refused a start. A job that is still queued stays in its place. */
  requeueAtHead (job: J): void {
    const flow = this.flowOf(job)
    if (flow.jobs.some(t => t.job === job)) return
    flow.jobs.unshift({ job, arrivedAt: 0, workBeforeMs: 0, isLight: true, arrivalOrder: -1 })
  }

  /** @returns number of a customer's waiting tasks */
  waitingTasksOf (customer: CustomerId): number {
    return this.flows.get(customer)?.waitingTasks ?? 0
  }

  /** @returns number of waiting tasks of all customers */
  waiting (): number {
    let total = 0
    for (const flow of this.flows.values()) total += flow.waitingTasks
    return total
  }

  /**
   * Picks the job that starts tasks next; it stays in its queue until none of its tasks wait.
   * @param skipped - customers that cannot start tasks now
   * @returns the job with the earliest virtual start, or undefined when no other customer has waiting tasks
   */
  next (skipped: ReadonlySet<CustomerId>): J | undefined {
    const totalWeight = this.activeWeight()
    let first: Candidate<J> | undefined
    for (const flow of this.flows.values()) {
      if (flow.waitingTasks <= 0 || skipped.has(flow.customer)) continue
      const head = flow.head()
      if (head === undefined) continue
      const candidate = { head, virtualStart: this.virtualStartOf(head, flow, totalWeight) }
      if (first === undefined || precedes(candidate, first)) first = candidate
    }
    return first?.head.job
  }

  private flowOf (job: J): Flow<J> {
    const flow = this.flows.get(job.customer) ?? new Flow<J>(job.customer)
    this.flows.set(job.customer, flow)
    return flow
  }

  /** Starts a busy period. Work beyond the fair share in the previous period is carried over, limited to the tolerance. */
  private startBusyPeriod (flow: Flow<J>, now: Ms): void {
    const fairSlots = this.fairSlots(flow, this.activeWeight() + flow.weight)
    const leftMs = flow.workMs - (now - flow.busySince) * fairSlots
    flow.workMs = Math.max(0, Math.min(leftMs, this.toleranceMs * fairSlots))
    flow.busySince = now
  }

  private virtualStartOf (waiting: WaitingJob<J>, flow: Flow<J>, totalWeight: number): number {
    if (waiting.isLight) return waiting.arrivedAt - this.toleranceMs
    const fairTime = flow.busySince + waiting.workBeforeMs / this.fairSlots(flow, totalWeight)
    return Math.max(waiting.arrivedAt, fairTime - this.toleranceMs)
  }

  /** The customer's share of the slots, by its weight among all customers with waiting tasks. */
  private fairSlots (flow: Flow<J>, totalWeight: number): number {
    return this.slots * flow.weight / Math.max(flow.weight, totalWeight)
  }

  /** Sum of the weights of all customers with waiting tasks. */
  private activeWeight (): number {
    let total = 0
    for (const flow of this.flows.values()) if (flow.waitingTasks > 0) total += flow.weight
    return total
  }
}

function precedes<J extends QueuedJob> (a: Candidate<J>, b: Candidate<J>): boolean {
  return a.virtualStart < b.virtualStart || (a.virtualStart === b.virtualStart && a.head.arrivalOrder < b.head.arrivalOrder)
}
