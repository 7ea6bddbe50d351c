/**
 * Hash chain of the audit trail. Each entry's hash covers its content and the previous entry's hash, so that a
 * check detects removed, edited or reordered entries. The functions are pure: archived entries can be checked with
 * the same code as those in the fleet value.
 */
import { createHash } from 'node:crypto'
import type { AuditEntry, AuditTail } from '@cranberryyard/protocol'

/** Number of audit entries in the fleet value above which older entries are archived. */
export const AUDIT_TAIL_MAX = 64
/** Number of audit entries that stay in the fleet value after archiving. */
export const AUDIT_TAIL_KEPT = 32

/** An entry before it is appended to the chain. */
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
 * Appends an entry to the trail.
 * @param tail - the present trail
 * @param entry - the entry, without its position and hashes
 * @returns the trail with the entry
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
 * @param tail - the present trail
 * @param through - sequence of the last archived entry
 * @returns the remaining trail
 */
export function trimAudit (tail: AuditTail, through: number): AuditTail {
  const dropped = tail.entries.filter(e => e.sequence <= through)
  const last = dropped.at(-1)
  if (last === undefined) return tail
  return { archivedThrough: last.sequence, archivedHash: last.hash, entries: tail.entries.filter(e => e.sequence > through) }
}

/**
 * Finds the first entry that breaks the chain.
 * @param entries - consecutive entries, oldest first
 * @param rootHash - expected previous hash of the first entry
 * @param rootSequence - sequence before the first entry
 * @returns expected sequence of the first entry with a wrong sequence or hash, or undefined for an unbroken chain
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
