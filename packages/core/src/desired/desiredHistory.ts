/**
 * Keeps the latest versions of the desired state, and computes and applies the differences between them. Queues that two versions have in common are
 * stored once. A difference carries a digest of the version that it leads to, so that a version is never put together wrongly.
 */
import type { DesiredChange, DesiredState, QueueKey, QueueTerms } from '@cranberryyard/protocol'
import { hash32 } from '../utils/rendezvous.js'

/** Number of versions that are kept; two instances that follow the same changes have one of them in common. */
const VERSIONS_KEPT = 8

/** The version before the first one, which all instances know. */
const EMPTY_STATE: DesiredState = { version: 0, queues: [], services: [] }

/** The latest versions that were in force here, and the differences between them. */
export class DesiredHistory {
  /** Oldest first. */
  private readonly states: DesiredState[] = []
  /** Differences that lead to the latest version, by the version from which they start. */
  private readonly changes = new Map<number, DesiredChange>()

  /**
   * Keeps a version.
   * @returns the same version, with the queues of the one before where they are equal
   */
  keep (state: DesiredState): DesiredState {
    const before = keyed(this.states.at(-1) ?? EMPTY_STATE)
    const queues = state.queues.map((queue) => {
      const known = before.get(keyText(queue))
      return known !== undefined && haveSameTerms(known, queue) ? known : queue
    })
    const kept = { ...state, queues }
    this.states.push(kept)
    if (this.states.length > VERSIONS_KEPT) this.states.shift()
    this.changes.clear()
    return kept
  }

  /** Returns the versions that are kept. */
  versions (): number[] {
    return this.states.map(({ version }) => version)
  }

  /**
   * Returns the difference from the newest of the given versions that is kept here to the latest version.
   * @returns undefined if none of them is kept
   */
  changeSince (versions: readonly number[]): DesiredChange | undefined {
    const from = [EMPTY_STATE, ...this.states].findLast(({ version }) => versions.includes(version))
    return from === undefined ? undefined : this.changeFrom(from)
  }

  /** Returns the latest version as its difference from the empty state. */
  wholeState (): DesiredChange | undefined {
    return this.changeFrom(EMPTY_STATE)
  }

  /**
   * Returns the version to which a difference leads.
   * @returns undefined if the version from which it starts is not kept, or the result is not what the sender has
   */
  apply (change: DesiredChange): DesiredState | undefined {
    const from = change.from === 0 ? EMPTY_STATE : this.states.find(({ version }) => version === change.from)
    if (from === undefined) return undefined
    const removed = new Set(change.removed.map(keyText))
    const replaced = new Set(change.queues.map(keyText))
    const queues = [...from.queues.filter(queue => !removed.has(keyText(queue)) && !replaced.has(keyText(queue))), ...change.queues]
    return digestOf(queues) === change.digest ? { version: change.version, queues, services: change.services } : undefined
  }

  private changeFrom (from: DesiredState): DesiredChange | undefined {
    const latest = this.states.at(-1)
    if (latest === undefined) return undefined
    const known = this.changes.get(from.version)
    if (known !== undefined) return known
    const [before, after] = [keyed(from), keyed(latest)]
    const change: DesiredChange = {
      from: from.version,
      version: latest.version,
      queues: latest.queues.filter(queue => before.get(keyText(queue)) !== queue),
      removed: from.queues.filter(queue => !after.has(keyText(queue))).map(({ name, host, prefix }) => ({ name, host, prefix })),
      services: latest.services,
      digest: digestOf(latest.queues)
    }
    this.changes.set(from.version, change)
    return change
  }
}

function keyed ({ queues }: DesiredState): Map<string, QueueTerms> {
  return new Map(queues.map(queue => [keyText(queue), queue]))
}

function keyText ({ name, host, prefix }: QueueKey): string {
  return `${name} ${host} ${prefix}`
}

/** Compares the terms themselves: most queues of a version are as before, and a hash of each costs more than the comparison. */
function haveSameTerms (a: QueueTerms, b: QueueTerms): boolean {
  return a.name === b.name && a.host === b.host && a.prefix === b.prefix && a.service === b.service && a.priority === b.priority && a.maxAttempts === b.maxAttempts &&
    a.stretch === b.stretch && a.latencyObjectiveMs === b.latencyObjectiveMs && a.needsAdvice === b.needsAdvice
}

const fingerprints = new WeakMap<QueueTerms, number>()

/** Returns a hash of all terms of a queue. */
function fingerprint (queue: QueueTerms): number {
  const known = fingerprints.get(queue)
  if (known !== undefined) return known
  const { name, host, prefix, service, priority, maxAttempts, stretch, latencyObjectiveMs, needsAdvice } = queue
  const hash = hash32(JSON.stringify([name, host, prefix, service, priority, maxAttempts, stretch, latencyObjectiveMs, needsAdvice]))
  fingerprints.set(queue, hash)
  return hash
}

/** Returns a digest of queues that does not depend on their order. */
function digestOf (queues: readonly QueueTerms[]): number {
  return queues.reduce((digest, queue) => (digest + fingerprint(queue)) % 2 ** 32, queues.length)
}
