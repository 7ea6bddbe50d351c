/**
 * Gives each state a short text that states share only if they have the same futures. All that concerns a job is written as one text, and the texts of the
 * jobs are sorted, since jobs are interchangeable. What can no longer make a difference is left out: whether a job is new once its owner knows all runs,
 * or how it went once its caller was answered. The allowance is not part of the key: a state that was reached with a larger one has
 * all steps of the same state with a smaller one.
 */
import type { CallerState, EndpointState, FactStatus, JobFacts, ModelState, OwnedJob, OwnerState, WriteState } from './types.js'

/** Texts are numbered by 16 bits, one character each. */
const TEXTS_MAX = 0x10000

/** Keys of the states of one exploration. */
export class StateKeys {
  private readonly characters = new Map<string, string>()

  keyOf (state: ModelState): string {
    const jobs = state.callers.map((_, job) => this.characterOf(jobText(state, job)))
    return this.characterOf(sharedText(state)) + (jobs.length > 1 ? jobs.sort().join('') : jobs[0])
  }

  private characterOf (text: string): string {
    const known = this.characters.get(text)
    if (known !== undefined) return known
    if (this.characters.size >= TEXTS_MAX) throw new Error('the scope has too many different parts of states')
    const character = String.fromCharCode(this.characters.size)
    this.characters.set(text, character)
    return character
  }
}

const STATUS_TEXT: Readonly<Record<FactStatus, string>> = { no: 'n', wanted: 'w', sent: 's', stored: 'd' }
const WRITE_TEXT: Readonly<Record<WriteState, string>> = { none: 'n', sent: 's', executed: 'e', conflict: 'c' }

const flag = (value: boolean): string => value ? '1' : '0'

/** @returns all that does not concern a single job */
function sharedText ({ store, owners, endpoints, lateWrites }: ModelState): string {
  let text = `s${store.token}`
  for (const { token, hasProof, outwaited, write, views, readEarly } of owners) {
    text += token === 0 ? `|i${flag(readEarly !== undefined)}` : `|${token}${flag(hasProof)}${flag(outwaited)}${WRITE_TEXT[write]}`
    for (const view of views) text += view.charAt(0)
  }
  for (const { token } of endpoints) text += `,${token}`
  for (const { token } of lateWrites) text += `w${token}`
  return text
}

function jobText (state: ModelState, job: number): string {
  let text = callerText(state.callers[job] as CallerState) + factsText(state.store.jobs[job])
  for (const owner of state.owners) text += ownedText(owner, owner.jobs[job]) + (owner.readEarly === undefined ? '' : factsText(owner.readEarly[job]))
  for (const endpoint of state.endpoints) text += atEndpointText(endpoint, job)
  for (const { facts } of state.lateWrites) text += factsText(facts[job])
  for (const order of state.orders) if (order.job === job) text += `o${order.endpoint},${order.token},${order.run},${flag(order.writtenOff)}`
  return text
}

function callerText (caller: CallerState): string {
  const { answer, shown } = caller
  return `${caller.copies}${flag(caller.copyLost && answer === 'none')}${answer.charAt(0)}${caller.cancel.charAt(0)}${shown.charAt(0)}${flag(caller.hasStarted && answer !== 'accepted')}${flag(caller.hasBeenDone && shown === 'none')}` +
    `${flag(caller.doneAcknowledged)}${caller.failedRuns},${caller.failedAcknowledged},${caller.failedBeforeOverrun}`
}

function factsText (facts: JobFacts | undefined): string {
  return facts === undefined ? '|' : `|${flag(facts.accepted)}${flag(facts.cancelled)}${flag(facts.done)}${facts.failed.join()}`
}

function ownedText (owner: OwnerState, job: OwnedJob | undefined): string {
  if (job === undefined) return '|'
  const knowsAllRuns = owner.outwaited && !owner.views.includes('unknown')
  let text = `|${STATUS_TEXT[job.accepted]}${STATUS_TEXT[job.cancelled]}${STATUS_TEXT[job.done]}${job.waitingCopies}${flag(job.isNew && !knowsAllRuns)}`
  for (const { run, status } of job.failed) text += `f${run}${STATUS_TEXT[status]}`
  return job.run === undefined ? text : `${text}@${job.run.endpoint}#${job.run.run}`
}

function atEndpointText ({ runs, ends }: EndpointState, job: number): string {
  let text = `|${runs[job] ?? ''}`
  for (const end of ends) if (end.job === job) text += `;${end.run}${end.how.charAt(0)}${flag(end.lapsed)}${flag(end.overrun)}`
  return text
}
