/**
 * Membership by sparse heartbeats. Each instance tells a few others what it knows; nobody talks to everybody.
 * Two questions are answered here: who may be given work, and whether this instance itself is still
 * acknowledged by a majority of its failure domain and so may go on using its share of the limits.
 */
import type { FailureDomain, InstanceId, MemberEntry, MemberStatus, Ms, PeerMessage, RosterEntry } from '@cranberryyard/protocol'
import type { Context } from '../instance/context.js'
import { sendPeer } from '../instance/context.js'
import { sample } from '../utils/random.js'
import { MembershipDb } from './membershipDb.js'
import type { Member } from './types.js'

/** Largest number of peers of the own domain that one heartbeat goes to. */
const DOMAIN_FANOUT = 2
/** Largest number of entries about other domains in one message; keeps a daemon within its bytes per second. */
const REMOTE_ENTRIES_MAX = 4
/** Silent members are forgotten after this span. */
const FORGET_MS = 120_000

/** What the rest of the instance contributes to its own entry. */
export interface OwnReport {
  readonly status: MemberStatus
  readonly versionInForce: number
  readonly versionKnown: number
  readonly claimsReadyEpoch: number
  readonly backlog: number
}

/** Decides who is a live member. */
export class MembershipDecider {
  readonly db = new MembershipDb()
  private heartbeat = 0
  private nextHeartbeatAt = 0
  private remoteTurn = 0
  private toldInForce = 0
  private readonly news = new Set<InstanceId>()
  private readonly suspected = new Set<InstanceId>()

  constructor (private readonly ctx: Context, private readonly report: () => OwnReport) {}

  /** Passes news on, and sends a heartbeat when one is due. */
  tick (): void {
    this.passNews()
    if (this.ctx.now < this.nextHeartbeatAt) return
    this.nextHeartbeatAt = this.ctx.now + this.ctx.cfg.membership.heartbeatMs
    this.beat()
    this.noteSuspects()
  }

  /**
   * Sends a message to an instance by name; without a known address it is not sent.
   * @param to - the receiver
   * @param message - what to say
   */
  tell (to: InstanceId, message: PeerMessage): void {
    const address = this.db.addressOf(to)
    if (address !== undefined) sendPeer(this.ctx, to, address, message)
  }

  /** Tells every known member at once, for changes that must be known within seconds. */
  broadcast (): void {
    this.nextOwnHeartbeat()
    for (const member of this.db.all()) this.gossipTo(member.instance)
  }

  /**
   * Takes in a heartbeat message. A peer that follows a newer fleet version acknowledges nothing:
   * it may have taken this instance off the roster.
   * @param from - the sender
   * @param entries - what it knows
   * @param fleetVersion - the version it follows
   */
  receive (from: InstanceId, entries: readonly MemberEntry[], fleetVersion: number): void {
    const { self } = this.ctx
    const mayAcknowledge = fleetVersion <= this.report().versionKnown
    for (const entry of entries) {
      if (entry.instance !== self.instance) this.take(entry)
      else if (mayAcknowledge && entry.incarnation === self.incarnation) this.db.acknowledge(from, entry.heartbeat)
    }
  }

  /**
   * Tells whether a member may be given work.
   * @param member - the member
   * @returns true when its heartbeat is recent and its connection has not broken since
   */
  isLive (member: Member): boolean {
    if (member.linkDown) return false
    return this.ctx.now - member.advancedAt < this.silenceLimit(member.failureDomain)
  }

  /** @returns live members that take new work, oldest life first; this instance is not among them */
  serving (): Member[] {
    return this.db.all().filter(m => m.status === 'serving' && this.isLive(m)).sort(byAge)
  }

  /** @returns live members of the own domain, whatever their status */
  liveInDomain (): Member[] {
    return this.db.all().filter(m => m.failureDomain === this.ctx.self.failureDomain && this.isLive(m)).sort(byAge)
  }

  /**
   * Tells for how long a majority of the own domain's roster has acknowledged this instance from now on. An instance
   * without it must not use its share: others may already have taken it off the roster.
   * @param roster - entries of the roster in force here
   * @returns milliseconds, not above 0 when there is no majority, Infinity when none is needed
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
   * Lists roster entries of the own domain that have been silent so long that they no longer use their shares.
   * @param roster - entries of the roster
   * @returns entries with the time their owner was last heard of
   */
  silentInDomain (roster: readonly RosterEntry[]): { entry: RosterEntry, heardAt: Ms | undefined }[] {
    const { self, cfg } = this.ctx
    const limit = cfg.limits.isolationMs + cfg.membership.heartbeatMs
    return roster
      .filter(e => e.failureDomain === self.failureDomain && e.holder !== self.holder)
      .map(entry => ({ entry, heardAt: this.heardAt(entry) }))
      .filter(({ heardAt }) => heardAt === undefined || this.ctx.now - heardAt >= limit)
  }

  private take (entry: MemberEntry): void {
    const before = this.db.get(entry.instance)
    if (!this.db.merge(entry, this.ctx.now)) return
    if (before?.versionInForce !== entry.versionInForce || before.status !== entry.status) this.news.add(entry.instance)
  }

  /**
   * A version that has come into force, or a status that has changed, does not wait for heartbeats: each instance
   * tells its domain of itself, the oldest of the domain tells the oldest of the others, and these their domains.
   */
  private passNews (): void {
    const ownNews = this.report().versionInForce !== this.toldInForce
    if (!ownNews && this.news.size === 0) return
    this.toldInForce = this.report().versionInForce
    const domain = this.liveInDomain()
    if (ownNews) {
      this.nextOwnHeartbeat()
      this.tellAll(domain, [this.ownEntry()])
    }
    if (domain.every(m => byAge(this.ctx.self, m) < 0)) this.relayNews(domain, ownNews)
    this.news.clear()
  }

  private relayNews (domain: readonly Member[], ownNews: boolean): void {
    const changed = this.db.all().filter(m => this.news.has(m.instance))
    const isOwn = (m: Member): boolean => m.failureDomain === this.ctx.self.failureDomain
    const outbound = changed.filter(isOwn).map(toEntry)
    if (ownNews) outbound.push(this.ownEntry())
    if (outbound.length > 0) this.tellAll(this.oldestOfOtherDomains(), outbound)
    const inbound = changed.filter(m => !isOwn(m)).map(toEntry)
    if (inbound.length > 0) this.tellAll(domain, inbound)
  }

  private oldestOfOtherDomains (): Member[] {
    const oldest = new Map<FailureDomain, Member>()
    for (const m of this.db.all().filter(o => this.isLive(o)).sort(byAge)) {
      if (m.failureDomain !== this.ctx.self.failureDomain && !oldest.has(m.failureDomain)) oldest.set(m.failureDomain, m)
    }
    return [...oldest.values()]
  }

  private tellAll (members: readonly Member[], entries: readonly MemberEntry[]): void {
    for (const member of members) this.tell(member.instance, { type: 'gossip', entries, fleetVersion: this.report().versionKnown })
  }

  private heardAt (entry: RosterEntry): Ms | undefined {
    const member = this.db.get(entry.instance)
    return member?.incarnation === entry.incarnation ? member.advancedAt : undefined
  }

  private silenceLimit (domain: FailureDomain): number {
    const { cfg, self } = this.ctx
    if (domain !== self.failureDomain) return cfg.membership.suspectMs
    return cfg.limits.isolationMs + 2 * cfg.membership.heartbeatMs
  }

  private beat (): void {
    this.nextOwnHeartbeat()
    const { self, cfg, random } = this.ctx
    const heard = this.db.all()
    const domain = heard.filter(m => m.failureDomain === self.failureDomain).map(m => m.instance)
    for (const peer of sample(random, domain, DOMAIN_FANOUT)) this.gossipTo(peer)
    if (this.heartbeat % cfg.membership.remoteHeartbeatEvery !== 0) return
    const remote = heard.filter(m => m.failureDomain !== self.failureDomain).map(m => m.instance)
    for (const peer of sample(random, remote, 1)) this.gossipTo(peer)
    for (const peer of sample(random, this.db.unheard(), 2)) this.gossipTo(peer)
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

  /** Remote members take turns, so that news of each passes on at a steady pace. */
  private remoteEntries (known: readonly Member[]): Member[] {
    const remote = known.filter(m => m.failureDomain !== this.ctx.self.failureDomain && this.isLive(m))
    if (remote.length <= REMOTE_ENTRIES_MAX) return remote
    const picked = Array.from({ length: REMOTE_ENTRIES_MAX }, (_, i) => remote[(this.remoteTurn + i) % remote.length])
    this.remoteTurn = (this.remoteTurn + REMOTE_ENTRIES_MAX) % remote.length
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

  private noteSuspects (): void {
    for (const member of this.db.all()) {
      if (this.isLive(member)) this.noteRecovered(member)
      else this.noteSuspect(member)
    }
  }

  private noteSuspect (member: Member): void {
    if (this.ctx.now - member.advancedAt > FORGET_MS) {
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

/** Orders members by the start of their life, so that a newcomer never displaces one that has a role. */
export function byAge (a: Pick<Member, 'incarnation' | 'instance'>, b: Pick<Member, 'incarnation' | 'instance'>): number {
  return a.incarnation - b.incarnation || (a.instance < b.instance ? -1 : 1)
}

function toEntry (member: Member): MemberEntry {
  const { instance, incarnation, failureDomain, address, heartbeat, status, versionInForce, versionKnown, claimsReadyEpoch, backlog } = member
  return { instance, incarnation, failureDomain, address, heartbeat, status, versionInForce, versionKnown, claimsReadyEpoch, backlog }
}
