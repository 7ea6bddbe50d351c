/**
 * Plans which of a job's waiting tasks start in the present round, and where. Capacity is reserved while the plan is made, so that no
 * two tasks get the same; a plan that is given up returns it. A task that may crash its endpoint gets an endpoint of its own.
 */
import type { EndpointId, Resources, TaskName } from '@cranberryyard/protocol'
import type { TaskStanding } from '../attempts/types.js'
import { minus, plus } from '../endpoints/endpointsDb.js'
import type { Candidate, PlacementDecider } from '../placement/placementDecider.js'
import { isReady } from './executionDb.js'
import type { OwnedJob, OwnedStep, OwnedTask } from './types.js'

/** Trials passed up to which the number of suspect tasks of a job that may run at the same time doubles with each. */
const TRIAL_DOUBLINGS_MAX = 6

/** A planned start whose capacity is reserved in the current placement round. */
export interface PlannedStart {
  readonly step: OwnedStep
  readonly task: OwnedTask
  readonly candidate: Candidate
  readonly exclusive: boolean
  readonly reserved: Resources
}

/** The starts of one job in one round. */
export interface StartPlan {
  readonly starts: readonly PlannedStart[]
  /** Every task of the ready steps has been placed. */
  readonly isComplete: boolean
  /** Some steps wait for others. */
  readonly hasBlockedSteps: boolean
  /** A suspect task that may start, but for which no endpoint is unused. */
  readonly suspectWithoutEndpoint: PlannedTask | undefined
}

/** A task with its step. */
export interface PlannedTask {
  readonly step: OwnedStep
  readonly task: OwnedTask
}

/** What a plan depends on. */
export interface PlanInput {
  readonly placement: PlacementDecider
  /** The endpoints with the capacity that is left in this round. */
  readonly candidates: readonly Candidate[]
  /** Returns whether a run of the task may still be in progress. */
  readonly mayRun: (task: TaskName) => boolean
  readonly standingOf: (task: TaskName) => TaskStanding
  /** Whether some tasks may start while others still wait. */
  readonly allowPartial: boolean
}

/** Plans the starts of a job; if only some tasks could start and that is not allowed, none does. Suspect tasks delay no other task. */
export function planStarts (job: OwnedJob, input: PlanInput): StartPlan {
  const starts: PlannedStart[] = []
  const suspects: PlannedTask[] = []
  let trials = 0
  let unplacedTasks = 0
  let blockedSteps = 0
  for (const step of job.steps) {
    if (step.unfinishedTasks === 0) continue
    if (!isReady(job, step)) {
      blockedSteps++
      continue
    }
    for (const task of step.tasks) {
      if (task.done) continue
      if (task.run !== undefined) {
        if (task.run.exclusive) trials++
        continue
      }
      if (input.standingOf(task.name) !== 'sound') {
        suspects.push({ step, task })
        continue
      }
      if (planStart(job, { step, task }, input, starts, false)) continue
      if (!input.allowPartial) return release(starts)
      unplacedTasks++
    }
  }
  const trialsMax = 2 ** Math.min(job.trialsPassed, TRIAL_DOUBLINGS_MAX)
  let suspectWithoutEndpoint: PlannedTask | undefined
  for (const suspect of suspects) {
    if (trials < trialsMax && suspectWithoutEndpoint === undefined) {
      if (planStart(job, suspect, input, starts, true)) {
        trials++
        continue
      }
      if (!input.mayRun(suspect.task.name)) suspectWithoutEndpoint = suspect
    }
    unplacedTasks++
  }
  return { starts, isComplete: unplacedTasks === 0, hasBlockedSteps: blockedSteps > 0, suspectWithoutEndpoint }
}

function planStart (job: OwnedJob, { step, task }: PlannedTask, { placement, candidates, mayRun }: PlanInput, starts: PlannedStart[], exclusive: boolean): boolean {
  if (mayRun(task.name)) return false
  const { needs, requiredLabel, preferredRack, maxPerEndpoint } = step.spec
  const tasksAt = maxPerEndpoint > 0 ? (id: EndpointId) => countRuns(step, id) + starts.filter(p => p.step === step && p.candidate.endpoint.id === id).length : undefined
  const candidate = placement.choose({ service: job.order.queue.service, needs, requiredLabel, preferredRack, avoid: task.avoid, tasksAt, maxPerEndpoint, exclusive }, candidates)
  if (candidate === undefined) return false
  placement.recordPlacement(candidate.endpoint.id)
  const reserved = exclusive ? candidate.freeCapacity : needs
  candidate.freeCapacity = minus(candidate.freeCapacity, reserved)
  starts.push({ step, task, candidate, exclusive, reserved })
  return true
}

/** Returns the reserved capacity. @returns a plan in which no task starts */
function release (starts: readonly PlannedStart[]): StartPlan {
  for (const { candidate, reserved } of starts) candidate.freeCapacity = plus(candidate.freeCapacity, reserved)
  return { starts: [], isComplete: false, hasBlockedSteps: false, suspectWithoutEndpoint: undefined }
}

function countRuns (step: OwnedStep, id: EndpointId): number {
  return step.tasks.reduce((n, task) => n + (task.run?.endpoint === id ? 1 : 0), 0)
}
