/**
 * Steps of endpoints and of owners towards them: holds, start orders, ends of runs, and endpoints that crash or stay silent. An endpoint carries out
 * a start at any time after it was sent, until its deadline; what an owner does about the deadline or a lease is a step that lets that time pass.
 */
import { judgeAcknowledged, judgeOrder, judgeStart } from './oracle.js'
import type { Judged } from './oracle.js'
import { isSettled, mayStart } from './ownerState.js'
import { showOutcomes } from './ownerSteps.js'
import type { ProtocolRules } from './rules.js'
import { NO_TOKEN, at, indexesOf, lapse, newEndpoint, nextRun, replaceAt, sendWrite, spend, updateCaller, updateJob, updateOwner, voidOrders } from './state.js'
import type { EndpointIndex, EndpointState, JobIndex, ListedEnd, ModelState, OwnedJob, OwnerIndex, OwnerState, RunId, Scope, StartOrder, Transition } from './types.js'

/** Added to the number of a run whose end is counted a second time; only without the rule `countEndsByRun`. */
const COUNTED_AGAIN = 100

/** Adds the steps at endpoints that are possible in a state. */
export function addEndpointSteps (state: ModelState, rules: ProtocolRules, scope: Scope, add: (transition: Transition) => void): void {
  for (const endpoint of indexesOf<EndpointIndex>(state.endpoints)) {
    for (const owner of indexesOf<OwnerIndex>(state.owners)) {
      addHold(state, owner, endpoint, rules, scope, add)
      addSilence(state, owner, endpoint, rules, scope, add)
      addStarts(state, owner, endpoint, rules, scope, add)
    }
    addEnds(state, endpoint, add)
    const { runs, ends } = at(state.endpoints, endpoint)
    if (state.allowance.silences > 0 && (ends.length > 0 || runs.some(run => run !== undefined))) {
      add({ step: { type: 'lapse', endpoint }, state: lapse(spend(state, 'silences'), endpoint), isFault: true, violation: undefined })
    }
    if (state.allowance.restarts > 0 && !isPristine(at(state.endpoints, endpoint))) add(crash(state, endpoint, rules))
  }
  for (const order of state.orders) {
    add(carryOut(state, order, scope))
    if (state.allowance.startLosses > 0 && !order.writtenOff) {
      const orders = voidOrders(state.orders, other => other === order, rules.startDeadline)
      add({ step: { type: 'loseStart', endpoint: order.endpoint, job: order.job, run: order.run }, state: { ...spend(state, 'startLosses'), orders }, isFault: true, violation: undefined })
    }
  }
}

/** Endpoints of which nobody knows anything are interchangeable, so the first of them is asked first. */
function isAfterUntouched (state: ModelState, index: EndpointIndex): boolean {
  const isUntouched = (endpoint: number): boolean => {
    return isPristine(at(state.endpoints, endpoint)) && state.owners.every(({ views }) => at(views, endpoint) === 'unknown') && state.orders.every(order => order.endpoint !== endpoint)
  }
  return index > 0 && isUntouched(index) && isUntouched(index - 1)
}

function isPristine ({ token, runs, ends }: EndpointState): boolean {
  return token === NO_TOKEN && ends.length === 0 && runs.every(run => run === undefined)
}

/** A hold acknowledges ends, then lists runs and ends. The owner stops runs that should not be there. */
function addHold (state: ModelState, index: OwnerIndex, endpointIndex: EndpointIndex, rules: ProtocolRules, scope: Scope, add: (transition: Transition) => void): void {
  const owner = at(state.owners, index)
  const endpoint = at(state.endpoints, endpointIndex)
  if (owner.token === NO_TOKEN || !owner.hasProof || owner.token < endpoint.token || isAfterUntouched(state, endpointIndex)) return
  const listed = listEnds(owner, endpoint, rules)
  const acknowledged = endpoint.ends.filter(end => mayAcknowledge(owner, end, rules))
  const read = readRuns(listed, endpoint, endpointIndex, state.orders, rules)
  const views = replaceAt(read.views, endpointIndex, 'answered')
  const answered = { ...read, views }
  const nextOwner = sendWrite(answered, isSettled(answered, rules))
  const runs = endpoint.runs.map((run, job) => run !== undefined && nextOwner.jobs[job]?.run?.run === run ? run : undefined)
  const nextEndpoint: EndpointState = { token: owner.token, runs, ends: endpoint.ends.filter(end => !acknowledged.includes(end)) }
  const after = { ...state, owners: replaceAt(state.owners, index, nextOwner), endpoints: replaceAt(state.endpoints, endpointIndex, nextEndpoint) }
  let judged: Judged = { state: after, violation: undefined }
  for (const end of acknowledged) judged = judgeAcknowledged(judged, end, scope.maxAttempts)
  add({ step: { type: 'hold', owner: index, endpoint: endpointIndex }, ...showOutcomes(judged, index, rules, scope), isFault: false })
}

function mayAcknowledge (owner: OwnerState, { job, how, run }: ListedEnd, rules: ProtocolRules): boolean {
  if (!isSettled(owner, rules)) return false
  const owned = owner.jobs[job]
  if (owned === undefined) return true
  switch (how) {
    case 'done': return owned.done === 'stored' || !rules.storeDoneBeforeAcknowledging
    case 'failed': return !rules.storeFailedBeforeAcknowledging || owned.failed.some(known => known.run === run && known.status === 'stored')
  }
}

/** @returns the owner with the ends that the endpoint lists */
function listEnds (owner: OwnerState, { ends }: EndpointState, rules: ProtocolRules): OwnerState {
  let next = owner
  for (const end of ends) {
    const job = next.jobs[end.job]
    if (job !== undefined) next = updateJob(next, end.job, endListed(job, end, rules))
  }
  return next
}

function endListed (job: OwnedJob, { run, how }: ListedEnd, rules: ProtocolRules): Partial<OwnedJob> {
  const placed = job.run?.run === run ? undefined : job.run
  switch (how) {
    case 'done': return { done: job.done === 'no' ? 'wanted' : job.done, run: placed }
    case 'failed': {
      const isKnown = job.failed.some(known => known.run === run)
      const counted = isKnown && !rules.countEndsByRun ? run + COUNTED_AGAIN as RunId : run
      if (job.failed.some(known => known.run === counted)) return { run: placed }
      return { failed: [...job.failed, { run: counted, status: 'wanted' }], run: placed }
    }
  }
}

/** Takes over runs that the endpoint lists, and drops those that it should have and does not list. */
function readRuns (owner: OwnerState, endpoint: EndpointState, index: EndpointIndex, orders: readonly StartOrder[], rules: ProtocolRules): OwnerState {
  let next = owner
  for (const jobIndex of indexesOf<JobIndex>(owner.jobs)) {
    const job = owner.jobs[jobIndex]
    if (job === undefined) continue
    const listed = endpoint.runs[jobIndex]
    const isWanted = job.cancelled === 'no' && job.done === 'no'
    if (listed !== undefined && isWanted && job.run === undefined) next = updateJob(next, jobIndex, { run: { endpoint: index, run: listed } })
    if (job.run?.endpoint !== index || (job.run.run === listed && isWanted)) continue
    const { run } = job.run
    const isOnItsWay = orders.some(order => order.job === jobIndex && order.run === run && !order.writtenOff)
    if (isOnItsWay) continue
    if (!rules.distrustAbsence) next = updateJob(next, jobIndex, { done: 'wanted' })
    if (rules.repeatLostStarts || !isWanted) next = updateJob(next, jobIndex, { run: undefined })
  }
  return next
}

/** An endpoint gives the owner no answer until its leases must have ended, unless another owner renews them. */
function addSilence (state: ModelState, index: OwnerIndex, endpointIndex: EndpointIndex, rules: ProtocolRules, scope: Scope, add: (transition: Transition) => void): void {
  const owner = at(state.owners, index)
  if (state.allowance.silences === 0 || !owner.hasProof || !owner.outwaited || at(owner.views, endpointIndex) === 'waitedOut') return
  if (rules.proveAfterOutwaiting && owner.token !== state.store.token) return
  const { token } = at(state.endpoints, endpointIndex)
  const isRenewed = state.owners.some((other, i) => i !== index && other.hasProof && other.token >= token && at(other.views, endpointIndex) === 'answered')
  const spent = spend(state, 'silences')
  const silent = isRenewed ? spent : lapse(spent, endpointIndex)
  const orders = voidOrders(silent.orders, order => order.endpoint === endpointIndex && order.token <= owner.token, rules.startDeadline)
  const jobs = owner.jobs.map(job => job?.run?.endpoint === endpointIndex ? { ...job, run: undefined } : job)
  const waited = { ...owner, jobs, views: replaceAt(owner.views, endpointIndex, 'waitedOut' as const) }
  const next = { ...silent, orders, owners: replaceAt(silent.owners, index, sendWrite(waited, isSettled(waited, rules))) }
  add({ step: { type: 'outwaitEndpoint', owner: index, endpoint: endpointIndex }, ...showOutcomes({ state: next, violation: undefined }, index, rules, scope), isFault: true })
}

function addStarts (state: ModelState, index: OwnerIndex, endpoint: EndpointIndex, rules: ProtocolRules, scope: Scope, add: (transition: Transition) => void): void {
  const owner = at(state.owners, index)
  if (owner.token === NO_TOKEN || at(state.endpoints, endpoint).token !== owner.token) return
  for (const job of indexesOf<JobIndex>(owner.jobs)) {
    if (!mayStart(owner, job, endpoint, scope.maxAttempts, rules)) continue
    const run = nextRun(state, job)
    const placed = updateOwner(state, index, { jobs: updateJob(owner, job, { run: { endpoint, run } }).jobs })
    const orders = [...state.orders, { endpoint, token: owner.token, job, run, writtenOff: false }]
    add({ step: { type: 'sendStart', owner: index, job, endpoint, run }, state: { ...placed, orders }, isFault: false, violation: judgeOrder(state, job, index) })
  }
}

/** The endpoint refuses an order with a token lower than the highest it has seen. */
function carryOut (state: ModelState, order: StartOrder, scope: Scope): Transition {
  const step = { type: 'carryOutStart', endpoint: order.endpoint, job: order.job, run: order.run, token: order.token } as const
  const taken = { ...state, orders: state.orders.filter(other => other !== order) }
  const endpoint = at(state.endpoints, order.endpoint)
  if (order.token < endpoint.token) return { step, state: taken, isFault: false, violation: undefined }
  const judged = judgeStart(taken, order.job, scope.maxAttempts)
  const started = { ...at(judged.state.endpoints, order.endpoint), token: order.token, runs: replaceAt(endpoint.runs, order.job, order.run) }
  return { step, state: { ...judged.state, endpoints: replaceAt(judged.state.endpoints, order.endpoint, started) }, isFault: false, violation: judged.violation }
}

function addEnds (state: ModelState, endpoint: EndpointIndex, add: (transition: Transition) => void): void {
  for (const job of indexesOf<JobIndex>(state.callers)) {
    const run = at(state.endpoints, endpoint).runs[job]
    if (run === undefined) continue
    const { failedRuns } = at(state.callers, job)
    add({ step: { type: 'endRun', endpoint, job, how: 'done' }, state: updateCaller(endRun(state, endpoint, { job, run, how: 'done', lapsed: false, overrun: false }), job, { hasBeenDone: true }), isFault: false, violation: undefined })
    if (state.allowance.failures === 0) continue
    const failed = endRun(spend(state, 'failures'), endpoint, { job, run, how: 'failed', lapsed: false, overrun: false })
    add({ step: { type: 'endRun', endpoint, job, how: 'failed' }, state: updateCaller(failed, job, { failedRuns: failedRuns + 1 }), isFault: true, violation: undefined })
  }
}

function endRun (state: ModelState, index: EndpointIndex, end: ListedEnd): ModelState {
  const endpoint = at(state.endpoints, index)
  const ends = [...endpoint.ends, end].sort((a, b) => a.job - b.job || a.run - b.run)
  return { ...state, endpoints: replaceAt(state.endpoints, index, { ...endpoint, runs: replaceAt(endpoint.runs, end.job, undefined), ends }) }
}

function crash (state: ModelState, index: EndpointIndex, rules: ProtocolRules): Transition {
  const spent = spend(state, 'restarts')
  const orders = rules.nameIncarnation ? state.orders.filter(order => order.endpoint !== index) : state.orders
  const next = { ...spent, orders, endpoints: replaceAt(state.endpoints, index, newEndpoint(state.callers.length)) }
  return { step: { type: 'crashEndpoint', endpoint: index }, state: next, isFault: true, violation: undefined }
}
