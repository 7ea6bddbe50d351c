/**
 * Carries text through MessagePack unchanged. The library drops a byte order mark at the start of a long string and replaces unpaired
 * surrogates, and JSON of callers and operators may contain both. Such strings travel a second time beside the message, as ASCII literals of JSON, with
 * their place in it. A receiver of an earlier version does not read these and gets the text as the library delivers it.
 */

/** Where a string is in a message: the names and indexes that lead there. */
type Path = readonly (string | number)[]

/** A string that the library would not deliver unchanged, as a JSON literal. */
export type TextPatch = readonly [path: Path, literal: string]

const BYTE_ORDER_MARK = '\uFEFF'
const NON_ASCII = /[^\x20-\x7e]/g
/** Nesting of the deepest message, a list of attempts at a job's tasks, with room for later versions. */
const MAX_DEPTH = 16

/** Finds and restores the strings that MessagePack would change. */
export class ExactText {
  /** Returns the strings in a message that would arrive changed. */
  collect (message: object): TextPatch[] {
    const patches: TextPatch[] = []
    // Nearly all messages have no such string, and this is called for each of them.
    if (needsPatch(message, 0)) collectFrom(message, [], patches)
    return patches
  }

  /** Puts the strings back into a decoded message. Patches that do not name a string in it are ignored, since anyone may have sent them. */
  restore (message: object, patches: unknown): void {
    if (!Array.isArray(patches)) return
    for (const patch of patches) restoreOne(message, patch)
  }
}

function isChanged (text: string): boolean {
  return text.startsWith(BYTE_ORDER_MARK) || !text.isWellFormed()
}

function needsPatch (value: unknown, depth: number): boolean {
  if (typeof value === 'string') return isChanged(value)
  if (typeof value !== 'object' || value === null || depth >= MAX_DEPTH) return false
  const object = value as Record<string, unknown>
  for (const key in object) if (needsPatch(object[key], depth + 1)) return true
  return false
}

function collectFrom (value: unknown, path: Path, patches: TextPatch[]): void {
  if (typeof value === 'string') {
    if (isChanged(value)) patches.push([path, literalOf(value)])
    return
  }
  if (typeof value !== 'object' || value === null || path.length >= MAX_DEPTH) return
  if (Array.isArray(value)) value.forEach((item, index) => collectFrom(item, [...path, index], patches))
  else for (const [key, item] of Object.entries(value)) collectFrom(item, [...path, key], patches)
}

function literalOf (text: string): string {
  return JSON.stringify(text).replace(NON_ASCII, unit => `\\u${unit.charCodeAt(0).toString(16).padStart(4, '0')}`)
}

function restoreOne (message: object, patch: unknown): void {
  const [path, literal] = Array.isArray(patch) ? patch as unknown[] : []
  if (!Array.isArray(path) || typeof literal !== 'string') return
  const keys = path as unknown[]
  let holder: unknown = message
  for (const key of keys.slice(0, -1)) holder = ownValue(holder, key)
  const last = keys.at(-1)
  if (typeof ownValue(holder, last) !== 'string') return
  const text = parseLiteral(literal)
  if (text !== undefined) (holder as Record<string, string>)[last as string] = text
}

function ownValue (holder: unknown, key: unknown): unknown {
  const isKey = typeof key === 'string' || typeof key === 'number'
  return isKey && typeof holder === 'object' && holder !== null && Object.hasOwn(holder, key) ? (holder as Record<string | number, unknown>)[key] : undefined
}

function parseLiteral (literal: string): string | undefined {
  try {
    const text: unknown = JSON.parse(literal)
    return typeof text === 'string' ? text : undefined
  } catch {
    // Not a literal: the text stays as the library has delivered it.
    return undefined
  }
}
