/**
 * Decides whom a newly started instance asks for the owners of shards and for the desired state. Both normally come from
 * the store. While the store is down or does not serve this instance, any peer that has them will do: the seeds that the
 * settings name are asked in turn, and peers that send a message themselves. This ends as soon as the instance
 * can serve callers, and begins again when it loses the last owner that it knows; otherwise the usual pings keep it informed.
 */
import type { InstanceId, Ms, ShardMessage } from '@cranberryyard/protocol'
import type { ShardContext } from '../shard/types.js'

/** Time that the store has to answer a new instance before it asks a peer. */
const STORE_ANSWER_MS = 150
/** Pause before the next peer is asked; an answer takes a round trip and the peer's next tick. */
const ASK_INTERVAL_MS = 150
/** Minimum time between two requests for the desired state, of which a copy may take long on a slow link. */
const STATE_REQUEST_INTERVAL_MS = 600

/** What this instance still lacks before it can serve callers. */
export interface Missing {
  readonly desiredState: boolean
  readonly owner: boolean
  /** The records of members and shards, and of its own domain the latest one, without which it cannot become an owner. */
  readonly records: boolean
  /** The endpoints of its own failure domain, without which it can own the domain but starts nothing there. */
  readonly endpoints: boolean
}

/** Returns what is missing at present. */
export type GetMissing = () => Missing

/** The versions of the desired state that this instance has. */
export interface DesiredVersions {
  /** Returns the version in force, or 0 before the first. */
  readonly inForce: () => number
  /** Returns the versions to which a peer may send a difference. */
  readonly kept: () => readonly number[]
}

/** Asks peers for what a new instance lacks. */
export class IntroductionDecider {
  /** Addresses to ask, in turn. */
  private readonly addresses: string[]
  private nextIndex = 0
  private startedAt: Ms | undefined
  private askedAt = -Infinity
  private stateRequestedAt = -Infinity
  /** Addresses of which the desired state has been requested since all of them were. */
  private readonly requestedOf = new Set<string>()

  /** @param seeds - addresses of instances that may be stale, down or this instance's own */
  constructor (private readonly ctx: ShardContext, seeds: readonly string[], private readonly missing: GetMissing, private readonly desired: DesiredVersions) {
    this.addresses = seeds.filter(address => address !== ctx.self.address)
  }

  /** Returns whether this instance still depends on what peers tell it. */
  isPending (): boolean {
    const { desiredState, owner, records, endpoints } = this.missing()
    return desiredState || owner || records || endpoints
  }

  /** A peer sent its address, so it can be asked as well; it is up, so it comes next. */
  peerHeard (address: string): void {
    if (address === '' || address === this.ctx.self.address || this.addresses.includes(address) || !this.isPending()) return
    this.addresses.splice(this.nextIndex, 0, address)
  }

  /** Asks the next peer when the last one has had time to answer. */
  tick (): void {
    const { now, self } = this.ctx
    this.startedAt ??= now
    if (now - this.startedAt < STORE_ANSWER_MS) return
    if (this.addresses.length === 0 || now - this.askedAt < ASK_INTERVAL_MS || !this.isPending()) return
    const address = this.addresses[this.nextIndex] as string
    this.nextIndex = (this.nextIndex + 1) % this.addresses.length
    this.askedAt = now
    this.send(address, { type: 'ping', incarnation: self.incarnation, address: self.address, desiredVersion: this.desired.inForce() })
    const { desiredState, records, endpoints } = this.missing()
    if ((!desiredState && !records && !endpoints) || now - this.stateRequestedAt < STATE_REQUEST_INTERVAL_MS || this.requestedOf.has(address)) return
    this.stateRequestedAt = now
    this.requestedOf.add(address)
    if (this.requestedOf.size >= this.addresses.length) this.requestedOf.clear()
    this.send(address, { type: 'desiredRequest', introduce: records || endpoints, known: this.desired.kept() })
  }

  private send (address: string, message: ShardMessage): void {
    this.ctx.out.push({ type: 'send', to: seedName(address), address, message })
  }
}

/** Returns the name under which an instance is addressed whose own name is not known yet. */
function seedName (address: string): InstanceId {
  return `seed ${address}` as InstanceId
}
