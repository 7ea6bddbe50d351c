/**
 * What the operator writes about evacuated failure domains into the store of the in-memory fleet, and how instances read it: all at once when they
 * start and after each outage, and between these as events of a watch, which says nothing while the store drops its history.
 */
import type { ShardInput } from '@cranberryyard/core/shard'
import type { RecordStoreModel, ShardOracle } from '@cranberryyard/fakes'
import type { Evacuations, FailureDomain } from '@cranberryyard/protocol'
import type { Timeline } from '../memory/timeline.js'
import type { Process, StoreFaults } from './fleetTypes.js'

const PREFIX = 'op/evacuate/'
/** Period at which an instance without a watch tries to read. */
const READ_RETRY_MS = 100
/** Time from a write to the event at a watch, and its spread. */
const EVENT_MIN_MS = 2
const EVENT_SPREAD_MS = 4
/** For how long watches hear nothing while the store drops its history. */
const COMPACTION_MS = 1000
/** Time after which the operator writes again while there is no answer. */
const OPERATOR_RETRY_MS = 300

/** What the feed needs of its fleet. */
export interface FeedOptions {
  readonly time: Timeline
  readonly store: RecordStoreModel
  readonly oracle: ShardOracle
  readonly faults: StoreFaults
  readonly randomBelow: (n: number) => number
  readonly canRead: (process: Process) => boolean
  /** Returns how long the connection to the store still carries what was sent before. */
  readonly waitMs: (process: Process) => number
  readonly post: (process: Process, input: ShardInput) => void
}

/** The operator and the watches of one fleet. */
export class EvacuationFeed {
  /** Incarnations whose watch is open, with their processes. */
  private readonly watches = new Map<string, Process>()
  /** Number of the operator's latest request for each domain; earlier ones are no longer repeated. */
  private readonly requests = new Map<FailureDomain, number>()
  private deafUntil = 0

  constructor (private readonly options: FeedOptions) {}

  /** Evacuates a domain. The operator writes until the store has answered. */
  evacuate (domain: FailureDomain): void {
    const { store, oracle, time } = this.options
    this.request(domain, () => store.write(`${PREFIX}${domain}`, '{}', undefined), () => oracle.recordEvacuated(domain, time.now))
  }

  /** Takes a domain back; tasks may start there from the moment at which the operator says so. */
  takeBack (domain: FailureDomain): void {
    const { store, oracle } = this.options
    oracle.recordTakenBack(domain)
    this.request(domain, () => store.remove(`${PREFIX}${domain}`), () => {})
  }

  /** Lets the store drop its history. */
  compact (): void {
    const { time } = this.options
    this.deafUntil = time.now + COMPACTION_MS
    time.after(COMPACTION_MS, () => this.watches.clear())
  }

  /** Reads and watches for a process until it ends. */
  watch (process: Process): void {
    const { incarnation } = process
    const id = `${process.name}#${incarnation}`
    const step = (): void => {
      if (process.incarnation !== incarnation || !process.up) {
        this.watches.delete(id)
        return
      }
      if (!this.options.canRead(process)) this.watches.delete(id)
      else if (!this.watches.has(id)) this.read(id, process)
      this.options.time.after(READ_RETRY_MS, step)
    }
    step()
  }

  private request (domain: FailureDomain, write: () => void, acknowledged: () => void): void {
    const { faults, randomBelow, time } = this.options
    const number = (this.requests.get(domain) ?? 0) + 1
    this.requests.set(domain, number)
    const attempt = (): void => {
      if (this.requests.get(domain) !== number) return
      if (faults.down) return time.after(OPERATOR_RETRY_MS, attempt)
      write()
      this.notifyWatches()
      if (faults.lostReplyShare > 0 && randomBelow(1000) < faults.lostReplyShare * 1000) time.after(OPERATOR_RETRY_MS, attempt)
      else acknowledged()
    }
    attempt()
  }

  /** Reads everything. Instances start nothing before they have a desired state, which comes with the same answer after the evacuations. */
  private read (id: string, process: Process): void {
    this.watches.set(id, process)
    if (this.options.waitMs(process) === 0) this.options.post(process, { type: 'evacuations', evacuations: this.present() })
    else this.deliver(id, process, 0)
  }

  private notifyWatches (): void {
    const { randomBelow, time } = this.options
    if (time.now < this.deafUntil) return
    for (const [id, process] of this.watches) this.deliver(id, process, EVENT_MIN_MS + randomBelow(EVENT_SPREAD_MS))
  }

  /** Sends what the store holds after a delay. If the store turns the instance away meanwhile, its watch has ended. */
  private deliver (id: string, process: Process, delayMs: number): void {
    const { canRead, post, time, waitMs } = this.options
    const { incarnation } = process
    time.after(delayMs + waitMs(process), () => {
      if (process.incarnation !== incarnation || !process.up) return
      if (canRead(process)) post(process, { type: 'evacuations', evacuations: this.present() })
      else this.watches.delete(id)
    })
  }

  private present (): Evacuations {
    const { store } = this.options
    return { revision: store.revision, domains: store.range(PREFIX).map(({ key }) => key.slice(PREFIX.length) as FailureDomain) }
  }
}
