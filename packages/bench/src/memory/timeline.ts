/**
 * Virtual time: events in order, nothing in between. The injected clock of in-memory runs.
 */
import TinyQueue from 'tinyqueue'

interface TimelineEvent {
  readonly at: number
  readonly order: number
  readonly run: () => void
}

/** A queue of events on virtual time in milliseconds. */
export class Timeline {
  now = 0
  private order = 0
  private readonly queue = new TinyQueue<TimelineEvent>([], (a, b) => a.at - b.at || a.order - b.order)

  /**
   * Schedules an event.
   * @param delayMs - time from now
   * @param run - what happens
   */
  after (delayMs: number, run: () => void): void {
    this.queue.push({ at: this.now + Math.max(0, delayMs), order: this.order++, run })
  }

  /** Runs all events up to a time. */
  runUntil (until: number): void {
    for (;;) {
      const next = this.queue.peek()
      if (next === undefined || next.at > until) break
      this.queue.pop()
      this.now = next.at
      next.run()
    }
    this.now = until
  }
}
