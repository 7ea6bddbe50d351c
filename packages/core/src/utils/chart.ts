/**
 * Interprets the state charts under charts/. The same files are drawn in the docs.
 */
import { readFileSync } from 'node:fs'
import { createMachine, getInitialSnapshot, getNextSnapshot } from 'xstate'
import type { AnyMachineSnapshot, AnyStateMachine } from 'xstate'

/** Names of the charts. */
export const CHART_NAMES = ['endpointOrder', 'endpointHealth', 'job', 'instance'] as const

/** Name of a chart. */
export type ChartName = typeof CHART_NAMES[number]

/** A chart as its file describes it. */
export interface ChartFile {
  readonly id: string
  readonly initial: string
  readonly states: Readonly<Record<string, { readonly type?: 'final', readonly on?: Readonly<Record<string, string>> }>>
}

/**
 * Reads a chart's file.
 * @param name - a chart
 * @returns its description
 */
export function readChart (name: ChartName): ChartFile {
  return JSON.parse(readFileSync(new URL(`../charts/${name}.json`, import.meta.url), 'utf8')) as ChartFile
}

/** A chart ready to be followed. */
export class Chart<S extends string, E extends string> {
  private readonly machine: AnyStateMachine
  private readonly steps = new Map<string, S | undefined>()
  readonly initial: S

  constructor (name: ChartName) {
    this.machine = createMachine(readChart(name) as never)
    this.initial = getInitialSnapshot(this.machine).value as S
  }

  /**
   * Follows one event.
   * @param state - the present state
   * @param event - what happened
   * @returns the next state, or undefined when the chart does not allow the event here
   */
  next (state: S, event: E): S | undefined {
    const key = `${state} ${event}`
    if (!this.steps.has(key)) this.steps.set(key, this.resolve(state, event))
    return this.steps.get(key)
  }

  private resolve (state: S, event: E): S | undefined {
    const snapshot = this.machine.resolveState({ value: state, context: {} }) as AnyMachineSnapshot
    if (!snapshot.can({ type: event })) return undefined
    return getNextSnapshot(this.machine, snapshot, { type: event }).value as S
  }
}
