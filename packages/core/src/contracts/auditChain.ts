/**
 * The audit trail's hash chain: each entry's hash covers its content and the hash before it,
 * so that a removed, edited or reordered entry shows.
 */
import { createHash } from 'node:crypto'
import type { AuditEntry, AuditTail } from '@cranberryyard/protocol'

/** Entries that may stand in the fleet value before older ones are archived. */
export const AUDIT_TAIL_MAX = 64
/** Entries that stay in the fleet value after archiving. */
export const AUDIT_TAIL_KEPT = 32

/** An entry before it is chained. */
export type UnchainedEntry = Omit<AuditEntry, 'sequence' | 'previousHash' | 'hash'>

/**
 * Computes an entry's hash.
 * @param entry - the entry without its hash
 * @returns SHA-256 in hex
 */
export function auditHash (entry: Omit<AuditEntry, 'hash'>): string {
  const { sequence, changeId, contentHash, by, at, instance, reason, subject, before, after, previousHash } = entry
  const text = JSON.stringify([sequence, changeId, contentHash, by, at, instance, reason, subject, before, after, previousHash])
  return createHash('sha256').update(text).digest('hex')
}

/**
 * Hashes a change's content.
 * @param change - the change as it was sent
 * @returns SHA-256 in hex
 */
export const contentHash = (change: unknown): string => createHash('sha256').update(JSON.stringify(change)).digest('hex')

/**
 * Appends an entry.
 * @param tail - the trail so far
 * @param entry - what happened
 * @returns the longer trail
 */
export function appendAudit (tail: AuditTail, entry: UnchainedEntry): AuditTail {
  const last = tail.entries.at(-1)
  const sequence = (last?.sequence ?? tail.archivedThrough) + 1
  const previousHash = last?.hash ?? tail.archivedHash
  const unhashed = { ...entry, sequence, previousHash }
  return { ...tail, entries: [...tail.entries, { ...unhashed, hash: auditHash(unhashed) }] }
}

/**
 * Drops entries that have been archived.
 * @param tail - the trail
 * @param through - last archived sequence
 * @returns the shorter trail
 */
export function trimAudit (tail: AuditTail, through: number): AuditTail {
  const dropped = tail.entries.filter(e => e.sequence <= through)
  const last = dropped.at(-1)
  if (last === undefined) return tail
  return { archivedThrough: last.sequence, archivedHash: last.hash, entries: tail.entries.filter(e => e.sequence > through) }
}

/**
 * Checks a run of entries.
 * @param entries - consecutive entries, oldest first
 * @param rootHash - hash that the first entry must refer to
 * @param rootSequence - sequence before the first entry
 * @returns sequence of the first entry that does not fit, or undefined when all fit
 */
export function findBrokenEntry (entries: readonly AuditEntry[], rootHash: string, rootSequence: number): number | undefined {
  let previous = rootHash
  let sequence = rootSequence
  for (const entry of entries) {
    sequence++
    const fits = entry.sequence === sequence && entry.previousHash === previous && auditHash(entry) === entry.hash
    if (!fits) return sequence
    previous = entry.hash
  }
  return undefined
}
