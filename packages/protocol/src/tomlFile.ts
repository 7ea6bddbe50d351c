/**
 * Parses TOML text, validates it against a schema and reports all faults at once, each with its key and line. Schema
 * validation has no line numbers, so this module searches the text for each invalid key.
 */
import { TomlError, parse } from 'smol-toml'
import { Result } from 'true-myth'
import type { z } from 'zod'

/** One fault in a TOML file. Line numbers start at 1; 0 means that the line is unknown. */
export interface TomlFault {
  readonly key: string
  readonly line: number
  readonly message: string
}

const escapeRegExp = (text: string): string => text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&')

/** Returns the line of a key, from 1. Follows the path through the text: finds each `[table]` or nth `[[table]]` header, then the key below it. */
export function lineOf (text: string, path: readonly PropertyKey[]): number {
  const lines = text.split('\n')
  let from = 0
  for (let i = 0; i < path.length; i++) {
    const part = path[i]
    if (typeof part === 'number') continue
    const nth = typeof path[i + 1] === 'number' ? Number(path[i + 1]) : 0
    const lineIndex = findLine(lines, from, String(part), nth)
    if (lineIndex < 0) break
    from = lineIndex
  }
  return from + (path.length > 0 ? 1 : 0)
}

/** Finds the index of the first line from `from` on that assigns the key, or of the nth header of that name; -1 if there is none. */
function findLine (lines: readonly string[], from: number, key: string, nth: number): number {
  const header = new RegExp(`^\\s*\\[\\[?\\s*([\\w.-]+\\.)?"?${escapeRegExp(key)}"?\\s*\\]\\]?`)
  const assign = new RegExp(`^\\s*"?${escapeRegExp(key)}"?\\s*=`)
  let headersToSkip = nth
  for (let i = from; i < lines.length; i++) {
    const line = lines[i] ?? ''
    if (assign.test(line)) return i
    if (!header.test(line)) continue
    if (headersToSkip === 0) return i
    headersToSkip--
  }
  return -1
}

/** Zod reports an unknown key on the object that contains it; this function returns the path of the key itself. */
function pathsOf (issue: z.core.$ZodIssue): PropertyKey[][] {
  if (issue.code !== 'unrecognized_keys') return [issue.path]
  return issue.keys.map(key => [...issue.path, key])
}

/**
 * Parses and validates a TOML file.
 * @param text - the file's content
 * @param schema - the schema, which also fills in defaults
 * @returns the validated value, or all faults
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
 * Formats faults, one per line.
 * @param file - file name shown before each fault
 * @param faults - faults reported by `readToml`
 * @returns text for a terminal
 */
export function renderFaults (file: string, faults: readonly TomlFault[]): string {
  return faults.map(f => `${file}:${f.line}: ${f.key === '' ? '' : `${f.key}: `}${f.message}`).join('\n')
}
