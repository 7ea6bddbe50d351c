/**
 * Rendezvous hashing. Every instance ranks the same candidates for a key in the same order, without any coordination.
 * When a candidate leaves, only the keys it was ranked first for move to another one.
 */
import murmurhash from 'murmurhash'

/** Hashes text to an unsigned 32-bit number. */
export const hash32 = (text: string): number => murmurhash.v3(text, 0)

/**
 * Ranks candidates for a key. Equal scores are ordered by id.
 * @param key - name of the item to be placed
 * @param idOf - returns the id of a candidate, which has to be the same at every instance
 * @returns the candidates, best first
 */
export function rendezvous<T> (key: string, candidates: readonly T[], idOf: (candidate: T) => string): T[] {
  const scored = candidates.map(candidate => ({ candidate, id: idOf(candidate), score: hash32(`${key}|${idOf(candidate)}`) }))
  scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
  return scored.map(s => s.candidate)
}
