import { expect } from 'chai'
import type { DesiredState, FailureDomain, InstanceId, QueueName, QueueTerms, ServiceName, ShardMessage } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { SHARD_DEFAULTS } from '../shard/settings.js'
import { ShardOutbox } from '../shard/types.js'
import type { ShardContext } from '../shard/types.js'
import { DesiredDecider } from './desiredDecider.js'

const PEER = 'peer' as InstanceId
const MENTION_PERIOD_MS = 100

function queue (host: string, prefix: string): QueueTerms {
  return { name: prefix as QueueName, host, prefix, service: 's' as ServiceName, priority: 0, maxAttempts: 1, stretch: 1, latencyObjectiveMs: ms(1), needsAdvice: false }
}

function stateOf (version: number, queues: readonly QueueTerms[] = []): DesiredState {
  return { version, queues, services: [] }
}

/**
 * Lets a peer mention a newer version at a fixed period.
 * @returns times at which this instance requested the version from the peer
 */
function requestTimes (forMs: number, storeReachable: boolean, storeDeliversAt = Infinity): number[] {
  const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0), suspendedMs: ms(0) }
  const times: number[] = []
  const desired = new DesiredDecider(ctx, (_to, message) => {
    if (message.type === 'desiredRequest') times.push(ctx.now)
  }, () => storeReachable)
  for (let at = 0; at < forMs; at += MENTION_PERIOD_MS) {
    ctx.now = ms(at)
    if (at === storeDeliversAt) desired.adopt(stateOf(2), 'store')
    desired.peerVersionReceived(PEER, 2)
  }
  return times
}

describe('a newer version that a peer mentions', () => {
  it('is not requested from the peer when the store delivers it soon', () => {
    expect(requestTimes(2000, true, 3 * MENTION_PERIOD_MS)).to.deep.equal([])
  })

  it('is requested, but not at every mention, when the store does not deliver it', () => {
    const times = requestTimes(3000, true)
    expect(times[0]).to.be.within(300, 1000)
    expect(times.length).to.be.within(1, 3)
  })

  it('is requested at once when the store is unreachable', () => {
    expect(requestTimes(MENTION_PERIOD_MS, false)).to.deep.equal([0])
  })
})

describe('a newer version for which the jobs of a peer wait', () => {
  const OTHER = 'other' as InstanceId

  /** Lets jobs of a peer wait for a version from the start, which another peer mentions too. @returns the requests, as peer and time */
  function requests (forMs: number, storeReachable: boolean): string[] {
    const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0), suspendedMs: ms(0) }
    const sent: string[] = []
    const desired = new DesiredDecider(ctx, to => sent.push(`${to} ${ctx.now}`), () => storeReachable)
    desired.jobReceived(PEER, 2, true)
    for (let at = 0; at < forMs; at += 50) {
      ctx.now = ms(at)
      desired.tick()
      if (at > 0 && at % MENTION_PERIOD_MS === 0) desired.peerVersionReceived(OTHER, 2)
    }
    return sent
  }

  it('is requested from it at once without the store, and soon when the store does not deliver it', () => {
    expect(requests(1000, false)).to.deep.equal(['peer 0'])
    expect(requests(1000, true)).to.deep.equal(['peer 150'])
  })

  it('is requested from others when the peer does not answer', () => {
    expect(requests(3000, false)).to.deep.equal(['peer 0', 'other 1500'])
  })
})

describe('a newer version that a peer shares a version with', () => {
  const self = { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }

  class Side {
    readonly ctx: ShardContext = { self, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0), suspendedMs: ms(0) }
    readonly sent: ShardMessage[] = []
    readonly desired = new DesiredDecider(this.ctx, (_to, message) => this.sent.push(message), () => true)
  }

  it('is requested as a change while the store is not late yet, from the tick', () => {
    const { ctx, sent, desired } = new Side()
    desired.adopt(stateOf(1), 'store')
    desired.peerVersionReceived(PEER, 2, ms(0))
    for (let at = 0; at <= 400; at += 25) {
      ctx.now = ms(at)
      desired.tick()
    }
    expect(sent).to.deep.equal([{ type: 'desiredRequest', known: [1], changeOnly: true }, { type: 'desiredRequest', known: [1], changeOnly: true }])
  })

  it('is requested at once when the peer has known it for long', () => {
    const { sent, desired } = new Side()
    desired.adopt(stateOf(1), 'store')
    desired.peerVersionReceived(PEER, 2, ms(200))
    expect(sent).to.deep.equal([{ type: 'desiredRequest', known: [1], changeOnly: true }])
    desired.peerVersionReceived('other' as InstanceId, 3, ms(5000))
    expect(sent.slice(1)).to.deep.equal([{ type: 'desiredRequest', known: [1] }])
  })

  it('is not requested as a change of a peer that runs an earlier version of the program, which would answer with a whole copy', () => {
    const { ctx, sent, desired } = new Side()
    desired.adopt(stateOf(1), 'store')
    desired.peerVersionReceived(PEER, 2, ms(0))
    desired.peerVersionReceived(PEER, 2)
    for (let at = 0; at <= 600; at += 25) {
      ctx.now = ms(at)
      desired.tick()
    }
    expect(sent).to.deep.equal([{ type: 'desiredRequest', known: [1] }])
  })

  it('is requested of the peers that have it in turn, as one of them may be out of reach', () => {
    const { ctx, desired } = new Side()
    const asked: string[] = []
    const turns = new DesiredDecider(ctx, to => asked.push(to), () => true)
    for (const decider of [desired, turns]) decider.adopt(stateOf(1), 'store')
    for (const peer of ['a', 'b', 'c'] as InstanceId[]) turns.peerVersionReceived(peer, peer === 'b' ? 1 : 2, ms(0))
    for (let at = 0; at < 1400; at += 25) {
      ctx.now = ms(at)
      turns.tick()
    }
    expect(asked).to.deep.equal(['c', 'a', 'c', 'a', 'c'])
  })

  it('arrives as a change and comes into force', () => {
    const [peer, me] = [new Side(), new Side()]
    for (const { desired } of [peer, me]) desired.adopt(stateOf(1, [queue('h', '/a/')]), 'store')
    peer.desired.adopt(stateOf(3, [queue('h', '/a/'), queue('h', '/b/')]), 'store')
    peer.desired.stateRequested(PEER, me.desired.versionsKept(), true)
    const [answer] = peer.sent
    if (answer?.type !== 'desiredChange') throw new Error('the peer has not sent a change')
    expect(answer.change.queues.map(({ prefix }) => prefix)).to.deep.equal(['/b/'])
    me.desired.changeReceived(answer.change, PEER)
    expect([me.desired.db.version(), me.desired.db.queueFor('h', '/b/1')?.prefix]).to.deep.equal([3, '/b/'])
  })

  it('is requested whole when the change does not fit', () => {
    const { sent, desired } = new Side()
    desired.adopt(stateOf(1, [queue('h', '/a/')]), 'store')
    desired.changeReceived({ from: 1, version: 2, queues: [], removed: [], services: [], digest: 5 }, PEER)
    expect([desired.db.version(), sent]).to.deep.equal([1, [{ type: 'desiredRequest', known: [1] }]])
  })

  it('is not answered to a request for a change without a common version, and sent whole as a change to any other request that names versions', () => {
    const { sent, desired } = new Side()
    desired.adopt(stateOf(5, [queue('h', '/a/')]), 'store')
    desired.stateRequested(PEER, [3], true)
    desired.tick()
    expect(sent).to.deep.equal([])
    desired.stateRequested(PEER, [3])
    desired.stateRequested('old' as InstanceId)
    desired.tick()
    desired.tick()
    expect(sent.map(message => message.type === 'desiredChange' ? `change from ${message.change.from}` : message.type)).to.deep.equal(['change from 0', 'desired'])
  })
})

describe('the age of a version', () => {
  it('counts from when the first instance heard of it, whoever passes it on', () => {
    const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(1000), suspendedMs: ms(0) }
    const desired = new DesiredDecider(ctx, () => {}, () => true)
    desired.adopt(stateOf(1), 'store')
    ctx.now = ms(5000)
    desired.peerVersionReceived(PEER, 2, ms(300))
    desired.peerVersionReceived('other' as InstanceId, 2, ms(900))
    ctx.now = ms(6000)
    desired.adopt(stateOf(2), PEER)
    expect([desired.inForce(), desired.isOverdue()]).to.deep.equal([{ desiredVersion: 2, desiredAgeMs: 1900 }, false])
  })

  it('of a version between the one in force and the newest leaves the instance behind', () => {
    const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(1000), suspendedMs: ms(0) }
    const desired = new DesiredDecider(ctx, () => {}, () => true)
    desired.adopt(stateOf(1), 'store')
    desired.peerVersionReceived(PEER, 3, ms(400))
    desired.adopt(stateOf(2), 'store')
    ctx.now = ms(1700)
    expect(desired.isOverdue()).to.equal(true)
  })
})

describe('the log about a newer version', () => {
  it('tells when a peer first named it, what was requested, and how long this instance was behind', () => {
    const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0), suspendedMs: ms(0) }
    const desired = new DesiredDecider(ctx, () => {}, () => true)
    desired.adopt(stateOf(1), 'store')
    for (const at of [100, 300, 900]) {
      ctx.now = ms(at)
      desired.peerVersionReceived(PEER, 2)
    }
    desired.adopt(stateOf(2), 'store')
    const lines = ctx.out.takeEffects().flatMap(effect => effect.type === 'log' ? [`${effect.event} ${String(effect.fields.version)} ${String(effect.fields.behindMs)}`] : [])
    expect(lines.filter(line => line.startsWith('desired.heard'))).to.deep.equal(['desired.heard 2 undefined'])
    expect(lines.at(-1)).to.equal('desired.inForce 2 800')
  })
})

describe('peers that request the desired state', () => {
  it('receive it one per tick, each once', () => {
    const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0), suspendedMs: ms(0) }
    const sent: string[] = []
    const desired = new DesiredDecider(ctx, (to, message) => sent.push(`${to} ${message.type}`), () => true)
    desired.adopt(stateOf(1), 'store')
    for (const peer of ['a', 'b', 'a']) desired.stateRequested(peer as InstanceId)
    expect(sent).to.deep.equal([])
    desired.tick()
    expect(sent).to.deep.equal(['a desired'])
    for (let i = 0; i < 3; i++) desired.tick()
    expect(sent).to.deep.equal(['a desired', 'b desired'])
  })
})

describe('queues of the desired state', () => {
  it('are found by host and longest prefix, in the latest version only', () => {
    const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0), suspendedMs: ms(0) }
    const { db } = new DesiredDecider(ctx, () => {}, () => true)
    db.adopt(stateOf(1, [queue('h', '/a/'), queue('h', '/a/b/'), queue('i', '/a/')]), ms(0))
    expect([db.queueFor('h', '/a/b/1')?.prefix, db.queueFor('h', '/a/1')?.prefix, db.queueFor('i', '/a/b/1')?.prefix, db.queueFor('j', '/a/1')]).to.deep.equal(['/a/b/', '/a/', '/a/', undefined])
    db.adopt(stateOf(2, [queue('h', '/c/')]), ms(5))
    expect([db.newerSince(0), db.newerSince(1), db.newerSince(2)]).to.deep.equal([0, 5, undefined])
    expect([db.queueFor('h', '/a/1'), db.queueFor('h', '/c/1')?.prefix]).to.deep.equal([undefined, '/c/'])
  })
})
