/**
 * Runs the traces and the fuzzer on core with one mutation: `node mutant.js NAME SEED RUNS [all]`. Runs the trace that is
 * expected to catch the mutation, or every trace with `all`, then the fuzzer, and prints as JSON whether the oracle caught
 * it and how. Each mutation needs a process of its own, because the mutated module is loaded once.
 */
import { register } from 'node:module'
import process from 'node:process'
import { MUTATIONS } from './mutations.js'

const [name, seed, runs, scope] = process.argv.slice(2)
const mutation = MUTATIONS.find(m => m.name === name)
if (mutation === undefined) throw new Error(`no mutation is named '${name ?? ''}'`)
register('./mutationHooks.js', import.meta.url, { data: mutation })

const { Violation } = await import('./oracle.js')
const { TRACES } = await import('./traces.js')
const { runFuzz } = await import('./runFuzz.js')

const traces = scope === 'all' ? TRACES : TRACES.filter(t => t.name === mutation.caughtBy)
for (const trace of traces) {
  try {
    trace.run()
  } catch (err) {
    if (!(err instanceof Violation)) throw err
    report(trace.name, err.message)
  }
}
const outcome = await runFuzz({ seed: Number(seed), runs: Number(runs), commandsMax: 40, endOnFailure: true })
report(outcome.failed ? 'fuzzing' : '', outcome.reason)

function report (by: string, reason: string): never {
  console.log(JSON.stringify({ name, caught: by !== '', by, reason }))
  process.exit(0)
}
