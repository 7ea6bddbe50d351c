/**
 * Seeded random numbers, so that the same seed and inputs give the same decisions.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A source of random integers. */
export interface Random {
  /** @returns an integer from 0 up to, not including, `n` */
  below (n: number): number
}

/**
 * Makes a seeded source.
 * @param seed - any integer
 * @returns the source
 */
export function seededRandom (seed: number): Random {
  const rng = xoroshiro128plus(seed)
  return { below: n => n <= 1 ? 0 : uniformInt(rng, 0, n - 1) }
}

/**
 * Draws up to `count` different items.
 * @param random - the source
 * @param items - what to draw from
 * @param count - how many at most
 * @returns the drawn items
 */
export function sample<T> (random: Random, items: readonly T[], count: number): T[] {
  const pool = [...items]
  const drawn: T[] = []
  while (drawn.length < count && pool.length > 0) {
    const picked = pool.splice(random.below(pool.length), 1)
    drawn.push(...picked)
  }
  return drawn
}
