/**
 * Checks contracts for limits that contradict each other, kinds that can never be meant, and customers with two contracts.
 */
import type { Contract } from '@cranberryyard/protocol'
import type { Difference, Finding } from './types.js'

/** Limits that the team bounds. */
const BOUNDED = ['running', 'startsPerSecond', 'queued'] as const

/** Checks one contract. */
export function checkContract ({ limits, bounds, kinds, callers, staff }: Contract): Finding[] {
  const findings: Finding[] = []
  for (const field of BOUNDED) {
    if (limits[field] > bounds[field]) findings.push({ severity: 'error', code: 'contradiction', path: ['limits', field], message: `${field} is ${limits[field]}, above its bound of ${bounds[field]}` })
  }
  if (limits.jobTasks > limits.queued) findings.push({ severity: 'error', code: 'contradiction', path: ['limits', 'jobTasks'], message: `a job of ${limits.jobTasks} tasks can never wait, since ${limits.queued} may` })
  const names = new Set<string>()
  for (const [index, { name }] of kinds.entries()) {
    if (names.has(name)) findings.push({ severity: 'error', code: 'neverMatches', path: ['kinds', index, 'name'], message: `an earlier kind is called '${name}' and gets all requests` })
    names.add(name)
  }
  const hashes = new Set<string>()
  for (const [section, keys] of Object.entries({ callers, staff })) {
    for (const [index, { keyHash }] of keys.entries()) {
      if (hashes.has(keyHash)) findings.push({ severity: 'warning', code: 'duplicateName', path: [section, index, 'keyHash'], message: 'the same key is listed twice' })
      hashes.add(keyHash)
    }
  }
  return findings
}

/** Returns the customers that several of the contracts name. */
export function repeatedCustomers (contracts: readonly Contract[]): string[] {
  const seen = new Set<string>()
  const repeated = new Set<string>()
  for (const { customer } of contracts) {
    if (seen.has(customer)) repeated.add(customer)
    seen.add(customer)
  }
  return [...repeated]
}

/** Returns what differs between two sets of contracts. */
export function contractDifferences (before: readonly Contract[], after: readonly Contract[]): Difference[] {
  const known = new Map(before.map(contract => [contract.customer, contract]))
  const differences: Difference[] = []
  for (const contract of after) {
    const old = known.get(contract.customer)
    known.delete(contract.customer)
    const what = `contract ${contract.customer}`
    if (old === undefined) differences.push({ kind: 'added', what, fields: [] })
    else {
      const fields = (Object.keys(contract) as (keyof Contract)[]).filter(field => JSON.stringify(old[field]) !== JSON.stringify(contract[field])).map(field => ({ field, before: old[field], after: contract[field] }))
      if (fields.length > 0) differences.push({ kind: 'changed', what, fields })
    }
  }
  for (const customer of known.keys()) differences.push({ kind: 'removed', what: `contract ${customer}`, fields: [] })
  return differences
}
