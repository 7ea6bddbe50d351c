/**
 * Maps what the ledger reports about a run to the fault that counts against its task. A refused connection is the sign of a crash, but
 * a cut network may refuse connections too; the next answer of the endpoint shows which it was.
 */
import type { FailedAttempt } from '@cranberryyard/protocol'
import type { LossReason } from '../endpoints/types.js'
import type { RunFault } from './types.js'

/** @returns the fault of each run at an endpoint that crashed with so many of them */
export function crashOf (runsThere: number): RunFault {
  return runsThere === 1 ? 'crashedAlone' : 'crashed'
}

/** @returns the fault of each run at an endpoint that refused connections with so many of them */
export function refusalOf (runsThere: number): RunFault {
  return runsThere === 1 ? 'refusedAlone' : 'refused'
}

/** @returns whether the next answer of the endpoint shows what became of the run */
export function isUnsettled (fault: RunFault): boolean {
  return fault === 'silent' || fault === 'refused' || fault === 'refusedAlone'
}

/** @returns the fault of an unsettled attempt once another incarnation of its endpoint has answered */
export function afterRestart (fault: RunFault): 'crashed' | 'crashedAlone' {
  return fault === 'refusedAlone' ? 'crashedAlone' : 'crashed'
}

/** @returns what other instances are told about a run; earlier versions of this program take a refusal for a crash */
export function toAttempt (run: string, fault: RunFault): FailedAttempt {
  return fault === 'refused' || fault === 'refusedAlone' ? { run, fault: afterRestart(fault), unsettled: true } : { run, fault }
}

/** @returns what another instance knows about a run */
export function faultOf ({ fault, unsettled }: FailedAttempt): RunFault {
  if (unsettled !== true || (fault !== 'crashed' && fault !== 'crashedAlone')) return fault
  return fault === 'crashedAlone' ? 'refusedAlone' : 'refused'
}

/** @returns the fault of a lost run; undefined when the endpoint is there and merely no longer lists it */
export function faultOfLoss (why: LossReason, runsThere: number): RunFault | undefined {
  switch (why) {
    case 'refused': return refusalOf(runsThere)
    case 'restarted': return crashOf(runsThere)
    case 'silent': return 'silent'
    case 'unlisted': return undefined
  }
}
