/**
 * Owns the connection to the platform's store: watches the operators' requests (`DesiredWatch`), polls the lists of endpoints and records at
 * the period that `core` asks for, and executes writes. Each call has a deadline, and failed reads are repeated
 * with backoff. Timeouts and retries belong here; the platform adapter only translates calls and replies.
 */
import { ENDPOINT_LIST_PERIODS_MS, RECORD_LIST_PERIODS_MS, readsFresh } from '@cranberryyard/core/shard'
import type { ListPace, ShardEffect, ShardInput } from '@cranberryyard/core/shard'
import type { Clock, EndpointReport, MemberRecord, Ms, Revised, ShardRecord } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { AnswerBudget } from './answerBudget.js'
import { DesiredWatch, READ_IDLE_TIMEOUT_MS } from './desiredWatch.js'
import type { DesiredRead } from './desiredWatch.js'
import { HttpCaller, MAX_ANSWER_BYTES } from './httpCaller.js'
import type { CallResult, LogFailedCall } from './httpCaller.js'
import type { DesiredReadResult, HttpCall, HttpReply, Page, RecordEntry, StoreFailure, StoreWire, UnreadableEntry } from './wires.js'

type EffectOf<T extends ShardEffect['type']> = Extract<ShardEffect, { type: T }>

/** Longest time until a read is complete: 1 MB, the largest value or page, takes 8 s at 1 Mbit/s. */
const READ_TOTAL_TIMEOUT_MS = ms(8000)
const WRITE_TIMEOUT_MS = ms(800)
/** Bounds of the exponential backoff after failed reads. Jitter keeps instances from retrying at the same time. */
const RETRY_MIN_MS = 100
const RETRY_MAX_MS = 600
/** Connections to the store: two polls, a watch and a write. */
const MAX_STORE_CONNECTIONS = 4
/** Consecutive failed reads after which the store counts as unreachable. */
const UNREACHABLE_AFTER_FAILURES = 2

/** What is read from the store. */
export type StoreList = 'desiredState' | 'evacuations' | 'endpoints' | 'records'

/** Logs what the store task meets. */
export interface StoreLog {
  /** Called when the number of entries of a list that cannot be used has changed. */
  readonly unreadable: (list: StoreList, entries: number) => void
  /** Called for each of these entries at each reading; bounds the number of lines. */
  readonly unreadableEntry: (list: StoreList, entry: UnreadableEntry) => void
  readonly failedCall: LogFailedCall
  /** Called when a read gave nothing usable. */
  readonly failedRead: (list: StoreList, read: FailedRead) => void
  /** Called for each failed read while the store counts as unreachable. */
  readonly unreachable?: () => void
  /** Called when a version of the desired state has arrived. */
  readonly desiredRead: (version: number, read: TimedRead) => void
}

/** How long a read took. */
export interface TimedRead {
  readonly isWatch: boolean
  readonly tookMs: number
  /** Bytes of the answer's body that arrived. */
  readonly receivedBytes: number
}

/** A read that gave nothing usable. `refused`: nothing listened; `silent`: the answer was not complete in time; `status ...`: what the store answered. */
export interface FailedRead extends TimedRead {
  readonly why: string
}

/** Reads, watches and writes the platform's store. */
export class StoreTask {
  private readonly caller: HttpCaller
  private pace: ListPace = 'near'
  private closed = false
  private reachable: boolean | undefined
  private failures = 0
  private readonly unreadable = new Map<StoreList, number>()
  private wakeRecords: () => void = () => {}
  private wakeEndpoints: () => void = () => {}
  /** True until a read of the records that may not be stale has succeeded. */
  private requireFreshRecords = true
  private readonly desiredWatch: DesiredWatch

  constructor (private wire: StoreWire, private readonly post: (input: ShardInput) => void, private readonly random: () => number, private readonly clock: Clock, private readonly log: StoreLog, budget = new AnswerBudget()) {
    this.caller = new HttpCaller(MAX_STORE_CONNECTIONS, log.failedCall, { maxBytes: MAX_ANSWER_BYTES, budget })
    this.desiredWatch = new DesiredWatch({
      wire: () => this.wire,
      read: (call, idleTimeoutMs, parse, isWatch) => this.readDesired(call, idleTimeoutMs, parse, isWatch),
      post,
      unreadable: (list, entries) => this.reportUnreadable(list, entries),
      pauseAfterFailures: failures => this.sleep(this.backoffMs(failures)),
      sleep: durationMs => this.sleep(durationMs),
      now: () => clock.now(),
      isClosed: () => this.closed
    })
  }

  /** Starts the watch of the desired state and both polling loops. */
  start (): void {
    void this.desiredWatch.run()
    void this.loop(async () => {
      return await this.readEndpoints() ? ENDPOINT_LIST_PERIODS_MS[this.pace] : undefined
    }, (wake) => {
      this.wakeEndpoints = wake
    })
    void this.loop(async () => await this.readRecords() ? RECORD_LIST_PERIODS_MS[this.pace] : undefined, (wake) => {
      this.wakeRecords = wake
    })
  }

  /** Goes on with the store at another address, which has the same content and revisions. */
  moveTo (wire: StoreWire): void {
    this.wire = wire
    this.wakeEndpoints()
    this.refreshRecords()
  }

  /** Changes the polling periods; a list whose period becomes shorter is read at once. */
  setPace (pace: ListPace): void {
    const before = this.pace
    this.pace = pace
    if (ENDPOINT_LIST_PERIODS_MS[pace] < ENDPOINT_LIST_PERIODS_MS[before]) this.wakeEndpoints()
    if (RECORD_LIST_PERIODS_MS[pace] < RECORD_LIST_PERIODS_MS[before]) this.wakeRecords()
  }

  /** Wakes the polling of the records and requires that its next read is not stale. */
  refreshRecords (): void {
    this.requireFreshRecords = true
    this.wakeRecords()
  }

  /** Registers this instance. A failed write is not retried here, but repeated once the records lack the registration. */
  async writeMember (record: MemberRecord): Promise<void> {
    await this.write(this.wire.writeMember(record))
    this.refreshRecords()
  }

  /** Writes the shard record of a claim, if it still has the expected revision, and posts the outcome. */
  async claim (effect: EffectOf<'claimShard'>): Promise<void> {
    const result = await this.write(this.wire.claimShard(effect.record, effect.expectedRevision))
    this.post({ type: 'claimOutcome', claimId: effect.claimId, result })
  }

  /** Ends all loops and closes the connections. */
  close (): Promise<void> {
    this.closed = true
    return this.caller.close()
  }

  private async readDesired (call: HttpCall, idleTimeoutMs: Ms, parse: (reply: HttpReply) => DesiredReadResult | StoreFailure, isWatch: boolean): Promise<DesiredRead> {
    const { parsed, ...timed } = await this.timedRead('desiredState', call, idleTimeoutMs, parse, isWatch)
    if (parsed.type === 'state' && parsed.state !== undefined) this.log.desiredRead(parsed.state.version, timed)
    return { result: parsed, receivedBytes: timed.receivedBytes }
  }

  private async readEndpoints (): Promise<boolean> {
    const fresh = readsFresh(this.pace)
    const reports = await this.readPages<EndpointReport>('endpoints', after => this.wire.listEndpoints(after, !fresh), reply => this.wire.parseEndpoints(reply))
    if (reports === undefined) return false
    this.post({ type: 'endpoints', reports, fresh })
    return true
  }

  private async readRecords (): Promise<boolean> {
    const stale = !this.requireFreshRecords
    const entries = await this.readPages<RecordEntry>('records', after => this.wire.listRecords(after, stale), reply => this.wire.parseRecords(reply))
    if (entries === undefined) return false
    if (!stale) this.requireFreshRecords = false
    const members: Revised<MemberRecord>[] = []
    const shards: Revised<ShardRecord>[] = []
    for (const entry of entries) {
      if (entry.type === 'member') members.push(entry.record)
      else shards.push(entry.record)
    }
    this.post({ type: 'records', members, shards })
    return true
  }

  private async readPages<T> (list: 'endpoints' | 'records', makeCall: (after: string | undefined) => HttpCall, parse: (reply: HttpReply) => Page<T> | StoreFailure): Promise<readonly T[] | undefined> {
    let entries: readonly T[] = []
    let unreadable: readonly UnreadableEntry[] = []
    let after: string | undefined
    do {
      const { parsed: page } = await this.timedRead(list, makeCall(after), READ_IDLE_TIMEOUT_MS, parse)
      if (page.type !== 'page') return undefined
      entries = [...entries, ...page.entries]
      unreadable = [...unreadable, ...page.unreadable]
      after = page.nextAfter
    } while (after !== undefined)
    this.reportUnreadable(list, unreadable)
    return entries
  }

  private async timedRead<T extends { readonly type: string }> (list: StoreList, call: HttpCall, idleTimeoutMs: Ms, parse: (reply: HttpReply) => T | StoreFailure, isWatch = false): Promise<TimedRead & { readonly parsed: T | StoreFailure }> {
    const startedAt = this.clock.now()
    const result = await this.caller.call(this.wire.address, call, { idleTimeoutMs, totalTimeoutMs: READ_TOTAL_TIMEOUT_MS })
    const parsed: T | StoreFailure = result.type === 'reply' ? parse(result.reply) : { type: result.type === 'refused' ? 'unavailable' : 'unknown' }
    const ok = parsed.type !== 'unavailable' && parsed.type !== 'unknown'
    this.recordOutcome(ok)
    const timed = { isWatch, tookMs: Math.round(this.clock.now() - startedAt), receivedBytes: receivedBytes(result) }
    if (!ok && !this.closed) this.log.failedRead(list, { ...timed, why: result.type === 'reply' ? `status ${result.reply.status}` : result.type })
    return { ...timed, parsed }
  }

  private async write (call: HttpCall): Promise<ReturnType<StoreWire['parseWrite']>> {
    const result = await this.caller.call(this.wire.address, call, WRITE_TIMEOUT_MS)
    if (result.type === 'reply') return this.wire.parseWrite(result.reply)
    return { type: result.type === 'refused' ? 'unavailable' : 'unknown' }
  }

  private reportUnreadable (list: StoreList, entries: readonly UnreadableEntry[]): void {
    for (const entry of entries) this.log.unreadableEntry(list, entry)
    if (entries.length === (this.unreadable.get(list) ?? 0)) return
    this.unreadable.set(list, entries.length)
    this.log.unreadable(list, entries.length)
  }

  private recordOutcome (ok: boolean): void {
    this.failures = ok ? 0 : this.failures + 1
    const reachable = this.failures < UNREACHABLE_AFTER_FAILURES
    if (!reachable) this.log.unreachable?.()
    if (reachable === this.reachable || (!ok && reachable)) return
    this.reachable = reachable
    this.post({ type: 'storeReachable', reachable })
  }

  /** Repeats a step. The step returns the delay until its next run, or undefined after a failure, which is followed by a backoff. */
  private async loop (step: () => Promise<number | undefined>, registerWake: (wake: () => void) => void = () => {}): Promise<void> {
    let failures = 0
    while (!this.closed) {
      const delayMs = await step()
      failures = delayMs === undefined ? failures + 1 : 0
      let wake = (): void => {}
      const woken = new Promise<void>((resolve) => {
        wake = resolve
      })
      registerWake(wake)
      await Promise.race([this.sleep(delayMs ?? this.backoffMs(failures)), woken])
    }
  }

  private backoffMs (failures: number): number {
    return Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** failures) * (0.5 + this.random())
  }

  private sleep (durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs).unref())
  }
}

function receivedBytes (result: CallResult): number {
  switch (result.type) {
    case 'reply': return Buffer.byteLength(result.reply.body)
    case 'silent': return result.receivedBytes
    case 'refused': return 0
  }
}
