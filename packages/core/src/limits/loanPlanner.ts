/**
 * Plans loans: how many permits this instance needs and which lenders to request them from. It sends
 * nothing itself; `LimitsDecider` sends the requests and records the grants.
 */
import type { CustomerId, Fleet, HolderId, Ms, PermitCount, PermitDemand } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { Context } from '../instance/context.js'
import type { LimitsDb } from './limitsDb.js'
import { shareOf } from './shares.js'
import type { CountQueuedTasks } from './types.js'

/**
 * Smallest number of additional permits to request from one lender when `messageWeight` is 1; fewer are requested when
 * fewer are missing. Larger requests go to fewer lenders and so need fewer messages.
 */
const PERMITS_PER_REQUEST_AT_FULL_WEIGHT = 64
/** Half-life, in loan renewals, of a remembered peak in demand. */
const PEAK_HALF_LIFE_RENEWALS = 4

/** Permits to request from one lender. */
export interface LenderPlan {
  readonly wishes: PermitDemand[]
  wantsMore: boolean
}

/** Highest recent demand for permits, and when it occurred. */
interface Peak {
  readonly need: number
  readonly at: Ms
}

/** Counts the permits of a customer in the own share that are not lent. */
export type CountUnlentShare = (customer: CustomerId) => number

/** Decides how many permits to request from which lender. */
export class LoanPlanner {
  private readonly exhaustedUntil = new Map<string, Ms>()
  private readonly peaks = new Map<CustomerId, Peak>()
  private fleet: Fleet | undefined

  constructor (private readonly ctx: Context, private readonly db: LimitsDb, private readonly unlentShare: CountUnlentShare, private readonly queuedTasks: CountQueuedTasks) {}

  /**
   * Plans a round of requests.
   * @param fleet - limits and roster in force
   * @param lenders - holders that may lend: one incarnation of an instance each
   * @returns the permits to request from each lender, without lenders from which none are wanted
   */
  plan (fleet: Fleet | undefined, lenders: readonly HolderId[]): Map<HolderId, LenderPlan> {
    this.fleet = fleet
    const plan = new Map<HolderId, LenderPlan>()
    for (const customer of this.db.customers()) {
      const need = this.smoothedNeed(customer)
      if (need === 0 && this.db.borrowed.sum(customer, this.ctx.now) === 0) continue
      this.planCustomer(customer, need, lenders, plan)
    }
    return plan
  }

  /** Demand with a slowly decaying peak: permits are kept a little longer than needed, so that bursts need no new loans. */
  private smoothedNeed (customer: CustomerId): number {
    const { now, cfg } = this.ctx
    const need = this.db.runningOf(customer) + this.queuedTasks(customer)
    const limit = this.limitOf(customer)
    const peak = this.peaks.get(customer)
    const decayedPeak = peak === undefined ? 0 : Math.floor(peak.need * Math.pow(0.5, (now - peak.at) / (PEAK_HALF_LIFE_RENEWALS * cfg.limits.loanRenewMs)))
    const smoothed = Math.min(limit, Math.max(need, decayedPeak))
    if (need >= decayedPeak) this.peaks.set(customer, { need, at: now })
    return smoothed
  }

  /** Requests large portions from few lenders rather than small ones from all, and returns permits no longer needed. */
  private planCustomer (customer: CustomerId, need: number, lenders: readonly HolderId[], plan: Map<HolderId, LenderPlan>): void {
    const unlent = this.unlentShare(customer)
    const held = lenders.map(l => this.db.borrowedFrom(l, customer, this.ctx.now))
    let missing = need - unlent - held.reduce((a, b) => a + b, 0)
    let surplus = Math.max(0, -missing)
    const portion = Math.max(Math.ceil(missing / lenders.length), Math.min(missing, this.permitsPerRequest()))
    for (let index = 0; index < lenders.length; index++) {
      const lender = lenders[index]
      if (lender === undefined) continue
      const borrowed = held[index] ?? 0
      const returned = Math.min(borrowed, surplus)
      surplus -= returned
      const extra = Math.max(0, Math.min(portion, missing, this.requestableFrom(lender, customer) - borrowed))
      missing -= extra
      addDemand(plan, lender, { customer, hold: borrowed - returned, want: borrowed - returned + extra })
    }
  }

  /** Most permits that a lender can grant: its own share, or none while it is known to be exhausted. */
  private requestableFrom (lender: HolderId, customer: CustomerId): number {
    if (this.ctx.now < (this.exhaustedUntil.get(`${lender} ${customer}`) ?? 0)) return 0
    const holders = this.fleet?.roster.entries.map(e => e.holder) ?? []
    return shareOf(this.limitOf(customer), customer, holders, lender)
  }

  private limitOf (customer: CustomerId): number {
    return this.fleet?.contracts.find(r => r.contract.customer === customer)?.contract.limits.running ?? 0
  }

  private permitsPerRequest (): number {
    return Math.ceil(PERMITS_PER_REQUEST_AT_FULL_WEIGHT * this.ctx.cfg.routing.messageWeight)
  }

  /** Marks a lender that granted fewer permits than wanted, so that for one renewal period more are requested only from others. */
  noteExhausted (lender: HolderId, wishes: readonly PermitDemand[], grants: readonly PermitCount[]): void {
    const until = ms(this.ctx.now + this.ctx.cfg.limits.loanRenewMs)
    for (const demand of wishes) {
      const granted = grants.find(g => g.customer === demand.customer)?.count ?? 0
      if (granted < demand.want) this.exhaustedUntil.set(`${lender} ${demand.customer}`, until)
    }
  }
}

function addDemand (plan: Map<HolderId, LenderPlan>, lender: HolderId, demand: PermitDemand): void {
  if (demand.want === 0) return
  const entry = plan.get(lender) ?? { wishes: [], wantsMore: false }
  entry.wishes.push(demand)
  entry.wantsMore ||= demand.want > demand.hold
  plan.set(lender, entry)
}
