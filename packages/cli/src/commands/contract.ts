/**
 * `cranberryyard contract`: checks, plans and applies contracts that are kept as TOML files under version control, and shows,
 * lists and undoes their revisions. Each change names the revision that it was planned on, so that two operators
 * cannot overwrite each other's change unnoticed.
 */
import { existsSync, readFileSync, readdirSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { contractSchema, readToml, renderFaults } from '@cranberryyard/protocol'
import type { AuditEntry, Contract, ContractRecord } from '@cranberryyard/protocol'
import { changedSections } from '@cranberryyard/core'
import { stringify } from 'smol-toml'
import { sendRequest } from '../utils/client.js'
import type { Target } from '../utils/client.js'
import { reportChange, sendChange } from '../utils/changes.js'
import { EXIT } from '../utils/exit.js'
import type { ExitCode } from '../utils/exit.js'
import { colourText, renderFailure, table } from '../utils/output.js'
import { fetchAudit } from './audit.js'

/** Largest contract file that is accepted. */
const MAX_FILE_BYTES = 262_144

interface ContractFile {
  readonly path: string
  readonly contract: Contract
}

interface PlannedChange {
  readonly file: ContractFile
  readonly base: ContractRecord | undefined
}

/**
 * Checks one contract file or all in a folder, without contacting an instance.
 * @returns the exit code
 */
export function lintContracts (path: string): ExitCode {
  const files = readContracts(path)
  if (files === undefined) return EXIT.usage
  console.log(`${files.length} contract${files.length === 1 ? '' : 's'} correct`)
  return EXIT.ok
}

/**
 * Prints the differences between contract files and the current contracts, without changing anything.
 * @returns the exit code
 */
export async function planContracts (target: Target, path: string): Promise<ExitCode> {
  const planned = await planChanges(target, path)
  if (planned === undefined) return EXIT.usage
  for (const change of planned) console.log(renderPlan(change))
  return EXIT.ok
}

/**
 * Applies one contract file or all in a folder. A file without a difference sends no change, unless `expect` is given.
 * @param target - an operators' port
 * @param path - file or folder
 * @param reason - reason that the audit trail records
 * @param expect - revision that the plan was based on; the change is refused when the contract has a newer one
 * @param changeId - id of an earlier attempt when this call repeats it
 * @returns the exit code of the last change that did not end with `EXIT.ok`
 */
export async function applyContracts (target: Target, path: string, reason: string, expect?: number, changeId?: string): Promise<ExitCode> {
  const planned = await planChanges(target, path)
  if (planned === undefined) return EXIT.usage
  let exitCode: ExitCode = EXIT.ok
  for (const change of planned) {
    console.log(renderPlan(change))
    if (!isChanged(change) && expect === undefined) continue
    const code = await applyOne(target, change, reason, expect, changeId)
    if (code !== EXIT.ok) exitCode = code
  }
  return exitCode
}

/**
 * Prints a contract as TOML, in the form of a contract file.
 * @returns the exit code
 */
export async function showContract (target: Target, customer: string): Promise<ExitCode> {
  const record = (await fetchContracts(target))?.find(r => r.contract.customer === customer)
  if (record === undefined) {
    console.error(`no contract ${customer} that this key may see`)
    return EXIT.refused
  }
  console.log(`# revision ${record.revision}\n${stringify(record.contract)}`)
  return EXIT.ok
}

/**
 * Lists the revisions of a contract from the audit trail.
 * @returns the exit code
 */
export async function contractHistory (target: Target, customer: string): Promise<ExitCode> {
  const entries = await fetchRevisionEntries(target, customer)
  if (entries === undefined) return EXIT.refused
  console.log(table(['revision', 'at', 'by', 'reason', 'change'], entries.map(e => [revisionOf(e), new Date(e.at).toISOString(), e.by, e.reason, `${e.before} -> ${e.after}`])))
  return EXIT.ok
}

/**
 * Writes a new revision with the content that the contract had before its last change.
 * @returns the exit code
 */
export async function undoContract (target: Target, customer: string, reason: string): Promise<ExitCode> {
  const entries = await fetchRevisionEntries(target, customer)
  const record = (await fetchContracts(target))?.find(r => r.contract.customer === customer)
  const last = entries?.at(-1)
  if (record === undefined || last === undefined || last.before === 'null') {
    console.error(`nothing to undo for ${customer}`)
    return EXIT.refused
  }
  const contract = contractSchema.parse({ ...record.contract, ...(JSON.parse(last.before) as Partial<Contract>) })
  const auditReason = reason === '' ? `undo of revision ${record.revision}` : reason
  const reply = await sendChange(target, { type: 'contract', contract, expectedRevision: record.revision }, auditReason)
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

/** After a conflict of revisions, prints both changes: the one that was applied first and the one that was refused. */
async function explainConflict (target: Target, change: PlannedChange): Promise<void> {
  const { contract } = change.file
  const entries = await fetchRevisionEntries(target, contract.customer)
  const otherChange = entries?.at(-1)
  if (otherChange !== undefined) console.error(`theirs: ${otherChange.by}, revision ${revisionOf(otherChange)}: ${otherChange.before} -> ${otherChange.after}`)
  const ownChange = changedSections(change.base?.contract, contract)
  console.error(`yours:  ${ownChange.before} -> ${ownChange.after}`)
}

async function fetchRevisionEntries (target: Target, customer: string): Promise<AuditEntry[] | undefined> {
  const audit = await fetchAudit(target)
  return audit?.entries.filter(e => e.subject.type === 'contract' && e.subject.customer === customer)
}

function revisionOf (entry: AuditEntry): number {
  return entry.subject.type === 'contract' ? entry.subject.revision : 0
}

async function fetchContracts (target: Target): Promise<readonly ContractRecord[] | undefined> {
  const { status, body } = await sendRequest<{ contracts: ContractRecord[] }>(target, 'GET', '/v1/contracts')
  if (status === 200) return body.contracts
  console.error(renderFailure(body as never))
  return undefined
}

async function planChanges (target: Target, path: string): Promise<PlannedChange[] | undefined> {
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
  if (change.base === undefined) return `${colourText('bold', customer)}: new contract, team ${team}; no other customer is touched`
  if (!isChanged(change)) return `${customer}: unchanged at revision ${change.base.revision}`
  const { before, after } = changedSections(change.base.contract, change.file.contract)
  return `${colourText('bold', customer)}: revision ${change.base.revision} -> ${change.base.revision + 1}; no other customer is touched\n  - ${before}\n  + ${after}`
}

/** Reads one file or every .toml file of a folder. When any has faults, prints the faults of all files and returns undefined. */
function readContracts (path: string): ContractFile[] | undefined {
  if (!existsSync(path)) {
    console.error(`${path}: cannot be read`)
    return undefined
  }
  const paths = statSync(path).isDirectory() ? readdirSync(path).filter(f => f.endsWith('.toml')).sort().map(f => join(path, f)) : [path]
  const files: ContractFile[] = []
  let hasFaults = false
  for (const p of paths) {
    const contract = readContract(p)
    if (contract === undefined) hasFaults = true
    else files.push({ path: p, contract })
  }
  return hasFaults ? undefined : files
}

function readContract (path: string): Contract | undefined {
  if (statSync(path).size > MAX_FILE_BYTES) {
    console.error(`${path}: larger than ${MAX_FILE_BYTES} bytes`)
    return undefined
  }
  const contract = readToml(readFileSync(path, 'utf8'), contractSchema)
  if (contract.isOk) return contract.value
  console.error(renderFaults(path, contract.error))
  return undefined
}
