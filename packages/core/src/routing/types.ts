/**
 * Types of the routing decision: endpoints with the use this instance makes of them, and where jobs are scheduled.
 */
import type { EndpointInfo, InstanceId, Ms } from '@cranberryyard/protocol'

/** Resources that a task declares, or that an endpoint has. */
export interface TaskSize {
  readonly cores: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** An endpoint, the resources it has, and those that tasks of this instance use on it. */
export interface EndpointState extends TaskSize {
  info: EndpointInfo
  running: number
  usedCores: number
  usedMemoryMb: number
  usedAccelerators: number
  /** After a refusal no start is sent before this time. */
  pausedUntil: Ms
  /** Length of the pause after the next refusal. */
  pauseMs: number
  /** False while operators drain or stop the endpoint, or once the platform lists it as leaving. */
  acceptsWork: boolean
  /**
   * True when this instance may start tasks on it: always with one scheduler, else if the endpoint is assigned to it.
   */
  ownedHere: boolean
}

/** The instance that schedules a job. */
export type Placement =
  | { readonly type: 'here' }
  | { readonly type: 'remote', readonly instance: InstanceId }
