/**
 * Types of the shedding decision: what it needs to know about a job to say what its delay or refusal costs its caller, and
 * which job it gives up for which.
 */
import type { Ms, QueueName } from '@cranberryyard/protocol'
import type { Demand } from '../admission/slotForecast.js'

/** A job as the cost of its refusal sees it. */
export interface SheddableWork {
  readonly queue: QueueName
  /** 0 is the most important level. */
  readonly priority: number
  /** When the caller sent the job. */
  readonly calledAt: Ms
  /** Latest start of the job's tasks with which its answer is likely to be on time. */
  readonly latestStart: Ms
  /** Expected duration of the critical path, the longest chain of dependent steps. */
  readonly criticalPathMs: Ms
  /** Number of tasks of the whole job. */
  readonly width: number
  /** Expected work of the whole job, in thousandths of a core times milliseconds. */
  readonly workAsked: number
  /** No other shard is left that could take the job. */
  readonly lastChance: boolean
  /** Whether a run of the job may ever have existed; such a job is never given up. */
  readonly mayHaveRun: boolean
  /** The job was admitted although it can only be late. */
  readonly admittedLate: boolean
  /** The tasks that could start now if there were room for all of them. */
  readonly demand: () => Demand
}

/** The forecast of room as shedding uses it. */
export interface RoomForecast {
  peek (demand: Pick<Demand, 'tasks'>): Ms
  reserve (demand: Pick<Demand, 'tasks' | 'runMs'>): Ms
}

/** Why a job is given up: it cannot be on time, a dearer one is on time in its place, or it would make a dearer one miss that waits. */
export type ShedReason = 'tooLate' | 'displaced' | 'outbid'

/** A job that is given up. */
export interface ShedJob<T> {
  readonly job: T
  readonly why: ShedReason
  /** What its refusal costs, per core-second of room that it frees. */
  readonly price: number
  /** The price of the job that is kept in its place. */
  readonly keptPrice: number | undefined
}

/** Jobs of one queue that lose or gain together: those much wider than usual find room less easily than the others. */
export type GroupKey = `${string} ${'usual' | 'wide'}`
