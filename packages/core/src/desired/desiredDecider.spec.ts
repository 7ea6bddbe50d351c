import { expect } from 'chai'
import type { DesiredState, FailureDomain, InstanceId, QueueName, QueueTerms, ServiceName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { SHARD_DEFAULTS } from '../shard/settings.js'
import { ShardOutbox } from '../shard/types.js'
import type { ShardContext } from '../shard/types.js'
import { DesiredDecider } from './desiredDecider.js'

const PEER = 'peer' as InstanceId
const MENTION_MS = 100

function queue (host: string, prefix: string): QueueTerms {
  return { name: prefix as QueueName, host, prefix, service: 's' as ServiceName, priority: 0, maxAttempts: 1, stretch: 1, latencyObjectiveMs: ms(1), needsAdvice: false }
}

function stateOf (version: number, queues: readonly QueueTerms[] = []): DesiredState {
  return { version, queues, services: [] }
}

/** Lets a peer mention a newer version again and again. @returns times at which it was asked for it, and the decisions */
function asked (forMs: number, reachable: boolean, takeAt = Infinity): number[] {
  const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0) }
  const times: number[] = []
  const desired = new DesiredDecider(ctx, (_to, message) => {
    if (message.type === 'desiredRequest') times.push(ctx.now)
  }, () => reachable)
  for (let at = 0; at < forMs; at += MENTION_MS) {
    ctx.now = ms(at)
    if (at === takeAt) desired.take(stateOf(2), 'store')
    desired.heard(PEER, 2)
  }
  return times
}

describe('a newer version that a peer mentions', () => {
  it('is not asked for when the store brings it soon', () => {
    expect(asked(2000, true, 3 * MENTION_MS)).to.deep.equal([])
  })

  it('is asked for, not with every mention, when the store does not bring it', () => {
    const times = asked(3000, true)
    expect(times[0]).to.be.within(300, 1000)
    expect(times.length).to.be.within(1, 3)
  })

  it('is asked for at once without the store', () => {
    expect(asked(MENTION_MS, false)).to.deep.equal([0])
  })
})

describe('peers that ask for the desired state', () => {
  it('get it one after the other, each once', () => {
    const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0) }
    const told: string[] = []
    const desired = new DesiredDecider(ctx, (to, message) => told.push(`${to} ${message.type}`), () => true)
    desired.take(stateOf(1), 'store')
    for (const peer of ['a', 'b', 'a']) desired.asked(peer as InstanceId)
    expect(told).to.deep.equal([])
    desired.tick()
    expect(told).to.deep.equal(['a desired'])
    for (let i = 0; i < 3; i++) desired.tick()
    expect(told).to.deep.equal(['a desired', 'b desired'])
  })
})

describe('queues of the desired state', () => {
  it('are found by host and longest prefix, those of the latest version only', () => {
    const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0) }
    const { db } = new DesiredDecider(ctx, () => {}, () => true)
    db.take(stateOf(1, [queue('h', '/a/'), queue('h', '/a/b/'), queue('i', '/a/')]))
    expect([db.queueFor('h', '/a/b/1')?.prefix, db.queueFor('h', '/a/1')?.prefix, db.queueFor('i', '/a/b/1')?.prefix, db.queueFor('j', '/a/1')]).to.deep.equal(['/a/b/', '/a/', '/a/', undefined])
    db.take(stateOf(2, [queue('h', '/c/')]))
    expect([db.queueFor('h', '/a/1'), db.queueFor('h', '/c/1')?.prefix]).to.deep.equal([undefined, '/c/'])
  })
})
