import { expect } from 'chai'
import type { FailureDomain, FencingToken, InstanceId, Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { SHARD_DEFAULTS } from '../shard/settings.js'
import { ShardOutbox } from '../shard/types.js'
import type { ShardContext } from '../shard/types.js'
import { SessionsDecider } from './sessionsDecider.js'

const OWNER = 'owner' as InstanceId
const TICK_MS = 25
const { pingMs, peerTimeoutMs } = SHARD_DEFAULTS

interface WatchResult {
  readonly pings: number
  readonly resets: number
  readonly lostAt: number | undefined
}

/** Runs ticks for a span of time. A message from the owner arrives at each tick for which `isHeardAt` returns true. */
function watchOwner (forMs: number, isHeardAt: (at: number) => boolean): WatchResult {
  const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0), suspendedMs: ms(0) }
  let lostAt: number | undefined
  const peerLost = (): void => {
    lostAt = ctx.now
  }
  const sessions = new SessionsDecider(ctx, () => ({ desiredVersion: 1 }), { peerLost, peerRecovered: () => {} })
  sessions.messageReceived(OWNER, 1, 'owner')
  const targets = new Map<InstanceId, Ms>([[OWNER, pingMs]])
  for (let at = 0; at < forMs; at += TICK_MS) {
    ctx.now = ms(at)
    if (isHeardAt(at)) sessions.messageReceived(OWNER, 1, 'owner')
    sessions.tick(targets, () => false)
  }
  const effects = ctx.out.takeEffects()
  return { pings: effects.filter(effect => effect.type === 'send').length, resets: effects.filter(effect => effect.type === 'resetLink').length, lostAt }
}

describe('the session with an owner', () => {
  it('sends no pings while messages arrive from the owner', () => {
    expect(watchOwner(5000, at => at % 100 === 0)).to.deep.equal({ pings: 0, resets: 0, lostAt: undefined })
  })

  it('pings a silent owner, replaces the connection once, and declares the owner lost at the peer timeout', () => {
    const { pings, resets, lostAt } = watchOwner(peerTimeoutMs + 2 * TICK_MS, () => false)
    expect(pings).to.be.at.least(3)
    expect(resets).to.equal(1)
    expect(lostAt).to.be.within(peerTimeoutMs, peerTimeoutMs + TICK_MS)
  })

  // After a loss of all machines, owners that were slow at first were taken for lost, and every job was sent again to the next one.
  it('takes an owner for lost after twice the time while its process has just started', () => {
    const lostAfterMs = (startedMsAgo: number): number => {
      const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0), suspendedMs: ms(0) }
      let isLost = false
      const sessions = new SessionsDecider(ctx, () => ({ desiredVersion: 1 }), {
        peerLost: () => {
          isLost = true
        },
        peerRecovered: () => {}
      })
      sessions.messageReceived(OWNER, 1, 'owner')
      sessions.db.learnOwner({ failureDomain: 'd' as FailureDomain, owner: OWNER, token: 1 as FencingToken })
      ctx.now = ms(startedMsAgo)
      sessions.messageReceived(OWNER, 1, 'owner')
      while (!isLost) {
        ctx.now = ms(ctx.now + TICK_MS)
        sessions.tick(new Map([[OWNER, pingMs]]), () => false)
      }
      return ctx.now - startedMsAgo
    }
    expect(lostAfterMs(0)).to.be.within(2 * peerTimeoutMs, 2 * peerTimeoutMs + TICK_MS)
    expect(lostAfterMs(5000)).to.be.within(peerTimeoutMs, peerTimeoutMs + TICK_MS)
  })

  // An owner that went on receiving pings kept a connection on which its answers were lost, and was taken for lost.
  it('replaces its connection to a peer that receives nothing on it, but not at each of its pings', () => {
    const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0), suspendedMs: ms(0) }
    const sessions = new SessionsDecider(ctx, () => ({ desiredVersion: 1 }), { peerLost: () => {}, peerRecovered: () => {} })
    const resetsAt: number[] = []
    for (; ctx.now < 7000; ctx.now = ms(ctx.now + 200)) {
      sessions.messageReceived(OWNER, 1, 'owner')
      sessions.pingReceived(OWNER, false, ctx.now >= 400)
      if (ctx.out.takeEffects().some(({ type }) => type === 'renewLink')) resetsAt.push(ctx.now)
    }
    expect(resetsAt).to.deep.equal([400, 3400, 6400])
  })

  it('says in its pings that it has replaced its connection and has received nothing since', () => {
    const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0), suspendedMs: ms(0) }
    const sessions = new SessionsDecider(ctx, () => ({ desiredVersion: 1 }), { peerLost: () => {}, peerRecovered: () => {} })
    sessions.messageReceived(OWNER, 1, 'owner')
    const flagged: boolean[] = []
    for (; ctx.now <= 500; ctx.now = ms(ctx.now + TICK_MS)) {
      if (ctx.now === 475) sessions.messageReceived(OWNER, 1, 'owner')
      sessions.tick(new Map([[OWNER, pingMs]]), () => false)
      for (const effect of ctx.out.takeEffects()) if (effect.type === 'send' && effect.message.type === 'ping') flagged.push(effect.message.connectionReplaced === true)
    }
    sessions.connectionBroken(OWNER)
    for (const effect of ctx.out.takeEffects()) if (effect.type === 'send' && effect.message.type === 'ping') flagged.push(effect.message.connectionReplaced === true)
    expect(flagged, 'before, after the replacement, and once it has received something').to.deep.equal([false, false, true, false])
  })

  it('ignores a process that another one has followed, so that its last messages do not make the live one count as lost', () => {
    const lost: string[] = []
    const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0), suspendedMs: ms(0) }
    const sessions = new SessionsDecider(ctx, () => ({ desiredVersion: 1 }), { peerLost: (_peer, why) => lost.push(why), peerRecovered: () => {} })
    const receive = (incarnation: number): boolean => sessions.messageReceived(OWNER, incarnation, 'owner', ms(incarnation))
    expect([4, 5, 4, 3, 5].map(receive), 'one that was heard before, and one that was not').to.deep.equal([true, true, false, false, true])
    expect(lost).to.deep.equal(['otherLife'])
    expect(sessions.clockOf(OWNER)).to.deep.equal({ incarnation: 5, at: 5 })
    ctx.now = ms(1000)
    expect([3, 3].map(receive), 'a process whose clock was set back, once the one before is silent').to.deep.equal([true, true])
    expect(sessions.clockOf(OWNER)).to.deep.equal({ incarnation: 3, at: 3 })
  })

  it('forgets the reading of a process that has restarted, and takes a reported one of it for no sign of what the new one sends', () => {
    const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0), suspendedMs: ms(0) }
    const sessions = new SessionsDecider(ctx, () => ({ desiredVersion: 1 }), { peerLost: () => {}, peerRecovered: () => {} })
    sessions.messageReceived(OWNER, 1, 'owner', ms(5000))
    expect(sessions.sendsReadings(OWNER)).to.equal(true)
    sessions.messageReceived(OWNER, 2, 'owner')
    expect([sessions.clockOf(OWNER), sessions.sendsReadings(OWNER)]).to.deep.equal([undefined, false])
    sessions.db.learnOthers([{ failureDomain: 'f' as FailureDomain, owner: OWNER, address: 'owner', token: 1 as FencingToken, load: { waitMs: ms(0), busyShare: 0 }, clock: { incarnation: 1, at: ms(5000) } }], ctx.now)
    expect(sessions.sendsReadings(OWNER)).to.equal(false)
  })

  it('prefers its own reading of a peer\'s clock to a reported one that is behind it', () => {
    const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0), suspendedMs: ms(0) }
    const sessions = new SessionsDecider(ctx, () => ({ desiredVersion: 1 }), { peerLost: () => {}, peerRecovered: () => {} })
    const report = (at: number, incarnation = 1): number | undefined => {
      sessions.db.learnOthers([{ failureDomain: 'f' as FailureDomain, owner: OWNER, address: 'owner', token: 1 as FencingToken, load: { waitMs: ms(0), busyShare: 0 }, clock: { incarnation, at: ms(at) } }], ctx.now)
      return sessions.clockOf(OWNER)?.at
    }
    sessions.messageReceived(OWNER, 1, 'owner', ms(5000))
    expect([report(4000), report(9000, 0), report(5010)]).to.deep.equal([5000, 5000, 5010])
    ctx.now = ms(1000)
    expect(report(4000)).to.equal(4000)
  })

  it('keeps an owner live that sends nothing but answers to pings', () => {
    const { pings, resets, lostAt } = watchOwner(5000, at => at % pingMs === TICK_MS)
    expect(pings).to.be.at.most(5000 / pingMs)
    expect([resets, lostAt]).to.deep.equal([0, undefined])
  })
})
