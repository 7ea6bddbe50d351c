/**
 * `npm run model -- [--without RULE]...`: explores the model of stored jobs in all its scopes, or prints how the protocol fails
 * without one of its rules. The exit code is 1 when the whole protocol breaks a rule, or when a mutation breaks none.
 */
import process from 'node:process'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { describeCounterexample, describeStep } from './model/describe.js'
import { explore } from './model/explore.js'
import { MUTATIONS } from './model/mutations.js'
import { POINTER_PROTOCOL, describePointerStep, pointerModel } from './model/pointerModel.js'
import { POINTER_MUTATIONS, POINTER_SCOPE } from './model/pointerMutations.js'
import { PROTOCOL, without } from './model/rules.js'
import { SCOPES } from './model/scopes.js'
import { shardModel } from './model/shardModel.js'
import type { Exploration } from './model/explore.js'

const args = await yargs(hideBin(process.argv))
  .option('without', { type: 'string', array: true, default: [] as string[], choices: ['all', ...[...MUTATIONS, ...POINTER_MUTATIONS].map(({ rule }) => rule)], describe: 'Rules of the protocol to leave out, one at a time' })
  .strict()
  .parse()

const isChosen = ({ rule }: { readonly rule: string }): boolean => args.without.includes('all') || args.without.includes(rule)
const results = args.without.length === 0
  ? [
      ...SCOPES.map(scope => report(scope.name, explore(shardModel(scope, PROTOCOL)), describeStep)),
      report('two shards', explore(pointerModel(POINTER_SCOPE, POINTER_PROTOCOL)), describePointerStep)
    ].map(isBroken => !isBroken)
  : [
      ...MUTATIONS.filter(isChosen).map(({ rule, scope }) => report(`without ${rule} (${scope.name})`, explore(shardModel(scope, without(rule))), describeStep)),
      ...POINTER_MUTATIONS.filter(isChosen).map(({ rule }) => report(`without ${rule} (two shards)`, explore(pointerModel(POINTER_SCOPE, { ...POINTER_PROTOCOL, [rule]: false })), describePointerStep))
    ]
process.exit(results.every(isExpected => isExpected) ? 0 : 1)

/** @returns whether a rule was broken */
function report<T> (name: string, { states, transitions, depth, counterexample }: Exploration<T>, describe: (step: T) => string): boolean {
  console.log(`${name}: ${states} states, ${transitions} transitions, at most ${depth} steps`)
  if (counterexample !== undefined) console.log(describeCounterexample(counterexample, describe))
  return counterexample !== undefined
}
