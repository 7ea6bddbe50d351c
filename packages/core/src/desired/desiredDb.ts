/**
 * The desired state in force at this instance. It only moves to a higher version.
 */
import type { DesiredState, QueueTerms } from '@cranberryyard/protocol'

/** State of the desired state. */
export class DesiredDb {
  private current: DesiredState | undefined
  private readonly byHost = new Map<string, QueueTerms[]>()

  /** The version in force. */
  get state (): DesiredState | undefined {
    return this.current
  }

  /** Puts a version in force. */
  take (state: DesiredState): void {
    this.current = state
    this.byHost.clear()
    for (const queue of state.queues) {
      const others = this.byHost.get(queue.host)
      if (others === undefined) this.byHost.set(queue.host, [queue])
      else others.push(queue)
    }
  }

  /** @returns the version in force, 0 for none */
  version (): number {
    return this.current?.version ?? 0
  }

  /** @returns the queue with the longest prefix that the path begins with */
  queueFor (host: string, path: string): QueueTerms | undefined {
    let best: QueueTerms | undefined
    for (const queue of this.byHost.get(host) ?? []) {
      if (!path.startsWith(queue.prefix)) continue
      if (best === undefined || queue.prefix.length > best.prefix.length) best = queue
    }
    return best
  }
}
