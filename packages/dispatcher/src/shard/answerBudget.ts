/**
 * Keeps the answers of endpoints and of the store inside their budget while they are received. Nobody controls what listens at an address of the
 * store's list, and an answer may have no end. When the budget is used up, the calls are given up whose answers hold most for longest with least progress.
 */
import { ConnectionsDecider, DEFAULT_MACHINE, allowancesFor, costOfPart } from '@cranberryyard/core/shard'
import type { Allowance, Connection } from '@cranberryyard/core/shard'
import { systemClock } from '@cranberryyard/protocol'
import type { Clock } from '@cranberryyard/protocol'
import type { ReportClosed } from '../utils/connectionGuard.js'
import { countPiece } from '../utils/pieceCollection.js'

/** Bounds on the answer to a call. */
export interface AnswerLimits {
  /** Largest answer. */
  readonly maxBytes: number
  /** What all answers may hold together. */
  readonly budget: AnswerBudget
}

/** An answer that is received in several parts. */
export interface HeldAnswer {
  receive (bytes: number): void
  hold (bytes: number): void
  close (): void
}

/** What the answers hold that are received now. */
export class AnswerBudget {
  private readonly decider: ConnectionsDecider
  private readonly giveUp = new Map<Connection, () => void>()

  constructor (allowance = allowancesFor(DEFAULT_MACHINE).answers, private readonly clock: Pick<Clock, 'now'> = systemClock, readonly report: ReportClosed = () => {}) {
    this.decider = new ConnectionsDecider(allowance)
  }

  /** Counts an answer from now on. @param giveUp - ends its call */
  open (giveUp: () => void): HeldAnswer {
    const now = this.clock.now()
    const connection = this.decider.open(now)
    this.decider.enter(connection, 'receiving', now)
    this.giveUp.set(connection, giveUp)
    return {
      receive: (bytes) => {
        countPiece(bytes)
        connection.received += bytes
      },
      hold: (bytes) => {
        this.decider.hold(connection, costOfPart(bytes))
        this.giveUpExcess()
      },
      close: () => {
        this.decider.close(connection)
        this.giveUp.delete(connection)
      }
    }
  }

  /** @returns the number of answers and the bytes that are held for them */
  usage (): Allowance {
    return { connections: this.decider.db.open.size, bytes: this.decider.db.bytes }
  }

  private giveUpExcess (): void {
    const reason = this.decider.excess()
    if (reason === undefined) return
    for (const connection of this.decider.victims(this.clock.now())) {
      this.report(reason)
      this.giveUp.get(connection)?.()
    }
  }
}
