import { expect } from 'chai'
import type { DesiredChange, DesiredState, QueueName, QueueTerms, ServiceName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { DesiredHistory } from './desiredHistory.js'

function queue (prefix: string, priority = 0): QueueTerms {
  return { name: `q${prefix}` as QueueName, host: 'h', prefix, service: 's' as ServiceName, priority, maxAttempts: 1, stretch: 1, latencyObjectiveMs: ms(1), needsAdvice: false }
}

function stateOf (version: number, queues: readonly QueueTerms[]): DesiredState {
  return { version, queues, services: [{ name: 's' as ServiceName, guardsCapacity: false }] }
}

function historyOf (...states: readonly DesiredState[]): DesiredHistory {
  const history = new DesiredHistory()
  for (const state of states) history.keep(structuredClone(state))
  return history
}

const sorted = (state: DesiredState | undefined): unknown => state === undefined ? undefined : { ...state, queues: [...state.queues].sort((a, b) => a.prefix < b.prefix ? -1 : 1) }

const ONE = stateOf(1, [queue('/a/'), queue('/b/'), queue('/c/')])
const TWO = stateOf(4, [queue('/a/'), queue('/b/', 7), queue('/d/')])
const THREE = stateOf(5, [queue('/d/'), queue('/e/')])

describe('the difference between two versions', () => {
  it('has the queues that are new or have other terms, and the keys of those that are gone', () => {
    const change = historyOf(ONE, TWO).changeSince([1]) as DesiredChange
    expect([change.from, change.version, change.queues.map(({ prefix }) => prefix), change.removed.map(({ prefix }) => prefix)]).to.deep.equal([1, 4, ['/b/', '/d/'], ['/c/']])
  })

  it('leads a holder of any common version to the latest one', () => {
    const sender = historyOf(ONE, TWO, THREE)
    for (const [known, from] of [[[ONE], 1], [[ONE, TWO], 4], [[stateOf(2, [queue('/x/')]), TWO], 4], [[], 0]] as const) {
      const receiver = historyOf(...known)
      const change = known.length === 0 ? sender.wholeState() : sender.changeSince(receiver.versions())
      expect(change?.from).to.equal(from)
      expect(sorted(receiver.apply(change as DesiredChange))).to.deep.equal(sorted(THREE))
    }
  })

  it('is not known when the versions have none in common, or the common one was long ago', () => {
    expect(historyOf(ONE, TWO).changeSince([2, 3])).to.equal(undefined)
    const long = historyOf(ONE, ...Array.from({ length: 8 }, (_, i) => stateOf(10 + i, [queue(`/${i}/`)])))
    expect(long.changeSince([1])).to.equal(undefined)
    expect(long.changeSince([1, 10])?.from).to.equal(10)
  })

  it('is not applied to another version than the sender has under that number', () => {
    const change = historyOf(ONE, TWO).changeSince([1]) as DesiredChange
    expect(historyOf(stateOf(1, [queue('/a/'), queue('/b/')])).apply(change)?.queues.length, 'a queue that is removed in any case').to.equal(3)
    expect(historyOf(stateOf(1, [queue('/a/', 3), queue('/b/'), queue('/c/')])).apply(change)).to.equal(undefined)
    expect(historyOf(stateOf(1, [queue('/a/'), queue('/z/'), queue('/c/')])).apply(change)).to.equal(undefined)
    expect(historyOf(stateOf(2, [])).apply(change), 'a version that is not kept').to.equal(undefined)
  })

  it('shares the queues that two versions have in common', () => {
    const history = historyOf(ONE)
    const kept = history.keep(structuredClone(TWO))
    const again = history.keep({ ...structuredClone(TWO), version: 9 })
    expect(again.queues.every((queue, i) => queue === kept.queues[i])).to.equal(true)
  })
})
