/**
 * Proposes changes of the roster, which lists the instances that have a share of the limits. An instance joins once it
 * serves and removes itself when it has drained. The oldest serving instance of a failure domain also removes the
 * domain's unresponsive entries, once these can no longer use their share. Only members of the same domain do that, so
 * a domain that is cut off from all others keeps its shares.
 */
import type { Fleet, MemberStatus, Ms, RosterEntry } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { ContractsDecider } from '../contracts/contractsDecider.js'
import type { Context } from '../instance/context.js'
import type { LimitsDecider } from '../limits/limitsDecider.js'
import type { MembershipDecider } from '../membership/membershipDecider.js'
import { compareByIncarnation } from '../membership/membershipDecider.js'

/** Time that a heartbeat may take to reach another instance of the domain. */
const PROPAGATION_MS = 300
/** An entry without any heartbeat counts as unresponsive only after this instance has observed its domain for this long. */
const OBSERVATION_MS = 4000
/**
 * The claim voters are aligned with the roster once it has been unchanged for this long, so that many joins at once
 * take one step.
 */
const ROSTER_STABLE_MS = 800

/** Decides when roster entries are added and removed, and when the claim voters change. */
export class RosterDecider {
  private observingSince: Ms | undefined
  private rosterChangedAt: Ms | undefined

  constructor (
    private readonly ctx: Context,
    private readonly membership: MembershipDecider,
    private readonly contracts: ContractsDecider,
    private readonly limits: LimitsDecider,
    private readonly claimsReadyEpoch: () => number
  ) {}

  /** Records when the entries of the roster last changed. */
  fleetAdopted (fleet: Fleet, previous: Fleet): void {
    if (fleet.roster.epoch !== previous.roster.epoch) this.rosterChangedAt = this.ctx.now
  }

  /** Proposes the changes that are due in the instance's status. */
  tick (status: MemberStatus): void {
    this.observingSince ??= this.ctx.now
    switch (status) {
      case 'starting': return
      case 'serving':
        this.join()
        this.removeUnresponsive()
        this.assignVoters()
        return
      case 'leaving': this.leave()
    }
  }

  /**
   * @returns true when this incarnation is not on the roster, or when it cannot be removed because the store is
   * unreachable
   */
  hasLeft (): boolean {
    return !this.isListed() || !this.contracts.storeReachable
  }

  private isListed (): boolean {
    return this.entries().some(e => e.holder === this.ctx.self.holder)
  }

  private entries (): readonly RosterEntry[] {
    return this.contracts.db.fleet.roster.entries
  }

  private join (): void {
    if (this.isListed()) return
    const { holder, instance, incarnation, failureDomain } = this.ctx.self
    const entry = { holder, instance, incarnation, failureDomain, joinedVersion: 0 }
    this.contracts.propose({ type: 'join', entry, predecessorWaitMs: this.removalWaitMs() })
  }

  private leave (): void {
    if (!this.isListed() || this.limits.hasLent() || this.limits.report().some(r => r.running > 0)) return
    const { holder, failureDomain } = this.ctx.self
    this.contracts.propose({ type: 'remove', holder, failureDomain, waitMs: ms(0) })
  }

  private removeUnresponsive (): void {
    if (!this.limits.isAcknowledged || !this.isOldestOfDomain()) return
    for (const { entry, lastHeartbeatAt } of this.membership.unresponsiveInDomain(this.entries())) {
      if (lastHeartbeatAt === undefined && !this.hasObservedLongEnough()) continue
      const elapsed = lastHeartbeatAt === undefined ? 0 : this.ctx.now - lastHeartbeatAt
      const waitMs = ms(Math.max(0, this.removalWaitMs() - elapsed))
      this.contracts.propose({ type: 'remove', holder: entry.holder, failureDomain: entry.failureDomain, waitMs })
    }
  }

  /**
   * The oldest serving instance aligns the claim voters with the roster, one step at a time: each must be ready
   * before the next.
   */
  private assignVoters (): void {
    const { claimVoters, roster } = this.contracts.db.fleet
    const stable = this.ctx.now - (this.rosterChangedAt ?? this.ctx.now) >= ROSTER_STABLE_MS
    if (!stable || sameHolders(claimVoters.entries, roster.entries) || !this.isOldestServing()) return
    if (claimVoters.entries.every(e => this.isReadyForEpoch(e, claimVoters.epoch))) {
      this.contracts.propose({ type: 'assignVoters', afterEpoch: claimVoters.epoch })
    }
  }

  /**
   * Checks whether a voter has the claims it needs for an epoch. A voter that is not live is not waited for: it cannot
   * vote, and its buckets have other holders.
   */
  private isReadyForEpoch (entry: RosterEntry, epoch: number): boolean {
    if (entry.holder === this.ctx.self.holder) return this.claimsReadyEpoch() === epoch
    const member = this.membership.db.get(entry.instance)
    if (member === undefined || member.incarnation !== entry.incarnation || !this.membership.isLive(member)) return true
    return member.claimsReadyEpoch === epoch
  }

  private isOldestServing (): boolean {
    return this.membership.serving().every(m => compareByIncarnation(this.ctx.self, m) < 0)
  }

  private hasObservedLongEnough (): boolean {
    return this.ctx.now - (this.observingSince ?? this.ctx.now) >= OBSERVATION_MS
  }

  private isOldestOfDomain (): boolean {
    return this.membership.liveInDomain().every(m => m.status !== 'serving' || compareByIncarnation(this.ctx.self, m) < 0)
  }

  /**
   * How long after its last heartbeat an instance may still run tasks under its share: until its acknowledgement has
   * ended and then the lease of the last task that it started has run out.
   */
  private removalWaitMs (): Ms {
    const { isolationMs, startWindowMs, clockSkewMs, taskLeaseMs } = this.ctx.cfg.limits
    return ms(PROPAGATION_MS + isolationMs + startWindowMs + clockSkewMs + taskLeaseMs)
  }
}

function sameHolders (a: readonly RosterEntry[], b: readonly RosterEntry[]): boolean {
  return a.length === b.length && a.every((e, i) => e.holder === b[i]?.holder)
}
