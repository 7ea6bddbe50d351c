/**
 * Endpoints known from the platform's list, with the resources that tasks of this instance use on them. What other
 * instances run there is not known; an endpoint that is full refuses starts.
 */
import type { EndpointId, EndpointInfo } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { EndpointState, TaskSize } from './types.js'

/** Pause after the first refusal of an endpoint that is busy; doubles with each further refusal. */
export const BUSY_PAUSE_MIN_MS = 20

/** State of the routing decision. */
export class RoutingDb {
  private readonly endpoints = new Map<EndpointId, EndpointState>()

  /**
   * Adopts the platform's list. An endpoint that is no longer listed counts as leaving and keeps its record while
   * tasks run on it.
   * @returns endpoints with a record that are no longer listed
   */
  replace (list: readonly EndpointInfo[]): EndpointId[] {
    const listed = new Set(list.map(e => e.id))
    for (const info of list) this.update(info)
    const delisted = [...this.endpoints.values()].filter(e => !listed.has(e.info.id))
    for (const state of delisted) {
      state.info = { ...state.info, leaving: true }
      if (state.running === 0) this.endpoints.delete(state.info.id)
    }
    return delisted.map(e => e.info.id)
  }

  private update (info: EndpointInfo): void {
    const known = this.endpoints.get(info.id)
    if (known !== undefined) {
      known.info = info
      return
    }
    this.endpoints.set(info.id, {
      info,
      cores: info.cores,
      memoryMb: info.memoryMb,
      accelerators: info.accelerators,
      running: 0,
      usedCores: 0,
      usedMemoryMb: 0,
      usedAccelerators: 0,
      pausedUntil: ms(0),
      pauseMs: BUSY_PAUSE_MIN_MS,
      acceptsWork: true,
      ownedHere: true
    })
  }

  get (endpoint: EndpointId): EndpointState | undefined {
    return this.endpoints.get(endpoint)
  }

  all (): EndpointState[] {
    return [...this.endpoints.values()]
  }

  /** Adds a task to the used resources of an endpoint. */
  occupy (state: EndpointState, size: TaskSize): void {
    state.running++
    state.usedCores += size.cores
    state.usedMemoryMb += size.memoryMb
    state.usedAccelerators += size.accelerators
  }

  /** Removes a task from the used resources of an endpoint. */
  vacate (state: EndpointState, size: TaskSize): void {
    state.running--
    state.usedCores -= size.cores
    state.usedMemoryMb -= size.memoryMb
    state.usedAccelerators -= size.accelerators
  }
}
