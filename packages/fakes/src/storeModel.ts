/**
 * Models the published behaviour of the platform's key-value service: compare-and-swap on a key's revision, leases and a limit
 * on the size of a value. It has no clock and no sockets, so in-memory tests and the HTTP stand-in can share it.
 */

/** Largest value that the service accepts. */
export const VALUE_BYTES_MAX = 1_048_576

/** The value of a key with its revision, which counts the writes of the key. */
export interface StoredValue {
  readonly revision: number
  readonly value: string
}

/** How a write ended. */
export type WriteResult =
  | { readonly type: 'written', readonly revision: number }
  | { readonly type: 'conflict', readonly revision: number }
  | { readonly type: 'tooLarge' }
  | { readonly type: 'noLease' }

interface Lease {
  readonly ttlMs: number
  expiresAt: number
  readonly keys: Set<string>
}

/** The model of the service. */
export class StoreModel {
  private readonly values = new Map<string, StoredValue>()
  private readonly leases = new Map<string, Lease>()
  private leaseCounter = 0
  /** Called with each key that changes. */
  onChange: (key: string) => void = () => {}

  /** @returns the value of a key; undefined when the key does not exist, which counts as revision 0 in `write` */
  get (key: string): StoredValue | undefined {
    return this.values.get(key)
  }

  /**
   * Writes a key if its revision is the expected one.
   * @param key - the key
   * @param value - the new value
   * @param expectedRevision - 0 for a key that must not exist
   * @param lease - lease with whose expiry the key is removed
   */
  write (key: string, value: string, expectedRevision: number, lease?: string): WriteResult {
    if (Buffer.byteLength(value) > VALUE_BYTES_MAX) return { type: 'tooLarge' }
    const revision = this.values.get(key)?.revision ?? 0
    if (revision !== expectedRevision) return { type: 'conflict', revision }
    if (lease !== undefined && !this.leases.has(lease)) return { type: 'noLease' }
    if (lease !== undefined) this.leases.get(lease)?.keys.add(key)
    this.values.set(key, { revision: revision + 1, value })
    this.onChange(key)
    return { type: 'written', revision: revision + 1 }
  }

  /** @returns the id of a new lease, which expires after `ttlMs` without renewal */
  grant (ttlMs: number, now: number): string {
    const id = `lease-${++this.leaseCounter}`
    this.leases.set(id, { ttlMs, expiresAt: now + ttlMs, keys: new Set() })
    return id
  }

  /** @returns false when the lease has expired or does not exist */
  renew (lease: string, now: number): boolean {
    const found = this.leases.get(lease)
    if (found === undefined || now >= found.expiresAt) return false
    found.expiresAt = now + found.ttlMs
    return true
  }

  /** Removes expired leases and the keys attached to them. */
  expire (now: number): void {
    for (const [id, lease] of this.leases) {
      if (now < lease.expiresAt) continue
      this.leases.delete(id)
      for (const key of lease.keys) {
        this.values.delete(key)
        this.onChange(key)
      }
    }
  }
}
