/**
 * Types of the check of a configuration before it is sent: what was found, and what differs from the one in force.
 */

/** What a finding is about. Errors keep a part of the configuration from ever working; warnings do not. */
export type FindingCode =
  | 'unreadable'
  | 'neverMatches'
  | 'partlyHidden'
  | 'unknownService'
  | 'unusedService'
  | 'duplicateName'
  | 'contradiction'
  | 'unsupported'
  | 'notNewer'

/** One finding. */
export interface Finding {
  readonly severity: 'error' | 'warning'
  readonly code: FindingCode
  /** Path of the field, such as `['queues', 3, 'prefix']`. */
  readonly path: readonly (string | number)[]
  readonly message: string
}

/** One difference from the configuration in force. */
export interface Difference {
  readonly kind: 'added' | 'removed' | 'changed'
  /** The queue, service or contract that differs. */
  readonly what: string
  /** The fields that differ, each with its values; empty for what is added or removed. */
  readonly fields: readonly { readonly field: string, readonly before: unknown, readonly after: unknown }[]
}
