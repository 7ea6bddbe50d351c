/** The scope of the model of pointers, and its mutations: each leaves a rule out and names what must break. */
import type { ModelRule } from './explore.js'
import type { PointerAllowance, PointerRules } from './pointerModel.js'

export const POINTER_SCOPE: PointerAllowance = { crashes: 3, copies: 2, declines: 1, moves: 2, lostReplies: 1 }

export const POINTER_MUTATIONS: readonly { readonly rule: keyof PointerRules, readonly breaks: ModelRule }[] = [
  { rule: 'conditionalPointer', breaks: 'TWICE' },
  { rule: 'settleLostReplies', breaks: 'REFUSED' },
  { rule: 'moveWithoutRuns', breaks: 'TWICE' },
  { rule: 'endInOwnLog', breaks: 'TWICE' },
  { rule: 'addToOtherLog', breaks: 'LOST' }
]
