/**
 * Output for people: aligned tables, coloured text, and errors with their code. Text is coloured only on a terminal,
 * so that output in files and pipes stays plain.
 */
import process from 'node:process'
import { styleText } from 'node:util'

/** Colours and styles that the commands use. */
export type Colour = 'green' | 'red' | 'yellow' | 'bold'

/**
 * Colours text when standard output is a terminal and NO_COLOR is not set; otherwise the text stays plain.
 * @param colour - colour or style
 * @param text - text to colour
 * @returns text to print
 */
export function colourText (colour: Colour, text: string): string {
  const usesColour = process.stdout.isTTY && process.env.NO_COLOR === undefined
  return usesColour ? styleText(colour, text) : text
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

/** A refusal or failure as the daemon reports it. */
export interface FailureBody {
  readonly code?: number
  readonly name?: string
  readonly message?: string
  readonly field?: string
}

/**
 * Renders a failure in one line: code, name, message and, if the daemon names one, the field.
 * @param body - the daemon's response
 * @returns text for standard error
 */
export function renderFailure (body: FailureBody): string {
  const field = body.field === undefined || body.field === '' ? '' : ` (${body.field})`
  return `${colourText('red', `error ${body.code ?? '?'} ${body.name ?? ''}`)}: ${body.message ?? ''}${field}`
}
