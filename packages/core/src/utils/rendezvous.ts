/**
 * Rendezvous hashing: every instance ranks the same candidates for a key in the same order,
 * and a candidate that leaves moves only the keys it was ranked first for.
 */
import murmurhash from 'murmurhash'

/**
 * Hashes text to 32 bits.
 * @param text - any text
 * @returns an unsigned 32-bit number
 */
export const hash32 = (text: string): number => murmurhash.v3(text, 0)

/**
 * Ranks candidates for a key.
 * @param key - what is to be placed
 * @param candidates - possible places
 * @param idOf - name of a candidate
 * @returns the candidates, best first
 */
export function rendezvous<T> (key: string, candidates: readonly T[], idOf: (candidate: T) => string): T[] {
  const scored = candidates.map(candidate => ({ candidate, id: idOf(candidate), score: hash32(`${key}|${idOf(candidate)}`) }))
  scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
  return scored.map(s => s.candidate)
}
