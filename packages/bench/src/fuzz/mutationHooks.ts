/**
 * Module hooks that change one line of one file of core while a test process loads it.
 */
import type { LoadHook } from 'node:module'
import type { Mutation } from './mutations.js'

let mutation: Mutation | undefined

/** Receives the mutation. */
export function initialize (data: Mutation): void {
  mutation = data
}

/** Changes the file's text; a mutation that no longer fits is an error. */
export const load: LoadHook = async (url, context, nextLoad) => {
  const loaded = await nextLoad(url, context)
  if (mutation === undefined || !url.endsWith(`/core/dist/${mutation.file}`)) return loaded
  const source = String(loaded.source)
  if (!source.includes(mutation.find)) throw new Error(`mutation ${mutation.name} does not fit ${mutation.file}`)
  return { ...loaded, source: source.replace(mutation.find, mutation.replace) }
}
