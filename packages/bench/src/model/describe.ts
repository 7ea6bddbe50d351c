/** Prints a counterexample as one line a step. Tokens are left out, since the exploration renumbers them. */
import type { Counterexample } from './explore.js'
import type { Step } from './types.js'

/** @returns the steps and what they break, one line each */
export function describeCounterexample<T> ({ violation, steps }: Counterexample<T>, describe: (step: T) => string): string {
  return [...steps.map((step, i) => `${String(i + 1).padStart(3)}. ${describe(step)}`), `     ${violation.rule}: ${violation.detail}`].join('\n')
}

/** @returns a step of the model of one shard in words */
export function describeStep (step: Step): string {
  switch (step.type) {
    case 'deliverCopy': return `a copy of job ${step.job} reaches owner ${step.owner}: ${step.verdict}`
    case 'resend': return `job ${step.job} is sent again`
    case 'deliverCancel': return `the caller's cancel of job ${step.job} reaches owner ${step.owner}`
    case 'readEarly': return `instance ${step.owner} reads the shard's log`
    case 'claim': return `instance ${step.owner} writes the shard's record and owns the shard`
    case 'executeWrite': return `the store answers the write of owner ${step.owner}: ${step.outcome}; the reply is on its way`
    case 'executeLateWrite': return 'the store executes a write whose sender has forgotten it'
    case 'learnOutcome': return `owner ${step.owner} learns the outcome of its write${step.answersLost ? ', and its answers to callers are lost' : ''}`
    case 'giveUpWrite': return `owner ${step.owner} takes its write for failed, since the reply is lost`
    case 'noticeSuccessor': return `owner ${step.owner} notices that it has a successor`
    case 'outwaitPredecessor': return `owner ${step.owner} has waited until every proof of its predecessor has ended`
    case 'outwaitEndpoint': return `owner ${step.owner} gets no answer from endpoint ${step.endpoint} until every lease there must have ended`
    case 'hold': return `owner ${step.owner} holds endpoint ${step.endpoint}: it acknowledges ends and reads runs and ends`
    case 'sendStart': return `owner ${step.owner} orders run ${step.run} of job ${step.job} at endpoint ${step.endpoint}`
    case 'carryOutStart': return `endpoint ${step.endpoint} carries out the order of run ${step.run} of job ${step.job}`
    case 'loseStart': return `the order of run ${step.run} of job ${step.job} does not reach endpoint ${step.endpoint} before its deadline`
    case 'endRun': return `the run of job ${step.job} at endpoint ${step.endpoint} ends as ${step.how}`
    case 'lapse': return `the lease of endpoint ${step.endpoint} ends, and with it its runs`
    case 'crashOwner': return `owner ${step.owner} crashes${step.writeExecuted ? ', and the store executes its write' : ''}`
    case 'crashEndpoint': return `endpoint ${step.endpoint} crashes and restarts`
  }
}
