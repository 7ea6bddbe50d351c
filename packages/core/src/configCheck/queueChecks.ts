/**
 * Checks a desired state for queues that can never get a job, names that nothing answers to, and terms that contradict each other.
 * It judges by the rules by which instances look queues up: the host has to be equal, and the longest prefix wins.
 */
import type { DesiredState, QueueTerms, ServiceTerms } from '@cranberryyard/protocol'
import type { Difference, Finding } from './types.js'

/** Job ids follow the prefix; they are hexadecimal. */
const HEXADECIMAL = /^[0-9a-f]+$/
const ID_LENGTH = 16
const PORT = /:\d+$/

/** Checks one version of the desired state. */
export function checkDesiredState (state: DesiredState): Finding[] {
  return [...state.queues.flatMap(checkQueue), ...checkPrefixes(state.queues), ...checkServices(state)]
}

/** Checks that a version can follow the one in force. */
export function checkVersion (state: DesiredState, inForce: DesiredState): Finding[] {
  if (state.version > inForce.version) return []
  return [error('notNewer', ['version'], `version ${state.version} is not higher than ${inForce.version}, which is in force, so it never comes into force`)]
}

/** Returns what differs between two versions, in the order of the new one. */
export function differencesOf (before: DesiredState, after: DesiredState): Difference[] {
  return [
    ...compareLists(before.queues, after.queues, ({ host, prefix }) => `queue ${host}${prefix}`),
    ...compareLists(before.services, after.services, ({ name }) => `service ${name}`)
  ]
}

function checkQueue (queue: QueueTerms, index: number): Finding[] {
  const at = (field: keyof QueueTerms): (string | number)[] => ['queues', index, field]
  const findings: Finding[] = []
  if (queue.host === '') findings.push(error('neverMatches', at('host'), 'the host is empty'))
  if (PORT.test(queue.host)) findings.push(error('neverMatches', at('host'), `hosts are compared without their port, so ${queue.host} matches no request`))
  if (!queue.prefix.startsWith('/')) findings.push(error('neverMatches', at('prefix'), `paths begin with a slash, so the prefix '${queue.prefix}' matches none`))
  if (queue.stretch === 0 && queue.latencyObjectiveMs === 0) findings.push(error('contradiction', at('stretch'), 'the objective is zero, so no answer is on time'))
  else if (queue.stretch < 1) findings.push(warning('contradiction', at('stretch'), `a stretch of ${queue.stretch} leaves less time than the work takes; only jobs shorter than ${Math.round(queue.latencyObjectiveMs / (1 - queue.stretch))} ms can be on time`))
  if (queue.needsAdvice) findings.push(warning('unsupported', at('needsAdvice'), 'jobs of a queue that needs advice are refused'))
  return findings
}

/** Looks for prefixes of a host that others take away, the longer ones after the shorter ones that they begin with. */
function checkPrefixes (queues: readonly QueueTerms[]): Finding[] {
  const findings: Finding[] = []
  const byHost = new Map<string, { readonly prefix: string, readonly index: number }[]>()
  for (const [index, { host, prefix }] of queues.entries()) {
    const ofHost = byHost.get(host)
    if (ofHost === undefined) byHost.set(host, [{ prefix, index }])
    else ofHost.push({ prefix, index })
  }
  for (const ofHost of byHost.values()) {
    const enclosing: { readonly prefix: string, readonly index: number }[] = []
    for (const entry of ofHost.sort((a, b) => compareText(a.prefix, b.prefix) || a.index - b.index)) {
      while (enclosing.length > 0 && !entry.prefix.startsWith((enclosing.at(-1) as typeof entry).prefix)) enclosing.pop()
      const outer = enclosing.at(-1)
      if (outer === undefined) enclosing.push(entry)
      else if (outer.prefix === entry.prefix) findings.push(error('neverMatches', ['queues', entry.index, 'prefix'], `the queue at position ${outer.index} has the same host and prefix and gets all jobs`))
      else {
        const beyond = entry.prefix.slice(outer.prefix.length)
        if (beyond.length <= ID_LENGTH && HEXADECIMAL.test(beyond)) findings.push(warning('partlyHidden', ['queues', outer.index, 'prefix'], `jobs whose id begins with ${beyond} go to the queue at position ${entry.index}`))
        enclosing.push(entry)
      }
    }
  }
  return findings
}

function checkServices ({ queues, services }: DesiredState): Finding[] {
  const findings: Finding[] = []
  const known = new Map<string, number>()
  for (const [index, { name }] of services.entries()) {
    const first = known.get(name)
    if (first !== undefined) findings.push(error('duplicateName', ['services', index, 'name'], `the service at position ${first} has the same name`))
    else known.set(name, index)
  }
  const used = new Set<string>()
  const names = new Map<string, number>()
  for (const [index, { name, service }] of queues.entries()) {
    used.add(service)
    if (!known.has(service)) findings.push(error('unknownService', ['queues', index, 'service'], `no service is called '${service}'`))
    const first = names.get(name)
    if (first !== undefined) findings.push(warning('duplicateName', ['queues', index, 'name'], `the queue at position ${first} has the same name, so metrics and learned run times mix`))
    else names.set(name, index)
  }
  for (const [index, { name }] of services.entries()) if (!used.has(name)) findings.push(warning('unusedService', ['services', index, 'name'], `no queue uses the service '${name}'`))
  return findings
}

function compareLists<T extends QueueTerms | ServiceTerms> (before: readonly T[], after: readonly T[], nameOf: (entry: T) => string): Difference[] {
  const known = new Map(before.map(entry => [nameOf(entry), entry]))
  const differences: Difference[] = []
  for (const entry of after) {
    const what = nameOf(entry)
    const old = known.get(what)
    known.delete(what)
    if (old === undefined) differences.push({ kind: 'added', what, fields: [] })
    else {
      const fields = (Object.keys(entry) as (keyof T & string)[]).filter(field => old[field] !== entry[field]).map(field => ({ field, before: old[field], after: entry[field] }))
      if (fields.length > 0) differences.push({ kind: 'changed', what, fields })
    }
  }
  for (const what of known.keys()) differences.push({ kind: 'removed', what, fields: [] })
  return differences
}

function compareText (a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0
}

function error (code: Finding['code'], path: Finding['path'], message: string): Finding {
  return { severity: 'error', code, path, message }
}

function warning (code: Finding['code'], path: Finding['path'], message: string): Finding {
  return { severity: 'warning', code, path, message }
}
