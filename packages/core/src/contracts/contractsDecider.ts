/**
 * Keeps this instance's copy of the agreed fleet value current and writes changes to it. One instance of each
 * failure domain watches the store and forwards new values to the others; heartbeats carry the version, so that an
 * instance that missed a value requests it. A value is adopted only when its version is higher, so a value in force
 * is never rolled back. Writes are batched: all pending changes go into one compare-and-swap.
 */
import type { ChangeId, CodedError, Fleet, InstanceId } from '@cranberryyard/protocol'
import { codedError, ms } from '@cranberryyard/protocol'
import type { Result } from 'true-myth'
import type { CasResult, ChangeRequest, ChangeResult } from '../instance/types.js'
import type { Context } from '../instance/context.js'
import { sendPeer } from '../instance/context.js'
import { compareByIncarnation } from '../membership/membershipDecider.js'
import type { MembershipDecider } from '../membership/membershipDecider.js'
import { AUDIT_TAIL_KEPT, AUDIT_TAIL_MAX } from './auditChain.js'
import { ContractsDb } from './contractsDb.js'
import { findActor, findContract } from './changeRules.js'
import { applyMutation, findChange } from './mutations.js'
import type { FleetListener, Mutation, MutationContext, PendingMutation } from './types.js'

/** Pause after a failed store call, so that an outage does not cause a storm of retries. */
const STORE_RETRY_MS = 1000
/** Time after which an operator's change that is not settled is answered with an error. */
const CHANGE_GIVE_UP_MS = 6000
/** Time after which a pending roster change is dropped. `RosterDecider` proposes it again while it is needed. */
const ROSTER_GIVE_UP_MS = 10_000
/** Shortest interval between writes of this instance, which keeps it within its limit of store calls per second. */
const WRITE_PAUSE_MS = 350
/** Shortest interval between requests for the fleet value to other instances. */
const FLEET_REQUEST_PAUSE_MS = 200

type StoreState = 'idle' | 'reading' | 'writing'

/** Decides which fleet value this instance adopts, and applies changes to the stored value. */
export class ContractsDecider {
  readonly db = new ContractsDb()
  private readonly listeners: FleetListener[] = []
  private readonly pending: PendingMutation[] = []
  private storeState: StoreState = 'idle'
  private storeUsableAt = 0
  private lastWriteAt = -Infinity
  private isWatchOpen = false
  private lastReadAt = -Infinity
  private nextRequestAt = 0
  private writeAttempt = 0
  private isArchiving = false
  private writeInFlight: Fleet | undefined
  private readSinceFailure = true
  private readonly confirmedVersions = new Map<InstanceId, number>()
  /** True once the value was read from the store or confirmed by a majority of the own failure domain. */
  confirmed = false
  /** True while the last store call succeeded. */
  storeReachable = false

  constructor (private readonly ctx: Context, private readonly membership: MembershipDecider, private readonly mutationContext: () => MutationContext) {}

  /** Registers a listener that is called with each newly adopted value. */
  addFleetListener (listener: FleetListener): void {
    this.listeners.push(listener)
  }

  /** Version of the adopted value. */
  get version (): number {
    return this.db.fleet.version
  }

  /** Makes the store calls and peer requests that are due, expires pending changes and archives audit entries. */
  tick (): void {
    if (this.ctx.now >= this.storeUsableAt) this.useStore()
    if (!this.confirmed) this.requestFromPeers()
    this.expirePending()
    this.archiveIfLong()
  }

  /** Queues a mutation that no operator waits for, such as a roster change, unless the same one is already pending. */
  propose (mutation: Mutation): void {
    if (this.pending.some(p => sameRosterChange(p.mutation, mutation))) return
    this.enqueue(mutation, undefined, undefined, ROSTER_GIVE_UP_MS)
  }

  /**
   * Queues an operator's change, or rejects it when the key is unknown.
   * @param callId - the call that receives the result
   * @param request - the change, with the operator's key
   */
  receiveChange (callId: string, request: ChangeRequest): void {
    const actor = findActor(request.keyHash, this.ctx.cfg.operators.teamKeys, this.db.fleet)
    if (actor === undefined) {
      this.reject(callId, codedError('unauthorized', 'unknown key'))
      return
    }
    const { wall, self } = this.ctx
    const mutation = { type: 'change', request, actor, at: wall, instance: self.instance } as const
    this.enqueue(mutation, callId, request.changeId, CHANGE_GIVE_UP_MS)
    this.useStore()
  }

  /** Handles the fleet version in a peer's heartbeat: requests the value when the version is newer. */
  receiveVersion (from: InstanceId, version: number): void {
    if (version <= this.version) return
    this.requestFleet(from)
  }

  /** Answers a peer's request for the fleet value. */
  sendFleet (to: InstanceId): void {
    this.membership.send(to, { type: 'fleet', fleet: this.db.fleet, storeRevision: this.db.storeRevision, confirmed: this.confirmed })
  }

  /** Handles a peer's fleet value. */
  receiveFleet (from: InstanceId, fleet: Fleet, storeRevision: number, confirmed: boolean): void {
    if (confirmed) this.confirmedVersions.set(from, fleet.version)
    this.adopt(fleet, storeRevision)
    if (!this.confirmed) this.confirmByPeers()
  }

  /** Handles a value that the store returned to a read or a watch. */
  receiveStoreValue (source: 'read' | 'watch', revision: number, fleet: Fleet): void {
    this.noteStoreAnswer(source)
    this.confirm()
    const isNewer = fleet.version > this.version
    this.adopt(fleet, revision)
    this.db.storeRevision = Math.max(this.db.storeRevision, revision)
    this.settleAccepted()
    if (isNewer) this.publishFleet()
    this.useStore()
  }

  /** Handles a watch that ended without a change. */
  receiveStoreUnchanged (): void {
    this.noteStoreAnswer('watch')
    this.useStore()
  }

  private noteStoreAnswer (source: 'read' | 'watch'): void {
    this.storeReachable = true
    this.lastReadAt = this.ctx.now
    if (source === 'watch') this.isWatchOpen = false
    else if (this.storeState === 'reading') this.storeState = 'idle'
  }

  /** Handles a failed read or watch. */
  receiveStoreFailure (operation: 'read' | 'watch'): void {
    if (operation === 'watch') this.isWatchOpen = false
    if (operation === 'read' && this.storeState === 'reading') this.storeState = 'idle'
    this.noteStoreFailure()
  }

  /** Handles the result of a compare-and-swap. After an unknown result, the value is read back before the next write. */
  casOutcome (attempt: number, result: CasResult): void {
    if (attempt !== this.writeAttempt || this.storeState !== 'writing') return
    this.storeState = 'idle'
    switch (result.type) {
      case 'written':
        this.completeWrite(result.revision)
        return
      case 'conflict':
        this.ctx.out.count('store.conflicts')
        this.read()
        return
      case 'unavailable':
        this.noteStoreFailure()
        return
      case 'unknown':
        for (const p of this.pending) p.writeOutcomeUnknown = true
        this.noteStoreFailure()
    }
  }

  /** Handles the result of archiving audit entries: once archived, they are trimmed from the fleet value. */
  archiveOutcome (through: number, ok: boolean): void {
    this.isArchiving = false
    if (ok) this.propose({ type: 'archived', through })
    else this.noteStoreFailure()
  }

  /** @returns true when this instance watches the store for its failure domain, as the oldest live instance there that is not leaving */
  isWatcher (): boolean {
    const { self } = this.ctx
    const older = this.membership.liveInDomain().filter(m => m.status !== 'leaving' && compareByIncarnation(m, self) < 0)
    return older.length === 0
  }

  private completeWrite (revision: number): void {
    this.storeReachable = true
    const fleet = this.writeInFlight
    if (fleet === undefined) return
    this.writeInFlight = undefined
    this.adopt(fleet, revision)
    this.confirm()
    this.settleAccepted()
    this.publishFleet()
    this.useStore()
  }

  private useStore (): void {
    if (this.storeState !== 'idle' || this.ctx.now < this.storeUsableAt) return
    if (!this.confirmed || this.mustReadBack() || this.ctx.now - this.lastReadAt > this.readPeriodMs()) {
      this.read()
      return
    }
    if (this.pending.length > 0 && this.ctx.now - this.lastWriteAt >= WRITE_PAUSE_MS) this.write()
    if (!this.isWatchOpen && this.isWatcher()) this.watch()
  }

  /**
   * Interval between reads of a confirmed value: none are needed while this instance's watch is open, and other
   * instances poll rarely. An unconfirmed value is read without this interval, every `STORE_RETRY_MS` while reads fail.
   */
  private readPeriodMs (): number {
    return this.isWatchOpen ? Infinity : this.ctx.cfg.platform.pollPeriodMs
  }

  private mustReadBack (): boolean {
    return this.pending.some(p => p.writeOutcomeUnknown) && !this.readSinceFailure
  }

  private read (): void {
    this.storeState = 'reading'
    this.lastReadAt = this.ctx.now
    this.readSinceFailure = true
    this.ctx.out.count('store.calls')
    this.ctx.out.push({ type: 'storeRead' })
  }

  private watch (): void {
    this.isWatchOpen = true
    this.ctx.out.count('store.calls')
    this.ctx.out.push({ type: 'storeWatch', afterRevision: this.db.storeRevision })
  }

  private write (): void {
    const next = this.composeNext()
    if (next === undefined) return
    this.storeState = 'writing'
    this.writeAttempt++
    this.lastWriteAt = this.ctx.now
    this.writeInFlight = next
    this.ctx.out.count('store.calls')
    this.ctx.out.push({ type: 'storeCas', attempt: this.writeAttempt, expectedRevision: this.db.storeRevision, fleet: next })
  }

  /** Applies all pending changes. Those that the rules reject and those that change nothing are settled at once. */
  private composeNext (): Fleet | undefined {
    const { fleet } = this.db
    let next = fleet
    for (const p of [...this.pending]) {
      const applied: Result<Fleet, CodedError> = applyMutation(next, p.mutation, this.mutationContext())
      if (applied.isErr) this.settle(p, { type: 'rejected', error: this.errorAfterUnknownWrite(p, applied.error) })
      else if (applied.value === next) this.settle(p, this.acceptance(p, next))
      else next = applied.value
    }
    return next === fleet ? undefined : { ...next, version: fleet.version + 1 }
  }

  /**
   * Replaces a revision conflict after a write with unknown outcome. The write itself may have caused the conflict,
   * and its audit entry may have been archived meanwhile, so whether it was accepted is not known.
   */
  private errorAfterUnknownWrite (p: PendingMutation, error: CodedError): CodedError {
    if (!p.writeOutcomeUnknown || error.name !== 'revisionConflict') return error
    return codedError('changeUnknown', 'the reply to the write was lost and the contract has a newer revision; check the history for this change')
  }

  /** Settles pending changes that the value already contains. A change that reuses an id for other content is rejected. */
  private settleAccepted (): void {
    const { fleet } = this.db
    for (const p of [...this.pending]) {
      if (p.changeId !== undefined && findChange(fleet, { changeId: p.changeId }) === undefined) continue
      const applied = applyMutation(fleet, p.mutation, this.mutationContext())
      if (applied.isErr) this.settle(p, { type: 'rejected', error: applied.error })
      else if (applied.value === fleet) this.settle(p, this.acceptance(p, fleet))
    }
  }

  private acceptance (p: PendingMutation, fleet: Fleet): ChangeResult {
    return { type: 'accepted', version: fleet.version, revision: revisionAfter(p.mutation, fleet) }
  }

  private settle (p: PendingMutation, result: ChangeResult): void {
    this.removePending(p)
    if (p.callId !== undefined) this.ctx.out.push({ type: 'changeResult', callId: p.callId, result })
  }

  private removePending (p: PendingMutation): void {
    const at = this.pending.indexOf(p)
    if (at >= 0) this.pending.splice(at, 1)
  }

  private enqueue (mutation: Mutation, callId: string | undefined, changeId: ChangeId | undefined, giveUpMs: number): void {
    this.pending.push({ mutation, callId, changeId, giveUpAt: ms(this.ctx.now + giveUpMs), writeOutcomeUnknown: false })
  }

  private reject (callId: string, error: CodedError): void {
    this.ctx.out.push({ type: 'changeResult', callId, result: { type: 'rejected', error } })
  }

  private expirePending (): void {
    if (this.storeState === 'writing') return
    for (const p of [...this.pending]) {
      if (this.ctx.now < p.giveUpAt) continue
      const error = p.writeOutcomeUnknown
        ? codedError('changeUnknown', 'the platform\'s store did not answer; whether the change was accepted is unknown')
        : codedError('storeUnavailable', 'the platform\'s store could not be reached; the change was not made')
      this.settle(p, { type: 'rejected', error })
    }
  }

  private archiveIfLong (): void {
    const { entries } = this.db.fleet.audit
    if (this.isArchiving || entries.length <= AUDIT_TAIL_MAX || !this.storeReachable || this.ctx.now < this.storeUsableAt || !this.isWatcher()) return
    const archived = entries.slice(0, entries.length - AUDIT_TAIL_KEPT)
    const first = archived[0]
    const last = archived.at(-1)
    if (first === undefined || last === undefined) return
    this.isArchiving = true
    this.ctx.out.count('store.calls')
    this.ctx.out.push({ type: 'storeArchive', through: last.sequence, key: `audit.${first.sequence}`, value: JSON.stringify(archived) })
  }

  private noteStoreFailure (): void {
    if (this.storeReachable) this.ctx.out.push({ type: 'log', event: 'store.unreachable', fields: {} })
    this.storeReachable = false
    this.readSinceFailure = false
    this.storeUsableAt = this.ctx.now + STORE_RETRY_MS
  }

  private adopt (fleet: Fleet, storeRevision: number): void {
    const previous = this.db.fleet
    if (fleet.version <= previous.version) return
    this.db.adopt(fleet, storeRevision)
    this.ctx.out.push({ type: 'log', event: 'fleet.adopted', fields: { version: fleet.version, epoch: fleet.roster.epoch } })
    for (const listener of this.listeners) listener.fleetAdopted(fleet, previous)
  }

  /** Sends the value to the own failure domain, and its version to the oldest serving instance of each other domain. */
  private publishFleet (): void {
    for (const m of this.membership.liveInDomain()) this.sendFleet(m.instance)
    const domains = new Set([this.ctx.self.failureDomain])
    for (const m of this.membership.serving()) {
      if (domains.has(m.failureDomain)) continue
      domains.add(m.failureDomain)
      this.announceVersion(m.instance)
    }
  }

  /** Sends only the version, in a message as small as a heartbeat. The peer requests the value if its own watch has not delivered it. */
  private announceVersion (to: InstanceId): void {
    this.membership.send(to, { type: 'gossip', entries: [], fleetVersion: this.version })
  }

  private requestFleet (from: InstanceId): void {
    if (this.ctx.now < this.nextRequestAt) return
    const address = this.membership.db.addressOf(from)
    if (address === undefined) return
    this.nextRequestAt = this.ctx.now + FLEET_REQUEST_PAUSE_MS
    sendPeer(this.ctx, from, address, { type: 'fleetRequest' })
  }

  private requestFromPeers (): void {
    if (this.ctx.now < this.nextRequestAt) return
    for (const member of this.membership.db.all()) {
      this.nextRequestAt = 0
      this.requestFleet(member.instance)
    }
    this.nextRequestAt = this.ctx.now + STORE_RETRY_MS
  }

  /**
   * Confirms the value without the store: a majority of the own failure domain's roster must have sent a confirmed
   * value, which shows that no newer one is in force there.
   */
  private confirmByPeers (): void {
    const { self } = this.ctx
    const domain = this.db.fleet.roster.entries.filter(e => e.failureDomain === self.failureDomain)
    const confirming = domain.filter(e => this.confirmedVersions.has(e.instance))
    if (domain.length > 0 && confirming.length * 2 > domain.length) this.confirm()
  }

  private confirm (): void {
    if (this.confirmed) return
    this.confirmed = true
    this.ctx.out.push({ type: 'log', event: 'fleet.confirmed', fields: { version: this.version } })
  }
}

function sameRosterChange (a: Mutation, b: Mutation): boolean {
  switch (a.type) {
    case 'join': return b.type === 'join' && a.entry.holder === b.entry.holder
    case 'remove': return b.type === 'remove' && a.holder === b.holder
    case 'assignVoters': return b.type === 'assignVoters' && a.afterEpoch === b.afterEpoch
    case 'archived': return b.type === 'archived' && a.through === b.through
    case 'change': return false
  }
}

function revisionAfter (mutation: Mutation, fleet: Fleet): number {
  if (mutation.type !== 'change' || mutation.request.change.type !== 'contract') return fleet.version
  return findContract(fleet, mutation.request.change.contract.customer)?.revision ?? 0
}
