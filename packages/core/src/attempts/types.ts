/**
 * Types of the attempts decision: how far a task can be trusted not to crash the endpoints that start it.
 */
import type { AttemptFault } from '@cranberryyard/protocol'

/**
 * What is known of a run that went wrong. `refused`: its endpoint refused connections with this and other runs, so it most likely crashed, but it
 * may be cut off; its next answer shows which it was. `refusedAlone`: it did so while nothing else ran there.
 */
export type RunFault = AttemptFault | 'refused' | 'refusedAlone'

/**
 * What the attempts at a task show. `suspect`: an endpoint crashed while the task ran there, or most likely did, which the task or another one
 * may have caused. `unclear`: it may have crashed too many endpoints, but some of them may only be out of reach. `crashing`: the task
 * crashes endpoints, as far as can be told from outside.
 */
export type TaskStanding = 'sound' | 'suspect' | 'unclear' | 'crashing'
