/**
 * Reads what has arrived at a server in the order that the decisions in `core` give. One read of a socket brings up to 64 KiB, which may be ten
 * thousand chunks of one byte or a thousand requests, so it is handed on in slices, as many in a turn of the event loop as hold up nothing else.
 */
import { TurnsDecider } from '@cranberryyard/core/shard'
import type { Turn } from '@cranberryyard/core/shard'
import type { Clock } from '@cranberryyard/protocol'

/** What waits for its turn. */
export interface InputReader {
  /** Hands a slice of the input on. */
  readSlice (): void
}

/** The turns of a server's connections. */
export class InputTurns {
  private readonly decider = new TurnsDecider()
  private readonly readers = new Map<Turn, InputReader>()
  private turnScheduled = false
  private pauseTimer: NodeJS.Timeout | undefined

  constructor (private readonly clock: Pick<Clock, 'now'>) {}

  open (): Turn {
    return this.decider.open(this.clock.now())
  }

  /** Forgets a connection; what it holds must not stay until its turn. */
  close (turn: Turn): void {
    this.decider.close(turn)
    this.readers.delete(turn)
  }

  /** @returns whether input that has just arrived is read now */
  readAtOnce (turn: Turn, bytes: number): boolean {
    return this.decider.readAtOnce(turn, bytes, this.clock.now())
  }

  /** Has a connection wait until its reader is called. */
  wait (turn: Turn, bytes: number, reader: InputReader): void {
    this.readers.set(turn, reader)
    this.decider.wait(turn, bytes, this.clock.now())
    this.schedule()
  }

  /** Counts what a read has cost. */
  spend (turn: Turn, units: number): void {
    this.decider.spend(turn, units, this.clock.now())
    this.scheduleTurn()
  }

  private startTurn (): void {
    this.turnScheduled = false
    this.decider.startTurn(this.clock.now())
    for (let turn = this.decider.next(this.clock.now()); turn !== undefined; turn = this.decider.next(this.clock.now())) this.readers.get(turn)?.readSlice()
    this.schedule()
  }

  private schedule (): void {
    const pauseMs = this.decider.pauseMs(this.clock.now())
    if (pauseMs === undefined) return
    if (pauseMs === 0) return this.scheduleTurn()
    this.pauseTimer ??= setTimeout(() => {
      this.pauseTimer = undefined
      this.scheduleTurn()
    }, pauseMs)
  }

  private scheduleTurn (): void {
    if (this.turnScheduled) return
    this.turnScheduled = true
    setImmediate(() => this.startTurn())
  }
}
