import { expect } from 'chai'
import fc from 'fast-check'
import { ShardInstance, SHARD_DEFAULTS } from '@cranberryyard/core/shard'
import type { FailureDomain, InstanceId, ShardMessage } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { isShardMessage } from './messageCheck.js'

const QUEUE = { name: 'q', host: 'h', prefix: '/q/', service: 's', priority: 0, maxAttempts: 2, stretch: 1.5, latencyObjectiveMs: 50, needsAdvice: false }
const STEP = { count: 2, needs: { cpuMilli: 1, memoryMb: 1, accelerators: 0 }, estimateMs: 10, after: [], requiredLabel: '', preferredRack: '', maxPerEndpoint: 0 }
const ORDER = { job: { id: '1', spec: '', steps: [STEP], features: [] }, queue: QUEUE, ageMs: 1, remainingMs: 100, attempt: 1, resumed: false, done: ['0.0'] }
const MEMBER = { instance: 'a', incarnation: 1, failureDomain: 'd', address: 'a:1', cpuMilli: 500 }
const OWNED = { failureDomain: 'd', token: 64, load: { waitMs: 0, busyShare: 0.5 } }

const ENDPOINT = { id: 'e', service: 's', address: 'e:1', failureDomain: 'd', draining: false, capacity: { cpuMilli: 1000, memoryMb: 1, accelerators: 0 }, labels: ['r'], bornAt: 5 }
const ATTEMPTS = [{ task: '1.0.0.0', attempts: [{ run: 'e@5#1', fault: 'crashed' }] }]

/** One valid message of each type. */
const VALID_MESSAGES: readonly object[] = [
  { type: 'ping', incarnation: 1, address: 'a', desiredVersion: 1 },
  { type: 'pong', incarnation: 1, owned: [OWNED], others: [{ ...OWNED, owner: 'x', address: 'x' }], desiredVersion: 1 },
  { type: 'announce', incarnation: 1, address: 'a', failureDomain: 'd', token: 64 },
  { type: 'submit', incarnation: 1, address: 'a', failureDomain: 'd', order: ORDER },
  { type: 'checkJobs', failureDomain: 'd', jobIds: ['1'] },
  { type: 'cancelJob', jobId: '1' },
  { type: 'ended', jobId: '1', outcome: 'completed' },
  { type: 'declined', jobId: '1', attempt: 1, retryAfterMs: 1000 },
  { type: 'notOwner', jobId: '1', failureDomain: 'd' },
  { type: 'moved', failureDomain: 'd', to: 'x', progress: [{ jobId: '1', done: ['0.1'] }] },
  { type: 'handover', failureDomain: 'd', revision: 3, rank: 1 },
  { type: 'desiredRequest' },
  { type: 'introduction', members: [MEMBER], shards: [{ revision: 3, value: { failureDomain: 'd', owner: MEMBER, successors: ['b'] } }], endpoints: [ENDPOINT] },
  { type: 'desired', state: { version: 4, queues: [QUEUE], services: [{ name: 's', guardsCapacity: false }] } }
]

const MESSAGES_WITH_ATTEMPTS: readonly object[] = [
  { type: 'pong', incarnation: 1, owned: [OWNED], others: [], desiredVersion: 1, attempts: ATTEMPTS },
  { type: 'submit', incarnation: 1, address: 'a', failureDomain: 'd', order: { ...ORDER, attempts: ATTEMPTS } },
  { type: 'ping', incarnation: 1, address: 'a', desiredVersion: 1, time: 1 },
  { type: 'pong', incarnation: 1, owned: [], others: [{ ...OWNED, owner: 'x', address: 'x', clock: { incarnation: 1, at: 1 } }], desiredVersion: 1, time: 1 },
  { type: 'announce', incarnation: 1, address: 'a', failureDomain: 'd', token: 64, time: 1 },
  { type: 'submit', incarnation: 1, address: 'a', failureDomain: 'd', order: ORDER, ownerClock: { incarnation: 1, at: 1 }, time: 1 },
  { type: 'cancelJob', jobId: '1', incarnation: 1, attempt: 1 },
  { type: 'notOwner', jobId: '1', failureDomain: 'd', attempt: 1 },
  { type: 'notOwner', jobId: '1', failureDomain: 'd', queueRemoved: true },
  { type: 'notOwner', jobId: '1', failureDomain: 'd', queueRemoved: true, released: { attempt: 1, done: ['0.0'] } },
  { type: 'ping', incarnation: 1, address: 'a', desiredVersion: 1, evacuations: { revision: 7, domains: ['d'] } },
  { type: 'pong', incarnation: 1, owned: [], others: [], desiredVersion: 1, evacuations: { revision: 7, domains: [] } },
  { type: 'checkJobs', failureDomain: 'd', jobIds: ['1'], ownerClock: { incarnation: 1, at: 1 } },
  { type: 'pong', incarnation: 1, owned: [{ ...OWNED, endpointsDigest: 7 }], others: [{ ...OWNED, owner: 'x', address: 'x', endpointsDigest: 7 }], desiredVersion: 1 },
  { type: 'submit', incarnation: 1, address: 'a', failureDomain: 'd', order: { ...ORDER, desiredVersion: 2, resumed: true, earlierEndpoints: [7] } },
  { type: 'moved', failureDomain: 'd', to: 'x', progress: [], endpointsDigest: 7 },
  { type: 'handover', failureDomain: 'd', revision: 3, rank: 1, endpoints: [ENDPOINT] }
]

/** Lists the paths to every value inside a message. */
function paths (value: unknown, path: readonly string[] = []): (readonly string[])[] {
  if (typeof value !== 'object' || value === null) return [path]
  return [path, ...Object.entries(value).flatMap(([key, inner]) => paths(inner, [...path, key]))]
}

function replaceAt (value: unknown, path: readonly string[], replacement: unknown): unknown {
  const [key, ...rest] = path
  if (key === undefined) return replacement
  const copy = (Array.isArray(value) ? [...value as unknown[]] : { ...value as object }) as Record<string, unknown>
  copy[key] = replaceAt(copy[key], rest, replacement)
  return copy
}

/** Generates a valid message in which one value is replaced by an arbitrary one. */
const corruptedMessage = fc.constantFrom(...VALID_MESSAGES, ...MESSAGES_WITH_ATTEMPTS).chain(valid => fc.tuple(fc.constantFrom(...paths(valid).slice(1)), fc.anything()).map(([path, value]) => replaceAt(valid, path, value) as { type: string }))

describe('the check of messages from other instances', () => {
  it('accepts valid messages', () => {
    expect(VALID_MESSAGES.filter(message => !isShardMessage(message as { type: string }))).to.deep.equal([])
  })

  it('rejects messages in which a field is missing', () => {
    const incomplete = VALID_MESSAGES.flatMap(valid => Object.keys(valid).map(key => Object.fromEntries(Object.entries(valid).filter(([name]) => name !== key))))
    expect(incomplete.filter(message => isShardMessage(message as { type: string }))).to.deep.equal([])
  })

  it('rejects versions and revisions beyond the safe integers, above which no later one could be put in force', () => {
    const desired = VALID_MESSAGES.find(message => (message as { type: string }).type === 'desired') as unknown as { type: string, state: object }
    expect([7, 2 ** 53 - 1, 2 ** 53, 1e308].map(version => isShardMessage({ ...desired, state: { ...desired.state, version } } as { type: string }))).to.deep.equal([true, true, false, false])
    expect([7, 1e308].map(revision => isShardMessage({ type: 'handover', failureDomain: 'd', revision, rank: 1 } as { type: string }))).to.deep.equal([true, false])
  })

  it('accepts messages with and without the fields that earlier versions do not send, but not with values of another type', () => {
    expect(isShardMessage({ type: 'desiredRequest', introduce: true } as { type: string })).to.equal(true)
    expect(isShardMessage({ type: 'desiredRequest', introduce: 1 } as { type: string })).to.equal(false)
    const submit = VALID_MESSAGES.find(message => (message as { type: string }).type === 'submit') as unknown as { type: string, order: object }
    expect(isShardMessage({ ...submit, order: { ...submit.order, lastChance: true } } as { type: string })).to.equal(true)
    expect(isShardMessage({ ...submit, order: { ...submit.order, lastChance: 'yes' } } as { type: string })).to.equal(false)
    expect(isShardMessage({ ...submit, order: { ...submit.order, attempts: ATTEMPTS } } as { type: string })).to.equal(true)
    expect(isShardMessage({ ...submit, order: { ...submit.order, attempts: [{ task: '1.0.0.0', attempts: [{ run: 'e@5#1', fault: 'unknown' }] }] } } as { type: string })).to.equal(false)
  })

  it('lets no message through that makes the decision logic throw, whatever value one of its fields has', () => {
    fc.assert(fc.property(fc.array(corruptedMessage, { minLength: 1, maxLength: 4 }), (messages) => {
      const instance = new ShardInstance({ self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })
      const usable = [...VALID_MESSAGES, ...messages].filter((message): message is ShardMessage => isShardMessage(message as { type: string }))
      usable.forEach((message, i) => instance.handle({ type: 'peer', from: 'x' as InstanceId, message }, ms(i), ms(i)))
      instance.handle({ type: 'tick' }, ms(100), ms(100))
    }), { seed: 14, numRuns: 3000 })
  })
})
