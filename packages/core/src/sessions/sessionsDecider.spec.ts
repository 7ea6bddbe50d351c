import { expect } from 'chai'
import type { FailureDomain, InstanceId, Ms } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { SHARD_DEFAULTS } from '../shard/settings.js'
import { ShardOutbox } from '../shard/types.js'
import type { ShardContext } from '../shard/types.js'
import { SessionsDecider } from './sessionsDecider.js'

const OWNER = 'owner' as InstanceId
const TICK_MS = 25
const { pingMs, peerTimeoutMs } = SHARD_DEFAULTS

interface Played {
  readonly pings: number
  readonly resets: number
  readonly lostAt: number | undefined
}

/** Lets time pass in ticks; the owner is heard whenever `hears` says so. */
function play (forMs: number, hears: (at: number) => boolean): Played {
  const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0) }
  let lostAt: number | undefined
  const peerLost = (): void => {
    lostAt = ctx.now
  }
  const sessions = new SessionsDecider(ctx, () => 1, { peerLost, peerHeard: () => {} })
  sessions.heard(OWNER, 1, 'owner')
  const targets = new Map<InstanceId, Ms>([[OWNER, pingMs]])
  for (let at = 0; at < forMs; at += TICK_MS) {
    ctx.now = ms(at)
    if (hears(at)) sessions.heard(OWNER, 1, 'owner')
    sessions.tick(targets, () => false)
  }
  const effects = ctx.out.take()
  return { pings: effects.filter(effect => effect.type === 'send').length, resets: effects.filter(effect => effect.type === 'resetLink').length, lostAt }
}

describe('sessions', () => {
  it('do not ping an owner that is heard', () => {
    expect(play(5000, at => at % 100 === 0)).to.deep.equal({ pings: 0, resets: 0, lostAt: undefined })
  })

  it('ping a silent owner, replace the connection once, and give it up in time', () => {
    const { pings, resets, lostAt } = play(peerTimeoutMs + 2 * TICK_MS, () => false)
    expect(pings).to.be.at.least(3)
    expect(resets).to.equal(1)
    expect(lostAt).to.be.within(peerTimeoutMs, peerTimeoutMs + TICK_MS)
  })

  it('keep an owner that answers only pings', () => {
    const { pings, resets, lostAt } = play(5000, at => at % pingMs === TICK_MS)
    expect(pings).to.be.at.most(5000 / pingMs)
    expect([resets, lostAt]).to.deep.equal([0, undefined])
  })
})
