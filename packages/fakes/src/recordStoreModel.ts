/**
 * The part of the platform's store that instances agree through: one revision counter, keys written under a condition.
 * Holds no clock and no sockets.
 */

/** A key's content. */
export interface RecordItem {
  readonly key: string
  readonly value: string
  readonly revision: number
}

/** Keys and revisions. */
export class RecordStoreModel {
  private readonly items = new Map<string, RecordItem>()
  revision = 100

  /**
   * Writes a key.
   * @param expectedRevision - its present revision, 0 for none; undefined for any
   * @returns the new revision, or undefined on a conflict
   */
  write (key: string, value: string, expectedRevision: number | undefined): number | undefined {
    const present = this.items.get(key)?.revision ?? 0
    if (expectedRevision !== undefined && expectedRevision !== present) return undefined
    this.revision++
    this.items.set(key, { key, value, revision: this.revision })
    return this.revision
  }

  /** @returns items whose key begins with the prefix, in order */
  range (prefix: string): RecordItem[] {
    return [...this.items.values()].filter(item => item.key.startsWith(prefix)).sort((a, b) => a.key < b.key ? -1 : 1)
  }
}
