/**
 * Deliberate faults around evacuated failure domains, one for each way on which a start could still get there.
 */
import type { Evacuations, FailureDomain, InstanceId } from '@cranberryyard/protocol'
import { EvacuationFeed } from './evacuationFeed.js'
import { replaceMethod, sampleInstance as sample } from './patches.js'
import type { Undo } from './patches.js'
import type { ShardMutation } from './shardMutations.js'
import type { ScenarioLoad } from './shardScenario.js'

type Instance = typeof sample
type Decider = typeof sample.evacuation

const together = (...steps: readonly Undo[]): Undo => () => steps.forEach(step => step())

/** Load with failure domains that are evacuated and taken back. */
export const EVACUATIONS_LOAD: ScenarioLoad = { jobsPerSecond: 10, meanFaultIntervalMs: 4000, withEvacuations: true }

/** A fault of fronts, which shows only where owners do not check either. */
export function sendToEvacuatedDomains (): Undo {
  return replaceMethod(sample.intake, 'acceptsWork', () => () => true)
}

/** A fault of owners: the check before a start allows what the given condition holds for, whatever is evacuated. */
function allowStarts (condition: (job: Parameters<Instance['evacuationAllowsStart']>[0]) => boolean): Undo {
  return replaceMethod(sample, 'evacuationAllowsStart', original => function (this: Instance, ...args) {
    const [job] = args as unknown as Parameters<Instance['evacuationAllowsStart']>
    return condition(job) || original.apply(this, args)
  })
}

/** A fault of what instances tell each other, which shows at those that the store turns away for longer than random faults do. */
export function tellNoEvacuations (): Undo {
  return replaceMethod(sample, 'learnEvacuations', () => () => {})
}

/** A fault of instances that start: they hear only of what changes later. */
export function readOnlyChanges (): Undo {
  return replaceMethod(Object.create(EvacuationFeed.prototype) as EvacuationFeed, 'read', () => function (this: EvacuationFeed, ...args) {
    const [id, process] = args as unknown as [string, object]
    ;(this as unknown as { watches: Map<string, object> }).watches.set(id, process)
  })
}

/** A fault of instances that own nothing: they hear of no evacuation, and know none when they take over, unless their peers tell them. */
function listenOnlyAsOwner (): Undo {
  return replaceMethod(sample.evacuation, 'learn', original => function (this: Decider, ...args) {
    const { ctx } = this as unknown as { ctx: Instance['ctx'] }
    if (owners.has(ctx.self.instance)) original.apply(this, args)
  })
}

/** The instances that own a shard, for the fault above. */
const owners = new Set<InstanceId>()

function followOwners (): Undo {
  const undo = ['ownershipGained', 'ownershipLost'].map(method => replaceMethod(sample, method, original => function (this: Instance, ...args) {
    if (method === 'ownershipGained') owners.add(this.ctx.self.instance)
    else owners.delete(this.ctx.self.instance)
    return original.apply(this, args)
  }))
  return () => {
    undo.forEach(step => step())
    owners.clear()
  }
}

/** A fault that takes older news for newer. Nobody is told at once of what was learned: two instances would tell each other what they had before for ever. */
function ignoreRevisions (): Undo {
  const undoTell = replaceMethod(sample.sessions, 'tell', () => () => {})
  const undoLearn = replaceMethod(sample.evacuation, 'learn', original => function (this: Decider, ...args) {
    const { db } = this as unknown as { db: { current: Evacuations | undefined } }
    if (db.current !== undefined) db.current = { ...db.current, revision: -Infinity }
    return original.apply(this, args)
  })
  return together(undoTell, undoLearn)
}

/** A fault that keeps a domain evacuated for good. It starts too little, so no rule of starts shows it. */
export function takeNothingBack (): Undo {
  return replaceMethod(sample.evacuation, 'learn', original => function (this: Decider, ...args) {
    const [evacuations, source] = args as unknown as Parameters<Decider['learn']>
    const domains = new Set<FailureDomain>([...this.inForce()?.domains ?? [], ...evacuations.domains])
    return original.apply(this, [{ ...evacuations, domains: [...domains] }, source] as never[])
  })
}

/** All of them that break the rule on starts. */
export const EVACUATION_MUTATIONS: readonly ShardMutation[] = [
  { name: 'fronts send jobs to evacuated domains, whose owners start them', breaks: ['EVAC'], load: EVACUATIONS_LOAD, apply: () => together(sendToEvacuatedDomains(), allowStarts(() => true)) },
  { name: 'an owner starts what it has when its domain is evacuated', breaks: ['EVAC'], load: EVACUATIONS_LOAD, apply: () => allowStarts(() => true) },
  { name: 'a task is tried again in an evacuated domain', breaks: ['EVAC'], load: EVACUATIONS_LOAD, apply: () => allowStarts(job => job.mayHaveRun) },
  { name: 'a new owner goes on with the jobs of the earlier one in an evacuated domain', breaks: ['EVAC'], load: EVACUATIONS_LOAD, apply: () => allowStarts(job => job.order.resumed) },
  { name: 'an instance that takes over an evacuated domain has not followed evacuations', breaks: ['EVAC'], load: EVACUATIONS_LOAD, apply: () => together(followOwners(), listenOnlyAsOwner(), tellNoEvacuations()) },
  { name: 'an instance that starts does not know what was evacuated before', breaks: ['EVAC'], load: EVACUATIONS_LOAD, apply: () => together(readOnlyChanges(), tellNoEvacuations()) },
  { name: 'an instance takes older evacuations for newer ones', breaks: ['EVAC'], load: EVACUATIONS_LOAD, apply: ignoreRevisions }
]
