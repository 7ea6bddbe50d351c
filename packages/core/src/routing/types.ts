/**
 * Types of the routing decision.
 */
import type { EndpointInfo, InstanceId, Ms } from '@cranberryyard/protocol'

/** Declared size of a task. */
export interface TaskSize {
  readonly cores: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** An endpoint with what this instance runs on it. */
export interface EndpointState extends TaskSize {
  info: EndpointInfo
  running: number
  usedCores: number
  usedMemoryMb: number
  usedAccelerators: number
  /** No start is sent before this time, after a refusal. */
  pausedUntil: Ms
  pauseMs: number
  /** False once operators drain or stop it or the platform lists it as leaving. */
  acceptsWork: boolean
  ownedHere: boolean
}

/** Where a job is scheduled. */
export type Placement =
  | { readonly type: 'here' }
  | { readonly type: 'remote', readonly instance: InstanceId }
