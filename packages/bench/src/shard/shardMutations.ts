/**
 * Deliberate faults of the shard decisions, each of which the fuzzing oracle must catch. A mutation changes methods
 * that all instances share and returns how to undo it.
 */
import type { InstanceId, Revised, ShardRecord } from '@cranberryyard/protocol'
import { ExactText } from '@cranberryyard/dispatcher/shard'
import type { Rule } from '@cranberryyard/fakes'
import { EVACUATION_MUTATIONS } from './evacuationMutations.js'
import { replaceMethod, sampleInstance as sample } from './patches.js'
import type { Method, Undo } from './patches.js'
import { ShardFleet } from './shardFleet.js'
import type { ScenarioLoad } from './shardScenario.js'

/** A fault and the rules of which at least one must be violated. */
export interface ShardMutation {
  readonly name: string
  readonly breaks: readonly Rule[]
  /** Load under which the fault shows, if not the usual one. */
  readonly load?: ScenarioLoad
  readonly apply: () => Undo
}

/** A fault that shows only in a takeover while the entries of draining endpoints are missing, which random faults rarely bring about. */
export function useOutdatedEntries (): Undo {
  return replaceMethod(sample.endpoints, 'markOutdated', () => () => {})
}

/** A fault that fails sound jobs whose endpoints fall silent several times, which random faults rarely bring about. */
export function countSilenceAsCrash (): Undo {
  return replaceMethod(sample.attempts, 'record', original => function (this: typeof sample.attempts, ...args) {
    const [run, endpoint, fault] = args as unknown as Parameters<typeof sample.attempts.record>
    return original.apply(this, [run, endpoint, fault === 'silent' ? 'crashed' : fault] as never[])
  })
}

/** A fault that shows when messages arrive long after they were sent, which random faults rarely bring about at the right moment. */
export function countFromArrival (): Undo {
  return replaceMethod(sample, 'sentAt', () => function (this: typeof sample) {
    return this.ctx.now
  })
}

/** A fault that shows when fronts, owners or stop orders are lost within a second of each other, as above. */
export function extendLeasesFreely (): Undo {
  return replaceMethod(sample.endpoints, 'extensionFor', () => function (this: typeof sample.endpoints, ...args) {
    const [endpoint] = args as unknown as Parameters<typeof sample.endpoints.usable>
    const { ctx } = this as unknown as { ctx: typeof sample.ctx }
    return Math.floor(ctx.now + (endpoint.clockOffset ?? 0)) + ctx.cfg.leaseMs
  })
}

/** A fault that shows when a task starts long after its front was last heard, as above. */
export function startUnderAnyLease (): Undo {
  return replaceMethod(sample.endpoints, 'endsWithLease', () => () => true)
}

/** A fault that shows when a front is slow, as above. */
export function countFromSending (): Undo {
  return replaceMethod(sample.intake, 'callersSeenAt', () => function (this: typeof sample.intake) {
    return (this as unknown as { ctx: typeof sample.ctx }).ctx.now
  })
}

/** A fault that shows when two owners of a shard go on side by side for a while, as above. */
export function waitFromTakeover (): Undo {
  return replaceMethod(sample.earlierRuns, 'areKnown', original => function (this: typeof sample.earlierRuns, ...args) {
    return original.apply(this, [{ ...args[0] as object, receivedAt: -Infinity }] as never[])
  })
}

/** A fault that shows when an owner hears of a version from nobody but the fronts that send it jobs, as above. */
export function ignoreVersionsOfJobs (): Undo {
  return replaceMethod(sample.desired, 'jobReceived', () => () => {})
}

/** A fault that shows when a front has an older version than its owner, as above. */
export function keepVersionsOfFronts (): Undo {
  return replaceMethod(sample.queueVersions, 'underVersionInForce', () => (...args) => args[0])
}

/** A fault that shows together with the one above, or while a version takes long to arrive. */
export function startUnderNewerVersions (): Undo {
  return replaceMethod(sample.queueVersions, 'isQueueInForce', () => () => true)
}

/** A fault that leaves an instance behind for as long as the store does not serve it. */
export function requestNoVersions (): Undo {
  return replaceMethod(sample.desired, 'requestIfOverdue', () => () => {})
}

/** A fault that shows at an instance which waits for a version, as above. */
export function denyQueuesOnTheirWay (): Undo {
  return replaceMethod(sample.desired, 'newestKnown', () => function (this: typeof sample.desired) {
    return this.db.version()
  })
}

/** A fault that shows when members register between the writing of a record and the reading of it by its owner. */
export function forgetWrittenSuccessors (): Undo {
  return replaceMethod(sample.ownership, 'ownRecordWritten', original => function (this: typeof sample.ownership, ...args) {
    const [{ revision, value }] = args as unknown as [Revised<ShardRecord>]
    const successors = this.db.membersOf(value.failureDomain, value.owner.instance).map(({ instance }) => instance)
    return original.apply(this, [{ revision, value: { ...value, successors } }] as never[])
  })
}

/** Load with an owner that is cut off from the store and other domains while versions add and remove queues. */
export const QUEUE_CHANGES_LOAD: ScenarioLoad = { jobsPerSecond: 10, meanFaultIntervalMs: 4000, withQueueChanges: true }

/** Load whose tasks still run when an owner is lost that goes on with them at endpoints without an entry. */
export const MISSING_ENTRIES_LOAD: ScenarioLoad = { jobsPerSecond: 15, meanFaultIntervalMs: 4000, workFactor: 2, withMissingEntries: true }

/** Load of which some specs arrive changed unless they are protected. */
export const ENCODED_LOAD: ScenarioLoad = { jobsPerSecond: 30, withEncodedJobs: true }

/** Load with versions that take longer than they may over the links of some instances. */
export const LARGE_STATES_LOAD: ScenarioLoad = { jobsPerSecond: 10, meanFaultIntervalMs: 4000, withLargeStates: true }

/** Load with owners that are replaced while the store loses answers. */
export const REPLACEMENTS_LOAD: ScenarioLoad = { jobsPerSecond: 10, meanFaultIntervalMs: 4000, withReplacements: true }

/** Load with owners that are cut off from the other instances while endpoints restart. */
export const STALE_OWNERS_LOAD: ScenarioLoad = { jobsPerSecond: 3, meanFaultIntervalMs: 6000, withStaleOwners: true }

/** Load with connections between instances that go silent for good. */
export const SILENT_CONNECTIONS_LOAD: ScenarioLoad = { jobsPerSecond: 10, meanFaultIntervalMs: 4000, withSilentConnections: true }

/** A fault of the connections to endpoints, which the fleet stands in for. */
export function startAtAnyIncarnation (): Undo {
  return replaceMethod(Object.create(ShardFleet.prototype) as ShardFleet, 'reaches', () => () => true)
}

/** All mutations. */
export const SHARD_MUTATIONS: readonly ShardMutation[] = [
  {
    name: 'a stop frees the room at once',
    breaks: ['LIMIT'],
    apply: () => replaceMethod(sample.endpoints, 'stop', original => function (this: typeof sample.endpoints, ...args) {
      const [run] = args as unknown as Parameters<typeof sample.endpoints.stop>
      original.apply(this, args)
      const endpoint = this.db.get(run.endpoint)
      if (endpoint !== undefined) this.db.removeRun(endpoint, run)
    })
  },
  {
    name: 'a start without an answer frees the room at once',
    breaks: ['LIMIT', 'TWICE'],
    apply: () => replaceMethod(sample.endpoints, 'retryStart', () => function (this: typeof sample.endpoints, ...args) {
      const [endpoint, run] = args as unknown as [Parameters<typeof sample.endpoints.usable>[0], Parameters<typeof sample.endpoints.stop>[0]]
      this.db.removeRun(endpoint, run)
      sample.execution.runRejected.call((this as unknown as { listener: typeof sample.execution }).listener, run, 'neverArrived')
    })
  },
  {
    name: 'a new owner ignores the runs that it finds',
    breaks: ['LIMIT', 'TWICE'],
    apply: () => replaceMethod(sample.endpoints, 'addFoundRun', () => () => {})
  },
  {
    name: 'a new owner trusts a list that it has only just read',
    breaks: ['TWICE'],
    apply: () => replaceMethod(sample.earlierRuns, 'areKnown', () => () => true)
  },
  {
    name: 'text travels between instances as the codec delivers it',
    breaks: ['UNASKED'],
    load: ENCODED_LOAD,
    apply: () => replaceMethod(new ExactText(), 'collect', () => () => [])
  },
  {
    name: 'an owner starts tasks by versions that it does not ask for',
    breaks: ['CONFIG'],
    load: QUEUE_CHANGES_LOAD,
    apply: () => {
      const undo = [ignoreVersionsOfJobs(), startUnderNewerVersions()]
      return () => undo.forEach(step => step())
    }
  },
  {
    name: 'an owner runs jobs of a front that stays behind by its older version',
    breaks: ['CONFIG'],
    load: QUEUE_CHANGES_LOAD,
    apply: () => {
      const undo = [requestNoVersions(), keepVersionsOfFronts()]
      return () => undo.forEach(step => step())
    }
  },
  {
    name: 'instances send each other whole versions',
    breaks: ['CONFIG'],
    load: LARGE_STATES_LOAD,
    apply: () => replaceMethod(sample.desired, 'stateRequested', original => function (this: typeof sample.desired, ...args) {
      return original.apply(this, args.slice(0, 1))
    })
  },
  {
    name: 'an instance that waits for a version denies the queues that it adds',
    breaks: ['CONFIG'],
    load: LARGE_STATES_LOAD,
    apply: () => {
      const undo = [requestNoVersions(), denyQueuesOnTheirWay()]
      return () => undo.forEach(step => step())
    }
  },
  {
    name: 'the jobs of a lost front go on, under whatever lease there is',
    breaks: ['TWICE'],
    load: { jobsPerSecond: 12, workFactor: 2.5, meanFaultIntervalMs: 350 },
    apply: () => {
      const undoLost = replaceMethod(sample.execution, 'frontLost', () => () => {})
      const undoConfirmationExpired = replaceMethod(sample.execution, 'isConfirmationExpired', () => () => false)
      const undoMustStop = replaceMethod(sample.execution, 'mustStop', () => () => false)
      const undoStart = startUnderAnyLease()
      return () => {
        undoLost()
        undoConfirmationExpired()
        undoMustStop()
        undoStart()
      }
    }
  },
  {
    name: 'a decline of an earlier copy counts for the latest',
    breaks: ['REFUSED'],
    apply: () => replaceMethod(sample.intake, 'declined', original => function (this: typeof sample.intake, ...args) {
      const [id, from, , retryAfterMs] = args as unknown as Parameters<typeof sample.intake.declined>
      const attempt = this.db.jobs.get(id)?.attempt ?? 0
      return original.apply(this, [id, from, attempt, retryAfterMs] as never[])
    })
  },
  {
    name: 'a failed task counts as done',
    breaks: ['MIXED'],
    apply: () => replaceMethod(sample.execution, 'taskFailed', () => function (this: typeof sample.execution, ...args) {
      return (this as unknown as { taskDone: Method }).taskDone.apply(this, args)
    })
  },
  {
    name: 'draining endpoints get work',
    breaks: ['DRAIN'],
    apply: () => replaceMethod(sample.endpoints, 'usable', () => function (this: typeof sample.endpoints, ...args) {
      const [endpoint] = args as unknown as Parameters<typeof sample.endpoints.usable>
      return endpoint.answeredUnderToken && endpoint.unansweredHolds === 0
    })
  },
  {
    name: 'a run that is lost with its endpoint is not counted',
    breaks: ['BUDGET'],
    load: { jobsPerSecond: 30, withHazards: true },
    apply: () => replaceMethod(sample.attempts, 'record', () => () => false)
  },
  {
    name: 'the owner goes on with the capacity that an endpoint had at first',
    breaks: ['LIMIT'],
    load: { jobsPerSecond: 60, withHazards: true },
    apply: () => replaceMethod(sample.endpoints, 'update', original => function (this: typeof sample.endpoints, ...args) {
      const [reports, fresh] = args as unknown as Parameters<typeof sample.endpoints.update>
      const withFirstCapacity = reports.map(report => ({ ...report, capacity: this.db.get(report.id)?.report.capacity ?? report.capacity }))
      return original.apply(this, [withFirstCapacity, fresh] as never[])
    })
  },
  {
    name: 'an owner takes the members that it knows for the successors that were written',
    breaks: ['ONE'],
    load: REPLACEMENTS_LOAD,
    apply: forgetWrittenSuccessors
  },
  {
    name: 'a start is carried out by whichever incarnation of its endpoint it reaches',
    breaks: ['LIMIT'],
    load: STALE_OWNERS_LOAD,
    apply: startAtAnyIncarnation
  },
  {
    name: 'the desired state follows whoever speaks last',
    breaks: ['CONFIG'],
    apply: () => {
      const undoAdopt = replaceMethod(sample.desired, 'adopt', () => function (this: typeof sample.desired, ...args) {
        const [state] = args as unknown as Parameters<typeof sample.desired.adopt>
        this.db.adopt(state, (this as unknown as { ctx: typeof sample.ctx }).ctx.now)
      })
      const undoPeerVersionReceived = replaceMethod(sample.desired, 'peerVersionReceived', () => function (this: typeof sample.desired, ...args) {
        const [from, version] = args as unknown as Parameters<typeof sample.desired.peerVersionReceived>
        if (version !== this.db.version()) (this as unknown as { send: (to: InstanceId, message: object) => void }).send(from, { type: 'desiredRequest' })
      })
      return () => {
        undoAdopt()
        undoPeerVersionReceived()
      }
    }
  },
  ...EVACUATION_MUTATIONS
]
