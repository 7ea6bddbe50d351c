/**
 * Learns the run times of each queue. Callers state only a rough estimate, so the expected run time is regressed on it: in a queue
 * whose estimates say little, a job is expected to take about as long as the others did. The spread around the
 * expectation tells how far a run time may fall below it, which matters because a shorter job is due sooner.
 */
import type { QueueName } from '@cranberryyard/protocol'

/** Number of runs that the initial assumption, run times equal to the estimates, counts for. */
const PRIOR_RUNS = 20
/** Variance of the logarithm of estimates in the initial assumption. */
const PRIOR_VARIANCE = 0.1
/** Weight of a run in the moving averages once many runs were seen. */
const MIN_WEIGHT = 0.01
/** Run times are this far from their expectation at most, as a factor; others are outliers, such as stalled runs. */
const OUTLIER_FACTOR = 3
/** Bounds of the slope of the regression. */
const SLOPE_MIN = 0.2
const SLOPE_MAX = 1.2

/** Run times of one queue: a regression of the logarithm of the run time on that of the estimate. */
export class RunTimeModel {
  private runs = 0
  private meanEstimate = 0
  private meanRun = 0
  private variance = PRIOR_VARIANCE
  private covariance = PRIOR_VARIANCE
  private residualVariance = 0

  /** @returns expected run time of a task with the given estimate, in milliseconds */
  expectedMs (estimateMs: number): number {
    if (this.runs === 0) return estimateMs
    return Math.exp(this.expectedLog(estimateMs))
  }

  /**
   * @param estimateMs - the estimate
   * @param deviations - how many standard deviations to go below the expectation
   */
  lowMs (estimateMs: number, deviations: number): number {
    return this.expectedMs(estimateMs) * Math.exp(-deviations * Math.sqrt(this.residualVariance))
  }

  /** Learns from a run that ended with success at a healthy endpoint. */
  record (estimateMs: number, ranMs: number): void {
    const x = Math.log(Math.max(1, estimateMs))
    const y = Math.log(Math.max(1, ranMs))
    if (this.runs === 0) {
      this.meanEstimate = x
      this.meanRun = x
    }
    const limit = Math.log(OUTLIER_FACTOR)
    const residual = Math.min(limit, Math.max(-limit, y - this.expectedLog(estimateMs)))
    const weight = Math.max(MIN_WEIGHT, 1 / (++this.runs + PRIOR_RUNS))
    const bounded = this.expectedLog(estimateMs) + residual
    const dx = x - this.meanEstimate
    const dy = bounded - this.meanRun
    this.meanEstimate += weight * dx
    this.meanRun += weight * dy
    this.variance += weight * (dx * dx - this.variance)
    this.covariance += weight * (dx * dy - this.covariance)
    this.residualVariance += weight * (residual * residual - this.residualVariance)
  }

  private expectedLog (estimateMs: number): number {
    const slope = Math.min(SLOPE_MAX, Math.max(SLOPE_MIN, this.covariance / Math.max(this.variance, Number.EPSILON)))
    return this.meanRun + slope * (Math.log(Math.max(1, estimateMs)) - this.meanEstimate)
  }
}

/** The run times of all queues. */
export class RunTimes {
  private readonly models = new Map<QueueName, RunTimeModel>()

  /** @returns the model of a queue, created on first use */
  of (queue: QueueName): RunTimeModel {
    const known = this.models.get(queue)
    if (known !== undefined) return known
    const model = new RunTimeModel()
    this.models.set(queue, model)
    return model
  }
}
