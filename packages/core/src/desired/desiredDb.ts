/**
 * Holds the version of the desired state that is in force at this instance and looks up queues in it. The decider only
 * puts a higher version in force than the one before.
 */
import type { DesiredState, Ms, QueueTerms } from '@cranberryyard/protocol'

/** Number of versions whose times are kept; operators write a few in the lifetime of a job. */
const HISTORY_LENGTH = 64

/** The desired state in force, indexed by host. */
export class DesiredDb {
  private current: DesiredState | undefined
  private readonly byHost = new Map<string, QueueTerms[]>()
  /** The latest versions with the times at which they came into force, oldest first. */
  private readonly history: { readonly version: number, readonly since: Ms }[] = []

  /** The desired state in force; undefined before the first. */
  get state (): DesiredState | undefined {
    return this.current
  }

  /** Replaces the desired state in force. */
  adopt (state: DesiredState, now: Ms): void {
    this.current = state
    this.history.push({ version: state.version, since: now })
    if (this.history.length > HISTORY_LENGTH) this.history.shift()
    this.byHost.clear()
    for (const queue of state.queues) {
      const queuesOfHost = this.byHost.get(queue.host)
      if (queuesOfHost === undefined) this.byHost.set(queue.host, [queue])
      else queuesOfHost.push(queue)
    }
  }

  /** Returns the version in force, or 0 before the first. */
  version (): number {
    return this.current?.version ?? 0
  }

  /** Returns when the first version that is newer than the given one came into force; undefined if none has. */
  newerSince (version: number): Ms | undefined {
    return this.history.find(entry => entry.version > version)?.since
  }

  /** Returns the host's queue with the longest prefix that matches the path. */
  queueFor (host: string, path: string): QueueTerms | undefined {
    let best: QueueTerms | undefined
    for (const queue of this.byHost.get(host) ?? []) {
      if (!path.startsWith(queue.prefix)) continue
      if (best === undefined || queue.prefix.length > best.prefix.length) best = queue
    }
    return best
  }
}
