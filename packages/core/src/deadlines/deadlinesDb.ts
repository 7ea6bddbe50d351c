/**
 * Run times learned from answers, one histogram for each customer and kind.
 */
import * as hdr from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { KindRef } from './types.js'

/** Longest run time that is told apart, in milliseconds. */
const RUN_MS_MAX = 3_600_000
/** After this many reports, older ones fade, so that a change of behaviour shows. */
const REPORTS_MAX = 4000

/** Histograms of run times. */
export class DeadlinesDb {
  private readonly histograms = new Map<string, Histogram>()

  /** Records one run time in milliseconds. */
  record (ref: KindRef, runMs: number): void {
    const key = `${ref.customer}/${ref.kind}`
    let histogram = this.histograms.get(key)
    if (histogram === undefined || histogram.totalCount >= REPORTS_MAX) {
      histogram = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: RUN_MS_MAX, numberOfSignificantValueDigits: 2 })
      this.histograms.set(key, histogram)
    }
    histogram.recordValue(Math.min(RUN_MS_MAX, Math.max(1, Math.round(runMs))))
  }

  /** @returns the histogram of a kind, if any report arrived */
  histogram (ref: KindRef): Histogram | undefined {
    return this.histograms.get(`${ref.customer}/${ref.kind}`)
  }
}
