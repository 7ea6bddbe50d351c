/**
 * Run times reported with answers, in one histogram for each customer and kind. A histogram holds a limited number of
 * reports, so that estimates follow a change of a kind's run time.
 */
import * as hdr from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { KindRef } from './types.js'

/** Longer run times are recorded as this one. */
const RUN_MS_MAX = 3_600_000
/** A histogram with this many reports is replaced by an empty one, so that a change of a kind's run time shows in the estimates. */
const REPORTS_PER_HISTOGRAM = 4000

/** Run time histograms by customer and kind. */
export class DeadlinesDb {
  private readonly histograms = new Map<string, Histogram>()

  /** Adds one run time, in milliseconds, to the histogram of its kind. */
  record (ref: KindRef, runMs: number): void {
    const key = `${ref.customer}/${ref.kind}`
    let histogram = this.histograms.get(key)
    if (histogram === undefined || histogram.totalCount >= REPORTS_PER_HISTOGRAM) {
      histogram = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: RUN_MS_MAX, numberOfSignificantValueDigits: 2 })
      this.histograms.set(key, histogram)
    }
    histogram.recordValue(Math.min(RUN_MS_MAX, Math.max(1, Math.round(runMs))))
  }

  /** @returns the kind's histogram, or undefined before the first report */
  histogram (ref: KindRef): Histogram | undefined {
    return this.histograms.get(`${ref.customer}/${ref.kind}`)
  }
}
