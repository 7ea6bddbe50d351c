/**
 * Interprets the state charts in the folder `charts/`. The charts are JSON files rather than code, because the docs draw
 * their diagrams from the same files.
 */
import { readFileSync } from 'node:fs'
import { createMachine, getInitialSnapshot, getNextSnapshot } from 'xstate'
import type { AnyMachineSnapshot, AnyStateMachine } from 'xstate'

export const CHART_NAMES = ['endpointOrder', 'endpointHealth', 'job', 'instance'] as const

export type ChartName = typeof CHART_NAMES[number]

/** Content of a chart's file. */
export interface ChartFile {
  readonly id: string
  readonly initial: string
  readonly states: Readonly<Record<string, { readonly type?: 'final', readonly on?: Readonly<Record<string, string>> }>>
}

export function readChart (name: ChartName): ChartFile {
  return JSON.parse(readFileSync(new URL(`../charts/${name}.json`, import.meta.url), 'utf8')) as ChartFile
}

/** A state machine built from a chart. It caches the result of each transition, since charts never change at run time. */
export class Chart<S extends string, E extends string> {
  private readonly machine: AnyStateMachine
  private readonly transitions = new Map<string, S | undefined>()
  readonly initial: S

  constructor (name: ChartName) {
    this.machine = createMachine(readChart(name) as never)
    this.initial = getInitialSnapshot(this.machine).value as S
  }

  /**
   * Computes the state that follows an event.
   * @returns the next state, or undefined when the chart does not allow the event in this state
   */
  next (state: S, event: E): S | undefined {
    const key = `${state} ${event}`
    if (!this.transitions.has(key)) this.transitions.set(key, this.computeNext(state, event))
    return this.transitions.get(key)
  }

  private computeNext (state: S, event: E): S | undefined {
    const snapshot = this.machine.resolveState({ value: state, context: {} }) as AnyMachineSnapshot
    if (!snapshot.can({ type: event })) return undefined
    return getNextSnapshot(this.machine, snapshot, { type: event }).value as S
  }
}
