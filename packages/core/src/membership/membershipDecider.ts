/**
 * Membership by gossip: with each heartbeat an instance sends what it knows to a few others, never to all of them.
 * Two decisions depend on it: which members may be given work, and whether a majority of its failure domain still
 * acknowledges this instance, so that it may go on using its share of the limits.
 */
import type { FailureDomain, InstanceId, MemberEntry, MemberStatus, Ms, PeerMessage, RosterEntry } from '@cranberryyard/protocol'
import type { Context } from '../instance/context.js'
import { sendPeer } from '../instance/context.js'
import { sample } from '../utils/random.js'
import { MembershipDb } from './membershipDb.js'
import type { Member } from './types.js'

/** Number of peers in the own failure domain that each heartbeat goes to, if there are that many. */
const DOMAIN_FANOUT = 2
/** Largest number of entries about other domains in one message; keeps an instance within its bytes per second. */
const REMOTE_ENTRIES_MAX = 4
/** A member is forgotten when no heartbeat of it has arrived for this long. */
const FORGET_AFTER_MS = 120_000

/** The fields of this instance's own entry that other parts of it contribute. */
export interface OwnReport {
  readonly status: MemberStatus
  readonly versionInForce: number
  readonly versionKnown: number
  readonly claimsReadyEpoch: number
  readonly backlog: number
}

/** Decides which members are live, and sends this instance's heartbeats. */
export class MembershipDecider {
  readonly db = new MembershipDb()
  private heartbeat = 0
  private nextHeartbeatAt = 0
  /** Where the next message begins in the list of remote members. */
  private nextRemoteIndex = 0
  private announcedVersionInForce = 0
  /** Members whose version in force or status has changed since changes were last announced. */
  private readonly changedMembers = new Set<InstanceId>()
  private readonly suspected = new Set<InstanceId>()

  constructor (private readonly ctx: Context, private readonly report: () => OwnReport) {}

  /** Announces changes at once, and sends a heartbeat when one is due. */
  tick (): void {
    this.announceChanges()
    if (this.ctx.now < this.nextHeartbeatAt) return
    this.nextHeartbeatAt = this.ctx.now + this.ctx.cfg.membership.heartbeatMs
    this.sendHeartbeat()
    this.updateSuspicions()
  }

  /**
   * Sends a message to an instance by name. The message is dropped when the address is unknown.
   * @param to - the receiver
   * @param message - the message
   */
  send (to: InstanceId, message: PeerMessage): void {
    const address = this.db.addressOf(to)
    if (address !== undefined) sendPeer(this.ctx, to, address, message)
  }

  /** Sends a heartbeat to every known member at once, for changes that all must know within seconds. */
  broadcast (): void {
    this.nextOwnHeartbeat()
    for (const member of this.db.all()) this.gossipTo(member.instance)
  }

  /**
   * Handles a heartbeat message. The sender's echo of an own heartbeat counts as an acknowledgement only if the sender
   * follows no newer fleet version than this instance: in a newer one this instance may be off the roster.
   * @param from - the sender
   * @param entries - the entries that the sender knows
   * @param fleetVersion - the fleet version that the sender follows
   */
  receiveGossip (from: InstanceId, entries: readonly MemberEntry[], fleetVersion: number): void {
    const { self } = this.ctx
    const mayAcknowledge = fleetVersion <= this.report().versionKnown
    for (const entry of entries) {
      if (entry.instance !== self.instance) this.mergeEntry(entry)
      else if (mayAcknowledge && entry.incarnation === self.incarnation) this.db.acknowledge(from, entry.heartbeat)
    }
  }

  /**
   * Checks whether a member may be given work.
   * @param member - the member
   * @returns true when its last heartbeat is recent and the connection to it has not broken since
   */
  isLive (member: Member): boolean {
    if (member.linkDown) return false
    return this.ctx.now - member.lastHeartbeatAt < this.heartbeatTimeoutMs(member.failureDomain)
  }

  /** @returns live members that accept new work, without this instance, the earliest incarnation first */
  serving (): Member[] {
    return this.db.all().filter(m => m.status === 'serving' && this.isLive(m)).sort(compareByIncarnation)
  }

  /** @returns live members of the own domain of any status, without this instance, the earliest incarnation first */
  liveInDomain (): Member[] {
    return this.db.all().filter(m => m.failureDomain === this.ctx.self.failureDomain && this.isLive(m)).sort(compareByIncarnation)
  }

  /**
   * Computes how much longer this instance counts as acknowledged by a majority of its domain's roster. Without that
   * majority it must not use its share of the limits, because others may already have removed it from the roster.
   * @param roster - entries of the roster in force here
   * @returns milliseconds: 0 or less without a majority, Infinity when the domain has no other entry
   */
  acknowledgedFor (roster: readonly RosterEntry[]): number {
    const { self, cfg, now } = this.ctx
    const others = roster.filter(e => e.failureDomain === self.failureDomain && e.instance !== self.instance)
    const needed = Math.floor((others.length + 1) / 2)
    if (needed === 0) return Infinity
    const times = others.map(e => this.db.acknowledgedBy(e.instance) ?? -Infinity).sort((a, b) => b - a)
    return (times[needed - 1] ?? -Infinity) + cfg.limits.isolationMs - now
  }

  /**
   * Lists roster entries of the own domain whose instances have sent no heartbeat for so long that they are no longer
   * acknowledged and no longer use their shares.
   * @param roster - entries of the roster
   * @returns entries with the time of the last heartbeat; undefined when this incarnation has sent none
   */
  unresponsiveInDomain (roster: readonly RosterEntry[]): { entry: RosterEntry, lastHeartbeatAt: Ms | undefined }[] {
    const { self, cfg } = this.ctx
    const limit = cfg.limits.isolationMs + cfg.membership.heartbeatMs
    return roster
      .filter(e => e.failureDomain === self.failureDomain && e.holder !== self.holder)
      .map(entry => ({ entry, lastHeartbeatAt: this.lastHeartbeatOf(entry) }))
      .filter(({ lastHeartbeatAt }) => lastHeartbeatAt === undefined || this.ctx.now - lastHeartbeatAt >= limit)
  }

  private mergeEntry (entry: MemberEntry): void {
    const before = this.db.get(entry.instance)
    if (!this.db.merge(entry, this.ctx.now)) return
    if (before?.versionInForce !== entry.versionInForce || before.status !== entry.status) this.changedMembers.add(entry.instance)
  }

  /**
   * Announces a version that has come into force, or a changed status, without waiting for the next heartbeat. Each
   * instance informs its own domain about itself. The oldest instance of each domain relays the changes of its domain
   * to the oldest instances of the other domains, and changes that it receives from there to its own domain.
   */
  private announceChanges (): void {
    const ownChanged = this.report().versionInForce !== this.announcedVersionInForce
    if (!ownChanged && this.changedMembers.size === 0) return
    this.announcedVersionInForce = this.report().versionInForce
    const domain = this.liveInDomain()
    if (ownChanged) {
      this.nextOwnHeartbeat()
      this.sendToAll(domain, [this.ownEntry()])
    }
    if (domain.every(m => compareByIncarnation(this.ctx.self, m) < 0)) this.relayChanges(domain, ownChanged)
    this.changedMembers.clear()
  }

  private relayChanges (domain: readonly Member[], ownChanged: boolean): void {
    const changed = this.db.all().filter(m => this.changedMembers.has(m.instance))
    const isInOwnDomain = (m: Member): boolean => m.failureDomain === this.ctx.self.failureDomain
    const outbound = changed.filter(isInOwnDomain).map(toEntry)
    if (ownChanged) outbound.push(this.ownEntry())
    if (outbound.length > 0) this.sendToAll(this.oldestOfOtherDomains(), outbound)
    const inbound = changed.filter(m => !isInOwnDomain(m)).map(toEntry)
    if (inbound.length > 0) this.sendToAll(domain, inbound)
  }

  private oldestOfOtherDomains (): Member[] {
    const oldest = new Map<FailureDomain, Member>()
    for (const m of this.db.all().filter(o => this.isLive(o)).sort(compareByIncarnation)) {
      if (m.failureDomain !== this.ctx.self.failureDomain && !oldest.has(m.failureDomain)) oldest.set(m.failureDomain, m)
    }
    return [...oldest.values()]
  }

  private sendToAll (members: readonly Member[], entries: readonly MemberEntry[]): void {
    for (const member of members) this.send(member.instance, { type: 'gossip', entries, fleetVersion: this.report().versionKnown })
  }

  private lastHeartbeatOf (entry: RosterEntry): Ms | undefined {
    const member = this.db.get(entry.instance)
    return member?.incarnation === entry.incarnation ? member.lastHeartbeatAt : undefined
  }

  private heartbeatTimeoutMs (domain: FailureDomain): number {
    const { cfg, self } = this.ctx
    if (domain !== self.failureDomain) return cfg.membership.suspectMs
    return cfg.limits.isolationMs + 2 * cfg.membership.heartbeatMs
  }

  private sendHeartbeat (): void {
    this.nextOwnHeartbeat()
    const { self, cfg, random } = this.ctx
    const known = this.db.all()
    const domain = known.filter(m => m.failureDomain === self.failureDomain).map(m => m.instance)
    for (const peer of sample(random, domain, DOMAIN_FANOUT)) this.gossipTo(peer)
    if (this.heartbeat % cfg.membership.remoteHeartbeatEvery !== 0) return
    const remote = known.filter(m => m.failureDomain !== self.failureDomain).map(m => m.instance)
    for (const peer of sample(random, remote, 1)) this.gossipTo(peer)
    for (const peer of sample(random, this.db.instancesWithoutHeartbeat(), 2)) this.gossipTo(peer)
  }

  private nextOwnHeartbeat (): void {
    this.heartbeat++
    this.db.recordOwnHeartbeat(this.heartbeat, this.ctx.now)
  }

  private gossipTo (peer: InstanceId): void {
    const address = this.db.addressOf(peer)
    if (address === undefined || peer === this.ctx.self.instance) return
    const message = { type: 'gossip', entries: this.entries(), fleetVersion: this.report().versionKnown } as const
    sendPeer(this.ctx, peer, address, message)
  }

  private entries (): MemberEntry[] {
    const known = this.db.all()
    const domain = known.filter(m => m.failureDomain === this.ctx.self.failureDomain)
    return [this.ownEntry(), ...[...domain, ...this.remoteEntries(known)].map(toEntry)]
  }

  /** Members of other domains take turns, so that each one's entry is passed on at a steady rate. */
  private remoteEntries (known: readonly Member[]): Member[] {
    const remote = known.filter(m => m.failureDomain !== this.ctx.self.failureDomain && this.isLive(m))
    if (remote.length <= REMOTE_ENTRIES_MAX) return remote
    const picked = Array.from({ length: REMOTE_ENTRIES_MAX }, (_, i) => remote[(this.nextRemoteIndex + i) % remote.length])
    this.nextRemoteIndex = (this.nextRemoteIndex + REMOTE_ENTRIES_MAX) % remote.length
    return picked.filter(m => m !== undefined)
  }

  private ownEntry (): MemberEntry {
    const { self } = this.ctx
    return {
      instance: self.instance,
      incarnation: self.incarnation,
      failureDomain: self.failureDomain,
      address: self.address,
      heartbeat: this.heartbeat,
      ...this.report()
    }
  }

  private updateSuspicions (): void {
    for (const member of this.db.all()) {
      if (this.isLive(member)) this.noteRecovered(member)
      else this.noteSuspect(member)
    }
  }

  private noteSuspect (member: Member): void {
    if (this.ctx.now - member.lastHeartbeatAt > FORGET_AFTER_MS) {
      this.db.forget(member.instance)
      this.suspected.delete(member.instance)
      return
    }
    if (this.suspected.has(member.instance)) return
    this.suspected.add(member.instance)
    this.ctx.out.count('members.suspected')
    this.ctx.out.push({ type: 'log', event: 'member.suspected', fields: { member: member.instance } })
  }

  private noteRecovered (member: Member): void {
    if (!this.suspected.delete(member.instance)) return
    this.ctx.out.push({ type: 'log', event: 'member.recovered', fields: { member: member.instance } })
  }
}

/**
 * Orders members by incarnation, the earliest first, so that an instance that joins never displaces one with a role.
 */
export function compareByIncarnation (a: Pick<Member, 'incarnation' | 'instance'>, b: Pick<Member, 'incarnation' | 'instance'>): number {
  return a.incarnation - b.incarnation || (a.instance < b.instance ? -1 : 1)
}

function toEntry (member: Member): MemberEntry {
  const { instance, incarnation, failureDomain, address, heartbeat, status, versionInForce, versionKnown, claimsReadyEpoch, backlog } = member
  return { instance, incarnation, failureDomain, address, heartbeat, status, versionInForce, versionKnown, claimsReadyEpoch, backlog }
}
