/**
 * Structured log lines on standard output: one JSON object a line, written asynchronously. Lines and bytes a second are
 * bounded; what does not fit is counted, and the counts follow in a line of their own. A reader that stalls costs
 * lines, never time.
 */
import { pino } from 'pino'
import type { DestinationStream, Logger } from 'pino'

/** Fields of a line. */
export type LineFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Lines a second about single jobs and tasks; above this they are counted only. */
const JOB_LINES_PER_S = 150
/** Lines a second about everything else. */
const OTHER_LINES_PER_S = 100
/** Bytes that may wait for a slow reader. */
const BUFFER_BYTES_MAX = 1_048_576
/** Bytes collected before they are written; the rest follows with the next second. */
const WRITE_BYTES = 8192
const SECOND_MS = 1000

/** Whether lines still fit into the second. */
export class LineBudget {
  private secondStart = -Infinity
  private jobLines = 0
  private otherLines = 0
  private suppressed = 0

  /** @returns true when a line may be written now */
  take (event: string, now: number): boolean {
    if (now - this.secondStart >= SECOND_MS) this.startSecond(now)
    const aboutJob = event.startsWith('job.') || event.startsWith('task.')
    const fits = aboutJob ? this.jobLines++ < JOB_LINES_PER_S : this.otherLines++ < OTHER_LINES_PER_S
    if (!fits) this.suppressed++
    return fits
  }

  /** @returns lines suppressed since the last call */
  takeSuppressed (): number {
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

/** The log of one process. */
export class StructuredLog {
  private readonly logger: Logger
  private readonly budget = new LineBudget()
  private readonly destination: DestinationStream & { flushSync?: () => void, flush?: () => void }
  private reportedAt = 0
  private unflushed = false

  /**
   * @param base - fields of every line
   * @param now - time in milliseconds, for the budget
   * @param destination - where lines go; standard output by default
   */
  constructor (base: LineFields, private readonly now: () => number, destination?: DestinationStream) {
    this.destination = destination ?? pino.destination({ dest: 1, sync: false, minLength: WRITE_BYTES, maxLength: BUFFER_BYTES_MAX })
    this.logger = pino({ base, timestamp: pino.stdTimeFunctions.isoTime, messageKey: 'event' }, this.destination)
  }

  /** Writes a line unless the second's budget is used up. */
  write (level: 'info' | 'warn', event: string, fields: LineFields): void {
    const now = this.now()
    this.unflushed = true
    if (this.budget.take(event, now)) this.logger[level](fields, event)
    if (now - this.reportedAt < SECOND_MS) return
    this.reportedAt = now
    const suppressed = this.budget.takeSuppressed()
    if (suppressed > 0) this.logger.warn({ lines: suppressed }, 'log.suppressed')
  }

  /** Hands what is collected to the system. */
  flush (): void {
    if (!this.unflushed) return
    this.unflushed = false
    this.destination.flush?.()
  }

  /** Writes out what is collected before the process ends. */
  flushSync (): void {
    try {
      this.destination.flushSync?.()
    } catch (err) {
      process.stderr.write(`log lines lost at exit: ${String(err)}\n`)
    }
  }
}
