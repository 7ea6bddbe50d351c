import { expect } from 'chai'
import type { EndpointId, EndpointReport, FailureDomain, InstanceId, ServiceName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { SHARD_DEFAULTS } from '../shard/settings.js'
import { ShardOutbox } from '../shard/types.js'
import type { ShardContext } from '../shard/types.js'
import { EndpointList } from './endpointList.js'

const { missingEndpointRetentionMs } = SHARD_DEFAULTS
const NEAR = 'near' as FailureDomain

function report (id: string, failureDomain = NEAR): EndpointReport {
  return { id: id as EndpointId, service: 's' as ServiceName, address: id, failureDomain, draining: false, capacity: { cpuMilli: 1, memoryMb: 1, accelerators: 0 }, labels: [], bornAt: 1 }
}

function setUp (): { ctx: ShardContext, list: EndpointList, removed: string[] } {
  const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: NEAR, address: 'me', cpuMilli: 1 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(0), suspendedMs: ms(0) }
  const removed: string[] = []
  return { ctx, list: new EndpointList(ctx, id => removed.push(id)), removed }
}

describe('EndpointList, an instance\'s copy of the list of endpoints', () => {
  it('counts a list as fresh only when it was read as an owner', () => {
    const { ctx, list } = setUp()
    list.applyList([report('a')], false)
    expect(list.freshAt).to.equal(undefined)
    ctx.now = ms(50)
    list.applyList([report('a')], true)
    expect(list.freshAt).to.equal(50)
  })

  it('takes from peers only endpoints of failure domains of which it knows none, since a list that was read from the store may be newer', () => {
    const { list } = setUp()
    const far = 'far' as FailureDomain
    list.applyList([report('a')], false)
    list.learn([report('gone'), report('b', far), report('c', far)])
    list.learn([report('gone too', far)])
    expect(list.reports().map(entry => entry.id)).to.deep.equal(['a', 'b', 'c'])
  })

  it('is known in full once entries that had lapsed before the first read have had time to come back', () => {
    const { ctx, list } = setUp()
    list.applyList([report('a')], false)
    ctx.now = ms(missingEndpointRetentionMs - 1)
    list.applyList([report('a')], false)
    expect(list.knownInFullSince).to.equal(undefined)
    ctx.now = ms(missingEndpointRetentionMs + 100)
    list.applyList([report('a'), report('b', 'far' as FailureDomain)], false)
    expect([list.knownInFullSince, list.inFailureDomain(NEAR).map(entry => entry.id)]).to.deep.equal([missingEndpointRetentionMs + 100, ['a']])
  })

  it('is in doubt for a while after an endpoint was added or removed, but not for the first list', () => {
    const { ctx, list } = setUp()
    list.applyList([report('a')], false)
    expect(list.changedAfter(NEAR, -1)).to.equal(false)
    ctx.now = ms(100)
    list.applyList([report('a'), report('b')], false)
    expect([list.changedAfter(NEAR, 99), list.changedAfter(NEAR, 100), list.changedAfter('far' as FailureDomain, 99)]).to.deep.equal([true, false, false])
    list.applyList([report('a')], false)
    ctx.now = ms(100 + missingEndpointRetentionMs)
    list.applyList([report('a')], false)
    expect(list.changedAfter(NEAR, 100)).to.equal(true)
  })

  it('restarts the retention of missing entries after a store outage', () => {
    const { ctx, list, removed } = setUp()
    list.applyList([report('a')], false)
    list.applyList([], false)
    ctx.now = ms(missingEndpointRetentionMs + 1000)
    list.storeReachableAgain()
    list.applyList([], false)
    expect(removed).to.deep.equal([])
    ctx.now = ms(2 * missingEndpointRetentionMs + 1000)
    list.applyList([], false)
    expect(removed).to.deep.equal(['a'])
  })

  describe('an entry that lists lack while the store answers', () => {
    const ids = ['a', 'b', 'c', 'd', 'e', 'f']
    const without = (...missing: readonly string[]): EndpointReport[] => ids.filter(id => !missing.includes(id)).map(id => report(id))

    function setUpListed (): ReturnType<typeof setUp> {
      const state = setUp()
      state.list.applyList(without(), true)
      state.ctx.now = missingEndpointRetentionMs
      return state
    }

    it('belongs to an endpoint that is cut off from the store, until it is back', () => {
      const { list } = setUpListed()
      list.applyList(without('a'), true)
      expect([...list.cutOffFromStore()]).to.deep.equal(['a'])
      list.applyList(without(), true)
      expect([...list.cutOffFromStore()]).to.deep.equal([])
    })

    it('is followed by others for a while, so the list should be read more often', () => {
      const { ctx, list } = setUpListed()
      expect(list.isLosingEntries()).to.equal(false)
      list.applyList(without('a'), true)
      expect(list.isLosingEntries()).to.equal(true)
      ctx.now = ms(ctx.now + 2000)
      expect(list.isLosingEntries()).to.equal(false)
    })

    it('may have been lost by the store when many of the domain are missing, or when the store has just come back', () => {
      const { ctx, list } = setUpListed()
      list.applyList(without('a', 'b', 'c'), true)
      expect([...list.cutOffFromStore()]).to.deep.equal([])
      list.storeReachableAgain()
      list.applyList(without('a'), true)
      expect([...list.cutOffFromStore()]).to.deep.equal([])
      ctx.now = ms(missingEndpointRetentionMs * 2 - 1)
      expect([...list.cutOffFromStore()]).to.deep.equal([])
    })
  })
})
