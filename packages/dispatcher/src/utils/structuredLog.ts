/**
 * Writes structured log lines to standard output asynchronously, one JSON object per line. The number of lines per second
 * and the buffered bytes are bounded; lines over the rate are counted, and a separate line reports the count. A reader
 * that stalls therefore loses lines but never delays the process. The shard daemon uses this log; the entry daemon in
 * `daemon.ts` uses `log.ts`.
 */
import { pino } from 'pino'
import type { DestinationStream, Logger } from 'pino'

/** Fields of a log line. */
export type LineFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Limit on lines per second about single jobs and tasks; further lines are only counted. */
const MAX_JOB_LINES_PER_S = 150
/** Limit on all other lines per second, separate so that many jobs cannot suppress them. */
const MAX_OTHER_LINES_PER_S = 100
/** Bytes that are buffered for a slow reader; further lines are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576
/** Bytes that are collected before a write; `flush` writes what is left. */
const MIN_WRITE_BYTES = 8192
const SECOND_MS = 1000
/** Period after which a line about a lasting state is written again, so that a recent part of the log shows it. */
const REPEAT_INTERVAL_MS = 600_000
/** Limit on different lines of one event in that period. */
const MAX_REPEATED_LINES = 20
/** Characters of a text of others that a line about it holds. */
const MAX_TEXT_LENGTH = 200

/** Limits the number of log lines per second and counts the suppressed ones. */
export class LineBudget {
  private secondStart = -Infinity
  private jobLines = 0
  private otherLines = 0
  private suppressed = 0

  /** Counts a line against the budget of the current second. @returns false if the line must be suppressed */
  tryConsume (event: string, now: number): boolean {
    if (now - this.secondStart >= SECOND_MS) this.startSecond(now)
    const aboutJob = event.startsWith('job.') || event.startsWith('task.')
    const fits = aboutJob ? this.jobLines++ < MAX_JOB_LINES_PER_S : this.otherLines++ < MAX_OTHER_LINES_PER_S
    if (!fits) this.suppressed++
    return fits
  }

  /** Resets the count of suppressed lines. @returns the count since the last call */
  resetSuppressedCount (): number {
    const count = this.suppressed
    this.suppressed = 0
    return count
  }

  private startSecond (now: number): void {
    this.secondStart = now
    this.jobLines = 0
    this.otherLines = 0
  }
}

/**
 * Selects the lines about a state that is met again and again, such as an entry that stays unusable for a whole day: each of its
 * lines is written once in `REPEAT_INTERVAL_MS`, and no more than `MAX_REPEATED_LINES` different ones of an event.
 */
export class RepeatBudget {
  private readonly written = new Map<string, Set<string>>()
  private intervalStart = -Infinity

  /** @returns true if the line with this text is due */
  tryConsume (event: string, text: string, now: number): boolean {
    if (now - this.intervalStart >= REPEAT_INTERVAL_MS) {
      this.intervalStart = now
      this.written.clear()
    }
    const texts = this.written.get(event) ?? new Set()
    if (texts.has(text) || texts.size >= MAX_REPEATED_LINES) return false
    this.written.set(event, texts.add(text))
    return true
  }
}

/** The log of one process, with fields that every line carries. */
export class StructuredLog {
  private readonly logger: Logger
  private readonly budget = new LineBudget()
  private readonly repeatBudget = new RepeatBudget()
  private readonly destination: DestinationStream & { flushSync?: () => void, flush?: () => void }
  private suppressionReportedAt = 0
  private hasUnflushed = false

  /**
   * @param base - fields of every line
   * @param now - returns the time in milliseconds for the budget
   * @param destination - where lines go; standard output by default
   */
  constructor (base: LineFields, private readonly now: () => number, destination?: DestinationStream) {
    this.destination = destination ?? pino.destination({ dest: 1, sync: false, minLength: MIN_WRITE_BYTES, maxLength: MAX_BUFFERED_BYTES })
    this.logger = pino({ base, timestamp: pino.stdTimeFunctions.isoTime, messageKey: 'event' }, this.destination)
  }

  /** Writes a line unless the budget of the current second is exhausted. Also reports suppressed lines, at most once per second. */
  write (level: 'info' | 'warn', event: string, fields: LineFields): void {
    const now = this.now()
    this.hasUnflushed = true
    if (this.budget.tryConsume(event, now)) this.logger[level](fields, event)
    if (now - this.suppressionReportedAt < SECOND_MS) return
    this.suppressionReportedAt = now
    const suppressed = this.budget.resetSuppressedCount()
    if (suppressed > 0) this.logger.warn({ lines: suppressed }, 'log.suppressed')
  }

  /**
   * Writes a warning about a state that lasts, unless the same one was written lately.
   * @param text - tells the state from others of the same event
   * @param fields - long texts are cut
   */
  writeRepeated (event: string, text: string, fields: Readonly<Record<string, string>>): void {
    if (!this.repeatBudget.tryConsume(event, text.slice(0, 2 * MAX_TEXT_LENGTH), this.now())) return
    this.write('warn', event, Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, value.slice(0, MAX_TEXT_LENGTH)])))
  }

  /** Starts to write buffered lines. */
  flush (): void {
    if (!this.hasUnflushed) return
    this.hasUnflushed = false
    this.destination.flush?.()
  }

  /** Writes buffered lines synchronously, for use before the process exits. */
  flushSync (): void {
    try {
      this.destination.flushSync?.()
    } catch (err) {
      process.stderr.write(`buffered log lines were lost at exit: ${String(err)}\n`)
    }
  }
}
