/**
 * State of the order timeout: what this owner has measured of the round trips of its orders. One estimate serves all endpoints, since
 * what makes orders slow is mostly the owner's own link or its processor time.
 */

/** Smoothed round trips in milliseconds. */
export interface RoundTrips {
  meanMs: number
  /** Mean distance of a round trip from `meanMs`. */
  deviationMs: number
}
