import { expect } from 'chai'
import { describeCounterexample, describeStep } from './describe.js'
import { explore } from './explore.js'
import { MUTATIONS } from './mutations.js'
import { POINTER_PROTOCOL, describePointerStep, pointerModel } from './pointerModel.js'
import { POINTER_MUTATIONS, POINTER_SCOPE } from './pointerMutations.js'
import { PROTOCOL, without } from './rules.js'
import type { ProtocolRule } from './rules.js'
import { SCOPES } from './scopes.js'
import { shardModel } from './shardModel.js'

/** Steps that a counterexample takes at most; longer ones would show that the exploration misses a shorter way. */
const COUNTEREXAMPLE_STEPS_MAX = 20

describe('the model of stored jobs', () => {
  const explored: string[] = []

  after(() => {
    console.log(`      states explored: ${explored.join('; ')}`)
  })

  for (const scope of SCOPES) {
    it(`keeps every rule, and lets every accepted job end: ${scope.name}`, () => {
      const { states, counterexample } = explore(shardModel(scope, PROTOCOL))
      explored.push(`${states} (${scope.name})`)
      expect(counterexample === undefined ? '' : describeCounterexample(counterexample, describeStep)).to.equal('')
    })
  }

  for (const { rule, breaks, scope } of MUTATIONS) {
    it(`breaks ${breaks} without ${rule}: ${scope.name}`, () => {
      const { counterexample } = explore(shardModel(scope, without(rule)))
      expect(counterexample?.violation.rule).to.equal(breaks)
      expect(counterexample?.steps).to.have.length.within(1, COUNTEREXAMPLE_STEPS_MAX)
    })
  }

  it('has a mutation for each rule of the protocol', () => {
    const mutated = MUTATIONS.map(({ rule }) => rule).sort()
    expect(mutated).to.deep.equal((Object.keys(PROTOCOL) as ProtocolRule[]).sort())
  })

  it('refutes every mutation in a scope in which the whole protocol holds', () => {
    const scopes = new Map(MUTATIONS.map(({ scope }) => [JSON.stringify(scope), scope]))
    for (const scope of scopes.values()) expect(explore(shardModel(scope, PROTOCOL)).counterexample, scope.name).to.equal(undefined)
  })

  it('keeps every rule between two shards, and lets every accepted job end', () => {
    const { states, counterexample } = explore(pointerModel(POINTER_SCOPE, POINTER_PROTOCOL))
    explored.push(`${states} (two shards)`)
    expect(counterexample === undefined ? '' : describeCounterexample(counterexample, describePointerStep)).to.equal('')
  })

  for (const { rule, breaks } of POINTER_MUTATIONS) {
    it(`breaks ${breaks} between two shards without ${rule}`, () => {
      const { counterexample } = explore(pointerModel(POINTER_SCOPE, { ...POINTER_PROTOCOL, [rule]: false }))
      expect(counterexample?.violation.rule).to.equal(breaks)
    })
  }
})
