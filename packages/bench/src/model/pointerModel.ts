/**
 * The model of one job between two shards: copies of it reach the owners of both, and an owner may move the job to the other shard. Within a shard the
 * rules of the protocol hold (`shardModel.ts`), so that a takeover with the reading of the log is one step here, as are a start and what it needs.
 */
import type { Model, TransitionOf, Violation } from './explore.js'
import { at, replaceAt } from './state.js'

/** Rules of the protocol between shards; a mutation leaves one out. */
export interface PointerRules {
  /** A job is accepted, or moved, only if its pointer is as the writer expects it. */
  readonly conditionalPointer: boolean
  /** A write whose reply is lost is settled by reading. */
  readonly settleLostReplies: boolean
  /** Only a job without runs is moved. */
  readonly moveWithoutRuns: boolean
  /** The transaction that moves a job ends it in the log of its shard. */
  readonly endInOwnLog: boolean
  /** The transaction that moves a job adds it to the log of the other shard. */
  readonly addToOtherLog: boolean
}

export const POINTER_PROTOCOL: PointerRules = {
  conditionalPointer: true,
  settleLostReplies: true,
  moveWithoutRuns: true,
  endInOwnLog: true,
  addToOtherLog: true
}

export interface PointerAllowance {
  readonly crashes: number
  readonly copies: number
  readonly declines: number
  readonly moves: number
  readonly lostReplies: number
}

type Shard = 0 | 1
const SHARDS: readonly Shard[] = [0, 1]
const other = (shard: Shard): Shard => shard === 0 ? 1 : 0

/** What the owner of a shard knows of the job; `accepting` and `moving` wait for the outcome of its write. */
type Knowledge = 'none' | 'accepting' | 'owned' | 'moving'

/** A shard: what its log says of the job, what its owner knows, and the job's run at its endpoints. */
interface ShardState {
  readonly inLog: boolean
  readonly knowledge: Knowledge
  /** The outcome of the owner's write, once the store has executed it. */
  readonly outcome: 'none' | 'executed' | 'conflict'
  readonly waitingCopies: number
  readonly isRunning: boolean
  /** The job was done here, as its log says or its endpoint lists. */
  readonly isDone: boolean
}

export interface PointerState {
  /** The shard in the job's pointer. */
  readonly pointer: Shard | undefined
  readonly shards: readonly ShardState[]
  readonly copies: number
  readonly copyLost: boolean
  readonly answer: 'none' | 'accepted' | 'refused'
  readonly hasStarted: boolean
  readonly allowance: PointerAllowance
}

export interface PointerStep {
  readonly type: 'sendCopy' | 'admit' | 'decline' | 'join' | 'move' | 'execute' | 'learn' | 'giveUp' | 'readLog' | 'start' | 'end' | 'crash'
  readonly shard: Shard
}

type Add = (transition: TransitionOf<PointerState, PointerStep>) => void

/** @returns the model under the given rules */
export function pointerModel (allowance: PointerAllowance, rules: PointerRules): Model<PointerState, PointerStep> {
  const shard: ShardState = { inLog: false, knowledge: 'none', outcome: 'none', waitingCopies: 0, isRunning: false, isDone: false }
  return {
    initial: { pointer: undefined, shards: [shard, shard], copies: 1, copyLost: false, answer: 'none', hasStarted: false, allowance },
    keyOf: state => JSON.stringify({ ...state, allowance: undefined }),
    forEachTransition: (state, add) => {
      if (state.allowance.copies > 0 && state.answer !== 'refused') add(step('sendCopy', 0, { ...spend(state, 'copies'), copies: state.copies + 1 }, true))
      for (const index of SHARDS) {
        addCopies(state, index, add)
        addWrites(state, index, rules, add)
        addRuns(state, index, add)
      }
    },
    violationOf: ({ answer, shards }) => answer === 'accepted' && shards.every(({ inLog }) => !inLog) ? { rule: 'LOST', detail: 'the job was accepted and is in no log' } : undefined,
    hasEnded: ({ answer, shards }) => answer !== 'accepted' || shards.some(({ isDone }) => isDone)
  }
}

/** @returns a step of this model in words */
export function describePointerStep ({ type, shard }: PointerStep): string {
  const texts: Readonly<Record<PointerStep['type'], string>> = {
    sendCopy: 'another copy is sent',
    admit: `a copy reaches the owner of shard ${shard}, which sends the write that accepts it`,
    decline: `the owner of shard ${shard} declines a copy`,
    join: `a copy reaches the owner of shard ${shard}, which has the job`,
    move: `the owner of shard ${shard} sends the write that moves the job`,
    execute: `the store answers the write of shard ${shard}`,
    learn: `the owner of shard ${shard} learns the outcome of its write`,
    giveUp: `the owner of shard ${shard} takes its write for failed, since the reply is lost`,
    readLog: `the owner of shard ${shard} finds the job in its log`,
    start: `the job runs in shard ${shard}`,
    end: `the run in shard ${shard} ends as done`,
    crash: `the owner of shard ${shard} crashes, and another one follows`
  }
  return texts[type]
}

function step (type: PointerStep['type'], shard: Shard, state: PointerState, isFault = false, violation?: Violation): TransitionOf<PointerState, PointerStep> {
  return { step: { type, shard }, state, isFault, violation }
}

function spend (state: PointerState, kind: keyof PointerAllowance): PointerState {
  return { ...state, allowance: { ...state.allowance, [kind]: state.allowance[kind] - 1 } }
}

function update (state: PointerState, index: Shard, change: Partial<ShardState>): PointerState {
  return { ...state, shards: replaceAt(state.shards, index, { ...at(state.shards, index), ...change }) }
}

function accept (state: PointerState): PointerState {
  return state.answer === 'none' ? { ...state, answer: 'accepted' } : state
}

/** Handles a decline at the front, which refuses the job if no other copy can have been taken. */
function decline (state: PointerState): PointerState {
  const isLast = state.copies === 0 && !state.copyLost && state.shards.every(({ waitingCopies }) => waitingCopies === 0)
  return isLast && state.answer === 'none' ? { ...state, answer: 'refused' } : state
}

function refusedAfterStart ({ answer, hasStarted }: PointerState): Violation | undefined {
  return answer === 'refused' && hasStarted ? { rule: 'REFUSED', detail: 'a job is refused that has started' } : undefined
}

function addCopies (state: PointerState, index: Shard, add: Add): void {
  if (state.copies === 0) return
  const { knowledge, waitingCopies } = at(state.shards, index)
  const taken = { ...state, copies: state.copies - 1 }
  switch (knowledge) {
    case 'none': {
      add(step('admit', index, update(taken, index, { knowledge: 'accepting', outcome: 'none', waitingCopies: 1 })))
      if (state.allowance.declines === 0) return
      const declined = decline(spend(taken, 'declines'))
      add(step('decline', index, declined, true, refusedAfterStart(declined)))
      return
    }
    case 'accepting':
      add(step('join', index, update(taken, index, { waitingCopies: waitingCopies + 1 })))
      return
    case 'owned':
    case 'moving':
      add(step('join', index, accept(taken)))
  }
}

function addWrites (state: PointerState, index: Shard, rules: PointerRules, add: Add): void {
  const { knowledge, outcome, inLog, isRunning, isDone } = at(state.shards, index)
  if (knowledge === 'none' && inLog) add(step('readLog', index, update(state, index, { knowledge: 'owned' })))
  if (knowledge === 'owned' && state.allowance.moves > 0 && !isDone && !(isRunning && rules.moveWithoutRuns)) add(step('move', index, update(spend(state, 'moves'), index, { knowledge: 'moving', outcome: 'none' }), true))
  if (state.allowance.crashes > 0 && knowledge !== 'none') add(step('crash', index, crash(spend(state, 'crashes'), index), true))
  if (knowledge !== 'accepting' && knowledge !== 'moving') return
  if (outcome === 'none') add(step('execute', index, execute(state, index, knowledge, rules)))
  else addLearn(state, index, add)
  if (rules.settleLostReplies || state.allowance.lostReplies === 0) return
  const forgotten = spend(update(state, index, { knowledge: knowledge === 'moving' ? 'owned' : 'none', waitingCopies: 0, outcome: 'none' }), 'lostReplies')
  const after = knowledge === 'moving' ? forgotten : decline(forgotten)
  add(step('giveUp', index, after, true, refusedAfterStart(after)))
}

/** The shard's record names another owner after a crash, so a write that was not executed never will be. */
function crash (state: PointerState, index: Shard): PointerState {
  const { inLog, waitingCopies } = at(state.shards, index)
  return { ...update(state, index, { knowledge: inLog ? 'owned' : 'none', outcome: 'none', waitingCopies: 0 }), copyLost: state.copyLost || waitingCopies > 0 }
}

function execute (state: PointerState, index: Shard, knowledge: 'accepting' | 'moving', rules: PointerRules): PointerState {
  const { pointer } = state
  const isExpected = knowledge === 'accepting' ? pointer === undefined : pointer === index
  if (!isExpected && rules.conditionalPointer) return update(state, index, { outcome: 'conflict' })
  const executed = update(state, index, { outcome: 'executed' })
  switch (knowledge) {
    case 'accepting': return { ...update(executed, index, { inLog: true }), pointer: index }
    case 'moving': {
      const added = update(executed, other(index), { inLog: rules.addToOtherLog || at(state.shards, other(index)).inLog })
      return { ...update(added, index, { inLog: !rules.endInOwnLog }), pointer: other(index) }
    }
  }
}

function addLearn (state: PointerState, index: Shard, add: Add): void {
  const { knowledge, outcome, waitingCopies } = at(state.shards, index)
  const isOwned = knowledge === 'accepting' && outcome === 'executed'
  const learned = update(state, index, { knowledge: isOwned ? 'owned' : 'none', outcome: 'none', waitingCopies: 0 })
  if (knowledge === 'moving' || waitingCopies === 0) {
    add(step('learn', index, learned))
    return
  }
  // After a conflict the other shard has the job, and the copies join it.
  add(step('learn', index, accept(learned)))
}

function addRuns (state: PointerState, index: Shard, add: Add): void {
  const { knowledge, isRunning, isDone } = at(state.shards, index)
  if (isRunning) add(step('end', index, update(state, index, { isRunning: false, isDone: true })))
  if (knowledge !== 'owned' || isRunning || isDone) return
  add(step('start', index, { ...update(state, index, { isRunning: true }), hasStarted: true }, false, startViolation(state)))
}

function startViolation ({ shards, answer }: PointerState): Violation | undefined {
  if (shards.some(({ isRunning }) => isRunning)) return { rule: 'TWICE', detail: 'the job runs in both shards' }
  if (shards.some(({ isDone }) => isDone)) return { rule: 'TWICE', detail: 'the job runs again in the other shard' }
  return answer === 'refused' ? { rule: 'REFUSED', detail: 'a refused job runs' } : undefined
}
