/**
 * Learns how many runs take a multiple of their expected time, and how long a run that is over its time is expected to go on. Most
 * runs that are a little late end soon; of those that are far over their time, nearly all are long ones.
 */

/** Runs that take at least this multiple of the expected time are long. */
const LONG_FACTOR = 2.5
/** Multiples are counted up to this one. */
const FACTOR_MAX = 20
/** Weight of a run in the moving averages. */
const SHARE_WEIGHT = 0.005
const FACTOR_WEIGHT = 0.1
/** Remaining time of a run that is over its time and not long, as a share of the expected one. */
const OVERDUE_SHARE = 0.15
/** Spread of the logarithm of run times that are not long. */
const RUN_SPREAD = 0.3
const LOGISTIC_SLOPE = 1.702

/** Share and length of long runs. */
export class RunTail {
  /** Share of long runs. */
  share = 0
  /** Their mean run time as a multiple of the expected one. */
  private factor = LONG_FACTOR

  /** @param multiple - run time of a run at a healthy endpoint, as a multiple of the expected one there */
  record (multiple: number): void {
    const isLong = multiple >= LONG_FACTOR
    this.share += SHARE_WEIGHT * ((isLong ? 1 : 0) - this.share)
    if (isLong) this.factor += FACTOR_WEIGHT * (Math.min(FACTOR_MAX, multiple) - this.factor)
  }

  /**
   * @param age - time that a run has taken, as a multiple of the expected one
   * @returns expected remaining time as a multiple of the expected one
   */
  remaining (age: number): number {
    if (age <= 1 || this.share === 0) return OVERDUE_SHARE
    const othersLeft = (1 - this.share) / (1 + Math.exp(LOGISTIC_SLOPE * Math.log(age) / RUN_SPREAD))
    const isLong = this.share / (this.share + othersLeft)
    return OVERDUE_SHARE + isLong * Math.max(0, this.factor - age - OVERDUE_SHARE)
  }
}
