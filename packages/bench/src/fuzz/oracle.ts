/**
 * A simple oracle over an in-memory fleet: it looks only at what endpoints started and what callers were told,
 * never at the counters of the instances.
 */
import type { Fleet, StartRequest } from '@cranberryyard/protocol'
import type { CallRecord, MemoryFleet, MemoryNode } from '../memory/memoryFleet.js'
import { resultOf } from '../memory/workload.js'

/** What test payloads carry. */
export interface OwnedPayload {
  readonly customer: string
  readonly requestId: string
  readonly kind: string
}

/** A broken promise. */
export class Violation extends Error {}

/** A dead instance may have tasks running for as long as its leases last; its version counts until then. */
const DEAD_COUNTS_MS = 10_000

interface NodeVersion {
  version: number
  inForce: number
  life: number
  diedAt: number | undefined
}

/** Checks the promises during and after a run. */
export class Oracle {
  /** Largest number of tasks above the limit seen at any start. */
  overshoot = 0
  private readonly startsByTask = new Map<string, number>()
  private readonly startsBySubmission = new Map<string, number>()
  private readonly submissionsByRequest = new Map<string, Set<string>>()
  private readonly limits = new Map<number, ReadonlyMap<string, number>>()
  private readonly versions = new Map<string, NodeVersion>()
  private readonly lost = new Set<string>()
  private readonly running = new Map<string, Set<() => boolean>>()

  constructor (private readonly fleet: MemoryFleet) {
    fleet.onStart = (endpoint, request) => this.started(endpoint.model.log.at(-1), request)
    const wake = fleet.store.onChange
    fleet.store.onChange = (key) => {
      this.noteLimits()
      wake(key)
    }
    this.noteLimits()
  }

  /** Notes that an instance died or left; calls that wait there are lost with it. */
  noteDeath (node: MemoryNode): void {
    const known = this.versions.get(node.id)
    if (known !== undefined) known.diedAt = this.fleet.time.now
    for (const call of this.fleet.calls) if (call.instance === node.id && !isEnded(call)) this.lost.add(call.callId)
  }

  /** Checks what can be checked at any moment. */
  check (): void {
    for (const node of this.fleet.nodes) this.checkVersion(node)
    for (const call of this.fleet.calls) this.checkCall(call)
  }

  /** Checks that every call has ended, once all faults are over and time has passed. */
  checkEnd (): void {
    this.check()
    for (const call of this.fleet.calls) {
      if (!isEnded(call) && !this.lost.has(call.callId)) throw new Violation(`call ${call.callId} of ${call.job.requestId} has no answer`)
    }
  }

  private started (log: { endedAt: number | undefined } | undefined, request: StartRequest): void {
    const { customer, requestId, kind } = request.payload as OwnedPayload
    const submission = request.taskId.slice(0, request.taskId.lastIndexOf('/'))
    this.checkOnce(request.taskId)
    this.startsBySubmission.set(submission, (this.startsBySubmission.get(submission) ?? 0) + 1)
    if (kind === 'serial') this.checkSerial(customer, requestId, submission)
    if (log !== undefined) this.checkLimit(customer, log)
  }

  private checkOnce (task: string): void {
    const starts = (this.startsByTask.get(task) ?? 0) + 1
    this.startsByTask.set(task, starts)
    if (starts > 1) throw new Violation(`task ${task} started ${starts} times`)
  }

  private checkSerial (customer: string, requestId: string, submission: string): void {
    const key = `${customer}/${requestId}`
    const submissions = this.submissionsByRequest.get(key) ?? new Set<string>()
    submissions.add(submission)
    this.submissionsByRequest.set(key, submissions)
    if (submissions.size > 1) throw new Violation(`non-idempotent request ${key} ran under ${[...submissions].join(' and ')}`)
  }

  private checkLimit (customer: string, log: { endedAt: number | undefined }): void {
    const set = this.running.get(customer) ?? new Set<() => boolean>()
    this.running.set(customer, set)
    set.add(() => log.endedAt === undefined)
    if (set.size > this.allowed(customer)) this.countRunning(customer, set)
  }

  private countRunning (customer: string, set: Set<() => boolean>): void {
    for (const e of this.fleet.endpoints) e.model.advance(this.fleet.time.now)
    for (const isRunning of [...set]) if (!isRunning()) set.delete(isRunning)
    const allowed = this.allowed(customer)
    this.overshoot = Math.max(this.overshoot, set.size - allowed)
    if (set.size > allowed) throw new Violation(`${set.size} tasks of ${customer} run at ${Math.round(this.fleet.time.now)} ms, ${allowed} are allowed`)
  }

  /** The largest limit among versions that some instance may still follow. */
  private allowed (customer: string): number {
    const now = this.fleet.time.now
    for (const node of this.fleet.nodes) this.noteVersion(node)
    const counting = [...this.versions.values()].filter(v => v.diedAt === undefined || now - v.diedAt < DEAD_COUNTS_MS)
    const lowest = Math.min(...counting.map(v => v.inForce))
    let allowed = 0
    let below = 0
    for (const [version, limits] of this.limits) {
      const limit = limits.get(customer) ?? 0
      if (version >= lowest) allowed = Math.max(allowed, limit)
      else below = limit
    }
    return Math.max(allowed, this.limits.has(lowest) ? 0 : below)
  }

  private noteLimits (): void {
    const stored: Fleet = this.fleet.storedFleet()
    this.limits.set(stored.version, new Map(stored.contracts.map(r => [r.contract.customer, r.contract.limits.running])))
  }

  private noteVersion (node: MemoryNode): void {
    if (node.core === undefined) return
    const known = this.versions.get(node.id)
    const inForce = node.core.limits.versionInForce
    if (known === undefined || known.life !== node.life) this.versions.set(node.id, { version: node.core.contracts.version, inForce, life: node.life, diedAt: undefined })
    else known.inForce = inForce
  }

  private checkVersion (node: MemoryNode): void {
    if (node.core === undefined) return
    this.noteVersion(node)
    const known = this.versions.get(node.id)
    const { version } = node.core.contracts
    if (known !== undefined && version < known.version) throw new Violation(`${node.id} went back from version ${known.version} to ${version}`)
    if (known !== undefined) known.version = version
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
    const right = results.length === expected.length && expected.every((r, i) => results[i] === r)
    if (!right) throw new Violation(`call ${call.callId} got results that are not its own, whole and in order`)
  }
}

/** @returns true when a call has been answered or refused */
export function isEnded (call: CallRecord): boolean {
  return call.answers.length + call.refusals.length > 0
}
