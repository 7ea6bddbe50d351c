/**
 * Seeded random numbers and sampling. Decisions draw from a seeded source, so the same seed and inputs give the same
 * decisions.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A source of random integers. */
export interface Random {
  /** @returns an integer from 0 up to, not including, `n` */
  below (n: number): number
}

/**
 * Creates a source of random integers.
 * @param seed - any integer; the same seed gives the same sequence
 */
export function seededRandom (seed: number): Random {
  const rng = xoroshiro128plus(seed)
  return { below: n => n <= 1 ? 0 : uniformInt(rng, 0, n - 1) }
}

/** Draws up to `count` items without replacement. */
export function sample<T> (random: Random, items: readonly T[], count: number): T[] {
  const pool = [...items]
  const drawn: T[] = []
  while (drawn.length < count && pool.length > 0) {
    const picked = pool.splice(random.below(pool.length), 1)
    drawn.push(...picked)
  }
  return drawn
}
