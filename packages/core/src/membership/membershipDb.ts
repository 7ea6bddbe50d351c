/**
 * What this instance knows of the others: their addresses, their last heartbeats, and which of this instance's own
 * heartbeats they have seen.
 */
import type { InstanceId, MemberEntry, Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { Member } from './types.js'

/** Number of own heartbeats whose send time is kept; acknowledgements of older ones are ignored. */
const OWN_HEARTBEATS_KEPT = 64

/** Members and their addresses by name, and acknowledgements of this instance's own heartbeats. */
export class MembershipDb {
  private readonly members = new Map<InstanceId, Member>()
  private readonly addresses = new Map<InstanceId, string>()
  private readonly configuredAddresses = new Map<InstanceId, string>()
  private readonly acknowledgedAt = new Map<InstanceId, Ms>()
  private readonly ownHeartbeats = new Map<number, Ms>()

  /**
   * Stores an entry if it has a later incarnation or a newer heartbeat than the known one.
   * @param entry - an entry that a peer sent
   * @param now - time of arrival
   * @returns true when the entry was stored
   */
  merge (entry: MemberEntry, now: Ms): boolean {
    const known = this.members.get(entry.instance)
    if (known !== undefined && !isNewer(entry, known)) return false
    this.members.set(entry.instance, { ...entry, lastHeartbeatAt: now, linkDown: false })
    this.addresses.set(entry.instance, entry.address)
    return true
  }

  /** Records the send time of an own heartbeat. */
  recordOwnHeartbeat (heartbeat: number, now: Ms): void {
    this.ownHeartbeats.set(heartbeat, now)
    this.ownHeartbeats.delete(heartbeat - OWN_HEARTBEATS_KEPT)
  }

  /**
   * Records that a peer has seen an own heartbeat. The acknowledgement counts from the time the heartbeat was sent, not
   * from the time its echo arrives.
   */
  acknowledge (peer: InstanceId, heartbeat: number): void {
    const sentAt = this.ownHeartbeats.get(heartbeat)
    if (sentAt === undefined) return
    this.acknowledgedAt.set(peer, ms(Math.max(sentAt, this.acknowledgedAt.get(peer) ?? 0)))
  }

  /** @returns send time of the newest own heartbeat that the peer has seen */
  acknowledgedBy (peer: InstanceId): Ms | undefined {
    return this.acknowledgedAt.get(peer)
  }

  markLinkDown (instance: InstanceId): void {
    const known = this.members.get(instance)
    if (known !== undefined) this.members.set(instance, { ...known, linkDown: true })
  }

  /** Records an address from the platform's list, unless the member has already sent its own by gossip. */
  learnAddress (instance: InstanceId, address: string): void {
    if (!this.members.has(instance)) this.addresses.set(instance, address)
  }

  /**
   * Records an address from the settings. It overrides all other addresses of the instance, because it is the one under
   * which this instance can reach it.
   */
  setConfiguredAddress (instance: InstanceId, address: string): void {
    this.configuredAddresses.set(instance, address)
    this.learnAddress(instance, address)
  }

  /** @returns the peer address of an instance, from the settings if they contain it; undefined when unknown */
  addressOf (instance: InstanceId): string | undefined {
    return this.configuredAddresses.get(instance) ?? this.addresses.get(instance)
  }

  /** @returns instances of which the address is known, but no heartbeat */
  instancesWithoutHeartbeat (): InstanceId[] {
    return [...this.addresses.keys()].filter(id => !this.members.has(id))
  }

  get (instance: InstanceId): Member | undefined {
    return this.members.get(instance)
  }

  /** @returns all members of which a heartbeat has arrived and that were not forgotten since, live or not */
  all (): Member[] {
    return [...this.members.values()]
  }

  /** Removes a member. Its address from the settings is kept, so that it can be contacted again. */
  forget (instance: InstanceId): void {
    this.members.delete(instance)
    this.addresses.delete(instance)
    const configured = this.configuredAddresses.get(instance)
    if (configured !== undefined) this.addresses.set(instance, configured)
    this.acknowledgedAt.delete(instance)
  }
}

function isNewer (entry: MemberEntry, known: Member): boolean {
  if (entry.incarnation !== known.incarnation) return entry.incarnation > known.incarnation
  return entry.heartbeat > known.heartbeat
}
