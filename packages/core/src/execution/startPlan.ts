/**
 * Plans which of a job's waiting tasks start in the present round, and where. Capacity is reserved while the plan is made, so that no
 * two tasks get the same; a plan that is given up returns it. A task that may crash its endpoint gets an endpoint of its own.
 */
import type { EndpointId, Resources, TaskName } from '@cranberryyard/protocol'
import type { TaskStanding } from '../attempts/types.js'
import { minus, plus } from '../endpoints/endpointsDb.js'
import type { Candidate, PlacementDecider } from '../placement/placementDecider.js'
import type { TaskTiming } from '../speeds/types.js'
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
  readonly timingOf: (step: OwnedStep) => TaskTiming
  /** Whether some tasks may start while others still wait. */
  readonly allowPartial: boolean
}

/** The tasks of a job's ready steps that have not started. */
interface WaitingTasks {
  readonly sound: readonly PlannedTask[]
  readonly suspect: readonly PlannedTask[]
  /** Number of tasks that must not start for now. */
  readonly unclear: number
  /** Number of suspect tasks that run at present. */
  readonly trials: number
  readonly hasBlockedSteps: boolean
}

/** Plans the starts of a job; if only some sound tasks could start and that is not allowed, none does. Suspect tasks delay no other task. */
export function planStarts (job: OwnedJob, input: PlanInput): StartPlan {
  const waiting = waitingTasks(job, input)
  const starts: PlannedStart[] = []
  let unplacedTasks = 0
  for (const planned of waiting.sound) {
    if (planStart(job, planned, input, starts, false)) continue
    if (!input.allowPartial) return release(starts)
    unplacedTasks++
  }
  const { unplaced, withoutEndpoint } = planTrials(job, waiting, input, starts)
  return { starts, isComplete: unplacedTasks + unplaced + waiting.unclear === 0, hasBlockedSteps: waiting.hasBlockedSteps, suspectWithoutEndpoint: withoutEndpoint }
}

function waitingTasks (job: OwnedJob, { standingOf }: PlanInput): WaitingTasks {
  const ready = job.steps.filter(step => step.unfinishedTasks > 0 && isReady(job, step))
  const unfinished = ready.flatMap(step => step.tasks.filter(task => !task.done).map(task => ({ step, task })))
  const waiting = unfinished.filter(({ task }) => task.run === undefined)
  return {
    sound: waiting.filter(({ task }) => standingOf(task.name) === 'sound'),
    suspect: waiting.filter(({ task }) => standingOf(task.name) === 'suspect'),
    unclear: waiting.filter(({ task }) => ['unclear', 'crashing'].includes(standingOf(task.name))).length,
    trials: unfinished.filter(({ task }) => task.run?.exclusive === true).length,
    hasBlockedSteps: job.steps.some(step => step.unfinishedTasks > 0 && !isReady(job, step))
  }
}

/** Plans the starts of suspect tasks, each at an endpoint of its own and few at a time, since each may cost an endpoint. */
function planTrials (job: OwnedJob, { suspect, trials: running }: WaitingTasks, input: PlanInput, starts: PlannedStart[]): { readonly unplaced: number, readonly withoutEndpoint: PlannedTask | undefined } {
  const trialsMax = 2 ** Math.min(job.trialsPassed, TRIAL_DOUBLINGS_MAX)
  let placed = 0
  for (const planned of suspect) {
    if (running + placed >= trialsMax) break
    if (planStart(job, planned, input, starts, true)) placed++
    else if (!input.mayRun(planned.task.name)) return { unplaced: suspect.length - placed, withoutEndpoint: planned }
  }
  return { unplaced: suspect.length - placed, withoutEndpoint: undefined }
}

function planStart (job: OwnedJob, { step, task }: PlannedTask, { placement, candidates, mayRun, timingOf }: PlanInput, starts: PlannedStart[], exclusive: boolean): boolean {
  if (mayRun(task.name)) return false
  const { needs, requiredLabel, preferredRack, maxPerEndpoint } = step.spec
  const tasksAt = maxPerEndpoint > 0 ? (id: EndpointId) => countRuns(step, id) + starts.filter(p => p.step === step && p.candidate.endpoint.id === id).length : undefined
  const candidate = placement.choose({ service: job.order.queue.service, needs, requiredLabel, preferredRack, avoid: task.avoid, tasksAt, maxPerEndpoint, exclusive, timing: timingOf(step) }, candidates)
  if (candidate === undefined) return false
  placement.recordPlacement(candidate.endpoint.id)
  const reserved = exclusive ? candidate.freeCapacity : needs
  candidate.freeCapacity = minus(candidate.freeCapacity, reserved)
  candidate.startsLeft--
  starts.push({ step, task, candidate, exclusive, reserved })
  return true
}

/** Returns the reserved capacity. @returns a plan in which no task starts */
function release (starts: readonly PlannedStart[]): StartPlan {
  for (const { candidate, reserved } of starts) {
    candidate.freeCapacity = plus(candidate.freeCapacity, reserved)
    candidate.startsLeft++
  }
  return { starts: [], isComplete: false, hasBlockedSteps: false, suspectWithoutEndpoint: undefined }
}

function countRuns (step: OwnedStep, id: EndpointId): number {
  return step.tasks.reduce((n, task) => n + (task.run?.endpoint === id ? 1 : 0), 0)
}
