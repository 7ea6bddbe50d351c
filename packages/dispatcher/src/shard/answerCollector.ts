/**
 * Collects the parts of an answer inside its limits. Most answers come in one part, which is not copied.
 */
import { GrowingBuffer } from '../utils/growingBuffer.js'
import type { AnswerLimits, HeldAnswer } from './answerBudget.js'

/** The answer to one call. */
export class AnswerCollector {
  private firstPart: Buffer | undefined
  private readonly parts = new GrowingBuffer()
  private held: HeldAnswer | undefined

  /** @param giveUp - ends the call, whose answer does not fit */
  constructor (private readonly limits: AnswerLimits, private readonly giveUp: (reason: string) => void) {}

  get receivedBytes (): number {
    return this.firstPart?.length ?? this.parts.length
  }

  /** Takes a part; gives the call up if the answer is too large, or if all answers hold too much. */
  add (part: Buffer): void {
    if (this.receivedBytes + part.length > this.limits.maxBytes) {
      this.limits.budget.report('tooLarge')
      return this.giveUp(`the answer is larger than ${this.limits.maxBytes} bytes`)
    }
    if (this.receivedBytes === 0) this.firstPart = part
    else this.append(part)
  }

  /** @returns the answer, valid until the collector is closed */
  body (): Buffer {
    return this.firstPart ?? this.parts.bytes()
  }

  /** Frees what is held. */
  close (): void {
    this.held?.close()
    this.parts.clear()
  }

  private append (part: Buffer): void {
    const before = this.parts.capacity
    if (this.firstPart !== undefined) this.parts.append(this.firstPart)
    this.firstPart = undefined
    this.parts.append(part)
    this.held ??= this.limits.budget.open(() => this.giveUp('the answers that are received use up the budget'))
    this.held.receive(part.length)
    if (this.parts.capacity > before) this.held.hold(this.parts.capacity)
  }
}
