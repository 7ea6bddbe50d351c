/**
 * Fuzzes core with one mutation: `node mutant.js NAME SEED RUNS`. Prints whether the oracle caught it.
 */
import { register } from 'node:module'
import process from 'node:process'
import { MUTATIONS } from './mutations.js'

const [name, seed, runs] = process.argv.slice(2)
const mutation = MUTATIONS.find(m => m.name === name)
if (mutation === undefined) throw new Error(`no mutation ${name ?? ''}`)
register('./mutationHooks.js', import.meta.url, { data: mutation })

const { runFuzz } = await import('./runFuzz.js')
const outcome = await runFuzz({ seed: Number(seed), runs: Number(runs), commandsMax: 40, endOnFailure: true })
const reason = outcome.reason
console.log(JSON.stringify({ name, caught: outcome.failed, runs: outcome.runs, reason }))
process.exit(0)
