/**
 * `cranberryyard audit`: prints who changed what, when and why, and verifies the hash chain of the audit trail.
 */
import { findBrokenEntry } from '@cranberryyard/core'
import { AUDIT_ROOT_HASH } from '@cranberryyard/protocol'
import type { AuditEntry } from '@cranberryyard/protocol'
import { sendRequest } from '../utils/client.js'
import type { Target } from '../utils/client.js'
import { EXIT } from '../utils/exit.js'
import type { ExitCode } from '../utils/exit.js'
import { renderFailure, table } from '../utils/output.js'

/** Audit trail as the operators' port returns it. */
export interface AuditReply {
  readonly entries: readonly AuditEntry[]
  /** False when the reply omits entries of other customers; the hash chain cannot be verified then. */
  readonly complete: boolean
}

/** Which entries to print, and in which form. */
export interface AuditFilter {
  readonly customer: string | undefined
  readonly sinceMs: number | undefined
  readonly json: boolean
}

/**
 * Fetches the audit trail.
 * @returns the trail, or undefined after printing the daemon's refusal
 */
export async function fetchAudit (target: Target): Promise<AuditReply | undefined> {
  const { status, body } = await sendRequest<AuditReply>(target, 'GET', '/v1/audit')
  if (status === 200) return body
  console.error(renderFailure(body as never))
  return undefined
}

/**
 * Prints the entries that match the filter. The hash chain is verified over all entries, not only over those printed.
 * @returns the exit code; `EXIT.failed` when the chain is broken
 */
export async function showAudit (target: Target, filter: AuditFilter): Promise<ExitCode> {
  const audit = await fetchAudit(target)
  if (audit === undefined) return EXIT.refused
  const brokenSequence = audit.complete ? findBrokenEntry(audit.entries, AUDIT_ROOT_HASH, 0) : undefined
  const shown = audit.entries.filter(e => matches(e, filter))
  if (filter.json) console.log(JSON.stringify({ entries: shown, broken: brokenSequence ?? null }))
  else console.log(table(['sequence', 'at', 'by', 'instance', 'subject', 'before', 'after', 'reason', 'change id'], shown.map(toRow)))
  if (brokenSequence === undefined) return EXIT.ok
  console.error(`the trail is broken at entry ${brokenSequence}: an entry was removed or edited`)
  return EXIT.failed
}

function matches (entry: AuditEntry, filter: AuditFilter): boolean {
  if (filter.sinceMs !== undefined && entry.at < filter.sinceMs) return false
  if (filter.customer === undefined) return true
  return entry.subject.type === 'contract' && entry.subject.customer === filter.customer
}

function toRow (entry: AuditEntry): (string | number)[] {
  const subject = entry.subject.type === 'contract' ? `contract ${entry.subject.customer} r${entry.subject.revision}` : `endpoint ${entry.subject.endpoint}`
  return [entry.sequence, new Date(entry.at).toISOString(), entry.by, entry.instance, subject, entry.before, entry.after, entry.reason, entry.changeId]
}
