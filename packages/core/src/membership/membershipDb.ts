/**
 * What this instance knows of the others: their last heartbeats, and which of its own heartbeats they have seen.
 */
import type { InstanceId, MemberEntry, Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { Member } from './types.js'

/** How many of its own heartbeats an instance remembers the times of. */
const OWN_HEARTBEATS_KEPT = 64

/** Members by name, and acknowledgements of this instance's own heartbeats. */
export class MembershipDb {
  private readonly members = new Map<InstanceId, Member>()
  private readonly addresses = new Map<InstanceId, string>()
  private readonly fixedAddresses = new Map<InstanceId, string>()
  private readonly acknowledgedAt = new Map<InstanceId, Ms>()
  private readonly ownHeartbeats = new Map<number, Ms>()

  /**
   * Takes over an entry if it is newer than what is known.
   * @param entry - what a peer says
   * @param now - time of arrival
   * @returns true when the entry was news
   */
  merge (entry: MemberEntry, now: Ms): boolean {
    const known = this.members.get(entry.instance)
    if (known !== undefined && !isNewer(entry, known)) return false
    this.members.set(entry.instance, { ...entry, advancedAt: now, linkDown: false })
    this.addresses.set(entry.instance, entry.address)
    return true
  }

  /** Records when an own heartbeat was sent. */
  recordOwnHeartbeat (heartbeat: number, now: Ms): void {
    this.ownHeartbeats.set(heartbeat, now)
    this.ownHeartbeats.delete(heartbeat - OWN_HEARTBEATS_KEPT)
  }

  /** Records that a peer has seen an own heartbeat; counts from when that heartbeat was sent. */
  acknowledge (peer: InstanceId, heartbeat: number): void {
    const sentAt = this.ownHeartbeats.get(heartbeat)
    if (sentAt === undefined) return
    this.acknowledgedAt.set(peer, ms(Math.max(sentAt, this.acknowledgedAt.get(peer) ?? 0)))
  }

  /** @returns send time of the newest own heartbeat that the peer has seen */
  acknowledgedBy (peer: InstanceId): Ms | undefined {
    return this.acknowledgedAt.get(peer)
  }

  /** Marks a member's connection as broken. */
  markLinkDown (instance: InstanceId): void {
    const known = this.members.get(instance)
    if (known !== undefined) this.members.set(instance, { ...known, linkDown: true })
  }

  /** Learns an address from the platform's list; gossip from the member itself wins. */
  learnAddress (instance: InstanceId, address: string): void {
    if (!this.members.has(instance)) this.addresses.set(instance, address)
  }

  /** Takes an address from the settings; it holds as seen from here and wins over all others. */
  fixAddress (instance: InstanceId, address: string): void {
    this.fixedAddresses.set(instance, address)
    this.learnAddress(instance, address)
  }

  /** @returns the peer address of an instance, if known */
  addressOf (instance: InstanceId): string | undefined {
    return this.fixedAddresses.get(instance) ?? this.addresses.get(instance)
  }

  /** @returns instances whose address is known but which have not been heard of */
  unheard (): InstanceId[] {
    return [...this.addresses.keys()].filter(id => !this.members.has(id))
  }

  /** @returns a member by name */
  get (instance: InstanceId): Member | undefined {
    return this.members.get(instance)
  }

  /** @returns all members ever heard of and not forgotten */
  all (): Member[] {
    return [...this.members.values()]
  }

  /** Forgets a member that has been silent for long. */
  forget (instance: InstanceId): void {
    this.members.delete(instance)
    this.addresses.delete(instance)
    const fixed = this.fixedAddresses.get(instance)
    if (fixed !== undefined) this.addresses.set(instance, fixed)
    this.acknowledgedAt.delete(instance)
  }
}

function isNewer (entry: MemberEntry, known: Member): boolean {
  if (entry.incarnation !== known.incarnation) return entry.incarnation > known.incarnation
  return entry.heartbeat > known.heartbeat
}
