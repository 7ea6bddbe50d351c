/**
 * State of the session decision: peers and the shards they own.
 */
import type { FailureDomain, InstanceId, Ms, OtherShard, OwnedShard, ShardLoad } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { KnownShard, PeerSession } from './types.js'

const NO_LOAD: ShardLoad = { waitMs: ms(0), busyShare: 0 }

/** Peers and shards. */
export class SessionsDb {
  readonly peers = new Map<InstanceId, PeerSession>()
  readonly shards = new Map<FailureDomain, KnownShard>()

  /** @returns the peer's session, made on first use; a new address replaces the old one */
  peer (instance: InstanceId, address: string): PeerSession {
    const known = this.peers.get(instance)
    if (known !== undefined) {
      if (address !== '') known.address = address
      return known
    }
    const session: PeerSession = {
      instance,
      address,
      incarnation: 0,
      heardAt: undefined,
      vouchedAt: undefined,
      pingedSince: undefined,
      lastPingAt: undefined,
      loadToldAt: undefined,
      relinked: false,
      pingsUs: false,
      lost: false
    }
    this.peers.set(instance, session)
    return session
  }

  /** Notes who owns a shard; a lower token than the known one is ignored. @returns true when the owner is new */
  learnOwner (shard: Pick<KnownShard, 'failureDomain' | 'owner' | 'token'>): boolean {
    const known = this.shards.get(shard.failureDomain)
    if (known !== undefined && known.token >= shard.token) return false
    this.shards.set(shard.failureDomain, { ...shard, disowned: false, load: NO_LOAD })
    return known?.owner !== shard.owner || known.token !== shard.token
  }

  /** Takes what an instance says of the shards it owns; one that it no longer lists has no owner. */
  learnOwned (owner: InstanceId, owned: readonly OwnedShard[]): void {
    for (const { failureDomain, token, load } of owned) {
      this.learnOwner({ failureDomain, owner, token })
      const shard = this.shards.get(failureDomain)
      if (shard?.owner === owner) Object.assign(shard, { load, disowned: false })
    }
    for (const shard of this.shards.values()) {
      if (shard.owner === owner && !owned.some(o => o.failureDomain === shard.failureDomain)) shard.disowned = true
    }
  }

  /** Takes what the owner of this instance's own domain says of other owners. What an owner says itself goes before it. */
  learnOthers (others: readonly OtherShard[], now: Ms): void {
    for (const { failureDomain, owner, address, token, load } of others) {
      this.peer(owner, address).vouchedAt = now
      this.learnOwner({ failureDomain, owner, token })
      const shard = this.shards.get(failureDomain)
      if (shard?.owner === owner) shard.load = load
    }
  }
}
