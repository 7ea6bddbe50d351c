/**
 * Variants of the decisions that the load player compares with the product's own: each switches one mechanism off. They
 * replace methods that all instances share, so that the product itself needs no settings for them.
 */
import { RunTimeModel } from '@cranberryyard/core/shard'
import type { FailureDomain } from '@cranberryyard/protocol'
import { replaceMethod, sampleInstance as sample } from '../shard/patches.js'
import type { Undo } from '../shard/patches.js'

/** A variant of the product's decisions. */
export interface Policy {
  readonly name: string
  readonly description: string
  readonly apply: () => Undo
}

/** All variants; the first is the product as it is. */
export const POLICIES: readonly Policy[] = [
  { name: 'product', description: 'all mechanisms', apply: () => () => {} },
  {
    name: 'declines',
    description: 'every job is admitted, and none is declined while it waits',
    apply: () => {
      const undoDecide = replaceMethod(sample.execution.admission, 'decide', () => () => ({ type: 'admit', late: false, displaced: [] }))
      const undoDecline = replaceMethod(sample.execution.admission, 'jobsToDecline', () => () => [])
      return () => {
        undoDecide()
        undoDecline()
      }
    }
  },
  {
    name: 'shedding',
    description: 'where not all jobs can be on time, the one that misses is declined, whatever it costs',
    apply: () => {
      const undoVictims = replaceMethod(sample.execution.admission.shedding, 'victimsFor', () => () => undefined)
      const undoSqueeze = replaceMethod(sample.execution.admission.shedding, 'squeezesOut', () => () => false)
      const undoReach = replaceMethod(sample.execution.admission.shedding.db, 'reachOf', () => () => 1)
      return () => {
        undoReach()
        undoSqueeze()
        undoVictims()
      }
    }
  },
  {
    name: 'order',
    description: 'waiting jobs start in the order in which they arrived',
    apply: () => replaceMethod(sample.execution.admission, 'inStartOrder', () => function (this: typeof sample.execution.admission) {
      return [...this.db.waiting]
    })
  },
  {
    name: 'partial-starts',
    description: 'a job starts only when all its tasks fit at once',
    apply: () => replaceMethod(sample.execution.startRound, 'startTasks', original => function (this: typeof sample.execution.startRound, ...args) {
      const [job, candidates, allowPartial] = args as unknown as [{ firstStartAt: number | undefined }, unknown, boolean]
      return original.apply(this, [job, candidates, allowPartial && job.firstStartAt !== undefined] as never[])
    })
  },
  {
    name: 'quarantine',
    description: 'endpoints keep getting work, however slow they are or however often they fail',
    apply: () => replaceMethod(sample.placement, 'quarantine', () => () => {})
  },
  {
    name: 'moves',
    description: 'stalled and slow tasks stay where they are',
    apply: () => replaceMethod(sample.execution.slowRuns, 'moveIfFaster', () => () => {})
  },
  {
    name: 'learned-run-times',
    description: 'estimates are taken as they are',
    apply: () => replaceMethod(new RunTimeModel(), 'record', () => () => {})
  },
  {
    name: 'best-fit',
    description: 'a task goes to any endpoint with room, not to the one that it fills best',
    apply: () => replaceMethod(sample.placement, 'score', () => () => 0)
  },
  {
    name: 'late-jobs',
    description: 'a job that can only be late is refused',
    apply: () => replaceMethod(sample.execution.admission, 'startsLate', () => () => false)
  },
  {
    name: 'introduction',
    description: 'a new instance asks no peer and waits for the store',
    apply: () => replaceMethod(sample.introduction, 'tick', () => () => {})
  },
  {
    name: 'takeover-without-store',
    description: 'a lost owner is replaced only through the store',
    apply: () => replaceMethod(sample.ownership, 'takeOverByRank', () => () => {})
  },
  {
    name: 'handover',
    description: 'a leaving owner ends without a successor, and no stronger instance gets its shard',
    apply: () => replaceMethod(sample.ownership, 'handOver', () => () => {})
  },
  {
    name: 'other-domains',
    description: 'a job goes to the own failure domain only',
    apply: () => replaceMethod(sample.intake, 'chooseShard', original => function (this: typeof sample.intake, ...args) {
      const chosen = original.apply(this, args) as { failureDomain: FailureDomain } | undefined
      return chosen?.failureDomain === (this as unknown as { ctx: { self: { failureDomain: FailureDomain } } }).ctx.self.failureDomain ? chosen : undefined
    })
  }
]
