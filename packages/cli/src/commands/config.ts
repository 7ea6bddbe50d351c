/**
 * `cranberryyard config check`: checks a configuration before it is sent, and shows what differs from the one in force. A JSON file is the platform's
 * desired state; a TOML file, or a folder of them, holds contracts. Nothing is sent.
 */
import { existsSync, readFileSync, readdirSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { checkContract, checkDesiredState, checkVersion, contractDifferences, differencesOf, repeatedCustomers } from '@cranberryyard/core'
import type { Difference } from '@cranberryyard/core'
import { readConfigFile } from '@cranberryyard/platform/configFile'
import type { FileFinding } from '@cranberryyard/platform/configFile'
import { contractSchema, lineOf, readToml } from '@cranberryyard/protocol'
import type { Contract } from '@cranberryyard/protocol'
import { EXIT } from '../utils/exit.js'
import type { ExitCode } from '../utils/exit.js'
import { colourText } from '../utils/output.js'

/** A finding with the file that it is about. */
interface Reported extends FileFinding {
  readonly file: string
}

interface Report {
  readonly findings: readonly Reported[]
  /** Undefined without a configuration to compare with, or if one of the two cannot be read. */
  readonly differences: readonly Difference[] | undefined
}

/**
 * Checks a configuration.
 * @param path - a JSON file, a TOML file or a folder of TOML files
 * @param against - the configuration in force, of the same kind
 */
export function checkConfig (path: string, against: string | undefined, json: boolean): ExitCode {
  const missing = [path, ...against === undefined ? [] : [against]].filter(file => !existsSync(file))
  if (missing.length > 0) {
    console.error(`${missing.join(', ')}: cannot be read`)
    return EXIT.usage
  }
  const report = path.endsWith('.json') ? checkStateFile(path, against) : checkContractFiles(path, against)
  if (json) console.log(JSON.stringify(report))
  else console.log(render(report))
  return report.findings.some(({ severity }) => severity === 'error') ? EXIT.refused : EXIT.ok
}

function checkStateFile (path: string, against: string | undefined): Report {
  const file = readConfigFile(readFileSync(path, 'utf8'))
  const inForce = against === undefined ? undefined : readConfigFile(readFileSync(against, 'utf8'))
  const unreadable = inForce?.findings.filter(({ code }) => code === 'unreadable') ?? []
  const checked = file.state === undefined ? [] : [...checkDesiredState(file.state), ...inForce?.state === undefined ? [] : checkVersion(file.state, inForce.state)]
  return {
    findings: [
      ...[...file.findings, ...checked.map(file.locate)].sort((a, b) => a.line - b.line).map(finding => ({ ...finding, file: path })),
      ...unreadable.map(finding => ({ ...finding, file: against ?? '' }))
    ],
    differences: file.state === undefined || inForce?.state === undefined ? undefined : differencesOf(inForce.state, file.state)
  }
}

function checkContractFiles (path: string, against: string | undefined): Report {
  const { contracts, findings } = readContracts(path)
  const inForce = against === undefined ? undefined : readContracts(against)
  const repeated = repeatedCustomers(contracts).map((customer): Reported => ({ severity: 'error', code: 'duplicateName', message: `several contracts are for the customer '${customer}'`, file: path, line: 0, field: 'customer' }))
  return {
    findings: [...findings, ...repeated, ...inForce?.findings.filter(({ code }) => code === 'unreadable') ?? []],
    differences: inForce === undefined ? undefined : contractDifferences(inForce.contracts, contracts)
  }
}

function readContracts (path: string): { readonly contracts: readonly Contract[], readonly findings: readonly Reported[] } {
  const files = statSync(path).isDirectory() ? readdirSync(path).filter(name => name.endsWith('.toml')).sort().map(name => join(path, name)) : [path]
  const contracts: Contract[] = []
  const findings: Reported[] = []
  for (const file of files) {
    const text = readFileSync(file, 'utf8')
    const contract = readToml(text, contractSchema)
    if (contract.isErr) {
      findings.push(...contract.error.map(({ key, line, message }): Reported => ({ severity: 'error', code: 'unreadable', message, file, line, field: key })))
      continue
    }
    contracts.push(contract.value)
    findings.push(...checkContract(contract.value).map(({ path: field, ...finding }): Reported => ({ ...finding, file, line: lineOf(text, field), field: field.join('.') })))
  }
  return { contracts, findings }
}

function render ({ findings, differences }: Report): string {
  const lines = findings.map(({ severity, file, line, field, message }) => `${file}:${line}: ${colourText(severity === 'error' ? 'red' : 'yellow', severity)} ${field === '' ? '' : `${field}: `}${message}`)
  for (const { kind, what, fields } of differences ?? []) {
    lines.push(`${kind} ${what}${fields.map(({ field, before, after }) => `\n  ${field}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`).join('')}`)
  }
  const errors = findings.filter(({ severity }) => severity === 'error').length
  lines.push(`${errors} errors, ${findings.length - errors} warnings${differences === undefined ? '' : `, ${differences.length} differences`}`)
  return lines.join('\n')
}
