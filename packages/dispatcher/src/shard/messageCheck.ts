/**
 * Checks messages of other instances before the decisions see them. A peer may run another version or be no instance
 * at all; a field that is missing or of another type must end its connection, not this process.
 */
import type { ShardMessage } from '@cranberryyard/protocol'

/** Most tasks in a step of a message; each takes memory at once. Jobs have up to 340 tasks. */
const STEP_TASKS_LIMIT = 10_000

type Check = (value: unknown) => boolean
type Checks<T> = { readonly [K in keyof Omit<T, 'type'>]-?: Check }
type MessageOf<T extends ShardMessage['type']> = Extract<ShardMessage, { type: T }>

const text: Check = value => typeof value === 'string'
const flag: Check = value => typeof value === 'boolean'
const number: Check = value => typeof value === 'number' && Number.isFinite(value)
const count: Check = value => number(value) && (value as number) >= 0
const whole: Check = value => Number.isInteger(value) && (value as number) >= 0
const oneOf = (...values: readonly string[]): Check => value => values.includes(value as string)
const listOf = (check: Check): Check => value => Array.isArray(value) && value.every(check)

function object (checks: Readonly<Record<string, Check>>): Check {
  const fields = Object.entries(checks)
  return (value) => {
    if (typeof value !== 'object' || value === null || Array.isArray(value)) return false
    const record = value as Readonly<Record<string, unknown>>
    return fields.every(([name, check]) => check(record[name]))
  }
}

const load = object({ waitMs: count, busyShare: number })
const owned = { failureDomain: text, token: number, load }
const resources = object({ cpuMilli: count, memoryMb: count, accelerators: count })
const tasks: Check = value => whole(value) && (value as number) <= STEP_TASKS_LIMIT
const step = object({ count: tasks, needs: resources, estimateMs: count, after: listOf(whole), requiredLabel: text, preferredRack: text, maxPerEndpoint: whole })
const job = object({ id: text, spec: text, steps: listOf(step), features: listOf(text) })
const queue = object({ name: text, host: text, prefix: text, service: text, priority: number, maxAttempts: whole, stretch: count, latencyObjectiveMs: count, needsAdvice: flag })
const order = object({ job, queue, ageMs: number, remainingMs: number, attempt: whole, resumed: flag, done: listOf(text) })
const state = object({ version: whole, queues: listOf(queue), services: listOf(object({ name: text, guardsCapacity: flag })) })
const progress = object({ jobId: text, done: listOf(text) })

const CHECKS: { readonly [T in ShardMessage['type']]: Checks<MessageOf<T>> } = {
  ping: { incarnation: whole, address: text, desiredVersion: whole },
  pong: { incarnation: whole, owned: listOf(object(owned)), others: listOf(object({ ...owned, owner: text, address: text })), desiredVersion: whole },
  announce: { incarnation: whole, address: text, failureDomain: text, token: number },
  submit: { incarnation: whole, address: text, failureDomain: text, order },
  checkJobs: { failureDomain: text, jobIds: listOf(text) },
  cancelJob: { jobId: text },
  ended: { jobId: text, outcome: oneOf('completed', 'failed') },
  declined: { jobId: text, attempt: whole, retryAfterMs: count },
  notOwner: { jobId: text, failureDomain: text },
  moved: { failureDomain: text, to: text, progress: listOf(progress) },
  handover: { failureDomain: text, revision: whole, rank: whole },
  desiredRequest: {},
  desired: { state }
}

const BY_TYPE = new Map<string, Check>(Object.entries(CHECKS).map(([type, checks]) => [type, object(checks)]))

/** @returns true when the value is a message that the decisions can take */
export function isShardMessage (value: { readonly type: string }): value is ShardMessage {
  return BY_TYPE.get(value.type)?.(value) === true
}
