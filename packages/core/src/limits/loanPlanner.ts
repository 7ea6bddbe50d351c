/**
 * Plans what to borrow: how many permits this instance needs, and whom to ask for them.
 */
import type { CustomerId, Fleet, HolderId, Ms, PermitCount, PermitWish } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { Context } from '../instance/context.js'
import type { LimitsDb } from './limitsDb.js'
import { shareOf } from './shares.js'
import type { QueuedTasks } from './types.js'

/** Permits asked of one lender at least, when messages weigh all; fewer lenders mean fewer messages. */
const PERMITS_PER_REQUEST_MAX = 64
/** Renewals after which half of a peak in demand is forgotten. */
const PEAK_HALF_LIFE_RENEWALS = 4

/** What is asked of one lender. */
export interface LenderPlan {
  readonly wishes: PermitWish[]
  wantsMore: boolean
}

/** Highest recent demand. */
interface Peak {
  readonly need: number
  readonly at: Ms
}

/** Permits of the own share that are not out on loan. */
export type OwnPermits = (customer: CustomerId) => number

/** Decides whom to ask for how many permits. */
export class LoanPlanner {
  private readonly exhaustedUntil = new Map<string, Ms>()
  private readonly peaks = new Map<CustomerId, Peak>()
  private fleet: Fleet | undefined

  constructor (private readonly ctx: Context, private readonly db: LimitsDb, private readonly own: OwnPermits, private readonly queued: QueuedTasks) {}

  /**
   * Plans a round of requests.
   * @param fleet - limits and roster in force
   * @param lenders - lives that may be asked
   * @returns what to ask of each lender; lenders that nothing is asked of are left out
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

  /** Demand of the last moments: permits are kept a little longer than needed, so that bursts need no new loans. */
  private smoothedNeed (customer: CustomerId): number {
    const { now, cfg } = this.ctx
    const need = this.db.runningOf(customer) + this.queued(customer)
    const limit = this.limitOf(customer)
    const peak = this.peaks.get(customer)
    const faded = peak === undefined ? 0 : Math.floor(peak.need * Math.pow(0.5, (now - peak.at) / (PEAK_HALF_LIFE_RENEWALS * cfg.limits.loanRenewMs)))
    const smoothed = Math.min(limit, Math.max(need, faded))
    if (need >= faded) this.peaks.set(customer, { need, at: now })
    return smoothed
  }

  /** Asks few lenders for large parts rather than all for small ones; gives back what is no longer needed. */
  private planCustomer (customer: CustomerId, need: number, lenders: readonly HolderId[], plan: Map<HolderId, LenderPlan>): void {
    const own = this.own(customer)
    const held = lenders.map(l => this.db.activeLoan(l, customer, this.ctx.now))
    let missing = need - own - held.reduce((a, b) => a + b, 0)
    let surplus = Math.max(0, -missing)
    const part = Math.max(Math.ceil(missing / lenders.length), Math.min(missing, this.permitsPerRequest()))
    for (let at = 0; at < lenders.length; at++) {
      const lender = lenders[at]
      if (lender === undefined) continue
      const have = held[at] ?? 0
      const give = Math.min(have, surplus)
      surplus -= give
      const extra = Math.max(0, Math.min(part, missing, this.askable(lender, customer) - have))
      missing -= extra
      addWish(plan, lender, { customer, hold: have - give, want: have - give + extra })
    }
  }

  /** A lender can give no more than its own share, and nothing while it is known to have given all. */
  private askable (lender: HolderId, customer: CustomerId): number {
    if (this.ctx.now < (this.exhaustedUntil.get(`${lender} ${customer}`) ?? 0)) return 0
    const holders = this.fleet?.roster.entries.map(e => e.holder) ?? []
    return shareOf(this.limitOf(customer), customer, holders, lender)
  }

  private limitOf (customer: CustomerId): number {
    return this.fleet?.contracts.find(r => r.contract.customer === customer)?.contract.limits.running ?? 0
  }

  private permitsPerRequest (): number {
    return Math.ceil(PERMITS_PER_REQUEST_MAX * this.ctx.cfg.routing.messageWeight)
  }

  /** A lender that gave less than was wanted is not asked for more in the same moment; others are. */
  noteExhausted (lender: HolderId, wishes: readonly PermitWish[], grants: readonly PermitCount[]): void {
    const until = ms(this.ctx.now + this.ctx.cfg.limits.loanRenewMs)
    for (const wish of wishes) {
      const granted = grants.find(g => g.customer === wish.customer)?.count ?? 0
      if (granted < wish.want) this.exhaustedUntil.set(`${lender} ${wish.customer}`, until)
    }
  }
}

function addWish (plan: Map<HolderId, LenderPlan>, lender: HolderId, wish: PermitWish): void {
  if (wish.want === 0) return
  const entry = plan.get(lender) ?? { wishes: [], wantsMore: false }
  entry.wishes.push(wish)
  entry.wantsMore ||= wish.want > wish.hold
  plan.set(lender, entry)
}
