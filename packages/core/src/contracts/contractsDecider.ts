/**
 * Keeps the agreed fleet value current and changes it. One instance of each domain waits on the store's watch
 * and tells the others; heartbeats carry the version, so that anyone who missed it asks. A value is adopted
 * only when its version is higher, so nothing in force is taken back. Writes are grouped: all changes that wait
 * go into one compare-and-swap.
 */
import type { ChangeId, CodedError, Fleet, InstanceId } from '@cranberryyard/protocol'
import { codedError, ms } from '@cranberryyard/protocol'
import type { Result } from 'true-myth'
import type { CasResult, ChangeRequest, ChangeResult } from '../instance/types.js'
import type { Context } from '../instance/context.js'
import { sendPeer } from '../instance/context.js'
import { byAge } from '../membership/membershipDecider.js'
import type { MembershipDecider } from '../membership/membershipDecider.js'
import { AUDIT_TAIL_KEPT, AUDIT_TAIL_MAX } from './auditChain.js'
import { ContractsDb } from './contractsDb.js'
import { findActor, findContract } from './changeRules.js'
import { applyMutation, findChange } from './mutations.js'
import type { FleetListener, Mutation, MutationWorld, PendingMutation } from './types.js'

/** Pause after a failed store call; keeps an outage from being answered with a storm. */
const STORE_RETRY_MS = 1000
/** Changes of operators are answered as not possible after this span. */
const CHANGE_GIVE_UP_MS = 6000
/** Roster changes are tried for as long as they are needed; the decider asks again. */
const ROSTER_GIVE_UP_MS = 10_000
/** Shortest pause between two writes of this instance, so that it stays within its calls a second. */
const WRITE_PAUSE_MS = 350
/** Pause between two requests for the fleet value to the same peers. */
const FLEET_REQUEST_PAUSE_MS = 200

type StoreState = 'idle' | 'reading' | 'writing'

/** Decides which fleet value is in force here and how it changes. */
export class ContractsDecider {
  readonly db = new ContractsDb()
  private readonly listeners: FleetListener[] = []
  private readonly pending: PendingMutation[] = []
  private store: StoreState = 'idle'
  private storeUsableAt = 0
  private lastWriteAt = -Infinity
  private watching = false
  private lastReadAt = -Infinity
  private requestAt = 0
  private attempt = 0
  private archiving = false
  private inFlight: Fleet | undefined
  private readSinceUnknown = true
  private readonly peerVersions = new Map<InstanceId, number>()
  /** True once the value was read from the store or confirmed by a majority of the own domain. */
  confirmed = false
  /** True while the last store call went through. */
  storeReachable = false

  constructor (private readonly ctx: Context, private readonly membership: MembershipDecider, private readonly world: () => MutationWorld) {}

  /** Registers who is told of a new value. */
  onAdopt (listener: FleetListener): void {
    this.listeners.push(listener)
  }

  /** @returns version of the value in force */
  get version (): number {
    return this.db.fleet.version
  }

  /** Reads, watches, writes and asks peers as is due. */
  tick (): void {
    if (this.ctx.now >= this.storeUsableAt) this.useStore()
    if (!this.confirmed) this.askPeers()
    this.expirePending()
    this.archiveIfLong()
  }

  /** Queues a change of the roster; the same change is not queued twice. */
  propose (mutation: Mutation): void {
    if (this.pending.some(p => sameRosterChange(p.mutation, mutation))) return
    this.enqueue(mutation, undefined, undefined, ROSTER_GIVE_UP_MS)
  }

  /**
   * Takes an operator's change.
   * @param callId - whom to answer
   * @param request - the change
   */
  change (callId: string, request: ChangeRequest): void {
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

  /** Notes that a peer knows a version; asks for it when it is newer. */
  hearVersion (from: InstanceId, version: number): void {
    if (version <= this.version) return
    this.request(from)
  }

  /** Answers a peer that asks for the value. */
  sendFleet (to: InstanceId): void {
    this.membership.tell(to, { type: 'fleet', fleet: this.db.fleet, storeRevision: this.db.storeRevision, confirmed: this.confirmed })
  }

  /** Takes a peer's value. */
  receiveFleet (from: InstanceId, fleet: Fleet, storeRevision: number, confirmed: boolean): void {
    if (confirmed) this.peerVersions.set(from, fleet.version)
    this.adopt(fleet, storeRevision)
    if (!this.confirmed) this.confirmByPeers()
  }

  /** Takes a value from the store. */
  storeValue (source: 'read' | 'watch', revision: number, fleet: Fleet): void {
    this.noteStoreAnswer(source)
    this.confirm()
    const news = fleet.version > this.version
    this.adopt(fleet, revision)
    this.db.storeRevision = Math.max(this.db.storeRevision, revision)
    this.settleAccepted()
    if (news) this.pushToDomain()
    this.useStore()
  }

  /** Takes a watch that ended without a change. */
  storeUnchanged (): void {
    this.noteStoreAnswer('watch')
    this.useStore()
  }

  private noteStoreAnswer (source: 'read' | 'watch'): void {
    this.storeReachable = true
    this.lastReadAt = this.ctx.now
    if (source === 'watch') this.watching = false
    else if (this.store === 'reading') this.store = 'idle'
  }

  /** Takes a failed read or watch. */
  storeFailed (operation: 'read' | 'watch'): void {
    if (operation === 'watch') this.watching = false
    if (operation === 'read' && this.store === 'reading') this.store = 'idle'
    this.noteStoreFailure()
  }

  /** Takes the end of a compare-and-swap. */
  casOutcome (attempt: number, result: CasResult): void {
    if (attempt !== this.attempt || this.store !== 'writing') return
    this.store = 'idle'
    switch (result.type) {
      case 'written':
        this.written(result.revision)
        return
      case 'conflict':
        this.ctx.out.count('store.conflicts')
        this.read()
        return
      case 'unavailable':
        this.noteStoreFailure()
        return
      case 'unknown':
        for (const p of this.pending) p.sentUnknown = true
        this.noteStoreFailure()
    }
  }

  /** Takes the end of archiving old audit entries. */
  archiveOutcome (through: number, ok: boolean): void {
    this.archiving = false
    if (ok) this.propose({ type: 'archived', through })
    else this.noteStoreFailure()
  }

  /** @returns true when this instance holds its domain's watch: it is the oldest live one there */
  isWatcher (): boolean {
    const { self } = this.ctx
    const older = this.membership.liveInDomain().filter(m => m.status !== 'leaving' && byAge(m, self) < 0)
    return older.length === 0
  }

  private written (revision: number): void {
    this.storeReachable = true
    const fleet = this.inFlight
    if (fleet === undefined) return
    this.inFlight = undefined
    this.adopt(fleet, revision)
    this.confirm()
    this.settleAccepted()
    this.pushToDomain()
    this.useStore()
  }

  private useStore (): void {
    if (this.store !== 'idle' || this.ctx.now < this.storeUsableAt) return
    if (!this.confirmed || this.mustReadBack() || this.ctx.now - this.lastReadAt > this.readPeriod()) {
      this.read()
      return
    }
    if (this.pending.length > 0 && this.ctx.now - this.lastWriteAt >= WRITE_PAUSE_MS) this.write()
    if (!this.watching && this.isWatcher()) this.watch()
  }

  /** An unconfirmed value is read every second; a non-watcher reads rarely; the watch serves the rest. */
  private readPeriod (): number {
    return this.watching ? Infinity : this.ctx.cfg.platform.pollPeriodMs
  }

  private mustReadBack (): boolean {
    return this.pending.some(p => p.sentUnknown) && !this.readSinceUnknown
  }

  private read (): void {
    this.store = 'reading'
    this.lastReadAt = this.ctx.now
    this.readSinceUnknown = true
    this.ctx.out.count('store.calls')
    this.ctx.out.push({ type: 'storeRead' })
  }

  private watch (): void {
    this.watching = true
    this.ctx.out.count('store.calls')
    this.ctx.out.push({ type: 'storeWatch', afterRevision: this.db.storeRevision })
  }

  private write (): void {
    const next = this.composeNext()
    if (next === undefined) return
    this.store = 'writing'
    this.attempt++
    this.lastWriteAt = this.ctx.now
    this.inFlight = next
    this.ctx.out.count('store.calls')
    this.ctx.out.push({ type: 'storeCas', attempt: this.attempt, expectedRevision: this.db.storeRevision, fleet: next })
  }

  /** Applies all that waits; what the rules reject is answered now, what changes nothing is settled now. */
  private composeNext (): Fleet | undefined {
    const { fleet } = this.db
    let next = fleet
    for (const p of [...this.pending]) {
      const applied: Result<Fleet, CodedError> = applyMutation(next, p.mutation, this.world())
      if (applied.isErr) this.settle(p, { type: 'rejected', error: this.truthful(p, applied.error) })
      else if (applied.value === next) this.settle(p, this.acceptance(p, next))
      else next = applied.value
    }
    return next === fleet ? undefined : { ...next, version: fleet.version + 1 }
  }

  /** A conflict after an unknown write may be with the write itself, if its entry was archived meanwhile. */
  private truthful (p: PendingMutation, error: CodedError): CodedError {
    if (!p.sentUnknown || error.name !== 'revisionConflict') return error
    return codedError('changeUnknown', 'the reply to the write was lost and the revision has moved on; read the history')
  }

  /** Settles what stands in the value already; the same id with another content is a replay, not accepted. */
  private settleAccepted (): void {
    const { fleet } = this.db
    for (const p of [...this.pending]) {
      if (p.changeId !== undefined && findChange(fleet, { changeId: p.changeId }) === undefined) continue
      const applied = applyMutation(fleet, p.mutation, this.world())
      if (applied.isErr) this.settle(p, { type: 'rejected', error: applied.error })
      else if (applied.value === fleet) this.settle(p, this.acceptance(p, fleet))
    }
  }

  private acceptance (p: PendingMutation, fleet: Fleet): ChangeResult {
    return { type: 'accepted', version: fleet.version, revision: revisionAfter(p.mutation, fleet) }
  }

  private settle (p: PendingMutation, result: ChangeResult): void {
    this.remove(p)
    if (p.callId !== undefined) this.ctx.out.push({ type: 'changeResult', callId: p.callId, result })
  }

  private remove (p: PendingMutation): void {
    const at = this.pending.indexOf(p)
    if (at >= 0) this.pending.splice(at, 1)
  }

  private enqueue (mutation: Mutation, callId: string | undefined, changeId: ChangeId | undefined, giveUpMs: number): void {
    this.pending.push({ mutation, callId, changeId, giveUpAt: ms(this.ctx.now + giveUpMs), sentUnknown: false })
  }

  private reject (callId: string, error: CodedError): void {
    this.ctx.out.push({ type: 'changeResult', callId, result: { type: 'rejected', error } })
  }

  private expirePending (): void {
    if (this.store === 'writing') return
    for (const p of [...this.pending]) {
      if (this.ctx.now < p.giveUpAt) continue
      const error = p.sentUnknown
        ? codedError('changeUnknown', 'the platform\'s store did not answer; the change may have been accepted')
        : codedError('storeUnavailable', 'the platform\'s store could not be reached; the change was not made')
      this.settle(p, { type: 'rejected', error })
    }
  }

  private archiveIfLong (): void {
    const { entries } = this.db.fleet.audit
    if (this.archiving || entries.length <= AUDIT_TAIL_MAX || !this.storeReachable || this.ctx.now < this.storeUsableAt || !this.isWatcher()) return
    const old = entries.slice(0, entries.length - AUDIT_TAIL_KEPT)
    const first = old[0]
    const last = old.at(-1)
    if (first === undefined || last === undefined) return
    this.archiving = true
    this.ctx.out.count('store.calls')
    this.ctx.out.push({ type: 'storeArchive', through: last.sequence, key: `audit.${first.sequence}`, value: JSON.stringify(old) })
  }

  private noteStoreFailure (): void {
    if (this.storeReachable) this.ctx.out.push({ type: 'log', event: 'store.unreachable', fields: {} })
    this.storeReachable = false
    this.readSinceUnknown = false
    this.storeUsableAt = this.ctx.now + STORE_RETRY_MS
  }

  private adopt (fleet: Fleet, storeRevision: number): void {
    const previous = this.db.fleet
    if (fleet.version <= previous.version) return
    this.db.adopt(fleet, storeRevision)
    this.ctx.out.push({ type: 'log', event: 'fleet.adopted', fields: { version: fleet.version, epoch: fleet.roster.epoch } })
    for (const listener of this.listeners) listener.fleetAdopted(fleet, previous)
  }

  private pushToDomain (): void {
    for (const m of this.membership.liveInDomain()) this.sendFleet(m.instance)
    const domains = new Set([this.ctx.self.failureDomain])
    for (const m of this.membership.serving()) {
      if (domains.has(m.failureDomain)) continue
      domains.add(m.failureDomain)
      this.announce(m.instance)
    }
  }

  /** A heartbeat-sized note; the peer asks for the value only when its own watch has not brought it. */
  private announce (to: InstanceId): void {
    this.membership.tell(to, { type: 'gossip', entries: [], fleetVersion: this.version })
  }

  private request (from: InstanceId): void {
    if (this.ctx.now < this.requestAt) return
    const address = this.membership.db.addressOf(from)
    if (address === undefined) return
    this.requestAt = this.ctx.now + FLEET_REQUEST_PAUSE_MS
    sendPeer(this.ctx, from, address, { type: 'fleetRequest' })
  }

  private askPeers (): void {
    if (this.ctx.now < this.requestAt) return
    for (const member of this.membership.db.all()) {
      this.requestAt = 0
      this.request(member.instance)
    }
    this.requestAt = this.ctx.now + STORE_RETRY_MS
  }

  /** Without the store, a majority of the own domain's roster must vouch that nothing newer is in force there. */
  private confirmByPeers (): void {
    const { self } = this.ctx
    const domain = this.db.fleet.roster.entries.filter(e => e.failureDomain === self.failureDomain)
    const vouched = domain.filter(e => this.peerVersions.has(e.instance))
    if (domain.length > 0 && vouched.length * 2 > domain.length) this.confirm()
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
