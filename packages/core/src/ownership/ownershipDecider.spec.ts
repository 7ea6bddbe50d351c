import { expect } from 'chai'
import type { FailureDomain, InstanceId, MemberRecord, Revised, ShardRecord } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { SessionsDecider } from '../sessions/sessionsDecider.js'
import { SHARD_DEFAULTS } from '../shard/settings.js'
import { ShardOutbox } from '../shard/types.js'
import type { ShardContext, ShardEffect } from '../shard/types.js'
import { nextRank, tokenOf } from './ownershipDb.js'
import { OwnershipDecider } from './ownershipDecider.js'

const DOMAIN = 'd' as FailureDomain
const CPU_MILLI = 500
const member = (name: string, incarnation = 1, cpuMilli = CPU_MILLI): MemberRecord => ({ instance: name as InstanceId, incarnation, failureDomain: DOMAIN, address: name, cpuMilli })

function setUp (): { ctx: ShardContext, ownership: OwnershipDecider, sessions: SessionsDecider, changes: string[] } {
  const ctx: ShardContext = { self: { ...member('me') }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(1000), suspendedMs: ms(0) }
  const sessions = new SessionsDecider(ctx, () => ({ desiredVersion: 1 }), { peerLost: () => {}, peerRecovered: () => {} })
  const changes: string[] = []
  const ownership = new OwnershipDecider(ctx, sessions, {
    ownershipGained: (_domain, token) => changes.push(`gained ${token}`),
    endpointsOf: () => [],
    ownershipLost: (_domain, successor) => changes.push(`lost to ${successor ?? 'unknown'}`)
  })
  return { ctx, ownership, sessions, changes }
}

const members = (...names: string[]): Revised<MemberRecord>[] => names.map(name => ({ revision: 1, value: member(name) }))
const record = (revision: number, owner: string, ...successors: string[]): Revised<ShardRecord> => ({ revision, value: { failureDomain: DOMAIN, owner: member(owner), successors: successors as InstanceId[] } })

function claims (ctx: ShardContext): Extract<ShardEffect, { type: 'claimShard' }>[] {
  return ctx.out.takeEffects().filter(effect => effect.type === 'claimShard')
}

describe('ownership', () => {
  it('claims a shard that has no record and owns it with the token of the written revision', () => {
    const { ctx, ownership, changes } = setUp()
    ownership.recordsRead(members('me', 'other'), [])
    ownership.tick()
    const [claim] = claims(ctx)
    expect(claim?.expectedRevision).to.equal(0)
    expect(claim?.record.successors).to.deep.equal(['other'])
    ownership.claimOutcome(claim?.claimId ?? 0, { type: 'written', revision: 40 })
    expect(changes).to.deep.equal([`gained ${tokenOf(40, 0)}`])
  })

  it('does not claim a shard while its owner is live, and claims it once the owner is lost', () => {
    const { ctx, ownership, sessions } = setUp()
    ownership.recordsRead(members('me', 'owner'), [record(40, 'owner', 'me')])
    sessions.messageReceived('owner' as InstanceId, 1, 'owner')
    ownership.tick()
    expect(claims(ctx)).to.deep.equal([])
    sessions.connectionFailed('owner' as InstanceId)
    ownership.tick()
    expect(claims(ctx).map(claim => claim.expectedRevision)).to.deep.equal([40])
  })

  it('owns a shard by its own record when its claim took effect after it had stepped down, unless a later owner is known', () => {
    for (const [laterToken, gained] of [[tokenOf(40, 2), true], [tokenOf(41, 1), false]] as const) {
      const { ctx, ownership, sessions, changes } = setUp()
      ownership.recordsRead(members('me', 'other'), [record(40, 'other', 'me')])
      sessions.connectionFailed('other' as InstanceId)
      ownership.tick()
      ownership.claimOutcome(claims(ctx)[0]?.claimId ?? 0, { type: 'unknown' })
      sessions.db.learnOwner({ failureDomain: DOMAIN, owner: 'other' as InstanceId, token: laterToken })
      ownership.ownerAnnounced(DOMAIN, 'other' as InstanceId, laterToken)
      ownership.recordsRead(members('me', 'other'), [record(41, 'me', 'other')])
      expect(changes).to.deep.equal([`gained ${tokenOf(40, 1)}`, 'lost to other', ...gained ? [`gained ${tokenOf(41, 0)}`] : []])
    }
  })

  // Two instances owned a shard with the same fencing token: one knew the successors that were written, the other those it would have written by then.
  it('keeps and shares the successors that were written, though a member registers before the answer or the reading of the own record', () => {
    const written = ['last']
    const outcomes: Readonly<Record<string, (ownership: OwnershipDecider, claimId: number) => void>> = {
      answered: (ownership, claimId) => ownership.claimOutcome(claimId, { type: 'written', revision: 41 }),
      'answer lost': (ownership, claimId) => {
        ownership.claimOutcome(claimId, { type: 'unknown' })
        ownership.recordsRead(members('me', 'last', 'added'), [record(41, 'me', ...written)])
      }
    }
    for (const [how, settle] of Object.entries(outcomes)) {
      const { ctx, ownership } = setUp()
      ownership.recordsRead(members('me', 'last'), [])
      ownership.tick()
      const [claim] = claims(ctx)
      expect(claim?.record.successors, how).to.deep.equal(written)
      ownership.recordsRead(members('me', 'last', 'added'), [])
      settle(ownership, claim?.claimId ?? 0)
      expect(ownership.db.records.get(DOMAIN), how).to.deep.equal(record(41, 'me', ...written))
      const shared = ctx.out.takeEffects().flatMap(effect => effect.type === 'send' && effect.message.type === 'introduction' ? effect.message.shards : [])
      expect(shared.map(({ value }) => value.successors.join()), how).to.deep.equal(['last', 'last'])
      ctx.now = ms(ctx.now + 3000)
      ownership.tick()
      expect(claims(ctx).map(({ record: { successors } }) => successors), how).to.deep.equal([['added', 'last']])
    }
  })

  it('delays the claim of a later successor by its rank', () => {
    const { ctx, ownership, sessions } = setUp()
    ownership.recordsRead(members('me', 'owner', 'first'), [record(40, 'owner', 'first', 'me')])
    sessions.connectionFailed('owner' as InstanceId)
    ownership.tick()
    expect(claims(ctx)).to.deep.equal([])
    ctx.now = ms(ctx.now + SHARD_DEFAULTS.successionMs)
    ownership.tick()
    expect(claims(ctx).length).to.equal(1)
  })

  it('takes over by its rank in the record while the store does not answer, with a token above the owner\'s', () => {
    const { ctx, ownership, sessions, changes } = setUp()
    ownership.recordsRead(members('me', 'owner'), [record(40, 'owner', 'me')])
    sessions.connectionFailed('owner' as InstanceId)
    ownership.tick()
    const [claim] = claims(ctx)
    ownership.claimOutcome(claim?.claimId ?? 0, { type: 'unavailable' })
    expect(changes).to.deep.equal([`gained ${tokenOf(40, 1)}`])
    expect(tokenOf(40, 1)).to.be.greaterThan(tokenOf(40, 0))
    expect(tokenOf(41, 0)).to.be.greaterThan(tokenOf(40, 1))
  })

  it('takes over without the store from a successor too, with tokens that no other instance of the record ever has', () => {
    const shard = record(40, 'owner', 'me', 'other')
    const tokensOf = (instance: string): number[] => {
      const tokens: number[] = []
      for (;;) {
        const rank = nextRank(shard, instance as InstanceId, tokens.at(-1) ?? tokenOf(40, 0))
        if (rank === undefined) return tokens
        tokens.push(tokenOf(40, rank))
      }
    }
    const all = ['owner', 'me', 'other'].flatMap(tokensOf)
    expect(new Set(all).size).to.equal(all.length)
    expect(Math.max(...all)).to.be.below(tokenOf(41, 0))
    expect(tokensOf('stranger')).to.deep.equal([])
    const { ctx, ownership, sessions, changes } = setUp()
    ownership.recordsRead(members('me', 'other', 'owner'), [shard])
    sessions.db.learnOwner({ failureDomain: DOMAIN, owner: 'other' as InstanceId, token: tokenOf(40, 2) })
    sessions.connectionFailed('other' as InstanceId)
    ownership.tick()
    const [claim] = claims(ctx)
    ownership.claimOutcome(claim?.claimId ?? 0, { type: 'unavailable' })
    expect(changes).to.deep.equal([`gained ${tokenOf(40, 4)}`])
  })

  it('takes over without the store by the latest record that any peer has told it', () => {
    const { ctx, ownership, sessions, changes } = setUp()
    ownership.recordsLearned([member('me'), member('owner')], [record(40, 'owner', 'me')])
    sessions.db.learnOwner({ failureDomain: DOMAIN, owner: 'other' as InstanceId, token: tokenOf(41, 0) })
    expect(ownership.knowsOwnRecord()).to.equal(false)
    ownership.recordsLearned([member('other')], [record(41, 'other', 'owner', 'me')])
    expect(ownership.knowsOwnRecord()).to.equal(true)
    expect([...ownership.db.members.keys()]).to.have.members(['me', 'owner', 'other'])
    ownership.recordsLearned([], [record(40, 'owner', 'me')])
    sessions.connectionFailed('other' as InstanceId)
    ownership.tick()
    ctx.now = ms(ctx.now + SHARD_DEFAULTS.successionMs)
    ownership.tick()
    const [claim] = claims(ctx)
    ownership.claimOutcome(claim?.claimId ?? 0, { type: 'unavailable' })
    expect(changes).to.deep.equal([`gained ${tokenOf(41, 2)}`])
  })

  it('tells all members a record that it has written, which does not count as a reading of the store for them', () => {
    const { ctx, ownership } = setUp()
    ownership.recordsRead(members('me', 'other'), [])
    ownership.tick()
    const [claim] = claims(ctx)
    ownership.claimOutcome(claim?.claimId ?? 0, { type: 'written', revision: 40 })
    const sent = ctx.out.takeEffects().flatMap(effect => effect.type === 'send' && effect.message.type === 'introduction' ? [{ to: effect.to, ...effect.message }] : [])
    expect(sent).to.deep.equal([{ to: 'other', type: 'introduction', members: [], shards: [record(40, 'me', 'other')], endpoints: [] }])
    const { ownership: other } = setUp()
    other.recordsLearned([], sent[0]?.shards ?? [])
    expect([other.db.records.get(DOMAIN)?.revision, other.db.recordsRead]).to.deep.equal([40, false])
  })

  it('takes no member from a peer once it has read the store itself, since the member may have been removed', () => {
    const { ownership } = setUp()
    ownership.recordsRead(members('me'), [])
    ownership.recordsLearned([member('removed')], [record(41, 'other', 'me')])
    expect([...ownership.db.members.keys()]).to.deep.equal(['me'])
    expect(ownership.db.records.get(DOMAIN)?.revision).to.equal(41)
  })

  it('does not take over without the store soon after an endpoint has refused its token: another instance owns the shard', () => {
    const { ctx, ownership, changes } = setUp()
    ownership.recordsRead(members('me', 'other'), [record(40, 'other', 'me')])
    ownership.handoverReceived(DOMAIN, 40, 1)
    ownership.superseded(DOMAIN)
    expect(changes.at(-1)).to.match(/^lost/)
    ctx.now = ms(ctx.now + SHARD_DEFAULTS.reclaimMs)
    ownership.tick()
    const [claim] = claims(ctx)
    ownership.claimOutcome(claim?.claimId ?? 0, { type: 'unavailable' })
    expect(changes.at(-1)).to.match(/^lost/)
  })

  it('starts anew when the shard is handed back to it that it did not know to be lost', () => {
    const { ctx, ownership, changes } = setUp()
    ownership.recordsRead(members('me', 'other'), [])
    ownership.tick()
    const [claim] = claims(ctx)
    ownership.claimOutcome(claim?.claimId ?? 0, { type: 'written', revision: 40 })
    ownership.handoverReceived(DOMAIN, 40, 2)
    expect(changes.slice(1).map(change => change.split(' ')[0])).to.deep.equal(['lost', 'gained'])
  })

  it('steps down for a newer record and waits before it claims the shard again', () => {
    const { ctx, ownership, sessions, changes } = setUp()
    ownership.recordsRead(members('me', 'other'), [])
    ownership.tick()
    const [claim] = claims(ctx)
    ownership.claimOutcome(claim?.claimId ?? 0, { type: 'written', revision: 40 })
    ownership.recordsRead(members('me', 'other'), [record(41, 'other', 'me')])
    expect(changes.at(-1)).to.equal('lost to other')
    sessions.connectionFailed('other' as InstanceId)
    ownership.tick()
    expect(claims(ctx)).to.deep.equal([])
    ctx.now = ms(ctx.now + SHARD_DEFAULTS.reclaimMs)
    ownership.tick()
    expect(claims(ctx).length).to.equal(1)
  })

  it('hands its shard to a live successor when it leaves', () => {
    const { ctx, ownership, sessions, changes } = setUp()
    ownership.recordsRead(members('me', 'other'), [])
    ownership.tick()
    const [claim] = claims(ctx)
    ownership.claimOutcome(claim?.claimId ?? 0, { type: 'written', revision: 40 })
    sessions.messageReceived('other' as InstanceId, 1, 'other')
    ctx.out.takeEffects()
    ownership.leave()
    const sent = ctx.out.takeEffects().find(effect => effect.type === 'send')
    expect(sent?.type === 'send' && sent.message).to.deep.equal({ type: 'handover', failureDomain: DOMAIN, revision: 40, rank: 1, endpoints: [] })
    expect(changes.at(-1)).to.equal('lost to other')
  })

  it('hands its shard to no successor that is about to end itself, until it has started anew', () => {
    const { ctx, ownership, sessions, changes } = setUp()
    ownership.recordsRead(members('me', 'ending', 'other'), [])
    ownership.tick()
    const [claim] = claims(ctx)
    ownership.claimOutcome(claim?.claimId ?? 0, { type: 'written', revision: 40 })
    const successors = claim?.record.successors ?? []
    for (const instance of successors) sessions.messageReceived(instance, 1, instance)
    for (const instance of successors) sessions.pingReceived(instance, instance === successors[0], false)
    expect(sessions.isLeaving(successors[0] as InstanceId)).to.equal(true)
    ownership.leave()
    expect(changes.at(-1)).to.equal(`lost to ${successors[1]}`)
    sessions.messageReceived(successors[0] as InstanceId, 2, 'address')
    expect(sessions.isLeaving(successors[0] as InstanceId)).to.equal(false)
  })

  it('hands its shard to a live successor with clearly more processor time after owning it for a while', () => {
    const { ctx, ownership, sessions, changes } = setUp()
    const strong = { revision: 1, value: member('strong', 1, CPU_MILLI * 2) }
    const equal = { revision: 1, value: member('equal', 1, CPU_MILLI) }
    ownership.recordsRead([equal, strong, ...members('me')], [])
    ownership.tick()
    const [claim] = claims(ctx)
    expect(claim?.record.successors).to.deep.equal(['strong', 'equal'])
    ownership.claimOutcome(claim?.claimId ?? 0, { type: 'written', revision: 40 })
    ctx.now = ms(ctx.now + 10_000)
    sessions.messageReceived('equal' as InstanceId, 1, 'equal')
    ownership.tick()
    expect(ownership.owns()).to.equal(true)
    sessions.messageReceived('strong' as InstanceId, 1, 'strong')
    ownership.tick()
    expect(changes.at(-1)).to.equal('lost to strong')
  })

  it('keeps its shard when it leaves and there is no successor', () => {
    const { ctx, ownership } = setUp()
    ownership.recordsRead(members('me'), [])
    ownership.tick()
    const [claim] = claims(ctx)
    ownership.claimOutcome(claim?.claimId ?? 0, { type: 'written', revision: 40 })
    ownership.leave()
    expect(ownership.owns()).to.equal(true)
  })
})
