/**
 * `cranberryyard contract`: contracts as files under version control.
 */
import { existsSync, readFileSync, readdirSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { contractSchema, readToml, renderFaults } from '@cranberryyard/protocol'
import type { AuditEntry, Contract, ContractRecord } from '@cranberryyard/protocol'
import { changedSections } from '@cranberryyard/core'
import { stringify } from 'smol-toml'
import { call } from '../utils/client.js'
import type { Target } from '../utils/client.js'
import { reportChange, sendChange } from '../utils/changes.js'
import { EXIT } from '../utils/exit.js'
import type { ExitCode } from '../utils/exit.js'
import { paint, renderFailure, table } from '../utils/output.js'
import { fetchAudit } from './audit.js'

/** Largest contract file that is read. */
const FILE_BYTES_MAX = 262_144

interface ContractFile {
  readonly path: string
  readonly contract: Contract
}

interface PlannedChange {
  readonly file: ContractFile
  readonly base: ContractRecord | undefined
}

/** Checks files or a folder. @returns the exit code */
export function lintContracts (path: string): ExitCode {
  const files = readContracts(path)
  if (files === undefined) return EXIT.usage
  console.log(`${files.length} contract${files.length === 1 ? '' : 's'} correct`)
  return EXIT.ok
}

/** Prints exactly what would change. @returns the exit code */
export async function planContracts (target: Target, path: string): Promise<ExitCode> {
  const planned = await plan(target, path)
  if (planned === undefined) return EXIT.usage
  for (const change of planned) console.log(renderPlan(change))
  return EXIT.ok
}

/**
 * Applies files or a folder; unchanged files cost no write.
 * @param target - an operators' port
 * @param path - file or folder
 * @param reason - why, for the audit trail
 * @param expect - the revision that was planned on, if it must not have moved since
 * @param changeId - repeats an earlier attempt
 * @returns the worst exit code
 */
export async function applyContracts (target: Target, path: string, reason: string, expect?: number, changeId?: string): Promise<ExitCode> {
  const planned = await plan(target, path)
  if (planned === undefined) return EXIT.usage
  let worst: ExitCode = EXIT.ok
  for (const change of planned) {
    console.log(renderPlan(change))
    if (!isChanged(change) && expect === undefined) continue
    const code = await applyOne(target, change, reason, expect, changeId)
    if (code !== EXIT.ok) worst = code
  }
  return worst
}

/** Prints a contract as a file. @returns the exit code */
export async function showContract (target: Target, customer: string): Promise<ExitCode> {
  const record = (await fetchContracts(target))?.find(r => r.contract.customer === customer)
  if (record === undefined) {
    console.error(`no contract ${customer} that this key may see`)
    return EXIT.refused
  }
  console.log(`# revision ${record.revision}\n${stringify(record.contract)}`)
  return EXIT.ok
}

/** Lists the revisions of a contract. @returns the exit code */
export async function contractHistory (target: Target, customer: string): Promise<ExitCode> {
  const entries = await revisionsOf(target, customer)
  if (entries === undefined) return EXIT.refused
  console.log(table(['revision', 'at', 'by', 'reason', 'change'], entries.map(e => [revisionOf(e), new Date(e.at).toISOString(), e.by, e.reason, `${e.before} -> ${e.after}`])))
  return EXIT.ok
}

/** Writes a new revision with the content before the last one. @returns the exit code */
export async function undoContract (target: Target, customer: string, reason: string): Promise<ExitCode> {
  const entries = await revisionsOf(target, customer)
  const record = (await fetchContracts(target))?.find(r => r.contract.customer === customer)
  const last = entries?.at(-1)
  if (record === undefined || last === undefined || last.before === 'null') {
    console.error(`nothing to undo for ${customer}`)
    return EXIT.refused
  }
  const contract = contractSchema.parse({ ...record.contract, ...(JSON.parse(last.before) as Partial<Contract>) })
  const why = reason === '' ? `undo of revision ${record.revision}` : reason
  const reply = await sendChange(target, { type: 'contract', contract, expectedRevision: record.revision }, why)
  return reportChange(`contract ${customer}`, reply)
}

async function applyOne (target: Target, change: PlannedChange, reason: string, expect?: number, changeId?: string): Promise<ExitCode> {
  const { contract } = change.file
  const expectedRevision = expect ?? change.base?.revision ?? 0
  const reply = await sendChange(target, { type: 'contract', contract, expectedRevision }, reason, changeId)
  const code = reportChange(`contract ${contract.customer}`, reply)
  if (code === EXIT.conflict) await explainConflict(target, change)
  return code
}

/** A lost race is told with both changes: the other's and this one's. */
async function explainConflict (target: Target, change: PlannedChange): Promise<void> {
  const { contract } = change.file
  const entries = await revisionsOf(target, contract.customer)
  const other = entries?.at(-1)
  if (other !== undefined) console.error(`theirs: ${other.by}, revision ${revisionOf(other)}: ${other.before} -> ${other.after}`)
  const own = changedSections(change.base?.contract, contract)
  console.error(`yours:  ${own.before} -> ${own.after}`)
}

async function revisionsOf (target: Target, customer: string): Promise<AuditEntry[] | undefined> {
  const audit = await fetchAudit(target)
  return audit?.entries.filter(e => e.subject.type === 'contract' && e.subject.customer === customer)
}

function revisionOf (entry: AuditEntry): number {
  return entry.subject.type === 'contract' ? entry.subject.revision : 0
}

async function fetchContracts (target: Target): Promise<readonly ContractRecord[] | undefined> {
  const { status, body } = await call<{ contracts: ContractRecord[] }>(target, 'GET', '/v1/contracts')
  if (status === 200) return body.contracts
  console.error(renderFailure(body as never))
  return undefined
}

async function plan (target: Target, path: string): Promise<PlannedChange[] | undefined> {
  const files = readContracts(path)
  if (files === undefined) return undefined
  const current = await fetchContracts(target)
  return current === undefined ? undefined : files.map(file => ({ file, base: current.find(r => r.contract.customer === file.contract.customer) }))
}

function isChanged ({ file, base }: PlannedChange): boolean {
  return base === undefined || changedSections(base.contract, file.contract).after !== '{}'
}

function renderPlan (change: PlannedChange): string {
  const { customer, team } = change.file.contract
  if (change.base === undefined) return `${paint('bold', customer)}: new contract, team ${team}; no other customer is touched`
  if (!isChanged(change)) return `${customer}: unchanged at revision ${change.base.revision}`
  const { before, after } = changedSections(change.base.contract, change.file.contract)
  return `${paint('bold', customer)}: revision ${change.base.revision} -> ${change.base.revision + 1}; no other customer is touched\n  - ${before}\n  + ${after}`
}

/** Reads one file or every .toml file of a folder; prints all faults and returns nothing if there are any. */
function readContracts (path: string): ContractFile[] | undefined {
  if (!existsSync(path)) {
    console.error(`${path}: cannot be read`)
    return undefined
  }
  const paths = statSync(path).isDirectory() ? readdirSync(path).filter(f => f.endsWith('.toml')).sort().map(f => join(path, f)) : [path]
  const files: ContractFile[] = []
  let faulty = false
  for (const p of paths) {
    const contract = readContract(p)
    if (contract === undefined) faulty = true
    else files.push({ path: p, contract })
  }
  return faulty ? undefined : files
}

function readContract (path: string): Contract | undefined {
  if (statSync(path).size > FILE_BYTES_MAX) {
    console.error(`${path}: larger than ${FILE_BYTES_MAX} bytes`)
    return undefined
  }
  const contract = readToml(readFileSync(path, 'utf8'), contractSchema)
  if (contract.isOk) return contract.value
  console.error(renderFaults(path, contract.error))
  return undefined
}
