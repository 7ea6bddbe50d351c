/**
 * Watches endpoints and callers of a fleet and notes every broken promise:
 * capacity exceeded, two runs of one task at once, a start for a job whose every submission was refused, a completed
 * job with a task that never ended done, a start on an endpoint that has been draining for too long.
 */
import type { FencedEndpointModel, ModelEnd, ModelRun } from './fencedEndpointModel.js'

/** Names of the checks. */
export type Rule = 'FAULT' | 'RECOVER' | 'LIMIT' | 'TWICE' | 'REFUSED' | 'MIXED' | 'DRAIN' | 'CONFIG'

/** A broken promise. */
export interface Violation {
  readonly rule: Rule
  readonly at: number
  readonly detail: string
}

/** What callers got for a job over all its submissions. */
interface JobFate {
  readonly tasks: number
  refusals: number
  otherReplies: number
  open: number
  started: boolean
  readonly done: Set<string>
}

/** Time after which nothing may start on a draining endpoint. */
const DRAIN_MS = 2000

/** The oracle. */
export class ShardOracle {
  readonly violations: Violation[] = []
  readonly jobs = new Map<string, JobFate>()
  private readonly live = new Map<string, { readonly run: ModelRun, readonly endpoint: FencedEndpointModel }[]>()
  private readonly drainingSince = new Map<string, number>()
  private readonly versions = new Map<string, number>()

  /** A caller sends a job, for the first time or again. */
  submitted (id: string, tasks: number): void {
    const fate = this.jobs.get(id) ?? { tasks, refusals: 0, otherReplies: 0, open: 0, started: false, done: new Set() }
    fate.open++
    this.jobs.set(id, fate)
  }

  /** A submission got a reply, or none. */
  replied (id: string, kind: 'completed' | 'failed' | 'refused' | 'other', at: number): void {
    const fate = this.jobs.get(id)
    if (fate === undefined) return
    fate.open--
    if (kind === 'refused') fate.refusals++
    else fate.otherReplies++
    if (kind === 'refused' && fate.started) this.checkRefused(id, at)
    if (kind === 'completed' && fate.done.size < fate.tasks) this.note('MIXED', at, `${id} completed with ${fate.done.size} of ${fate.tasks} tasks done`)
  }

  /** A task started at an endpoint. The bound on draining holds for starters that have long been in touch with the store. */
  started (endpoint: FencedEndpointModel, task: string, at: number, starterInTouch: boolean): void {
    const run = endpoint.runs.get(task)
    const id = task.slice(0, task.indexOf('.'))
    const fate = this.jobs.get(id)
    if (run === undefined || fate === undefined) return
    fate.started = true
    this.checkRefused(id, at)
    if (endpoint.usedCpuMilli() > endpoint.cpuMilli) this.note('LIMIT', at, `${endpoint.id} has ${endpoint.usedCpuMilli()} of ${endpoint.cpuMilli} in use after ${task}`)
    const others = (this.live.get(task) ?? []).filter(other => other.endpoint.up && other.endpoint.runs.get(task) === other.run && other.run !== run)
    if (others.length > 0) this.note('TWICE', at, `${task} on ${endpoint.id} and ${others.map(o => o.endpoint.id).join()}`)
    this.live.set(task, [...others, { run, endpoint }])
    const draining = this.drainingSince.get(endpoint.id)
    if (starterInTouch && draining !== undefined && at - draining > DRAIN_MS) this.note('DRAIN', at, `${task} on ${endpoint.id}, draining for ${Math.round(at - draining)} ms`)
  }

  /** A run ended. */
  ended (run: ModelRun, how: ModelEnd['how']): void {
    if (how === 'done') this.jobs.get(run.task.slice(0, run.task.indexOf('.')))?.done.add(run.task)
  }

  /** An endpoint's report says that it drains. */
  draining (id: string, at: number): void {
    if (!this.drainingSince.has(id)) this.drainingSince.set(id, at)
  }

  /** A life of an instance works under a version of the desired state. */
  version (life: string, version: number, at: number): void {
    const before = this.versions.get(life) ?? 0
    if (version < before) this.note('CONFIG', at, `${life} went from version ${before} to ${version}`)
    this.versions.set(life, version)
  }

  private checkRefused (id: string, at: number): void {
    const fate = this.jobs.get(id)
    if (fate !== undefined && fate.started && fate.open === 0 && fate.otherReplies === 0) this.note('REFUSED', at, `${id} was refused ${fate.refusals} times and has started`)
  }

  /** Notes a broken promise. */
  note (rule: Rule, at: number, detail: string): void {
    this.violations.push({ rule, at, detail })
  }
}
