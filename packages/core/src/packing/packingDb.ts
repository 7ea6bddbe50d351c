/**
 * State of the packing decision: the latest task sizes of each service. A sample of the latest sizes is kept instead of their mean,
 * since what fits beside a task depends on the sizes that occur.
 */
import type { Resources, ServiceName } from '@cranberryyard/protocol'

/** Sizes kept of each service. */
const SAMPLE_SIZE = 64
/** Tasks that one size of the sample stands for; a job with fewer tasks is in it less often. */
const TASKS_PER_SAMPLE = 4
/** The derived figures are computed again once this share of the sample is new. */
const REFRESH_SHARE = 0.25
/** Tasks side by side up to which the sizes are added up one by one; beside more, their mean is precise enough. */
const TASKS_ADDED_MAX = 8
/** Weight of a job in the moving averages of memory and accelerators. */
const NEEDS_WEIGHT = 0.05

/** The sizes of one service's tasks. */
export class TaskSizes {
  private readonly sample: number[] = []
  private next = 0
  private credit = TASKS_PER_SAMPLE - 1
  private stale = 0
  /** Sums of 1, 2, ... consecutive sizes from each position of the sample, in ascending order. */
  private sums = new Float64Array()
  private meanCpuMilli = 1
  /** The tasks have asked for different amounts of CPU. */
  isUneven = false
  /** Mean memory and accelerators of a task. */
  meanNeeds: Pick<Resources, 'memoryMb' | 'accelerators'> = { memoryMb: 0, accelerators: 0 }

  /** Learns from a job with tasks of one size. */
  record ({ cpuMilli, memoryMb, accelerators }: Resources, tasks: number): void {
    const weight = this.sample.length === 0 ? 1 : NEEDS_WEIGHT
    const { meanNeeds } = this
    this.meanNeeds = { memoryMb: meanNeeds.memoryMb + weight * (memoryMb - meanNeeds.memoryMb), accelerators: meanNeeds.accelerators + weight * (accelerators - meanNeeds.accelerators) }
    this.credit = Math.min(this.credit + tasks, SAMPLE_SIZE)
    for (; this.credit >= TASKS_PER_SAMPLE; this.credit -= TASKS_PER_SAMPLE) this.add(cpuMilli)
    if (this.stale >= this.sample.length * REFRESH_SHARE) this.refresh()
  }

  /** @returns the number of tasks that are expected to fit into an amount of CPU when they come in the order of the sample; it need not be whole */
  tasksIn (cpuMilli: number): number {
    if (this.sample.length === 0 || cpuMilli <= 0) return 0
    if (cpuMilli >= TASKS_ADDED_MAX * this.meanCpuMilli) return Math.floor(cpuMilli / this.meanCpuMilli)
    return countUpTo(this.sums, cpuMilli) / this.sample.length
  }

  private add (cpuMilli: number): void {
    this.sample[this.next] = cpuMilli
    this.next = (this.next + 1) % SAMPLE_SIZE
    this.stale++
  }

  private refresh (): void {
    const { sample } = this
    this.stale = 0
    this.sums = new Float64Array(sample.length * TASKS_ADDED_MAX)
    for (let from = 0; from < sample.length; from++) {
      let sum = 0
      for (let n = 0; n < TASKS_ADDED_MAX; n++) {
        sum += sample[(from + n) % sample.length] ?? 0
        this.sums[from * TASKS_ADDED_MAX + n] = sum
      }
    }
    this.sums.sort()
    this.meanCpuMilli = Math.max(1, sample.reduce((a, b) => a + b, 0) / sample.length)
    this.isUneven = sample.some(size => size !== sample[0])
  }
}

/** The task sizes of all services. */
export class PackingDb {
  private readonly sizes = new Map<ServiceName, TaskSizes>()

  /** @returns the sizes of a service, created on first use */
  of (service: ServiceName): TaskSizes {
    const known = this.sizes.get(service)
    if (known !== undefined) return known
    const sizes = new TaskSizes()
    this.sizes.set(service, sizes)
    return sizes
  }
}

/** @returns how many of the ascending values are at most the limit */
function countUpTo (values: Float64Array, limit: number): number {
  let low = 0
  let high = values.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if ((values[middle] as number) <= limit) low = middle + 1
    else high = middle
  }
  return low
}
