/**
 * The platform's key-value service reduced to its published behaviour: compare-and-swap on a key's revision,
 * leases and a value limit. Holds no clock and no sockets, so that in-memory tests and the HTTP stand-in share it.
 */

/** Largest value the service takes. */
export const VALUE_BYTES_MAX = 1_048_576

/** A key's content. */
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

/** Keys, revisions and leases. */
export class StoreModel {
  private readonly values = new Map<string, StoredValue>()
  private readonly leases = new Map<string, Lease>()
  private leaseCounter = 0
  /** Called with each key that changes. */
  onChange: (key: string) => void = () => {}

  /** @returns a key's value; revision 0 when it was never written */
  get (key: string): StoredValue | undefined {
    return this.values.get(key)
  }

  /**
   * Writes a key if its revision is the expected one.
   * @param key - the key
   * @param value - the new value
   * @param expectedRevision - 0 for a key that must not exist
   * @param lease - lease that the key is to end with
   * @returns how it ended
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

  /** @returns a new lease that ends after ttlMs without renewal */
  grant (ttlMs: number, now: number): string {
    const id = `lease-${++this.leaseCounter}`
    this.leases.set(id, { ttlMs, expiresAt: now + ttlMs, keys: new Set() })
    return id
  }

  /** @returns false when the lease has ended */
  renew (lease: string, now: number): boolean {
    const known = this.leases.get(lease)
    if (known === undefined || now >= known.expiresAt) return false
    known.expiresAt = now + known.ttlMs
    return true
  }

  /** Ends leases whose time has passed and removes their keys. */
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
