/**
 * Injects the faults of a shape into the in-memory fleet. Which endpoints are affected depends only on the seed, so every
 * policy meets the same faults. Bursts are part of the planned arrivals instead.
 */
import { sample, seededRandom } from '@cranberryyard/core'
import type { FencedEndpointModel } from '@cranberryyard/fakes'
import type { ShardFleet } from '../shard/shardFleet.js'
import type { LoadFault, LoadShape } from './shape.js'

/** Time after which a process that was stopped in an orderly way starts again. */
const RESTART_MS = 300

/** Schedules all faults of the shape, counted from now. */
export function injectFaults (fleet: ShardFleet, shape: LoadShape, domains: readonly string[], seed: number): void {
  for (const [index, fault] of shape.faults.entries()) {
    fleet.time.after(fault.atS * 1000, () => inject(fleet, fault, domains, seed * 100 + index))
  }
}

function inject (fleet: ShardFleet, fault: LoadFault, domains: readonly string[], seed: number): void {
  switch (fault.type) {
    case 'burst': return
    case 'slowEndpoints': return misbehave(fleet, fault, seed, ({ faults }) => {
      const normal = faults.slowdownFactor
      faults.slowdownFactor *= fault.factor
      return () => {
        faults.slowdownFactor = normal
      }
    })
    case 'hangingEndpoints': return misbehave(fleet, fault, seed, ({ faults }) => setFlag(faults, 'hangs'))
    case 'failingEndpoints': return misbehave(fleet, fault, seed, ({ faults }) => setFlag(faults, 'failsEveryTask'))
    case 'darkEndpoints': return misbehave(fleet, fault, seed, (endpoint) => {
      endpoint.restart(fleet.time.now)
      const names = [...fleet.processes.keys()]
      fleet.cutPairs(names.flatMap(name => [`${name}>${endpoint.id}`, `${endpoint.id}>${name}`]), fault.forS * 1000)
      return () => {}
    })
    case 'domainCut': return fleet.cutDomain(domains[fault.domain] ?? '', fault.forS * 1000)
    case 'instancesLost':
      for (const name of fleet.processes.keys()) fleet.kill(name, fault.forS * 1000)
      return
    case 'storeDown':
      fleet.storeFaults.down = true
      fleet.time.after(fault.forS * 1000, () => {
        fleet.storeFaults.down = false
      })
      return
    case 'rollingRestart': {
      for (const [index, name] of [...fleet.processes.keys()].entries()) fleet.time.after(index * fault.gapS * 1000, () => fleet.terminate(name, RESTART_MS))
    }
  }
}

function misbehave (fleet: ShardFleet, fault: { readonly share: number, readonly forS: number }, seed: number, begin: (endpoint: FencedEndpointModel) => () => void): void {
  const endpoints = [...fleet.endpoints.values()]
  for (const endpoint of sample(seededRandom(seed), endpoints, Math.round(endpoints.length * fault.share))) {
    fleet.time.after(fault.forS * 1000, begin(endpoint))
  }
}

function setFlag (faults: FencedEndpointModel['faults'], name: 'hangs' | 'failsEveryTask'): () => void {
  faults[name] = true
  return () => {
    faults[name] = false
  }
}
