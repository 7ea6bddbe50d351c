/**
 * Checks the invariants of a fleet in memory. The oracle works from the starts that endpoints accepted, the answers that
 * callers received, and the versions of the fleet value in the store and at the instances. It never reads the counters of
 * the instances, so that an error in their bookkeeping can't hide a violation.
 */
import type { Fleet, StartRequest } from '@cranberryyard/protocol'
import type { CallRecord, MemoryFleet, MemoryNode } from '../memory/memoryFleet.js'
import { resultOf } from '../memory/workload.js'

/** Fields of a test payload that say which customer and request a task belongs to. */
export interface TestPayload {
  readonly customer: string
  readonly requestId: string
  readonly kind: string
}

/** A violated invariant. */
export class Violation extends Error {}

/** Tasks of a dead instance may run until their leases expire; until then the limits of its fleet version are allowed too. */
const DEAD_INSTANCE_LEASE_MS = 10_000

interface NodeVersion {
  version: number
  inForce: number
  generation: number
  diedAt: number | undefined
}

/** Checks the invariants during and after a run. */
export class Oracle {
  /** Largest number of running tasks above the limit, over all starts. */
  overshoot = 0
  private readonly startsByTask = new Map<string, number>()
  private readonly startsBySubmission = new Map<string, number>()
  private readonly submissionsByRequest = new Map<string, Set<string>>()
  private readonly limitsByVersion = new Map<number, ReadonlyMap<string, number>>()
  private readonly versions = new Map<string, NodeVersion>()
  private readonly lostCalls = new Set<string>()
  private readonly runningByCustomer = new Map<string, Set<() => boolean>>()

  constructor (private readonly fleet: MemoryFleet) {
    fleet.onStart = (endpoint, request) => this.recordStart(endpoint.model.log.at(-1), request)
    const notifyWatchers = fleet.store.onChange
    fleet.store.onChange = (key) => {
      this.recordLimits()
      notifyWatchers(key)
    }
    this.recordLimits()
  }

  /** Records that an instance died or left. Its open calls are lost with it and need no answer. */
  noteDeath (node: MemoryNode): void {
    const recorded = this.versions.get(node.id)
    if (recorded !== undefined) recorded.diedAt = this.fleet.time.now
    for (const call of this.fleet.calls) if (call.instance === node.id && !isEnded(call)) this.lostCalls.add(call.callId)
  }

  /** Checks the invariants that hold at any time. */
  check (): void {
    for (const node of this.fleet.nodes) this.checkVersion(node)
    for (const call of this.fleet.calls) this.checkCall(call)
  }

  /** Checks in addition that every call has ended. Call it after all faults have ended and the fleet has had time to recover. */
  checkEnd (): void {
    this.check()
    for (const call of this.fleet.calls) {
      if (!isEnded(call) && !this.lostCalls.has(call.callId)) throw new Violation(`call ${call.callId} of ${call.job.requestId} has no answer`)
    }
  }

  private recordStart (log: { endedAt: number | undefined } | undefined, request: StartRequest): void {
    const { customer, requestId, kind } = request.payload as TestPayload
    const submission = request.taskId.slice(0, request.taskId.lastIndexOf('/'))
    this.checkStartedOnce(request.taskId)
    this.startsBySubmission.set(submission, (this.startsBySubmission.get(submission) ?? 0) + 1)
    if (kind === 'serial') this.checkRequestRunsOnce(customer, requestId, submission)
    if (log !== undefined) this.checkLimit(customer, log)
  }

  private checkStartedOnce (task: string): void {
    const starts = (this.startsByTask.get(task) ?? 0) + 1
    this.startsByTask.set(task, starts)
    if (starts > 1) throw new Violation(`task ${task} started ${starts} times`)
  }

  private checkRequestRunsOnce (customer: string, requestId: string, submission: string): void {
    const key = `${customer}/${requestId}`
    const submissions = this.submissionsByRequest.get(key) ?? new Set<string>()
    submissions.add(submission)
    this.submissionsByRequest.set(key, submissions)
    if (submissions.size > 1) throw new Violation(`non-idempotent request ${key} ran under ${[...submissions].join(' and ')}`)
  }

  private checkLimit (customer: string, log: { endedAt: number | undefined }): void {
    const running = this.runningByCustomer.get(customer) ?? new Set<() => boolean>()
    this.runningByCustomer.set(customer, running)
    running.add(() => log.endedAt === undefined)
    if (running.size > this.largestLimit(customer)) this.checkRunning(customer, running)
  }

  /** Removes ended tasks from the set and then compares. Called only when the set, with ended tasks in it, exceeds the limit. */
  private checkRunning (customer: string, running: Set<() => boolean>): void {
    for (const e of this.fleet.endpoints) e.model.advance(this.fleet.time.now)
    for (const isRunning of [...running]) if (!isRunning()) running.delete(isRunning)
    const allowed = this.largestLimit(customer)
    this.overshoot = Math.max(this.overshoot, running.size - allowed)
    if (running.size > allowed) throw new Violation(`${running.size} tasks of ${customer} run at ${Math.round(this.fleet.time.now)} ms, ${allowed} are allowed`)
  }

  /**
   * @returns the largest limit among the fleet versions that an instance may still apply; when the lowest version in force
   * was never recorded, the last recorded version before it counts too
   */
  private largestLimit (customer: string): number {
    const now = this.fleet.time.now
    for (const node of this.fleet.nodes) this.recordVersion(node)
    const relevant = [...this.versions.values()].filter(v => v.diedAt === undefined || now - v.diedAt < DEAD_INSTANCE_LEASE_MS)
    const lowestInForce = Math.min(...relevant.map(v => v.inForce))
    let allowed = 0
    let previousLimit = 0
    for (const [version, limits] of this.limitsByVersion) {
      const limit = limits.get(customer) ?? 0
      if (version >= lowestInForce) allowed = Math.max(allowed, limit)
      else previousLimit = limit
    }
    return Math.max(allowed, this.limitsByVersion.has(lowestInForce) ? 0 : previousLimit)
  }

  private recordLimits (): void {
    const stored: Fleet = this.fleet.storedFleet()
    this.limitsByVersion.set(stored.version, new Map(stored.contracts.map(r => [r.contract.customer, r.contract.limits.running])))
  }

  private recordVersion (node: MemoryNode): void {
    if (node.core === undefined) return
    const recorded = this.versions.get(node.id)
    const inForce = node.core.limits.versionInForce
    if (recorded === undefined || recorded.generation !== node.generation) this.versions.set(node.id, { version: node.core.contracts.version, inForce, generation: node.generation, diedAt: undefined })
    else recorded.inForce = inForce
  }

  private checkVersion (node: MemoryNode): void {
    if (node.core === undefined) return
    this.recordVersion(node)
    const recorded = this.versions.get(node.id)
    const { version } = node.core.contracts
    if (recorded !== undefined && version < recorded.version) throw new Violation(`${node.id} went back from fleet version ${recorded.version} to ${version}`)
    if (recorded !== undefined) recorded.version = version
  }

  private checkCall (call: CallRecord): void {
    const ends = call.answers.length + call.refusals.length
    if (ends > 1) throw new Violation(`call ${call.callId} was answered ${ends} times`)
    const answer = call.answers[0]?.answer
    if (answer === undefined) {
      if (call.refusals.length > 0 && call.submissionId !== undefined) this.checkNotRun(call.submissionId)
      return
    }
    if (answer.outcome === 'complete') this.checkComplete(call, answer.results)
    else if (answer.ran === 'no') this.checkNotRun(answer.submissionId)
  }

  private checkNotRun (submission: string): void {
    const starts = this.startsBySubmission.get(submission) ?? 0
    if (starts > 0) throw new Violation(`submission ${submission} was answered as not run, but ${starts} tasks started`)
  }

  private checkComplete (call: CallRecord, results: readonly unknown[]): void {
    const expected = call.job.tasks.map((_, i) => resultOf(call.job.requestId, i))
    const isExpected = results.length === expected.length && expected.every((r, i) => results[i] === r)
    if (!isExpected) throw new Violation(`call ${call.callId} did not get exactly the results of its own tasks in order`)
  }
}

/** @returns true when the call has an answer or a refusal */
export function isEnded (call: CallRecord): boolean {
  return call.answers.length + call.refusals.length > 0
}
