/**
 * Explores all states of a model breadth first, so that the first broken rule has a shortest trace. Afterwards it checks that from each state the jobs
 * that were accepted and not cancelled can end without further faults. States are told apart by their exact content.
 */

/** How often each kind of fault or repetition may still happen. */
export type Allowances = Readonly<Record<string, number>>

/**
 * What is checked. All but the last are rules of the platform:
 * - LOST: a job that was accepted is not stored, is not known to its owner, or is shown as failed without cause
 * - TWICE: two runs of a task at once, or a run after the task was done
 * - UNASKED: a run of a job whose cancel was confirmed
 * - REFUSED: a run of a job that was refused
 * - MIXED: a job is shown as completed and has not been done
 * - BUDGET: a run after the last attempt that the task is allowed
 * - STUCK: a job that was accepted and not cancelled cannot end any more, even without further faults
 */
export type ModelRule = 'LOST' | 'TWICE' | 'UNASKED' | 'REFUSED' | 'MIXED' | 'BUDGET' | 'STUCK'

/** A broken rule. */
export interface Violation {
  readonly rule: ModelRule
  readonly detail: string
}

/** A step with the state that it leads to. */
export interface TransitionOf<S, T> {
  readonly step: T
  readonly state: S
  /** Not part of the protocol: jobs must be able to end without it. */
  readonly isFault: boolean
  readonly violation: Violation | undefined
}

/** A model with states S and steps T. */
export interface Model<S extends { readonly allowance: object }, T> {
  readonly initial: S
  /** A text that states share only if they have the same futures but for their allowances. */
  keyOf (state: S): string
  forEachTransition (state: S, add: (transition: TransitionOf<S, T>) => void): void
  /** What the state itself breaks, whatever led to it. */
  violationOf (state: S): Violation | undefined
  /** Whether each job that was accepted and not cancelled has ended. */
  hasEnded (state: S): boolean
}

export interface Counterexample<T> {
  readonly violation: Violation
  readonly steps: readonly T[]
}

/** What an exploration has found. */
export interface Exploration<T> {
  readonly states: number
  readonly transitions: number
  /** Number of steps to the farthest state. */
  readonly depth: number
  /** The broken rule, with a shortest sequence of steps that breaks it. */
  readonly counterexample: Counterexample<T> | undefined
}

/** How a state was reached first. */
interface Origin<T> {
  readonly from: number
  readonly step: T | undefined
  readonly depth: number
}

/** Explores a model, up to the first broken rule. */
export function explore<S extends { readonly allowance: object }, T> (model: Model<S, T>): Exploration<T> {
  return new Explorer(model).run()
}

class Explorer<S extends { readonly allowance: object }, T> {
  /** The states found with a key; none of them allows all that another one allows. */
  private readonly indexes = new Map<string, number[]>()
  private readonly allowances: object[] = []
  private readonly origins: Origin<T>[] = []
  private readonly ended: boolean[] = []
  /** Found states; undefined once their steps are taken, to free their memory. */
  private readonly states: (S | undefined)[] = []
  /** Pairs of states: each second one is reached from the one before without a fault. */
  private readonly edges: number[] = []
  private transitions = 0

  constructor (private readonly model: Model<S, T>) {}

  run (): Exploration<T> {
    this.visit(this.model.initial, { from: -1, step: undefined, depth: 0 })
    for (let index = 0; index < this.states.length; index++) {
      const violation = this.expand(index)
      if (violation !== undefined) return this.result(violation)
    }
    const stuck = this.firstStuck()
    return this.result(stuck === undefined ? undefined : { violation: { rule: 'STUCK', detail: 'a job that was accepted cannot end any more' }, steps: this.stepsTo(stuck) })
  }

  private expand (index: number): Counterexample<T> | undefined {
    const state = this.states[index] as S
    const { depth } = this.origins[index] as Origin<T>
    let found: Counterexample<T> | undefined
    this.model.forEachTransition(state, ({ step, state: next, isFault, violation }) => {
      this.transitions++
      const target = this.visit(next, { from: index, step, depth: depth + 1 })
      if (!isFault && target !== index) this.edges.push(index, target)
      const broken = violation ?? this.model.violationOf(next)
      if (broken !== undefined) found ??= { violation: broken, steps: [...this.stepsTo(index), step] }
    })
    this.states[index] = undefined
    return found
  }

  /** @returns the index of the state, or of an earlier one that is equal and allows at least as much */
  private visit (state: S, origin: Origin<T>): number {
    const key = this.model.keyOf(state)
    const known = this.indexes.get(key)
    const covering = known?.find(other => allowsAll(this.allowances[other] as Allowances, state.allowance as Allowances))
    if (covering !== undefined) return covering
    const index = this.states.push(state) - 1
    if (known === undefined) this.indexes.set(key, [index])
    else known.push(index)
    this.allowances.push(state.allowance)
    this.origins.push(origin)
    this.ended.push(this.model.hasEnded(state))
    return index
  }

  /** @returns the first state from which the accepted jobs cannot all end */
  private firstStuck (): number | undefined {
    const predecessors = this.origins.map((): number[] => [])
    for (let i = 0; i < this.edges.length; i += 2) predecessors[this.edges[i + 1] as number]?.push(this.edges[i] as number)
    const canEnd = this.ended.slice()
    const open = canEnd.flatMap((ended, index) => ended ? [index] : [])
    for (let index = open.pop(); index !== undefined; index = open.pop()) {
      for (const before of predecessors[index] ?? []) {
        if (canEnd[before] === true) continue
        canEnd[before] = true
        open.push(before)
      }
    }
    const stuck = canEnd.indexOf(false)
    return stuck === -1 ? undefined : stuck
  }

  private stepsTo (index: number): T[] {
    const steps: T[] = []
    for (let origin = this.origins[index]; origin?.step !== undefined; origin = this.origins[origin.from]) steps.push(origin.step)
    return steps.reverse()
  }

  private result (counterexample: Counterexample<T> | undefined): Exploration<T> {
    return { states: this.origins.length, transitions: this.transitions, depth: this.origins.at(-1)?.depth ?? 0, counterexample }
  }
}

function allowsAll (allowance: Allowances, other: Allowances): boolean {
  if (allowance === other) return true
  for (const kind in allowance) if ((allowance[kind] as number) < (other[kind] as number)) return false
  return true
}
