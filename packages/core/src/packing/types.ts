/**
 * Types of the packing decision: the sizes of the tasks that share the endpoints of a service, and the room that they leave idle.
 */
import type { Resources } from '@cranberryyard/protocol'

/** How tasks of a service fill the room of an endpoint, as far as their sizes are known. */
export interface Packing {
  /** @returns the number of further tasks that are expected to fit into an amount of CPU; it grows with the CPU and need not be whole */
  readonly tasksIn: (cpuMilli: number) => number
  /** The tasks have asked for different amounts of CPU. */
  readonly isUneven: boolean
}

/** Room at the end of a round of starts. */
export interface IdleRoom {
  /** CPU of the endpoints that can be trusted. */
  readonly totalCpuMilli: number
  /** Free CPU that no waiting task can use where it is, though it would suffice for some of them if it were at one endpoint. */
  readonly strandedCpuMilli: number
}

/** What the waiting tasks of one kind need. */
export interface WaitingNeeds {
  readonly needs: Resources
  readonly tasks: number
}
