/**
 * Types of the packing decision: the sizes of the tasks that share the endpoints of a service, and the room that they leave idle.
 */
import type { Resources } from '@cranberryyard/protocol'

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
