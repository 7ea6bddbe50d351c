/**
 * Models the part of the platform's store through which instances agree on shard owners: keys with conditional writes, and one
 * revision counter for the whole store. It has no clock and no sockets, so in-memory and real-process runs can share it.
 */

/** A key with its value and the revision of its latest write. */
export interface RecordItem {
  readonly key: string
  readonly value: string
  readonly revision: number
}

/** The model of the store. */
export class RecordStoreModel {
  private readonly items = new Map<string, RecordItem>()
  revision = 100

  /**
   * Writes a key if its revision is the expected one.
   * @param expectedRevision - 0 for a key that must not exist; undefined to write unconditionally
   * @returns the new revision, or undefined on a conflict
   */
  write (key: string, value: string, expectedRevision: number | undefined): number | undefined {
    const currentRevision = this.items.get(key)?.revision ?? 0
    if (expectedRevision !== undefined && expectedRevision !== currentRevision) return undefined
    this.revision++
    this.items.set(key, { key, value, revision: this.revision })
    return this.revision
  }

  /** Removes a key, as the lapse of its lease does. */
  remove (key: string): void {
    this.items.delete(key)
    this.revision++
  }

  /** @returns items whose key begins with the prefix, sorted by key */
  range (prefix: string): RecordItem[] {
    return [...this.items.values()].filter(item => item.key.startsWith(prefix)).sort((a, b) => a.key < b.key ? -1 : 1)
  }
}
