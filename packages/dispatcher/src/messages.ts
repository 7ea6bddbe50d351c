/**
 * Types of the messages between the daemon's tasks. Each task owns its sockets and its state and posts inputs to the
 * core task; the core task returns effects, and the daemon passes each to the task that executes it.
 */
import type { Effect, Input } from '@cranberryyard/core'

/** Passes an input to the core task. */
export type Post = (input: Input) => void

/** The effects with one of the given types. */
export type EffectOf<T extends Effect['type']> = Extract<Effect, { type: T }>
