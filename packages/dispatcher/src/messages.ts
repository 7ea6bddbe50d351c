/**
 * How the daemon's tasks talk: every task owns its sockets and state and posts inputs to the core task,
 * which hands effects back to the task they concern.
 */
import type { Effect, Input } from '@cranberryyard/core'

/** Posts an input to the core task. */
export type Post = (input: Input) => void

/** Effects of some types. */
export type EffectOf<T extends Effect['type']> = Extract<Effect, { type: T }>
