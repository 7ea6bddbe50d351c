/**
 * Computes quantiles of ratios and times with hdr-histogram-js. The histogram takes integers only, so values are scaled
 * before they are recorded.
 */
import * as hdr from 'hdr-histogram-js'

/** Keeps three decimals of each value. */
const SCALE = 1000

/**
 * Computes quantiles.
 * @param values - numbers; a negative one counts as 0
 * @param percentiles - percentiles to compute, from 0 to 100
 * @returns one value for each percentile, 0 when there are no values
 */
export function quantiles (values: readonly number[], percentiles: readonly number[]): number[] {
  const histogram = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 10 ** 10, numberOfSignificantValueDigits: 4 })
  for (const value of values) histogram.recordValue(Math.max(0, Math.round(value * SCALE)))
  return percentiles.map(p => values.length === 0 ? 0 : histogram.getValueAtPercentile(p) / SCALE)
}
