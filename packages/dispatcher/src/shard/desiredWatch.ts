/**
 * Follows the operators' requests in the platform's store: the desired state and, where there are any, the evacuations of failure domains. One read in
 * full is followed by watches from its revision, so both arrive with the same call. When the store has forgotten the revision, they are
 * read in full again, which shows the evacuations that have ended meanwhile as well.
 */
import type { ShardInput } from '@cranberryyard/core/shard'
import type { FailureDomain, Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import type { DesiredAnswer, DesiredReadResult, HttpCall, HttpReply, StoreFailure, StoreWire, UnreadableEntry } from './wires.js'

/** How long the store may keep a watch waiting; short enough to renew a watch on a dead connection within the platform's grace period. */
const WATCH_WAIT_MS = ms(2000)
/** Time that a watch may take beyond its wait before it counts as failed. */
const WATCH_SLACK_MS = 400
/** The same after a watch that failed: a short one shows soon whether the store answers again. */
const PROBE_WAIT_MS = ms(50)
/** Longest time without data during such a watch. */
const PROBE_TIMEOUT_MAX_MS = 1600
/** Longest time without data during a read; a slow store answers within a few hundred milliseconds. */
export const READ_IDLE_TIMEOUT_MS = ms(800)
/** Versions that follow each other within this time come in quick succession. */
const QUICK_SUCCESSION_MS = 150
/** Pause before the newest of such versions is read, without those in between: each may be half a megabyte. */
const SUCCESSION_PAUSE_MS = 200

/** Part of an answer after which a watch that failed is followed by a read in full, which has the newest version only. */
const LONG_ANSWER_BYTES = 65_536

/** The outcome of one call, and how much of its answer arrived. */
export interface DesiredRead {
  readonly result: DesiredReadResult | StoreFailure
  readonly receivedBytes: number
}

type Parse = (reply: HttpReply) => DesiredReadResult | StoreFailure

/** What the watch depends on. */
export interface DesiredWatchPorts {
  readonly wire: () => StoreWire
  readonly read: (call: HttpCall, idleTimeoutMs: Ms, parse: Parse, isWatch: boolean) => Promise<DesiredRead>
  readonly post: (input: ShardInput) => void
  readonly unreadable: (list: 'desiredState' | 'evacuations', entries: readonly UnreadableEntry[]) => void
  readonly pauseAfterFailures: (failures: number) => Promise<void>
  readonly sleep: (durationMs: number) => Promise<void>
  readonly now: () => Ms
  readonly isClosed: () => boolean
}

/** Posts the operators' requests as they change. */
export class DesiredWatch {
  private readonly evacuated = new Set<FailureDomain>()
  private versionAt = -Infinity

  constructor (private readonly ports: DesiredWatchPorts) {}

  /** Reads and watches until the task is closed. */
  async run (): Promise<void> {
    const { ports } = this
    let revision: number | undefined
    let failures = 0
    while (!ports.isClosed()) {
      const isFull = revision === undefined
      const { result: update, receivedBytes } = revision === undefined ? await this.readInFull() : await this.watchFrom(revision, failures)
      if (update.type === 'unavailable' || update.type === 'unknown') {
        // The answer was too long for the link, and the next would be longer still.
        if (receivedBytes > LONG_ANSWER_BYTES) revision = undefined
        await ports.pauseAfterFailures(failures++)
        continue
      }
      failures = 0
      if (update.type === 'forgotten') {
        revision = undefined
        continue
      }
      this.apply(update, isFull)
      revision = update.asOf
      const inQuickSuccession = update.state !== undefined && this.comesInQuickSuccession()
      if (isFull || !(inQuickSuccession || update.hasOlderVersions === true)) continue
      await ports.sleep(SUCCESSION_PAUSE_MS)
      revision = undefined
    }
  }

  /** Reads all pages. The watch goes on from the first one: what was written since is in a later page already, or comes again. */
  private async readInFull (): Promise<DesiredRead> {
    let read = await this.readPage(undefined)
    let whole = read.result
    while (whole.type === 'state' && read.result.type === 'state' && read.result.nextAfter !== undefined) {
      read = await this.readPage(read.result.nextAfter)
      whole = read.result.type === 'state' ? join(whole, read.result) : read.result
    }
    return { ...read, result: whole }
  }

  private readPage (after: string | undefined): Promise<DesiredRead> {
    const wire = this.ports.wire()
    return this.ports.read(wire.readDesired(after), READ_IDLE_TIMEOUT_MS, reply => wire.parseDesired(reply), false)
  }

  /**
   * Waits for a change since a revision. After a failure it waits only briefly and gives up sooner, since a store that was silent answers no open watch when
   * it is back; the second failure leaves more time, for a busy link.
   */
  private watchFrom (revision: number, failures: number): Promise<DesiredRead> {
    const wire = this.ports.wire()
    const watchTimeoutMs = WATCH_WAIT_MS + WATCH_SLACK_MS
    const [waitMs, timeoutMs] = failures === 0 ? [WATCH_WAIT_MS, watchTimeoutMs] : [PROBE_WAIT_MS, Math.min(PROBE_TIMEOUT_MAX_MS, READ_IDLE_TIMEOUT_MS * failures)]
    return this.ports.read(wire.watchDesired(revision, waitMs), ms(timeoutMs), reply => wire.parseDesiredWatch(reply), true)
  }

  /** The evacuations come first: an instance without a desired state starts nothing, so it knows them before its first start. */
  private apply ({ state, asOf, unreadable, evacuations }: DesiredAnswer, isFull: boolean): void {
    const { ports } = this
    if (evacuations !== undefined) {
      if (isFull) this.evacuated.clear()
      for (const { failureDomain, evacuated } of evacuations.entries) {
        if (evacuated) this.evacuated.add(failureDomain)
        else this.evacuated.delete(failureDomain)
      }
      if (isFull || evacuations.unreadable.length > 0) ports.unreadable('evacuations', evacuations.unreadable)
      ports.post({ type: 'evacuations', evacuations: { revision: asOf, domains: [...this.evacuated] } })
    }
    ports.unreadable('desiredState', unreadable === undefined ? [] : [unreadable])
    if (state !== undefined) ports.post({ type: 'desired', state })
  }

  private comesInQuickSuccession (): boolean {
    const before = this.versionAt
    this.versionAt = this.ports.now()
    return this.versionAt - before < QUICK_SUCCESSION_MS
  }
}

function join (first: DesiredAnswer, next: DesiredAnswer): DesiredAnswer {
  return {
    ...first,
    state: next.state ?? first.state,
    unreadable: first.unreadable ?? next.unreadable,
    ...first.evacuations === undefined || next.evacuations === undefined
      ? {}
      : { evacuations: { entries: [...first.evacuations.entries, ...next.evacuations.entries], unreadable: [...first.evacuations.unreadable, ...next.evacuations.unreadable] } }
  }
}
