/**
 * Maps what the ledger reports about a run to the fault that counts against its task.
 */
import type { AttemptFault } from '@cranberryyard/protocol'
import type { LossReason } from '../endpoints/types.js'

/** @returns the fault of each run at an endpoint that crashed with so many of them */
export function crashOf (runsThere: number): AttemptFault {
  return runsThere === 1 ? 'crashedAlone' : 'crashed'
}

/** @returns the fault of a lost run; undefined when the endpoint is there and merely no longer lists it */
export function faultOfLoss (why: LossReason, runsThere: number): AttemptFault | undefined {
  switch (why) {
    case 'refused':
    case 'restarted': return crashOf(runsThere)
    case 'silent': return 'silent'
    case 'unlisted': return undefined
  }
}
