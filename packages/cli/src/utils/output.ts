/**
 * Writing to a person: tables, colour only on a terminal, coded errors with what to do.
 */
import process from 'node:process'
import { styleText } from 'node:util'

/** Colours used. */
export type Colour = 'green' | 'red' | 'yellow' | 'bold'

/**
 * Colours text on a terminal; plain text elsewhere or with NO_COLOR.
 * @param colour - the colour
 * @param text - the text
 * @returns text to print
 */
export function paint (colour: Colour, text: string): string {
  const isTerminal = process.stdout.isTTY && process.env.NO_COLOR === undefined
  return isTerminal ? styleText(colour, text) : text
}

/**
 * Lays out a table with aligned columns.
 * @param header - column names
 * @param rows - cells
 * @returns lines joined by newlines
 */
export function table (header: readonly string[], rows: readonly (readonly (string | number | boolean)[])[]): string {
  const lines = [header, ...rows.map(r => r.map(String))]
  const widths = header.map((_, i) => Math.max(...lines.map(l => (l[i] ?? '').length)))
  return lines.map(l => l.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join('  ').trimEnd()).join('\n')
}

/** A failure as the daemon reports it. */
export interface FailureBody {
  readonly code?: number
  readonly name?: string
  readonly message?: string
  readonly field?: string
}

/**
 * Renders a failure in one line.
 * @param body - the daemon's response
 * @returns text for standard error
 */
export function renderFailure (body: FailureBody): string {
  const field = body.field === undefined || body.field === '' ? '' : ` (${body.field})`
  return `${paint('red', `error ${body.code ?? '?'} ${body.name ?? ''}`)}: ${body.message ?? ''}${field}`
}
