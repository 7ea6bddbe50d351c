/**
 * Owns the connection to the platform's store: watches the desired state, reads the lists of endpoints and records at
 * a fixed slow pace, and carries out writes. Each call has a deadline; after a failure the pace falls.
 */
import { ENDPOINT_LIST_PERIODS_MS, RECORD_LIST_PERIODS_MS } from '@cranberryyard/core/shard'
import type { ListPace, ShardEffect, ShardInput } from '@cranberryyard/core/shard'
import type { EndpointReport, MemberRecord, Ms, Revised, ShardRecord } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { HttpCaller } from './httpCaller.js'
import type { DesiredNews, HttpCall, HttpReply, Page, RecordEntry, StoreFailure, StoreWire } from './wires.js'

type EffectOf<T extends ShardEffect['type']> = Extract<ShardEffect, { type: T }>

/** How long a watch waits; short enough that one on a silent connection is renewed within the platform's grace. */
const WATCH_MS = ms(2000)
/** Slack over a watch's own wait. */
const WATCH_SLACK_MS = 400
/** Longest silence of a read; a slow store answers within a few hundred milliseconds. */
const READ_SILENCE_MS = ms(800)
/** Longest time of a read: a megabyte, the most that a value or page may have, at 1 Mbit/s. */
const READ_TOTAL_MS = ms(8000)
/** Longest wait for a write. */
const WRITE_TIMEOUT_MS = ms(800)
/** Pauses after failures: doubled up to the longest, with jitter so that instances do not call together. */
const RETRY_MIN_MS = 100
const RETRY_MAX_MS = 600
/** Failures in a row from which the store counts as lost. */
const LOST_AFTER = 2

/** Logs entries of a list that could not be understood; called when their number changes. */
export type LogUnreadable = (list: 'desiredState' | 'endpoints' | 'records', entries: number) => void

/** Owns the store connection. */
export class StoreTask {
  private readonly caller = new HttpCaller(4)
  private pace: ListPace = 'near'
  private closed = false
  private reachable: boolean | undefined
  private failures = 0
  private readonly unreadable = new Map<string, number>()
  private wakeRecords: () => void = () => {}
  private wakeEndpoints: () => void = () => {}
  /** The next read of the records must not be stale. */
  private freshRecords = true

  constructor (private readonly wire: StoreWire, private readonly post: (input: ShardInput) => void, private readonly random: () => number, private readonly log: LogUnreadable) {}

  /** Starts all loops. */
  start (): void {
    void this.followDesired()
    void this.loop(async () => {
      return await this.readEndpoints() ? ENDPOINT_LIST_PERIODS_MS[this.pace] : undefined
    }, (wake) => {
      this.wakeEndpoints = wake
    })
    void this.loop(async () => await this.readRecords() ? RECORD_LIST_PERIODS_MS[this.pace] : undefined, (wake) => {
      this.wakeRecords = wake
    })
  }

  /** Reads the lists at another pace; at once where they have to be fresher than they are. */
  setPace (pace: ListPace): void {
    const before = this.pace
    this.pace = pace
    if (ENDPOINT_LIST_PERIODS_MS[pace] < ENDPOINT_LIST_PERIODS_MS[before]) this.wakeEndpoints()
    if (RECORD_LIST_PERIODS_MS[pace] < RECORD_LIST_PERIODS_MS[before]) this.wakeRecords()
  }

  /** Reads the records again at once. */
  refreshRecords (): void {
    this.freshRecords = true
    this.wakeRecords()
  }

  /** Registers this instance. A failed write is repeated when the records show that it is missing. */
  async writeMember (record: MemberRecord): Promise<void> {
    await this.write(this.wire.writeMember(record))
    this.refreshRecords()
  }

  /** Writes a claim. */
  async claim (effect: EffectOf<'claimShard'>): Promise<void> {
    const result = await this.write(this.wire.claimShard(effect.record, effect.expectedRevision))
    this.post({ type: 'claimOutcome', claimId: effect.claimId, result })
  }

  /** Ends all loops. */
  close (): Promise<void> {
    this.closed = true
    return this.caller.close()
  }

  private async followDesired (): Promise<void> {
    let asOf: number | undefined
    let failures = 0
    while (!this.closed) {
      const news = asOf === undefined
        ? await this.read(this.wire.readDesired(), READ_SILENCE_MS, reply => this.wire.parseDesired(reply))
        : await this.read(this.wire.watchDesired(asOf, WATCH_MS), ms(WATCH_MS + WATCH_SLACK_MS), reply => this.wire.parseDesiredWatch(reply))
      if (news.type === 'unavailable' || news.type === 'unknown') {
        await this.sleep(this.pause(failures++))
        continue
      }
      failures = 0
      asOf = this.takeDesired(news)
    }
  }

  /** @returns the revision from which to go on, or undefined to read again */
  private takeDesired (news: DesiredNews): number | undefined {
    if (news.type === 'forgotten') return undefined
    this.noteUnreadable('desiredState', news.unreadable ? 1 : 0)
    if (news.state !== undefined) this.post({ type: 'desired', state: news.state })
    return news.asOf
  }

  private async readEndpoints (): Promise<boolean> {
    const fresh = this.pace === 'owner'
    const reports = await this.readPages<EndpointReport>('endpoints', after => this.wire.listEndpoints(after, !fresh), reply => this.wire.parseEndpoints(reply))
    if (reports === undefined) return false
    this.post({ type: 'endpoints', reports, fresh })
    return true
  }

  private async readRecords (): Promise<boolean> {
    const stale = !this.freshRecords
    const entries = await this.readPages<RecordEntry>('records', after => this.wire.listRecords(after, stale), reply => this.wire.parseRecords(reply))
    if (entries === undefined) return false
    if (!stale) this.freshRecords = false
    const members: Revised<MemberRecord>[] = []
    const shards: Revised<ShardRecord>[] = []
    for (const entry of entries) {
      if (entry.type === 'member') members.push(entry.record)
      else shards.push(entry.record)
    }
    this.post({ type: 'records', members, shards })
    return true
  }

  private async readPages<T> (list: 'endpoints' | 'records', callFor: (after: string | undefined) => HttpCall, parse: (reply: HttpReply) => Page<T> | StoreFailure): Promise<T[] | undefined> {
    const entries: T[] = []
    let unreadable = 0
    let after: string | undefined
    do {
      const page = await this.read(callFor(after), READ_SILENCE_MS, parse)
      if (page.type !== 'page') return undefined
      entries.push(...page.entries)
      unreadable += page.unreadable
      after = page.nextAfter
    } while (after !== undefined)
    this.noteUnreadable(list, unreadable)
    return entries
  }

  private async read<T extends { readonly type: string }> (call: HttpCall, silenceMs: Ms, parse: (reply: HttpReply) => T | StoreFailure): Promise<T | StoreFailure> {
    const result = await this.caller.call(this.wire.address, call, { silenceMs, totalMs: READ_TOTAL_MS })
    const parsed: T | StoreFailure = result.type === 'reply' ? parse(result.reply) : { type: result.type === 'refused' ? 'unavailable' : 'unknown' }
    this.note(parsed.type !== 'unavailable' && parsed.type !== 'unknown')
    return parsed
  }

  private async write (call: HttpCall): Promise<ReturnType<StoreWire['parseWrite']>> {
    const result = await this.caller.call(this.wire.address, call, WRITE_TIMEOUT_MS)
    if (result.type === 'reply') return this.wire.parseWrite(result.reply)
    return { type: result.type === 'refused' ? 'unavailable' : 'unknown' }
  }

  private noteUnreadable (list: Parameters<LogUnreadable>[0], entries: number): void {
    if (entries === (this.unreadable.get(list) ?? 0)) return
    this.unreadable.set(list, entries)
    this.log(list, entries)
  }

  private note (ok: boolean): void {
    this.failures = ok ? 0 : this.failures + 1
    const reachable = this.failures < LOST_AFTER
    if (reachable === this.reachable || (!ok && reachable)) return
    this.reachable = reachable
    this.post({ type: 'storeReachable', reachable })
  }

  /** Repeats a step; the step says how long to wait, or undefined after a failure. */
  private async loop (step: () => Promise<number | undefined>, onWake: (wake: () => void) => void = () => {}): Promise<void> {
    let failures = 0
    while (!this.closed) {
      const next = await step()
      failures = next === undefined ? failures + 1 : 0
      let wake = (): void => {}
      const woken = new Promise<void>((resolve) => {
        wake = resolve
      })
      onWake(wake)
      await Promise.race([this.sleep(next ?? this.pause(failures)), woken])
    }
  }

  private pause (failures: number): number {
    return Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** failures) * (0.5 + this.random())
  }

  private sleep (span: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, span).unref())
  }
}
