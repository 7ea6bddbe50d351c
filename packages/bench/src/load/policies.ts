/**
 * Variants of the decisions that the load player compares with the product's own: each switches one mechanism off. They
 * replace methods that all instances share, so that the product itself needs no settings for them.
 */
import { RunTimeModel, SHARD_DEFAULTS, ShardInstance } from '@cranberryyard/core/shard'
import type { FailureDomain, InstanceId } from '@cranberryyard/protocol'

type Undo = () => void
type Method = (...args: never[]) => unknown

/** A variant of the product's decisions. */
export interface Policy {
  readonly name: string
  readonly description: string
  readonly apply: () => Undo
}

const sample = new ShardInstance({ self: { instance: 'sample' as InstanceId, incarnation: 1, failureDomain: 'sample' as FailureDomain, address: 'sample', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })

function replace<T extends object> (object: T, method: string, make: (original: Method) => (this: T, ...args: never[]) => unknown): Undo {
  const prototype = Object.getPrototypeOf(object) as Record<string, Method>
  const original = prototype[method] as Method
  prototype[method] = make(original) as Method
  return () => {
    prototype[method] = original
  }
}

/** All variants; the first is the product as it is. */
export const POLICIES: readonly Policy[] = [
  { name: 'product', description: 'all mechanisms', apply: () => () => {} },
  {
    name: 'declines',
    description: 'every job is admitted, and none is declined while it waits',
    apply: () => {
      const undoDecide = replace(sample.execution.admission, 'decide', () => () => ({ type: 'admit', late: false }))
      const undoDecline = replace(sample.execution.admission, 'jobsToDecline', () => () => [])
      return () => {
        undoDecide()
        undoDecline()
      }
    }
  },
  {
    name: 'order',
    description: 'waiting jobs start in the order in which they arrived',
    apply: () => replace(sample.execution.admission, 'inStartOrder', () => function (this: typeof sample.execution.admission) {
      return [...this.db.waiting]
    })
  },
  {
    name: 'partial-starts',
    description: 'a job starts only when all its tasks fit at once',
    apply: () => replace(sample.execution, 'startTasks', original => function (this: typeof sample.execution, ...args) {
      const [job, candidates, allowPartial] = args as unknown as [{ firstStartAt: number | undefined }, unknown, boolean]
      return original.apply(this, [job, candidates, allowPartial && job.firstStartAt !== undefined] as never[])
    })
  },
  {
    name: 'quarantine',
    description: 'endpoints keep getting work, however slow they are or however often they fail',
    apply: () => replace(sample.placement, 'quarantine', () => () => {})
  },
  {
    name: 'moves',
    description: 'stalled and slow tasks stay where they are',
    apply: () => replace(sample.execution, 'moveIfFaster', () => () => {})
  },
  {
    name: 'learned-run-times',
    description: 'estimates are taken as they are',
    apply: () => replace(new RunTimeModel(), 'record', () => () => {})
  },
  {
    name: 'best-fit',
    description: 'a task goes to any endpoint with room, not to the one that it fills best',
    apply: () => replace(sample.placement, 'score', () => () => 0)
  },
  {
    name: 'late-jobs',
    description: 'a job that can only be late is refused',
    apply: () => replace(sample.execution.admission, 'startsLate', () => () => false)
  },
  {
    name: 'introduction',
    description: 'a new instance asks no peer and waits for the store',
    apply: () => replace(sample.introduction, 'tick', () => () => {})
  },
  {
    name: 'takeover-without-store',
    description: 'a lost owner is replaced only through the store',
    apply: () => replace(sample.ownership, 'takeOverByRank', () => () => {})
  },
  {
    name: 'handover',
    description: 'a leaving owner ends without a successor, and no stronger instance gets its shard',
    apply: () => replace(sample.ownership, 'handOver', () => () => {})
  },
  {
    name: 'other-domains',
    description: 'a job goes to the own failure domain only',
    apply: () => replace(sample.intake, 'chooseShard', original => function (this: typeof sample.intake, ...args) {
      const chosen = original.apply(this, args) as { failureDomain: FailureDomain } | undefined
      return chosen?.failureDomain === (this as unknown as { ctx: { self: { failureDomain: FailureDomain } } }).ctx.self.failureDomain ? chosen : undefined
    })
  }
]
