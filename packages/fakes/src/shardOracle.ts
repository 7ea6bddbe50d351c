/**
 * The test oracle for fleets of shard instances. It observes endpoints, callers and instances from outside and records every
 * violation of an invariant. It is separate from the fleets because in-memory runs and runs of real processes share it.
 */
import type { FencedEndpointModel, ModelEnd, ModelRun } from './fencedEndpointModel.js'

/**
 * The invariants. A violation means:
 * - FAULT: an instance process exited although the run had not ended it
 * - RECOVER: too few jobs were completed after the last fault
 * - LIMIT: the runs at an endpoint exceeded its capacity
 * - TWICE: two runs of one task were active at once
 * - REFUSED: a task started although all submissions of its job were refused
 * - MIXED: a job was reported as completed although not all its tasks ended with success
 * - LOST: a job was reported as failed although no run of it had failed and no task of it had met two crashes
 * - DRAIN: a task started on an endpoint that had been draining for too long
 * - BUDGET: a task that crashes its endpoints was started too often after it had crashed some of them
 * - UNASKED: a task started with another spec than its caller sent
 * - ONE: two instances owned a shard under the same fencing token, or may do so, since they derive tokens from different copies of a record
 * - CONFIG: an instance went back to an older version of the desired state, or handled a job as only an older one allows, after it had shown a newer one or had had time to get it
 * - EVAC: a task started in a failure domain that had been evacuated for too long and was not taken back
 */
export type Rule = 'FAULT' | 'RECOVER' | 'LIMIT' | 'TWICE' | 'REFUSED' | 'MIXED' | 'LOST' | 'DRAIN' | 'BUDGET' | 'UNASKED' | 'ONE' | 'CONFIG' | 'EVAC'

/** A violation of an invariant. */
export interface Violation {
  readonly rule: Rule
  readonly at: number
  readonly detail: string
}

/** What the oracle has seen of a job, over all its submissions. */
interface JobObservation {
  readonly tasks: number
  /** The spec that the caller sent; undefined if it is not checked. */
  readonly spec: string | undefined
  refusals: number
  otherReplies: number
  openSubmissions: number
  started: boolean
  readonly doneTasks: Set<string>
}

/** Time after an instance has shown the effect of a version during which it may still handle jobs by an older one. */
const ROLLBACK_GRACE_MS = 250

/** Time after the report that an endpoint drains during which tasks may still start on it. */
const DRAIN_GRACE_MS = 2000

/** Time after the store has acknowledged that a failure domain is evacuated during which tasks may still start there (bound of the platform). */
const EVACUATION_GRACE_MS = 5000
/** By how much that is longer for an instance that the store turns away, while others can tell it (bound of the platform). */
const EVACUATION_SKEW_MS = 6000

/** How long an earlier, larger capacity of an endpoint counts: the time that an instance needs to be in touch, and one beat of the endpoint. */
const SHRUNK_CAPACITY_GRACE_MS = 4500
/** A task under which this many endpoints have crashed may be given up. */
const CRASHES_TO_GIVE_UP = 2
/** A task that has crashed this many endpoints must be given up soon. */
const CRASHES_MAX = 3
/** Number of starts after that which are one too many. */
const STARTS_AFTER_CRASHES_LIMIT = 3

/**
 * What the instance that started a task could know of the store. `steady`: it ran and reached the store for long enough. `turnedAway`: the store does not
 * serve it, but it ran, and others that the store serves could tell it; the store has had no other fault since `storeCalmSince`.
 */
export type StarterContact = { readonly type: 'steady' } | { readonly type: 'turnedAway', readonly storeCalmSince: number } | { readonly type: 'none' }

/** What the oracle has seen of a task that crashes its endpoints. */
interface CrashObservation {
  crashes: number
  startsAfterwards: number
}

/** Checks the invariants on what the fleet reports to it. */
export class ShardOracle {
  readonly violations: Violation[] = []
  readonly jobs = new Map<string, JobObservation>()
  private readonly runsByTask = new Map<string, { readonly run: ModelRun, readonly endpoint: FencedEndpointModel }[]>()
  private readonly drainingSince = new Map<string, number>()
  private readonly evacuatedSince = new Map<string, number>()
  private readonly earlierCapacities = new Map<string, { readonly until: number, readonly cpuMilli: number }[]>()
  /** Number of runs that were lost beside a task that had crashed an endpoint before. */
  runsLostToSuspects = 0
  private readonly crashesMetByTask = new Map<string, number>()
  private readonly failuresByTask = new Map<string, number>()
  private readonly crashesByTask = new Map<string, CrashObservation>()
  private readonly desiredVersions = new Map<string, number>()
  /** The instance that owned a shard under a token, by both. */
  private readonly tokenHolders = new Map<string, string>()
  /** The instances named by each record that was written, by shard and revision. */
  private readonly writtenRanks = new Map<string, string>()
  /** When each incarnation of an instance first showed the effect of a version, by version. */
  private readonly shownVersions = new Map<string, Map<number, number>>()

  /** Records that a caller sent a job, for the first time or again. */
  recordSubmission (id: string, tasks: number, spec?: string): void {
    const job = this.jobs.get(id) ?? { tasks, spec, refusals: 0, otherReplies: 0, openSubmissions: 0, started: false, doneTasks: new Set() }
    job.openSubmissions++
    this.jobs.set(id, job)
  }

  /** Records how a submission ended; `other` covers every other reply and the lack of one. */
  recordReply (id: string, kind: 'completed' | 'failed' | 'refused' | 'other', at: number): void {
    const job = this.jobs.get(id)
    if (job === undefined) return
    job.openSubmissions--
    if (kind === 'refused') job.refusals++
    else job.otherReplies++
    if (kind === 'refused' && job.started) this.checkRefusedJob(id, at)
    if (kind === 'failed' && !this.mayFail(id)) this.reportViolation('LOST', at, `${id} failed without a cause`)
    if (kind === 'completed' && job.doneTasks.size < job.tasks) this.reportViolation('MIXED', at, `${id} completed with ${job.doneTasks.size} of ${job.tasks} tasks done`)
  }

  /**
   * Records the start of a task at an endpoint. Checks the time bound on draining only for an instance that had uninterrupted
   * contact with the store, since others may not know that the endpoint drains.
   */
  recordStart (endpoint: FencedEndpointModel, task: string, at: number, starterHadSteadyContact: boolean): void {
    const run = endpoint.runs.get(task)
    const id = task.slice(0, task.indexOf('.'))
    const job = this.jobs.get(id)
    if (run === undefined || job === undefined) return
    job.started = true
    this.checkRefusedJob(id, at)
    if (starterHadSteadyContact) this.checkCrashes(task, at)
    const capacity = this.capacityOf(endpoint, at, starterHadSteadyContact)
    if (endpoint.usedCpuMilli() > capacity) this.reportViolation('LIMIT', at, `${endpoint.id} has ${endpoint.usedCpuMilli()} of ${capacity} in use after ${task}`)
    const concurrentRuns = (this.runsByTask.get(task) ?? []).filter(other => other.endpoint.up && other.endpoint.runs.get(task) === other.run && other.run !== run)
    if (concurrentRuns.length > 0) this.reportViolation('TWICE', at, `${task} on ${endpoint.id} and ${concurrentRuns.map(o => o.endpoint.id).join()}`)
    this.runsByTask.set(task, [...concurrentRuns, { run, endpoint }])
    const drainingSince = this.drainingSince.get(endpoint.id)
    if (starterHadSteadyContact && drainingSince !== undefined && at - drainingSince > DRAIN_GRACE_MS) this.reportViolation('DRAIN', at, `${task} on ${endpoint.id}, draining for ${Math.round(at - drainingSince)} ms`)
  }

  /** Records the spec with which an endpoint is told to start a task. */
  recordSpec (task: string, spec: string, at: number): void {
    const job = this.jobs.get(task.slice(0, task.indexOf('.')))
    if (job?.spec !== undefined && job.spec !== spec) this.reportViolation('UNASKED', at, `${task} starts with a spec of ${spec.length} characters, sent were ${job.spec.length}`)
  }

  /** Records the end of a run. */
  recordEnd (run: ModelRun, how: ModelEnd['how']): void {
    if (how === 'failed') this.failuresByTask.set(run.task, this.failuresOf(run.task) + 1)
    if (how === 'done') this.jobs.get(run.task.slice(0, run.task.indexOf('.')))?.doneTasks.add(run.task)
  }

  /** Records that the capacity of an endpoint changes; call it before the change. */
  recordResize (endpoint: FencedEndpointModel, at: number): void {
    this.earlierCapacities.set(endpoint.id, [...this.earlierCapacities.get(endpoint.id) ?? [], { until: at, cpuMilli: endpoint.cpuMilli }])
  }

  /** Records a crash of an endpoint; only the tasks that cause crashes are blamed for it. Call it before the runs are gone. */
  recordCrash (endpoint: FencedEndpointModel): void {
    for (const { task, spec } of endpoint.runs.values()) {
      this.crashesMetByTask.set(task, (this.crashesMetByTask.get(task) ?? 0) + 1)
      if (spec.crashAfterMs === undefined) continue
      const seen = this.crashesByTask.get(task) ?? { crashes: 0, startsAfterwards: 0 }
      if (seen.crashes > 0) this.runsLostToSuspects += endpoint.runs.size - 1
      seen.crashes++
      this.crashesByTask.set(task, seen)
    }
  }

  /** @returns the number of endpoints that crashed under a task */
  crashesOf (task: string): number {
    return this.crashesByTask.get(task)?.crashes ?? 0
  }

  /** @returns the number of crashes that tasks have caused, and the most that one of them has */
  crashCounts (): { readonly crashes: number, readonly crashesOfOneTask: number } {
    const counts = [...this.crashesByTask.values()].map(({ crashes }) => crashes)
    return { crashes: counts.reduce((sum, n) => sum + n, 0), crashesOfOneTask: Math.max(0, ...counts) }
  }

  /** @returns the number of runs of a task that ended as failed */
  failuresOf (task: string): number {
    return this.failuresByTask.get(task) ?? 0
  }

  /** Records that an endpoint reports that it drains; repeated reports keep the first time. */
  recordDraining (id: string, at: number): void {
    if (!this.drainingSince.has(id)) this.drainingSince.set(id, at)
  }

  /** Records that the store has acknowledged the evacuation of a failure domain; repeated requests keep the first time. */
  recordEvacuated (domain: string, at: number): void {
    if (!this.evacuatedSince.has(domain)) this.evacuatedSince.set(domain, at)
  }

  /** Records that the operator takes a failure domain back. */
  recordTakenBack (domain: string): void {
    this.evacuatedSince.delete(domain)
  }

  /** Records the failure domain in which a task starts. Starts that an endpoint carries out long after they were sent have no bound in time. */
  recordStartInDomain (domain: string, task: string, at: number, contact: StarterContact): void {
    const since = this.evacuatedSince.get(domain)
    if (since === undefined || contact.type === 'none') return
    if (contact.type === 'turnedAway' && contact.storeCalmSince >= since) return
    const graceMs = EVACUATION_GRACE_MS + (contact.type === 'turnedAway' ? EVACUATION_SKEW_MS : 0)
    if (at - since > graceMs) this.reportViolation('EVAC', at, `${task} in ${domain}, evacuated for ${Math.round(at - since)} ms`)
  }

  /** Records that an instance owns a shard under a fencing token. It may have owned the shard under the same token before a restart, which ended its orders. */
  recordOwner (shard: string, token: number, instance: string, at: number): void {
    const key = `${shard} ${token}`
    const holder = this.tokenHolders.get(key)
    if (holder === undefined) this.tokenHolders.set(key, instance)
    else if (holder !== instance) this.reportViolation('ONE', at, `${instance} owns shard ${shard} under token ${token}, as ${holder} did`)
  }

  /** Records what the store holds as a shard's record under a revision. */
  recordWritten (shard: string, revision: number, ranks: string): void {
    this.writtenRanks.set(`${shard} ${revision}`, ranks)
  }

  /** Records the copy of a shard's record that an instance goes by; `ranks` lists the instances in the order of their tokens. */
  recordCopy (shard: string, revision: number, ranks: string, instance: string, at: number): void {
    const written = this.writtenRanks.get(`${shard} ${revision}`)
    if (written !== ranks) this.reportViolation('ONE', at, `${instance} takes ${ranks} for revision ${revision} of shard ${shard}, written was ${written}`)
  }

  /** Records the version of the desired state that an incarnation of an instance uses. */
  recordDesiredVersion (incarnation: string, version: number, at: number): void {
    const previous = this.desiredVersions.get(incarnation) ?? 0
    if (version < previous) this.reportViolation('CONFIG', at, `${incarnation} went from version ${previous} to ${version}`)
    this.desiredVersions.set(incarnation, version)
  }

  /** Records that an instance started a task of a queue that a version of the desired state has added. */
  recordQueueUsed (incarnation: string, addedIn: number, at: number): void {
    const shown = this.shownVersions.get(incarnation) ?? new Map<number, number>()
    if (!shown.has(addedIn)) shown.set(addedIn, at)
    this.shownVersions.set(incarnation, shown)
  }

  /** Records that an instance answered that there is no such queue, although a version has added it and none has removed it since. */
  recordQueueDenied (incarnation: string, addedIn: number, sentAt: number, at: number): void {
    if (this.hasShown(incarnation, addedIn, sentAt)) this.reportViolation('CONFIG', at, `${incarnation} knows no queue of version ${addedIn}, by which it has started tasks`)
  }

  /**
   * Records that a job was handled as only a version before the given one allows, although all instances that it was sent to had had time to get that version.
   * @param ageMs - how long the version had been published when the job was sent
   */
  recordLateVersion (instance: string, version: number, ageMs: number, at: number): void {
    this.reportViolation('CONFIG', at, `${instance} handled a job without version ${version}, which had been published ${Math.round(ageMs)} ms before the job was sent`)
  }

  /** Records that an instance started the first task of a job of a queue that a version has removed. */
  recordRemovedQueueUsed (incarnation: string, removedIn: number, sentAt: number, at: number): void {
    if (this.hasShown(incarnation, removedIn, sentAt)) this.reportViolation('CONFIG', at, `${incarnation} started a job of a queue that version ${removedIn} has removed, by which it has started tasks`)
  }

  /** @returns whether the instance had shown the effect of the version, or of a later one, for long enough when a job was sent */
  private hasShown (incarnation: string, version: number, sentAt: number): boolean {
    return [...this.shownVersions.get(incarnation) ?? []].some(([shown, at]) => shown >= version && sentAt - at > ROLLBACK_GRACE_MS)
  }

  /** @returns the largest capacity that may still count; the time bound holds only for an instance that could have known better */
  private capacityOf (endpoint: FencedEndpointModel, at: number, starterHadSteadyContact: boolean): number {
    const countsFrom = starterHadSteadyContact ? at - SHRUNK_CAPACITY_GRACE_MS : -Infinity
    const earlier = (this.earlierCapacities.get(endpoint.id) ?? []).filter(({ until }) => until >= countsFrom)
    return Math.max(endpoint.cpuMilli, ...earlier.map(({ cpuMilli }) => cpuMilli))
  }

  private mayFail (id: string): boolean {
    const isOfJob = (task: string): boolean => task.startsWith(`${id}.`)
    return [...this.failuresByTask.keys()].some(isOfJob) || [...this.crashesMetByTask].some(([task, crashes]) => isOfJob(task) && crashes >= CRASHES_TO_GIVE_UP)
  }

  private checkCrashes (task: string, at: number): void {
    const seen = this.crashesByTask.get(task)
    if (seen === undefined || seen.crashes < CRASHES_MAX) return
    seen.startsAfterwards++
    if (seen.startsAfterwards >= STARTS_AFTER_CRASHES_LIMIT) this.reportViolation('BUDGET', at, `${task} was started after it had crashed ${seen.crashes} endpoints`)
  }

  private checkRefusedJob (id: string, at: number): void {
    const job = this.jobs.get(id)
    if (job !== undefined && job.started && job.openSubmissions === 0 && job.otherReplies === 0) this.reportViolation('REFUSED', at, `${id} was refused ${job.refusals} times and has started`)
  }

  /** Records a violation; runs of real processes report those that only they can detect. */
  reportViolation (rule: Rule, at: number, detail: string): void {
    this.violations.push({ rule, at, detail })
  }
}
