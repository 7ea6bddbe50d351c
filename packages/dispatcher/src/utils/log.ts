/**
 * Writes structured log lines through the `debug` package, one JSON object per line. Only state changes are logged, since
 * counters go to statsd. Levels are `debug` namespaces, so that operators select them with the DEBUG variable.
 */
import createDebug from 'debug'

/** Fields of a log line. */
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

/** The log of this process. */
export const log = {
  error: (event: string, fields: LogFields = {}) => write('error', event, fields),
  warn: (event: string, fields: LogFields = {}) => write('warn', event, fields),
  info: (event: string, fields: LogFields = {}) => write('info', event, fields),
  debug: (event: string, fields: LogFields = {}) => write('debug', event, fields)
}

/** Enables the levels `error`, `warn` and `info` unless the DEBUG variable is set. */
export function enableDefaultLevels (): void {
  if (process.env.DEBUG === undefined) createDebug.enable(`${PREFIX}:error,${PREFIX}:warn,${PREFIX}:info`)
}
