/**
 * Reads TOML text against a schema and reports every fault at once, each with its key and line.
 */
import { TomlError, parse } from 'smol-toml'
import { Result } from 'true-myth'
import type { z } from 'zod'

/** One fault in a TOML file; line numbers start at 1, 0 when no line could be found. */
export interface TomlFault {
  readonly key: string
  readonly line: number
  readonly message: string
}

const escapeRegExp = (text: string): string => text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&')

/** Finds the nth `[[table]]` or the `[table]` header, then the key below it. */
function lineOf (text: string, path: readonly PropertyKey[]): number {
  const lines = text.split('\n')
  let from = 0
  for (let i = 0; i < path.length; i++) {
    const part = path[i]
    if (typeof part === 'number') continue
    const nth = typeof path[i + 1] === 'number' ? Number(path[i + 1]) : 0
    const found = findLine(lines, from, String(part), nth)
    if (found < 0) break
    from = found
  }
  return from + (path.length > 0 ? 1 : 0)
}

function findLine (lines: readonly string[], from: number, key: string, nth: number): number {
  const header = new RegExp(`^\\s*\\[\\[?\\s*([\\w.-]+\\.)?"?${escapeRegExp(key)}"?\\s*\\]\\]?`)
  const assign = new RegExp(`^\\s*"?${escapeRegExp(key)}"?\\s*=`)
  let left = nth
  for (let i = from; i < lines.length; i++) {
    const line = lines[i] ?? ''
    if (assign.test(line)) return i
    if (!header.test(line)) continue
    if (left === 0) return i
    left--
  }
  return -1
}

/** An unknown key is reported on the object that holds it; names the key itself instead. */
function pathsOf (issue: z.core.$ZodIssue): PropertyKey[][] {
  if (issue.code !== 'unrecognized_keys') return [issue.path]
  return issue.keys.map(key => [...issue.path, key])
}

/**
 * Parses and checks a TOML file.
 * @param text - the file's content
 * @param schema - what it must satisfy; defaults are filled in
 * @returns the checked value, or all faults
 */
export function readToml<S extends z.ZodType> (text: string, schema: S): Result<z.output<S>, readonly TomlFault[]> {
  let raw: unknown
  try {
    raw = parse(text)
  } catch (err) {
    const line = err instanceof TomlError ? err.line : 0
    return Result.err([{ key: '', line, message: String(err instanceof Error ? err.message : err).split('\n')[0] ?? '' }])
  }
  const checked = schema.safeParse(raw)
  if (checked.success) return Result.ok(checked.data)
  const faults = checked.error.issues.flatMap(issue => pathsOf(issue).map(path => ({
    key: path.map(String).join('.'),
    line: lineOf(text, path),
    message: issue.message
  })))
  return Result.err(faults)
}

/**
 * Renders faults one a line.
 * @param file - name shown before each fault
 * @param faults - what readToml found
 * @returns text for a terminal
 */
export function renderFaults (file: string, faults: readonly TomlFault[]): string {
  return faults.map(f => `${file}:${f.line}: ${f.key === '' ? '' : `${f.key}: `}${f.message}`).join('\n')
}
