/**
 * Decides what becomes of runs that an owner finds at its endpoints: a job that its front has sent again claims those of its
 * tasks, and runs that no job claims are stopped after a while.
 */
import type { AttemptsDecider } from '../attempts/attemptsDecider.js'
import { jobIdOf } from '../attempts/attemptsDb.js'
import type { EndpointsDecider } from '../endpoints/endpointsDecider.js'
import type { LedgerRun } from '../endpoints/types.js'
import type { ShardContext } from '../shard/types.js'
import type { JobEstimates } from './jobEstimates.js'
import type { OwnedJob, OwnedTask } from './types.js'

/** Connects runs that were found with the jobs that they belong to. */
export class Adoption {
  constructor (private readonly ctx: ShardContext, private readonly attempts: AttemptsDecider, private readonly estimates: JobEstimates, private readonly endpoints: () => EndpointsDecider) {}

  /** Returns whether a run of one of the job's tasks may be in progress. */
  hasRuns (job: OwnedJob): boolean {
    return job.steps.some(step => step.tasks.some(task => this.endpoints().db.runOf(task.name) !== undefined))
  }

  /** Claims all runs of the job's tasks. */
  adoptRuns (job: OwnedJob): void {
    for (const step of job.steps) {
      for (const task of step.tasks) {
        const run = this.endpoints().db.runOf(task.name)
        if (run !== undefined) this.adopt(job, task, run)
      }
    }
  }

  /** Claims a run for a task, or stops it if the task is done or has another run. */
  adopt (job: OwnedJob, task: OwnedTask, run: LedgerRun): void {
    job.mayHaveRun = true
    task.lastRun = Math.max(task.lastRun, run.run)
    if (task.done || task.run !== undefined) {
      this.endpoints().stop(run)
      return
    }
    const step = job.steps[task.step]
    if (step === undefined) return
    if (run.state === 'unclaimed' || run.needs === undefined) this.endpoints().claim(run, step.spec.needs, this.attempts.standingOf(task.name) !== 'sound', job.runLease)
    else run.lease = job.runLease
    run.expectedMs ??= this.estimates.expectedMs(job, step)
    task.run = run
    job.firstStartAt ??= this.ctx.now
  }

  /** Stops runs that no job has claimed in time. */
  stopUnclaimed (): void {
    const { now, cfg, out } = this.ctx
    for (const endpoint of this.endpoints().db.all()) {
      const hasClaimedRuns = [...endpoint.runs.values()].some(run => run.state === 'running')
      const graceMs = hasClaimedRuns ? cfg.claimGraceBesideOthersMs : cfg.claimGraceMs
      for (const run of endpoint.runs.values()) {
        if (run.state !== 'unclaimed' || now - run.startedAt < graceMs) continue
        out.count('shard.tasks.unclaimed')
        out.log('task.unclaimed', { job: jobIdOf(run.task), task: run.task, run: run.run, endpoint: endpoint.id, foundAgeMs: Math.round(now - run.orderedAt) })
        this.endpoints().stop(run)
      }
    }
  }
}
