/**
 * Module hooks that replace one text in one file of core while a process loads it. The mutation applies to the built
 * file in memory only, so that the files on disk stay as they are and several mutants can run at the same time.
 */
import type { LoadHook } from 'node:module'
import type { Mutation } from './mutations.js'

let mutation: Mutation | undefined

/** Receives the mutation that `register` passes as data; Node.js calls it before the first `load`. */
export function initialize (data: Mutation): void {
  mutation = data
}

/** Applies the mutation to its file. Throws when the file no longer contains the text to replace. */
export const load: LoadHook = async (url, context, nextLoad) => {
  const loaded = await nextLoad(url, context)
  if (mutation === undefined || !url.endsWith(`/core/dist/${mutation.file}`)) return loaded
  const source = String(loaded.source)
  if (!source.includes(mutation.find)) throw new Error(`mutation ${mutation.name} does not apply: ${mutation.file} does not contain the text to replace`)
  return { ...loaded, source: source.replace(mutation.find, mutation.replace) }
}
