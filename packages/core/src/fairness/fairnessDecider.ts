/**
 * Weighted fair queueing between customers, by whole jobs. A job's start tag is the later of virtual time and
 * the finish tag of its customer's job before it; the smallest tag goes first. Customers within their share are
 * served in order of arrival, as by one central queue; a burst only pushes back the jobs behind it.
 */
import type { CustomerId } from '@cranberryyard/protocol'
import { Flow } from './fairnessDb.js'
import type { TaggedJob } from './fairnessDb.js'
import type { QueuedJob } from './types.js'

/** Decides whose job is next. */
export class FairnessDecider<J extends QueuedJob> {
  private readonly flows = new Map<CustomerId, Flow<J>>()
  private virtualTime = 0
  private arrivals = 0

  /**
   * Adds a job at the end of its customer's queue.
   * @param job - the job
   */
  push (job: J): void {
    const flow = this.flows.get(job.customer) ?? new Flow<J>(job.customer)
    this.flows.set(job.customer, flow)
    const startTag = Math.max(this.virtualTime, flow.finishTag)
    flow.finishTag = startTag + job.workMs / job.weight
    flow.jobs.push({ job, startTag, arrival: this.arrivals++ })
    flow.waiting += job.waiting()
  }

  /** Adjusts a customer's number of waiting tasks when a task starts, is put back, or is dropped. */
  adjustWaiting (customer: CustomerId, by: number): void {
    const flow = this.flows.get(customer)
    if (flow === undefined) return
    flow.waiting += by
    if (flow.waiting <= 0 && flow.head() === undefined) this.removeIdle(flow)
  }

  /** Puts a job back at the head of its queue after a start was refused. */
  putBack (job: J): void {
    const flow = this.flows.get(job.customer) ?? new Flow<J>(job.customer)
    this.flows.set(job.customer, flow)
    if (!flow.jobs.some(t => t.job === job)) flow.jobs.unshift({ job, startTag: this.virtualTime, arrival: -1 })
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

  /** Moves virtual time on to a job that is being served. */
  serve (job: J): void {
    const head = this.flows.get(job.customer)?.head()
    if (head !== undefined && head.job === job) this.virtualTime = Math.max(this.virtualTime, head.startTag)
  }

  private removeIdle (flow: Flow<J>): void {
    if (flow.finishTag <= this.virtualTime) this.flows.delete(flow.customer)
  }
}

function precedes (a: { startTag: number, arrival: number }, b: { startTag: number, arrival: number }): boolean {
  return a.startTag < b.startTag || (a.startTag === b.startTag && a.arrival < b.arrival)
}
