/**
 * Virtual clock of in-memory runs. Time jumps from one scheduled event to the next, and events of the same time run in
 * the order in which they were scheduled, so that a run is deterministic and takes no real waiting time.
 */
import TinyQueue from 'tinyqueue'

interface TimelineEvent {
  readonly at: number
  readonly order: number
  readonly run: () => void
}

/** A queue of events with the present virtual time in milliseconds. */
export class Timeline {
  now = 0
  private order = 0
  private readonly queue = new TinyQueue<TimelineEvent>([], (a, b) => a.at - b.at || a.order - b.order)

  /**
   * Schedules an event.
   * @param delayMs - delay from now; a negative delay counts as zero
   * @param run - called when the time is reached
   */
  after (delayMs: number, run: () => void): void {
    this.queue.push({ at: this.now + Math.max(0, delayMs), order: this.order++, run })
  }

  /** Runs all events up to and including a time, then sets the clock to it. */
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
