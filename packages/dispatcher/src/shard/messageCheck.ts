/**
 * Validates messages of other instances before the decision logic handles them. A peer may run another version or may not be
 * an instance at all; a field that is missing or has another type must close its connection, not crash this process.
 */
import type { ShardMessage } from '@cranberryyard/protocol'

/** Bound on the task count of a step, since memory is allocated for each task on receipt. Jobs have up to 340 tasks. */
const MAX_TASKS_PER_STEP = 10_000

type Check = (value: unknown) => boolean
type Checks<T> = { readonly [K in keyof Omit<T, 'type'>]-?: Check }
type MessageOf<T extends ShardMessage['type']> = Extract<ShardMessage, { type: T }>

const text: Check = value => typeof value === 'string'
const flag: Check = value => typeof value === 'boolean'
const finiteNumber: Check = value => typeof value === 'number' && Number.isFinite(value)
const nonNegative: Check = value => finiteNumber(value) && (value as number) >= 0
const nonNegativeInteger: Check = value => Number.isSafeInteger(value) && (value as number) >= 0
const oneOf = (...values: readonly string[]): Check => value => values.includes(value as string)
const optional = (check: Check): Check => value => value === undefined || check(value)
const listOf = (check: Check): Check => value => Array.isArray(value) && value.every(check)

function object (checks: Readonly<Record<string, Check>>): Check {
  const fields = Object.entries(checks)
  return (value) => {
    if (typeof value !== 'object' || value === null || Array.isArray(value)) return false
    const record = value as Readonly<Record<string, unknown>>
    return fields.every(([name, check]) => check(record[name]))
  }
}

const load = object({ waitMs: nonNegative, busyShare: finiteNumber })
const clock = optional(object({ incarnation: nonNegativeInteger, at: finiteNumber }))
const time = optional(finiteNumber)
const evacuations = optional(object({ revision: nonNegativeInteger, domains: listOf(text) }))
const versionInForce = { desiredVersion: nonNegativeInteger, desiredAgeMs: optional(nonNegative), evacuations }
const digest = nonNegativeInteger
const ownedFields = { failureDomain: text, token: finiteNumber, load, endpointsDigest: optional(digest) }
const resources = object({ cpuMilli: nonNegative, memoryMb: nonNegative, accelerators: nonNegative })
const taskCount: Check = value => nonNegativeInteger(value) && (value as number) <= MAX_TASKS_PER_STEP
const step = object({ count: taskCount, needs: resources, estimateMs: nonNegative, after: listOf(nonNegativeInteger), requiredLabel: text, preferredRack: text, maxPerEndpoint: nonNegativeInteger })
const job = object({ id: text, spec: text, steps: listOf(step), features: listOf(text) })
const queue = object({ name: text, host: text, prefix: text, service: text, priority: finiteNumber, maxAttempts: nonNegativeInteger, stretch: nonNegative, latencyObjectiveMs: nonNegative, needsAdvice: flag })
const attempts = optional(listOf(object({ task: text, attempts: listOf(object({ run: text, fault: oneOf('failed', 'crashed', 'crashedAlone', 'silent', 'outOfReach') })) })))
const order = object({ job, queue, desiredVersion: optional(nonNegativeInteger), ageMs: finiteNumber, remainingMs: finiteNumber, attempt: nonNegativeInteger, resumed: flag, done: listOf(text), lastChance: optional(flag), attempts, earlierEndpoints: optional(listOf(digest)) })
const services = listOf(object({ name: text, guardsCapacity: flag }))
const state = object({ version: nonNegativeInteger, queues: listOf(queue), services })
const change = object({ from: nonNegativeInteger, version: nonNegativeInteger, queues: listOf(queue), removed: listOf(object({ name: text, host: text, prefix: text })), services, digest: nonNegativeInteger })
const member = object({ instance: text, incarnation: nonNegativeInteger, failureDomain: text, address: text, cpuMilli: nonNegative })
const endpoint = object({ id: text, service: text, address: text, failureDomain: text, draining: flag, capacity: resources, labels: listOf(text), bornAt: finiteNumber, coldForMs: optional(nonNegative) })
const progress = object({ jobId: text, done: listOf(text) })

const CHECKS: { readonly [T in ShardMessage['type']]: Checks<MessageOf<T>> } = {
  ping: { incarnation: nonNegativeInteger, address: text, ...versionInForce, leaving: optional(flag), connectionReplaced: optional(flag), time },
  pong: { incarnation: nonNegativeInteger, owned: listOf(object(ownedFields)), others: listOf(object({ ...ownedFields, owner: text, address: text, clock })), ...versionInForce, attempts, time },
  announce: { incarnation: nonNegativeInteger, address: text, failureDomain: text, token: finiteNumber, time },
  submit: { incarnation: nonNegativeInteger, address: text, failureDomain: text, order, ownerClock: clock, time },
  checkJobs: { failureDomain: text, jobIds: listOf(text), ownerClock: clock },
  cancelJob: { jobId: text, incarnation: optional(nonNegativeInteger), attempt: optional(nonNegativeInteger) },
  ended: { jobId: text, outcome: oneOf('completed', 'failed') },
  declined: { jobId: text, attempt: nonNegativeInteger, retryAfterMs: nonNegative },
  notOwner: { jobId: text, failureDomain: text, attempt: optional(nonNegativeInteger), queueRemoved: optional(flag), released: optional(object({ attempt: nonNegativeInteger, done: listOf(text) })) },
  moved: { failureDomain: text, to: text, progress: listOf(progress), endpointsDigest: optional(digest) },
  handover: { failureDomain: text, revision: nonNegativeInteger, rank: nonNegativeInteger, endpoints: optional(listOf(endpoint)) },
  desiredRequest: { introduce: optional(flag), known: optional(listOf(nonNegativeInteger)), changeOnly: optional(flag) },
  introduction: { members: listOf(member), shards: listOf(object({ revision: nonNegativeInteger, value: object({ failureDomain: text, owner: member, successors: listOf(text) }) })), endpoints: listOf(endpoint) },
  desired: { state },
  desiredChange: { change }
}

const CHECK_BY_TYPE = new Map<string, Check>(Object.entries(CHECKS).map(([type, checks]) => [type, object(checks)]))

/** Checks the type and all fields of a message. Fields that this version does not know are ignored. */
export function isShardMessage (value: { readonly type: string }): value is ShardMessage {
  return CHECK_BY_TYPE.get(value.type)?.(value) === true
}
