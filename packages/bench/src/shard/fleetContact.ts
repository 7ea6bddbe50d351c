/**
 * Follows which instances of the in-memory fleet could know what the store holds. Rules with a time bound apply only to these.
 */
import type { StarterContact } from '@cranberryyard/fakes'
import type { InstanceId } from '@cranberryyard/protocol'
import type { Timeline } from '../memory/timeline.js'
import type { Process, StoreFaults } from './fleetTypes.js'

/** Time that an instance must have run and reached the store without interruption before checks with a time bound apply to it. */
const STEADY_CONTACT_MS = 3000

/** Contact of the instances of one fleet with the store and with each other. */
export class FleetContact {
  /** Latest time at which the store was down or lost answers. */
  private storeDisturbedAt = -Infinity

  constructor (private readonly time: Timeline, private readonly processes: ReadonlyMap<InstanceId, Process>, private readonly faults: StoreFaults) {}

  canReachStore (process: Process): boolean {
    return !this.faults.down && !this.faults.unservedInstances.has(process.name)
  }

  /** @returns true when the process ran and could reach the store throughout the last STEADY_CONTACT_MS */
  hadSteadyContact (process: Process): boolean {
    return !process.frozen && this.time.now - process.lastDisturbedAt > STEADY_CONTACT_MS
  }

  /** @returns true when all instances of the process's domain, which tell each other of versions, had contact with the store and their peers */
  isInformed ({ domain }: Process): boolean {
    return this.present().every(process => process.domain !== domain || (process.up && this.hadSteadyContact(process) && this.hadSteadyLinks(process)))
  }

  /** @returns what an instance could know when it sent a start */
  ofStarter (process: Process): StarterContact {
    if (this.hadSteadyContact(process)) return { type: 'steady' }
    const ranOn = !process.frozen && this.time.now - process.lastStoppedAt > STEADY_CONTACT_MS && this.hadSteadyLinks(process)
    const couldBeTold = this.present().some(other => other !== process && this.hadSteadyContact(other) && this.hadSteadyLinks(other))
    return ranOn && couldBeTold ? { type: 'turnedAway', storeCalmSince: this.storeDisturbedAt } : { type: 'none' }
  }

  /** Notes faults of links, given as `from>to`, until a time. */
  noteLinkFaults (pairs: readonly string[], durationMs: number): void {
    for (const name of new Set(pairs.flatMap(pair => pair.split('>')))) {
      const process = this.processes.get(name as InstanceId)
      if (process !== undefined) process.linksDisturbedUntil = Math.max(process.linksDisturbedUntil, this.time.now + durationMs)
    }
  }

  /** Records the present time for processes that do not run, or that cannot rely on the store at the moment. */
  recordDisturbances (): void {
    const storeDisturbed = this.faults.down || this.faults.lostReplyShare > 0
    if (storeDisturbed) this.storeDisturbedAt = this.time.now
    for (const process of this.processes.values()) {
      const stopped = !process.up || process.frozen
      if (stopped) process.lastStoppedAt = this.time.now
      if (stopped || storeDisturbed || !this.canReachStore(process)) process.lastDisturbedAt = this.time.now
    }
  }

  private hadSteadyLinks (process: Process): boolean {
    return this.time.now - process.linksDisturbedUntil > STEADY_CONTACT_MS
  }

  private present (): Process[] {
    return [...this.processes.values()].filter(process => !process.removed)
  }
}
