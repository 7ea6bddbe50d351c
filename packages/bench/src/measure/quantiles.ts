/**
 * Quantiles of ratios and times through hdr-histogram-js.
 */
import * as hdr from 'hdr-histogram-js'

/** Values are kept to a thousandth. */
const SCALE = 1000

/**
 * Computes quantiles.
 * @param values - non-negative numbers
 * @param percentiles - 0 to 100
 * @returns one value for each percentile, 0 when there are no values
 */
export function quantiles (values: readonly number[], percentiles: readonly number[]): number[] {
  const histogram = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 10 ** 10, numberOfSignificantValueDigits: 4 })
  for (const value of values) histogram.recordValue(Math.max(0, Math.round(value * SCALE)))
  return percentiles.map(p => values.length === 0 ? 0 : histogram.getValueAtPercentile(p) / SCALE)
}
