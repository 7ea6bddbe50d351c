/**
 * The first state of the model, and changes of its parts that several steps share. All of them return new values.
 */
import type { ProtocolRules } from './rules.js'
import type { CallerState, EndpointIndex, EndpointState, FactsByJob, FactStatus, FailedRun, JobFacts, JobIndex, LateWrite, ModelState, OwnedJob, OwnerIndex, OwnerState, RunId, Scope, StartOrder, Token } from './types.js'

export const NO_TOKEN = 0 as Token
const NO_FACTS: JobFacts = { accepted: false, cancelled: false, done: false, failed: [] }

/** @returns the indexes of a list, as a branded type */
export function indexesOf<I extends number> (list: readonly unknown[]): I[] {
  return list.map((_, index) => index as I)
}

/** @returns the element at an index that exists */
export function at<T> (list: readonly T[], index: number): T {
  return list[index] as T
}

/** @returns a copy of the list with another element at the index */
export function replaceAt<T> (list: readonly T[], index: number, element: T): readonly T[] {
  const copy = list.slice()
  copy[index] = element
  return copy
}

/** @returns a list of equal elements */
function repeat<T> (count: number, element: T): readonly T[] {
  return new Array<T>(count).fill(element)
}

/** @returns an owner without memory, which is what a process is after its start */
function idleOwner (scope: { readonly jobs: number, readonly endpoints: number }): OwnerState {
  return { token: NO_TOKEN, hasProof: false, outwaited: false, views: repeat(scope.endpoints, 'unknown'), jobs: repeat(scope.jobs, undefined), write: 'none', readEarly: undefined }
}

/** @returns an endpoint after its start */
export function newEndpoint (jobs: number): EndpointState {
  return { token: NO_TOKEN, runs: repeat(jobs, undefined), ends: [] }
}

/** @returns the state in which each caller has sent its job and no shard has an owner */
export function initialState (scope: Scope): ModelState {
  const caller: CallerState = {
    copies: 1,
    copyLost: false,
    answer: 'none',
    cancel: 'none',
    shown: 'none',
    hasStarted: false,
    hasBeenDone: false,
    doneAcknowledged: false,
    failedRuns: 0,
    failedAcknowledged: 0,
    failedBeforeOverrun: 0
  }
  return {
    store: { token: NO_TOKEN, jobs: repeat(scope.jobs, undefined) },
    lateWrites: [],
    owners: repeat(scope.owners, idleOwner(scope)),
    endpoints: repeat(scope.endpoints, newEndpoint(scope.jobs)),
    orders: [],
    callers: repeat(scope.jobs, caller),
    allowance: scope.allowance
  }
}

export function updateOwner (state: ModelState, index: OwnerIndex, change: Partial<OwnerState>): ModelState {
  return { ...state, owners: replaceAt(state.owners, index, { ...at(state.owners, index), ...change }) }
}

export function updateJob (owner: OwnerState, index: JobIndex, change: Partial<OwnedJob>): OwnerState {
  const job = owner.jobs[index]
  return job === undefined ? owner : { ...owner, jobs: replaceAt(owner.jobs, index, { ...job, ...change }) }
}

export function updateCaller (state: ModelState, index: JobIndex, change: Partial<CallerState>): ModelState {
  return { ...state, callers: replaceAt(state.callers, index, { ...at(state.callers, index), ...change }) }
}

/** @returns the state with one less of an allowance */
export function spend (state: ModelState, kind: keyof ModelState['allowance']): ModelState {
  return { ...state, allowance: { ...state.allowance, [kind]: state.allowance[kind] - 1 } }
}

/** @returns the facts with others added */
export function addFacts (stored: FactsByJob, added: FactsByJob): FactsByJob {
  return stored.map((facts, index) => {
    const more = added[index]
    if (more === undefined) return facts
    const known = facts ?? NO_FACTS
    return {
      accepted: known.accepted || more.accepted,
      cancelled: known.cancelled || more.cancelled,
      done: known.done || more.done,
      failed: [...new Set([...known.failed, ...more.failed])].sort((a, b) => a - b)
    }
  })
}

/** @returns the facts in the owner's write */
export function factsSent (owner: OwnerState): FactsByJob {
  return owner.jobs.map((job) => {
    if (job === undefined) return undefined
    const failed = job.failed.filter(({ status }) => status === 'sent').map(({ run }) => run)
    const facts = { accepted: job.accepted === 'sent', cancelled: job.cancelled === 'sent', done: job.done === 'sent', failed }
    return facts.accepted || facts.cancelled || facts.done || failed.length > 0 ? facts : undefined
  })
}

/** @returns the owner after its facts of one status have got another, all of them or those that are not ends of runs */
export function moveFacts (owner: OwnerState, from: FactStatus, to: FactStatus, withEnds = true): OwnerState {
  const move = (status: FactStatus): FactStatus => status === from ? to : status
  const jobs = owner.jobs.map(job => job && {
    ...job,
    accepted: move(job.accepted),
    cancelled: move(job.cancelled),
    done: withEnds ? move(job.done) : job.done,
    failed: withEnds ? job.failed.map(({ run, status }): FailedRun => ({ run, status: move(status) })) : job.failed
  })
  return { ...owner, jobs }
}

/**
 * Sends what waits for a write, unless a write of the owner is on its way.
 * @param withEnds - whether ends of runs may be part of it
 */
export function sendWrite (owner: OwnerState, withEnds: boolean): OwnerState {
  if (owner.write !== 'none') return owner
  const next = moveFacts(owner, 'wanted', 'sent', withEnds)
  return factsSent(next).some(facts => facts !== undefined) ? { ...next, write: 'sent' } : owner
}

/**
 * Loses all that an owner knows, since its process has ended or it has stepped down. Its orders stay on their way. So does its write if writes are not
 * conditional; if they are, it can be executed only until the next takeover, and nobody reads the store before that, so the step that executes it
 * may as well have come first.
 */
export function loseMemory (state: ModelState, index: OwnerIndex, rules: ProtocolRules): ModelState {
  const owner = at(state.owners, index)
  const late: readonly LateWrite[] = owner.write === 'sent' && !rules.conditionalWrites ? [{ token: owner.token, facts: factsSent(owner) }] : []
  const callers = state.callers.map((caller, job) => (owner.jobs[job]?.waitingCopies ?? 0) > 0 ? { ...caller, copyLost: true } : caller)
  const idle = idleOwner({ jobs: owner.jobs.length, endpoints: owner.views.length })
  return { ...state, owners: replaceAt(state.owners, index, idle), lateWrites: [...state.lateWrites, ...late], callers }
}

/** Voids the orders that match, or lets their senders count them as lost while they may still be carried out. */
export function voidOrders (orders: readonly StartOrder[], isVoid: (order: StartOrder) => boolean, hasDeadline: boolean): readonly StartOrder[] {
  if (hasDeadline) return orders.filter(order => !isVoid(order))
  return orders.map(order => isVoid(order) ? { ...order, writtenOff: true } : order)
}

/** @returns a number for a new run that no other run of the job has in this state */
export function nextRun (state: ModelState, job: JobIndex): RunId {
  const taken = new Set<number | undefined>(state.store.jobs[job]?.failed)
  for (const { runs, ends } of state.endpoints) {
    taken.add(runs[job])
    for (const end of ends) if (end.job === job) taken.add(end.run)
  }
  for (const order of state.orders) if (order.job === job) taken.add(order.run)
  for (const { facts } of state.lateWrites) for (const run of facts[job]?.failed ?? []) taken.add(run)
  for (const { jobs } of state.owners) {
    taken.add(jobs[job]?.run?.run)
    for (const { run } of jobs[job]?.failed ?? []) taken.add(run)
  }
  let run = 1
  while (taken.has(run)) run++
  return run as RunId
}

/** Ends the endpoint's lease: its runs are gone, and the ends that it lists no longer count when they are acknowledged. */
export function lapse (state: ModelState, index: EndpointIndex): ModelState {
  const endpoint = at(state.endpoints, index)
  const ends = endpoint.ends.map(end => ({ ...end, lapsed: true, overrun: false }))
  return { ...state, endpoints: replaceAt(state.endpoints, index, { ...endpoint, runs: endpoint.runs.map(() => undefined), ends }) }
}
