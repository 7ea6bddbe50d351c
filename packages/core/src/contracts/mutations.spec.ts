import { expect } from 'chai'
import { EMPTY_FLEET, contractSchema, ms } from '@cranberryyard/protocol'
import type { ChangeId, Contract, CustomerId, EndpointId, EndpointInfo, EndpointOrder, FailureDomain, Fleet, InstanceId, ResultName } from '@cranberryyard/protocol'
import type { Change } from '../instance/types.js'
import { applyMutation } from './mutations.js'
import type { Actor } from './types.js'

const TEAM: Actor = { type: 'team', name: 'team' }
const STAFF: Actor = { type: 'staff', name: 'staff', customer: 'bantay' as CustomerId }

function contract (customer: string, running = 10): Contract {
  return contractSchema.parse({
    customer,
    limits: { running },
    bounds: { running: 20 },
    kinds: [{ name: 'alarm', idempotent: false, answerWithinMs: 1000 }],
    callers: [{ name: 'caller', keyHash: `sha256:${Buffer.from(customer).toString('hex').padEnd(64, '0')}` }]
  })
}

function endpoint (id: string, accelerators = 0): EndpointInfo {
  return { id: id as EndpointId, failureDomain: 'd' as FailureDomain, rack: 'r', address: '', slots: 8, cores: 8, memoryMb: 1000, accelerators, leaving: false }
}

const ENDPOINTS = ['a', 'b', 'c', 'd', 'e'].map(id => endpoint(id))
const BASE: Fleet = { ...EMPTY_FLEET, version: 1, contracts: [{ revision: 3, contract: contract('bantay') }, { revision: 1, contract: contract('kyushu') }] }

function apply (fleet: Fleet, change: Change, actor: Actor, changeId = 'change-0001', endpoints = ENDPOINTS) {
  const request = { changeId: changeId as ChangeId, keyHash: '', reason: 'test', change }
  return applyMutation(fleet, { type: 'change', request, actor, at: ms(1), instance: 'entry-1' as InstanceId }, { endpoints })
}

function errorOf (result: ReturnType<typeof apply>): ResultName | undefined {
  return result.isErr ? result.error.name : undefined
}

const amend = (c: unknown, expectedRevision: number): Change => ({ type: 'contract', contract: c as Contract, expectedRevision })
const order = (id: string, what: EndpointOrder, force = false): Change => ({ type: 'endpoint', endpoint: id as EndpointId, order: what, force })

describe('changes of contracts', () => {
  it('are written together with their audit entry', () => {
    const next = apply(BASE, amend(contract('bantay', 15), 3), STAFF).unwrapOr(BASE)
    expect(next.contracts[0]?.revision).to.equal(4)
    expect(next.audit.entries.map(e => [e.by, e.subject])).to.deep.equal([['bantay/staff', { type: 'contract', customer: 'bantay', revision: 4 }]])
  })

  it('are refused on a revision that has moved on', () => {
    expect(errorOf(apply(BASE, amend(contract('bantay', 15), 2), TEAM))).to.equal('revisionConflict')
  })

  it('are refused on a forged later revision', () => {
    expect(errorOf(apply(BASE, amend(contract('bantay', 15), 99), TEAM))).to.equal('revisionConflict')
  })

  it('are refused to another customer\'s staff', () => {
    expect(errorOf(apply(BASE, amend(contract('kyushu', 15), 1), STAFF))).to.equal('notPermitted')
  })

  it('are refused above the bound', () => {
    expect(errorOf(apply(BASE, amend(contract('bantay', 21), 3), STAFF))).to.equal('outOfBounds')
  })

  it('do not let staff raise their own bound', () => {
    const raised = { ...contract('bantay', 30), bounds: { running: 40, startsPerSecond: 100_000, queued: 20_000 } }
    expect(errorOf(apply(BASE, amend(raised, 3), STAFF))).to.equal('notPermitted')
  })

  it('do not let staff change their weight or staff list', () => {
    expect(errorOf(apply(BASE, amend({ ...contract('bantay'), weight: 5 }, 3), STAFF))).to.equal('notPermitted')
  })

  it('are refused under a name with path characters', () => {
    expect(errorOf(apply(BASE, amend({ ...contract('bantay'), customer: '../kyushu' }, 3), TEAM))).to.equal('invalidName')
  })

  it('do not take over another customer\'s key', () => {
    const stolen = { ...contract('bantay'), callers: contract('kyushu').callers }
    expect(errorOf(apply(BASE, amend(stolen, 3), STAFF))).to.equal('invalidContract')
  })

  it('are made once when sent twice', () => {
    const once = apply(BASE, amend(contract('bantay', 15), 3), STAFF).unwrapOr(BASE)
    const twice = apply(once, amend(contract('bantay', 15), 3), STAFF)
    expect(twice.unwrapOr(BASE)).to.equal(once)
  })

  it('are refused when a change id is used again for something else', () => {
    const once = apply(BASE, amend(contract('bantay', 15), 3), STAFF).unwrapOr(BASE)
    expect(errorOf(apply(once, amend(contract('bantay', 16), 4), STAFF))).to.equal('changeReplayed')
  })

  it('without a difference write nothing', () => {
    expect(apply(BASE, amend(contract('bantay'), 3), TEAM).unwrapOr(EMPTY_FLEET)).to.equal(BASE)
  })
})

describe('orders for endpoints', () => {
  it('repeated change nothing', () => {
    const drained = apply(BASE, order('a', 'draining'), TEAM).unwrapOr(BASE)
    expect(apply(drained, order('a', 'draining'), TEAM, 'change-0002').unwrapOr(BASE)).to.equal(drained)
  })

  it('do not stop the last endpoint of its size unless forced', () => {
    const endpoints = [...ENDPOINTS, endpoint('big', 8)]
    expect(errorOf(apply(BASE, order('big', 'stopped'), TEAM, 'change-0001', endpoints))).to.equal('lastEndpoint')
    expect(errorOf(apply(BASE, order('big', 'stopped', true), TEAM, 'change-0001', endpoints))).to.equal(undefined)
  })

  it('let staff drain while enough others stay active, and not stop', () => {
    const drained = apply(BASE, order('a', 'draining'), STAFF).unwrapOr(BASE)
    expect(drained.endpoints[0]?.order).to.equal('draining')
    expect(errorOf(apply(drained, order('b', 'draining'), STAFF, 'change-0002'))).to.equal('notPermitted')
    expect(errorOf(apply(BASE, order('a', 'stopped'), STAFF))).to.equal('notPermitted')
  })

  it('do not let staff undo the team\'s order', () => {
    const drained = apply(BASE, order('a', 'draining'), TEAM).unwrapOr(BASE)
    expect(errorOf(apply(drained, order('a', 'active'), STAFF, 'change-0002'))).to.equal('notPermitted')
  })

  it('follow the state chart', () => {
    const stopped = apply(BASE, order('a', 'stopped'), TEAM).unwrapOr(BASE)
    expect(errorOf(apply(stopped, order('a', 'draining'), TEAM, 'change-0002'))).to.equal('invalidTransition')
  })

  it('are refused for an unknown endpoint', () => {
    expect(errorOf(apply(BASE, order('nowhere', 'draining'), TEAM))).to.equal('unknownEndpoint')
  })
})
