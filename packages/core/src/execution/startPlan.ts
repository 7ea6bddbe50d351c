/**
 * Plans which of a job's waiting tasks start in the present round, and where. Capacity is reserved while the plan is made, so that no
 * two tasks get the same; a plan that is given up returns it.
 */
import type { EndpointId, TaskName } from '@cranberryyard/protocol'
import { minus, plus } from '../endpoints/endpointsDb.js'
import type { Candidate, PlacementDecider } from '../placement/placementDecider.js'
import { isReady } from './executionDb.js'
import type { OwnedJob, OwnedStep, OwnedTask } from './types.js'

/** A planned start whose capacity is reserved in the current placement round. */
export interface PlannedStart {
  readonly step: OwnedStep
  readonly task: OwnedTask
  readonly candidate: Candidate
}

/** The starts of one job in one round. */
export interface StartPlan {
  readonly starts: readonly PlannedStart[]
  /** Every task of the ready steps has been placed. */
  readonly isComplete: boolean
  /** Some steps wait for others. */
  readonly hasBlockedSteps: boolean
}

/** What a plan depends on. */
export interface PlanInput {
  readonly placement: PlacementDecider
  /** The endpoints with the capacity that is left in this round. */
  readonly candidates: readonly Candidate[]
  /** Returns whether a run of the task may still be in progress. */
  readonly mayRun: (task: TaskName) => boolean
  /** Whether some tasks may start while others still wait. */
  readonly allowPartial: boolean
}

/** Plans the starts of a job; if only some tasks could start and that is not allowed, none does. */
export function planStarts (job: OwnedJob, input: PlanInput): StartPlan {
  const starts: PlannedStart[] = []
  let unplacedTasks = 0
  let blockedSteps = 0
  for (const step of job.steps) {
    if (step.unfinishedTasks === 0) continue
    if (!isReady(job, step)) {
      blockedSteps++
      continue
    }
    for (const task of step.tasks) {
      if (task.done || task.run !== undefined || planStart(job, step, task, input, starts)) continue
      if (!input.allowPartial) return release(starts)
      unplacedTasks++
    }
  }
  return { starts, isComplete: unplacedTasks === 0, hasBlockedSteps: blockedSteps > 0 }
}

function planStart (job: OwnedJob, step: OwnedStep, task: OwnedTask, { placement, candidates, mayRun }: PlanInput, starts: PlannedStart[]): boolean {
  if (mayRun(task.name)) return false
  const { needs, requiredLabel, preferredRack, maxPerEndpoint } = step.spec
  const tasksAt = maxPerEndpoint > 0 ? (id: EndpointId) => countRuns(step, id) + starts.filter(p => p.step === step && p.candidate.endpoint.id === id).length : undefined
  const candidate = placement.choose({ service: job.order.queue.service, needs, requiredLabel, preferredRack, avoid: task.avoid, tasksAt, maxPerEndpoint }, candidates)
  if (candidate === undefined) return false
  placement.recordPlacement(candidate.endpoint.id)
  candidate.freeCapacity = minus(candidate.freeCapacity, needs)
  starts.push({ step, task, candidate })
  return true
}

/** Returns the reserved capacity. @returns a plan in which no task starts */
function release (starts: readonly PlannedStart[]): StartPlan {
  for (const { candidate, step } of starts) candidate.freeCapacity = plus(candidate.freeCapacity, step.spec.needs)
  return { starts: [], isComplete: false, hasBlockedSteps: false }
}

function countRuns (step: OwnedStep, id: EndpointId): number {
  return step.tasks.reduce((n, task) => n + (task.run?.endpoint === id ? 1 : 0), 0)
}
