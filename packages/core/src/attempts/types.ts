/**
 * Types of the attempts decision: how far a task can be trusted not to crash the endpoints that start it.
 */

/**
 * What the attempts at a task show. `suspect`: an endpoint crashed while the task ran there, which the task or another one
 * may have caused. `unclear`: it may have crashed too many endpoints, but some of them may only be out of reach. `crashing`: the task
 * crashes endpoints, as far as can be told from outside.
 */
export type TaskStanding = 'sound' | 'suspect' | 'unclear' | 'crashing'
