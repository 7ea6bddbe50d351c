/**
 * Keeps the roster: an instance joins once it serves, leaves when it has drained, and takes entries of its own
 * failure domain off once they can no longer use their share. Only members of the same domain do that, so a
 * domain that is cut off as a whole keeps its shares.
 */
import type { Fleet, MemberStatus, Ms, RosterEntry } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { ContractsDecider } from '../contracts/contractsDecider.js'
import type { Context } from '../instance/context.js'
import type { LimitsDecider } from '../limits/limitsDecider.js'
import type { MembershipDecider } from '../membership/membershipDecider.js'
import { byAge } from '../membership/membershipDecider.js'

/** Time that news of a heartbeat may take between two instances of a domain. */
const PROPAGATION_MS = 300
/** An entry never heard of is judged only after this instance has listened for so long. */
const LISTEN_MS = 4000
/** Claim voters follow the roster once it has been unchanged for this span, so that a wave of joins is one step. */
const VOTERS_QUIET_MS = 800

/** Decides when roster entries are added and removed. */
export class RosterDecider {
  private listeningSince: Ms | undefined
  private changedAt: Ms | undefined

  constructor (
    private readonly ctx: Context,
    private readonly membership: MembershipDecider,
    private readonly contracts: ContractsDecider,
    private readonly limits: LimitsDecider,
    private readonly claimsReadyEpoch: () => number
  ) {}

  /** Notes when entries last changed. */
  fleetAdopted (fleet: Fleet, previous: Fleet): void {
    if (fleet.roster.epoch !== previous.roster.epoch) this.changedAt = this.ctx.now
  }

  /** Proposes the changes that are due. */
  tick (status: MemberStatus): void {
    this.listeningSince ??= this.ctx.now
    switch (status) {
      case 'starting': return
      case 'serving':
        this.join()
        this.removeSilent()
        this.assignVoters()
        return
      case 'leaving': this.leave()
    }
  }

  /** @returns true when this life is not on the roster, or the store cannot be reached to take it off */
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
    this.contracts.propose({ type: 'join', entry, predecessorWaitMs: this.fullWait() })
  }

  private leave (): void {
    if (!this.isListed() || this.limits.hasLent() || this.limits.report().some(r => r.running > 0)) return
    const { holder, failureDomain } = this.ctx.self
    this.contracts.propose({ type: 'remove', holder, failureDomain, waitMs: ms(0) })
  }

  private removeSilent (): void {
    if (!this.limits.isAcknowledged || !this.isOldestOfDomain()) return
    for (const { entry, heardAt } of this.membership.silentInDomain(this.entries())) {
      if (heardAt === undefined && !this.hasListened()) continue
      const elapsed = heardAt === undefined ? 0 : this.ctx.now - heardAt
      const waitMs = ms(Math.max(0, this.fullWait() - elapsed))
      this.contracts.propose({ type: 'remove', holder: entry.holder, failureDomain: entry.failureDomain, waitMs })
    }
  }

  /** The oldest live entry moves the claim voters on to the roster, one settled step after the other. */
  private assignVoters (): void {
    const { claimVoters, roster } = this.contracts.db.fleet
    const quiet = this.ctx.now - (this.changedAt ?? this.ctx.now) >= VOTERS_QUIET_MS
    if (!quiet || sameHolders(claimVoters.entries, roster.entries) || !this.isOldestOfRoster()) return
    if (claimVoters.entries.every(e => this.isSettled(e, claimVoters.epoch))) {
      this.contracts.propose({ type: 'assignVoters', afterEpoch: claimVoters.epoch })
    }
  }

  /** A voter that is not live cannot vote; its buckets have other holders. */
  private isSettled (entry: RosterEntry, epoch: number): boolean {
    if (entry.holder === this.ctx.self.holder) return this.claimsReadyEpoch() === epoch
    const member = this.membership.db.get(entry.instance)
    if (member === undefined || member.incarnation !== entry.incarnation || !this.membership.isLive(member)) return true
    return member.claimsReadyEpoch === epoch
  }

  private isOldestOfRoster (): boolean {
    return this.membership.serving().every(m => byAge(this.ctx.self, m) < 0)
  }

  private hasListened (): boolean {
    return this.ctx.now - (this.listeningSince ?? this.ctx.now) >= LISTEN_MS
  }

  private isOldestOfDomain (): boolean {
    return this.membership.liveInDomain().every(m => m.status !== 'serving' || byAge(this.ctx.self, m) < 0)
  }

  /** From the last heartbeat: the acknowledgement ends, then the last task started under the share. */
  private fullWait (): Ms {
    const { isolationMs, startWindowMs, clockSkewMs, taskLeaseMs } = this.ctx.cfg.limits
    return ms(PROPAGATION_MS + isolationMs + startWindowMs + clockSkewMs + taskLeaseMs)
  }
}

function sameHolders (a: readonly RosterEntry[], b: readonly RosterEntry[]): boolean {
  return a.length === b.length && a.every((e, i) => e.holder === b[i]?.holder)
}
