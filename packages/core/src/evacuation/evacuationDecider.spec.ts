import { expect } from 'chai'
import type { FailureDomain, InstanceId } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { SHARD_DEFAULTS } from '../shard/settings.js'
import { ShardOutbox } from '../shard/types.js'
import type { ShardContext } from '../shard/types.js'
import { EvacuationDecider } from './evacuationDecider.js'

const [A, B] = ['a', 'b'] as [FailureDomain, FailureDomain]

function setUp (): { ctx: ShardContext, decider: EvacuationDecider, changes: string[], events: () => string[] } {
  const ctx: ShardContext = { self: { instance: 'i' as InstanceId, incarnation: 1, failureDomain: A, address: 'i', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(1000), suspendedMs: ms(0) }
  const changes: string[] = []
  const decider = new EvacuationDecider(ctx, {
    domainKnown: domain => domain === A || domain === B,
    changed: ({ evacuated, ended }, source) => changes.push(`${source}: +${evacuated.join()} -${ended.join()}`)
  })
  return { ctx, decider, changes, events: () => ctx.out.takeEffects().flatMap(effect => effect.type === 'log' ? [`${effect.event} ${effect.fields.shard as string}`] : []) }
}

describe('EvacuationDecider', () => {
  it('takes no domain for evacuated, and passes nothing on, before it knows any evacuations', () => {
    const { decider } = setUp()
    expect([decider.isEvacuated(A), decider.inForce()]).to.deep.equal([false, undefined])
  })

  it('replaces the whole set by a newer one, and logs what was learned and taken back', () => {
    const { decider, changes, events } = setUp()
    decider.learn({ revision: 5, domains: [A] }, 'store')
    decider.learn({ revision: 6, domains: [A, B] }, 'peer')
    decider.learn({ revision: 8, domains: [B] }, 'store')
    expect([decider.isEvacuated(A), decider.isEvacuated(B), decider.inForce()]).to.deep.equal([false, true, { revision: 8, domains: [B] }])
    expect(changes).to.deep.equal(['store: +a -', 'peer: +b -', 'store: + -a'])
    expect(events()).to.deep.equal(['evacuation.learned a', 'evacuation.learned b', 'evacuation.ended a'])
  })

  it('ignores a set that arrives late, also one of the same revision', () => {
    const { decider, changes } = setUp()
    decider.learn({ revision: 8, domains: [] }, 'store')
    decider.learn({ revision: 7, domains: [A] }, 'peer')
    decider.learn({ revision: 8, domains: [A] }, 'peer')
    expect([decider.isEvacuated(A), changes]).to.deep.equal([false, []])
  })

  it('keeps a domain evacuated that was taken back and evacuated again while the instance was away', () => {
    const { decider, changes } = setUp()
    decider.learn({ revision: 5, domains: [A] }, 'store')
    decider.learn({ revision: 9, domains: [A] }, 'peer')
    decider.learn({ revision: 7, domains: [] }, 'other')
    expect([decider.isEvacuated(A), decider.inForce()?.revision, changes.length]).to.deep.equal([true, 9, 1])
  })

  it('reports a domain that does not exist once', () => {
    const { ctx, decider, events } = setUp()
    decider.learn({ revision: 5, domains: [A, 'c' as FailureDomain] }, 'store')
    events()
    for (const at of [5999, 6001, 9000]) {
      ctx.now = ms(at)
      decider.tick()
    }
    decider.learn({ revision: 6, domains: [A, 'c' as FailureDomain] }, 'store')
    decider.tick()
    expect(events()).to.deep.equal(['evacuation.unknownDomain c'])
    expect(ctx.out.counters.get('shard.evacuations.unknownDomains')).to.equal(1)
  })

  it('measures how long after it had learned of an evacuation a start was sent', () => {
    const { ctx, decider } = setUp()
    decider.learn({ revision: 5, domains: [A] }, 'store')
    expect([ctx.out.gauges.get('shard.evacuatedDomains'), ctx.out.gauges.get('shard.evacuation.lastStartMs')]).to.deep.equal([1, 0])
    ctx.now = ms(1250)
    decider.startSent(B)
    decider.startSent(A)
    expect(ctx.out.gauges.get('shard.evacuation.lastStartMs')).to.equal(250)
    decider.learn({ revision: 6, domains: [] }, 'store')
    expect(ctx.out.gauges.get('shard.evacuatedDomains')).to.equal(0)
  })
})
