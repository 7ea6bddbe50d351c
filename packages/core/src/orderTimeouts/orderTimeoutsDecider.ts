/**
 * Decides how long an owner waits for the answer to an order. On a slow link an order that is given up too soon is sent again over a new
 * connection, which makes the link slower still. The timeout therefore follows the measured round trips. Its upper bound keeps the
 * bounds in time that other decisions rely on; a hold waits at the endpoint for as much less as its timeout is longer.
 */
import type { Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { ShardSettings } from '../shard/settings.js'
import type { RoundTrips } from './types.js'

/** Weights of a new measurement. Orders are frequent, so a single lost answer must hardly count. */
const MEAN_WEIGHT = 1 / 32
const DEVIATION_WEIGHT = 1 / 16
/** Deviations above the mean that an answer may take. */
const DEVIATIONS = 4

/** Learns from answers and decides the timeouts of orders. */
export class OrderTimeoutsDecider {
  private readonly roundTrips: RoundTrips = { meanMs: 0, deviationMs: 0 }

  constructor (private readonly cfg: Pick<ShardSettings, 'orderTimeoutMs' | 'orderTimeoutMaxMs' | 'holdWaitMs'>) {}

  /** Learns how long the answer to an order took, not counting the time for which a hold waited at the endpoint. */
  answered (roundTripMs: number): void {
    const { roundTrips } = this
    roundTrips.deviationMs += DEVIATION_WEIGHT * (Math.abs(roundTripMs - roundTrips.meanMs) - roundTrips.deviationMs)
    roundTrips.meanMs += MEAN_WEIGHT * (roundTripMs - roundTrips.meanMs)
  }

  /** Learns that an endpoint did not answer an order in time but is live, so the round trip took at least the timeout. */
  answeredTooLate (): void {
    this.answered(this.timeoutMs())
  }

  /** @returns how long to wait for the answer to an order that the endpoint answers at once */
  timeoutMs (): Ms {
    const { orderTimeoutMs, orderTimeoutMaxMs } = this.cfg
    const { meanMs, deviationMs } = this.roundTrips
    return ms(Math.min(orderTimeoutMaxMs, Math.max(orderTimeoutMs, Math.ceil(meanMs + DEVIATIONS * deviationMs))))
  }

  /** @returns how long a hold waits at the endpoint; with the timeout it always lasts equally long */
  holdWaitMs (): Ms {
    return ms(this.cfg.holdWaitMs + this.cfg.orderTimeoutMs - this.timeoutMs())
  }
}
