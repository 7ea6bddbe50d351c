/**
 * Structured log lines through `debug`: one JSON object a line, only for changes of state; counters go to statsd.
 */
import createDebug from 'debug'

/** Fields of a line. */
export type LogFields = Readonly<Record<string, string | number | boolean>>

/** Levels, most severe first. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug'

const PREFIX = 'cranberryyard'
const writers: Readonly<Record<LogLevel, createDebug.Debugger>> = {
  error: createDebug(`${PREFIX}:error`),
  warn: createDebug(`${PREFIX}:warn`),
  info: createDebug(`${PREFIX}:info`),
  debug: createDebug(`${PREFIX}:debug`)
}

function write (level: LogLevel, event: string, fields: LogFields): void {
  const writer = writers[level]
  if (writer.enabled) writer('%s', JSON.stringify({ at: new Date().toISOString(), event, ...fields }))
}

/** The one log object. */
export const log = {
  error: (event: string, fields: LogFields = {}) => write('error', event, fields),
  warn: (event: string, fields: LogFields = {}) => write('warn', event, fields),
  info: (event: string, fields: LogFields = {}) => write('info', event, fields),
  debug: (event: string, fields: LogFields = {}) => write('debug', event, fields)
}

/** Turns on lines from `info` up unless DEBUG says otherwise. */
export function enableDefaultLevels (): void {
  if (process.env.DEBUG === undefined) createDebug.enable(`${PREFIX}:error,${PREFIX}:warn,${PREFIX}:info`)
}
