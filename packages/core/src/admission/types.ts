/**
 * Types of the admission decision: the deadlines and the waiting work of a job, and the capacity of a shard. Admission sees a
 * job only through these, without its steps, tasks and endpoints.
 */
import type { Ms, ServiceName } from '@cranberryyard/protocol'
import type { ShedJob, SheddableWork } from '../shedding/types.js'
import type { Demand, SlotForecast } from './slotForecast.js'

/** Deadlines and expected duration of a job; times are on this instance's clock. */
export interface JobTimes {
  /** Latest start of the job's tasks with which its answer is likely to be on time. */
  readonly latestStart: Ms
  /** An answer after this time is of no use to the caller. */
  readonly usefulUntil: Ms
  /** Expected duration of the critical path, the longest chain of dependent steps. */
  readonly criticalPathMs: Ms
}

/** What admission needs to know about a waiting job. */
export interface QueuedWork extends JobTimes, SheddableWork {
  readonly service: ServiceName
  readonly priority: number
  /** Whether some task has started. The remaining tasks then take precedence, so that finished work is not wasted. */
  readonly hasStarted: () => boolean
  /** Whether a run of the job may ever have existed; such a job can no longer be declined. */
  readonly mayHaveRun: boolean
  /** Work of the tasks still to be started, in thousandths of a core times milliseconds. */
  readonly waitingWork: () => number
  /** The tasks that could start now if there were room for all of them. */
  readonly demand: () => Demand
  /** The job was admitted although it can only be late. */
  readonly admittedLate: boolean
}

/** Makes a forecast for tasks of the given size from the present state of the service's endpoints. */
export type MakeForecast = (service: ServiceName, cpuMilli: number) => SlotForecast

/** What an owner knows when it admits or declines a job. */
export interface AdmissionInput {
  readonly now: Ms
  readonly capacity: ShardCapacity
  readonly forecast: MakeForecast
  /** No other shard is left that could take the job. */
  readonly lastChance: boolean
  /** CPU of the tasks, running or waiting, of jobs that can only be late. */
  readonly lateCpuMilli: number
}

/** Total and free capacity of a shard. */
export interface ShardCapacity {
  /** Thousandths of a core at endpoints that accept work. */
  readonly totalCpuMilli: number
  readonly freeCpuMilli: number
}

/** Whether a job is admitted, and otherwise when its caller should retry. */
export type AdmissionVerdict<T> =
  /** `displaced`: waiting jobs that are declined so that this one is on time. */
  | { readonly type: 'admit', readonly late: boolean, readonly displaced: readonly ShedJob<T>[] }
  /** `overloaded`: it cannot be on time here; `outbid`: it could, but would make a waiting job miss whose refusal costs more. */
  | { readonly type: 'decline', readonly why: 'overloaded' | 'outbid', readonly retryAfterMs: Ms }
