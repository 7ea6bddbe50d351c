/**
 * `cranberryyard audit`: who changed what, when and why, with the hash chain checked.
 */
import { findBrokenEntry } from '@cranberryyard/core'
import { AUDIT_ROOT_HASH } from '@cranberryyard/protocol'
import type { AuditEntry } from '@cranberryyard/protocol'
import { call } from '../utils/client.js'
import type { Target } from '../utils/client.js'
import { EXIT } from '../utils/exit.js'
import type { ExitCode } from '../utils/exit.js'
import { renderFailure, table } from '../utils/output.js'

/** The trail as the operators' port gives it. */
export interface AuditReply {
  readonly entries: readonly AuditEntry[]
  /** False when entries of other customers are left out; the chain cannot be checked then. */
  readonly complete: boolean
}

/** Which entries to show. */
export interface AuditFilter {
  readonly customer: string | undefined
  readonly sinceMs: number | undefined
  readonly json: boolean
}

/** Fetches the trail. @returns undefined after printing a refusal */
export async function fetchAudit (target: Target): Promise<AuditReply | undefined> {
  const { status, body } = await call<AuditReply>(target, 'GET', '/v1/audit')
  if (status === 200) return body
  console.error(renderFailure(body as never))
  return undefined
}

/** Prints the trail. @returns the exit code */
export async function showAudit (target: Target, filter: AuditFilter): Promise<ExitCode> {
  const audit = await fetchAudit(target)
  if (audit === undefined) return EXIT.refused
  const broken = audit.complete ? findBrokenEntry(audit.entries, AUDIT_ROOT_HASH, 0) : undefined
  const shown = audit.entries.filter(e => matches(e, filter))
  if (filter.json) console.log(JSON.stringify({ entries: shown, broken: broken ?? null }))
  else console.log(table(['sequence', 'at', 'by', 'instance', 'subject', 'before', 'after', 'reason', 'change id'], shown.map(row)))
  if (broken === undefined) return EXIT.ok
  console.error(`the trail is broken at entry ${broken}: an entry was removed or edited`)
  return EXIT.failed
}

function matches (entry: AuditEntry, filter: AuditFilter): boolean {
  if (filter.sinceMs !== undefined && entry.at < filter.sinceMs) return false
  if (filter.customer === undefined) return true
  return entry.subject.type === 'contract' && entry.subject.customer === filter.customer
}

function row (e: AuditEntry): (string | number)[] {
  const subject = e.subject.type === 'contract' ? `contract ${e.subject.customer} r${e.subject.revision}` : `endpoint ${e.subject.endpoint}`
  return [e.sequence, new Date(e.at).toISOString(), e.by, e.instance, subject, e.before, e.after, e.reason, e.changeId]
}
