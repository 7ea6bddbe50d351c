/**
 * What an owner knows of the room at its endpoints: how much there is, when more of it becomes free, and whether a job fits at
 * all. Admission decides from this which jobs are taken.
 */
import type { FailureDomain, Ms, Resources, ServiceName } from '@cranberryyard/protocol'
import { SlotForecast } from '../admission/slotForecast.js'
import type { ShardCapacity } from '../admission/types.js'
import { fits, freeCapacityOf, isCold } from '../endpoints/endpointsDb.js'
import type { EndpointsDecider } from '../endpoints/endpointsDecider.js'
import type { LedgerEndpoint } from '../endpoints/types.js'
import type { PlacementDecider } from '../placement/placementDecider.js'
import type { ShardContext } from '../shard/types.js'
import { outlookOf } from './endpointOutlook.js'
import type { OwnedJob } from './types.js'

/** How long a computed capacity total is reused; fronts request it many times per tick. */
const CAPACITY_CACHE_MS = 20

/** The capacity of the endpoints that an owner can use. */
export class ShardRoom {
  private cached: { readonly at: Ms, readonly capacity: ShardCapacity } | undefined

  constructor (private readonly ctx: ShardContext, private readonly placement: PlacementDecider, private readonly endpoints: () => EndpointsDecider, private readonly isEvacuated: (failureDomain: FailureDomain) => boolean) {}

  /** The room has changed at once by more than the runs that start and end. */
  changed (): void {
    this.cached = undefined
  }

  /** @returns total and free capacity of all usable endpoints outside evacuated domains, at most `CAPACITY_CACHE_MS` old */
  capacity (): ShardCapacity {
    const { now } = this.ctx
    if (this.cached === undefined || now - this.cached.at >= CAPACITY_CACHE_MS) this.cached = { at: now, capacity: this.countCapacity() }
    return this.cached.capacity
  }

  /** Learns the sizes of a job's tasks, which share the endpoints with those of other jobs. */
  learnSizes (job: OwnedJob): void {
    const sizes = this.placement.packing.db.of(job.service)
    for (const { spec, tasks } of job.steps) sizes.record(spec.needs, tasks.length)
  }

  /**
   * @param cpuMilli - size of the tasks
   * @param needs - memory and accelerators of each task; those of a mean task of the service when left out
   * @returns when slots for tasks of the given size become free at the service's endpoints that can be trusted
   */
  forecast (service: ServiceName, cpuMilli: number, needs?: Pick<Resources, 'memoryMb' | 'accelerators'>): SlotForecast {
    const { now, cfg } = this.ctx
    const { memoryMb, accelerators } = needs ?? this.placement.packing.db.of(service).meanNeeds
    const ofService = [...this.endpoints().db.all()].filter(endpoint => endpoint.report.service === service)
    const trusted = ofService.filter(endpoint => this.isTrusted(endpoint))
    // Without any trusted endpoint, only a job that is admitted can show that one is sound again.
    const counted = trusted.length > 0 ? trusted : ofService.filter(endpoint => this.endpoints().usable(endpoint) && this.placement.mayTry(endpoint))
    const outlooks = counted.map(endpoint => outlookOf(endpoint, now, cfg.claimGraceMs, this.placement.speeds, { cpuMilli, memoryMb, accelerators }))
    return new SlotForecast(trusted.length > 0 ? outlooks : outlooks.map(outlook => ({ ...outlook, oneAtATime: true })), cpuMilli, now)
  }

  /** @returns false when some task would not fit even an idle endpoint of this shard */
  canFit (job: OwnedJob): boolean {
    const endpoints = [...this.endpoints().db.all()]
    return job.steps.every(({ spec }) => endpoints.some(({ report }) =>
      report.service === job.order.queue.service && fits(spec.needs, report.capacity) && (spec.requiredLabel === '' || report.labels.includes(spec.requiredLabel))))
  }

  private countCapacity (): ShardCapacity {
    let totalCpuMilli = 0
    let freeCpuMilli = 0
    const { now } = this.ctx
    for (const endpoint of this.endpoints().db.all()) {
      if (!this.isTrusted(endpoint) || this.isEvacuated(endpoint.report.failureDomain)) continue
      totalCpuMilli += endpoint.report.capacity.cpuMilli
      if (endpoint.runs.size === 0 || !isCold(endpoint, now)) freeCpuMilli += Math.max(0, freeCapacityOf(endpoint).cpuMilli)
    }
    return { totalCpuMilli, freeCpuMilli }
  }

  /** @returns whether work may be placed at the endpoint without being a trial */
  isTrusted (endpoint: LedgerEndpoint): boolean {
    return this.endpoints().usable(endpoint) && !this.placement.isQuarantined(endpoint.id)
  }
}
