/**
 * The desired state in force at this instance. It only moves to a higher version.
 */
import type { DesiredState, QueueTerms } from '@cranberryyard/protocol'

/** State of the desired state. */
export class DesiredDb {
  state: DesiredState | undefined

  /** @returns the version in force, 0 for none */
  version (): number {
    return this.state?.version ?? 0
  }

  /** @returns the queue with the longest prefix that the path begins with */
  queueFor (host: string, path: string): QueueTerms | undefined {
    let best: QueueTerms | undefined
    for (const queue of this.state?.queues ?? []) {
      if (queue.host !== host || !path.startsWith(queue.prefix)) continue
      if (best === undefined || queue.prefix.length > best.prefix.length) best = queue
    }
    return best
  }
}
