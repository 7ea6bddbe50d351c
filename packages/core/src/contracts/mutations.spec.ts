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

const contractChange = (c: unknown, expectedRevision: number): Change => ({ type: 'contract', contract: c as Contract, expectedRevision })
const endpointChange = (id: string, newOrder: EndpointOrder, force = false): Change => ({ type: 'endpoint', endpoint: id as EndpointId, order: newOrder, force })

describe('changes of contracts', () => {
  it('are written together with their audit entry', () => {
    const next = apply(BASE, contractChange(contract('bantay', 15), 3), STAFF).unwrapOr(BASE)
    expect(next.contracts[0]?.revision).to.equal(4)
    expect(next.audit.entries.map(e => [e.by, e.subject])).to.deep.equal([['bantay/staff', { type: 'contract', customer: 'bantay', revision: 4 }]])
  })

  it('are refused when based on an outdated revision', () => {
    expect(errorOf(apply(BASE, contractChange(contract('bantay', 15), 2), TEAM))).to.equal('revisionConflict')
  })

  it('are refused when based on a revision that does not exist yet', () => {
    expect(errorOf(apply(BASE, contractChange(contract('bantay', 15), 99), TEAM))).to.equal('revisionConflict')
  })

  it('are refused when made by another customer\'s staff', () => {
    expect(errorOf(apply(BASE, contractChange(contract('kyushu', 15), 1), STAFF))).to.equal('notPermitted')
  })

  it('are refused when a limit is above its bound', () => {
    expect(errorOf(apply(BASE, contractChange(contract('bantay', 21), 3), STAFF))).to.equal('outOfBounds')
  })

  it('are refused when staff raise their own bounds', () => {
    const raised = { ...contract('bantay', 30), bounds: { running: 40, startsPerSecond: 100_000, queued: 20_000 } }
    expect(errorOf(apply(BASE, contractChange(raised, 3), STAFF))).to.equal('notPermitted')
  })

  it('are refused when staff change their weight', () => {
    expect(errorOf(apply(BASE, contractChange({ ...contract('bantay'), weight: 5 }, 3), STAFF))).to.equal('notPermitted')
  })

  it('are refused when the customer\'s name contains path characters', () => {
    expect(errorOf(apply(BASE, contractChange({ ...contract('bantay'), customer: '../kyushu' }, 3), TEAM))).to.equal('invalidName')
  })

  it('are refused when a key belongs to another customer', () => {
    const stolen = { ...contract('bantay'), callers: contract('kyushu').callers }
    expect(errorOf(apply(BASE, contractChange(stolen, 3), STAFF))).to.equal('invalidContract')
  })

  it('are made only once when sent twice', () => {
    const once = apply(BASE, contractChange(contract('bantay', 15), 3), STAFF).unwrapOr(BASE)
    const twice = apply(once, contractChange(contract('bantay', 15), 3), STAFF)
    expect(twice.unwrapOr(BASE)).to.equal(once)
  })

  it('are refused when their id was used for a different change', () => {
    const once = apply(BASE, contractChange(contract('bantay', 15), 3), STAFF).unwrapOr(BASE)
    expect(errorOf(apply(once, contractChange(contract('bantay', 16), 4), STAFF))).to.equal('changeReplayed')
  })

  it('leave the value as it is when nothing differs', () => {
    expect(apply(BASE, contractChange(contract('bantay'), 3), TEAM).unwrapOr(EMPTY_FLEET)).to.equal(BASE)
  })
})

describe('orders for endpoints', () => {
  it('change nothing when repeated', () => {
    const drained = apply(BASE, endpointChange('a', 'draining'), TEAM).unwrapOr(BASE)
    expect(apply(drained, endpointChange('a', 'draining'), TEAM, 'change-0002').unwrapOr(BASE)).to.equal(drained)
  })

  it('stop the last endpoint of its size only when forced', () => {
    const endpoints = [...ENDPOINTS, endpoint('big', 8)]
    expect(errorOf(apply(BASE, endpointChange('big', 'stopped'), TEAM, 'change-0001', endpoints))).to.equal('lastEndpoint')
    expect(errorOf(apply(BASE, endpointChange('big', 'stopped', true), TEAM, 'change-0001', endpoints))).to.equal(undefined)
  })

  it('let staff drain endpoints while enough others stay active, but never stop them', () => {
    const drained = apply(BASE, endpointChange('a', 'draining'), STAFF).unwrapOr(BASE)
    expect(drained.endpoints[0]?.order).to.equal('draining')
    expect(errorOf(apply(drained, endpointChange('b', 'draining'), STAFF, 'change-0002'))).to.equal('notPermitted')
    expect(errorOf(apply(BASE, endpointChange('a', 'stopped'), STAFF))).to.equal('notPermitted')
  })

  it('are refused when staff override the team\'s order', () => {
    const drained = apply(BASE, endpointChange('a', 'draining'), TEAM).unwrapOr(BASE)
    expect(errorOf(apply(drained, endpointChange('a', 'active'), STAFF, 'change-0002'))).to.equal('notPermitted')
  })

  it('are refused when the state chart has no such transition', () => {
    const stopped = apply(BASE, endpointChange('a', 'stopped'), TEAM).unwrapOr(BASE)
    expect(errorOf(apply(stopped, endpointChange('a', 'draining'), TEAM, 'change-0002'))).to.equal('invalidTransition')
  })

  it('are refused for an unknown endpoint', () => {
    expect(errorOf(apply(BASE, endpointChange('nowhere', 'draining'), TEAM))).to.equal('unknownEndpoint')
  })
})
