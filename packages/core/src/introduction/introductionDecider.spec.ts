import { expect } from 'chai'
import type { FailureDomain, InstanceId } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { SHARD_DEFAULTS } from '../shard/settings.js'
import { ShardOutbox } from '../shard/types.js'
import type { ShardContext } from '../shard/types.js'
import { IntroductionDecider } from './introductionDecider.js'
import type { Missing } from './introductionDecider.js'

class Harness {
  readonly ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me:1', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0), suspendedMs: ms(0) }
  missing: Missing = { desiredState: true, owner: true, records: true, endpoints: true }
  readonly introduction = new IntroductionDecider(this.ctx, ['a:1', 'me:1', 'b:1'], () => this.missing, { inForce: () => 0, kept: () => [] })

  /** Ticks every 25 ms. @returns the messages sent, as address and type */
  run (forMs: number): string[] {
    for (const until = this.ctx.now + forMs; this.ctx.now < until; this.ctx.now = ms(this.ctx.now + 25)) this.introduction.tick()
    return this.ctx.out.takeEffects().flatMap(effect => effect.type === 'send' ? [`${effect.address} ${effect.message.type}`] : [])
  }
}

describe('the introduction of a new instance', () => {
  it('asks the seeds in turn, but not itself, and none of them for the desired state too often', () => {
    const harness = new Harness()
    expect(harness.run(150), 'the store has time to answer first').to.deep.equal([])
    expect(harness.run(450)).to.deep.equal(['a:1 ping', 'a:1 desiredRequest', 'b:1 ping', 'a:1 ping'])
  })

  it('ends when owners and the desired state are known', () => {
    const harness = new Harness()
    harness.missing = { desiredState: false, owner: false, records: false, endpoints: false }
    expect(harness.introduction.isPending()).to.equal(false)
    expect(harness.run(1000)).to.deep.equal([])
  })

  it('goes on while no peer that answered knew the endpoints of its domain', () => {
    const harness = new Harness()
    harness.missing = { desiredState: false, owner: false, records: false, endpoints: true }
    harness.run(175)
    harness.introduction.peerHeard('c:1')
    expect(harness.run(900)).to.include('c:1 desiredRequest')
  })

  it('asks a peer that has sent a message next, but not itself', () => {
    const harness = new Harness()
    harness.run(175)
    harness.introduction.peerHeard('me:1')
    harness.introduction.peerHeard('c:1')
    harness.introduction.peerHeard('c:1')
    expect(harness.run(450)).to.deep.equal(['c:1 ping', 'b:1 ping', 'a:1 ping'])
  })

  it('asks each of its addresses for records in turn, also when as many are asked between two requests as there are addresses', () => {
    const harness = new Harness()
    const introduction = new IntroductionDecider(harness.ctx, ['a:1', 'b:1', 'c:1', 'd:1'], () => harness.missing, { inForce: () => 0, kept: () => [] })
    const asked = new Set<string>()
    for (const until = harness.ctx.now + 4000; harness.ctx.now < until; harness.ctx.now = ms(harness.ctx.now + 25)) {
      introduction.tick()
      for (const effect of harness.ctx.out.takeEffects()) if (effect.type === 'send' && effect.message.type === 'desiredRequest') asked.add(effect.address)
    }
    expect([...asked].sort()).to.deep.equal(['a:1', 'b:1', 'c:1', 'd:1'])
  })

  it('asks nobody while it knows no address', () => {
    const harness = new Harness()
    const alone = new IntroductionDecider(harness.ctx, ['me:1'], () => harness.missing, { inForce: () => 0, kept: () => [] })
    alone.tick()
    expect(harness.ctx.out.takeEffects()).to.deep.equal([])
  })
})
