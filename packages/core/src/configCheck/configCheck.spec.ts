import { expect } from 'chai'
import type { Contract, DesiredState, QueueName, QueueTerms, ServiceName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { checkContract, contractDifferences, repeatedCustomers } from './contractChecks.js'
import { checkDesiredState, checkVersion, differencesOf } from './queueChecks.js'

const SERVICE = 's' as ServiceName

function queue (overrides: Partial<QueueTerms> = {}): QueueTerms {
  return { name: 'q' as QueueName, host: 'h.example', prefix: '/q/', service: SERVICE, priority: 0, maxAttempts: 2, stretch: 1.6, latencyObjectiveMs: ms(60), needsAdvice: false, ...overrides }
}

function state (queues: readonly QueueTerms[], overrides: Partial<DesiredState> = {}): DesiredState {
  return { version: 2, queues, services: [{ name: SERVICE, guardsCapacity: false }], ...overrides }
}

const found = (of: DesiredState): string[] => checkDesiredState(of).map(({ severity, code, path }) => `${severity} ${code} ${path.join('.')}`)

const CONTRACT: Contract = {
  customer: 'c',
  team: 't',
  weight: 1,
  limits: { running: 10, jobTasks: 5, startsPerSecond: 10, queued: 10 },
  bounds: { running: 10, startsPerSecond: 10, queued: 10 },
  kinds: [{ name: 'k', idempotent: false, answerWithinMs: 100, whenLate: 'refuse', runMs: 10 }],
  callers: [],
  staff: []
}

describe('the check of a desired state', () => {
  it('finds nothing in a sound one', () => {
    expect(found(state([queue(), queue({ name: 'r' as QueueName, prefix: '/r/' }), queue({ name: 't' as QueueName, prefix: '/q/t/' })]))).to.deep.equal([])
  })

  it('finds queues that can never get a job', () => {
    const queues = [queue(), queue({ name: 'same' as QueueName }), queue({ name: 'none' as QueueName, host: '' }), queue({ name: 'port' as QueueName, host: 'h.example:80' }), queue({ name: 'path' as QueueName, prefix: 'p/' })]
    expect(found(state(queues))).to.have.members(['error neverMatches queues.1.prefix', 'error neverMatches queues.2.host', 'error neverMatches queues.3.host', 'error neverMatches queues.4.prefix'])
  })

  it('finds a longer prefix that takes a part of the ids, on the same host only', () => {
    const ab = queue({ name: 'ab' as QueueName, prefix: '/q/ab' })
    expect(found(state([queue(), ab]))).to.deep.equal(['warning partlyHidden queues.0.prefix'])
    expect(found(state([queue(), { ...ab, host: 'other.example' }]))).to.deep.equal([])
  })

  it('finds services that are unknown, unused or named twice', () => {
    const services = [SERVICE, SERVICE, 'idle' as ServiceName].map(name => ({ name, guardsCapacity: false }))
    expect(found(state([queue(), queue({ name: 'r' as QueueName, prefix: '/r/', service: 'gone' as ServiceName })], { services }))).to.have.members(['error duplicateName services.1.name', 'error unknownService queues.1.service', 'warning unusedService services.2.name'])
  })

  it('finds objectives that nothing can meet, and queues that are not served', () => {
    expect(found(state([queue({ stretch: 0, latencyObjectiveMs: ms(0) })]))).to.deep.equal(['error contradiction queues.0.stretch'])
    expect(found(state([queue({ stretch: 0.5, needsAdvice: true })]))).to.have.members(['warning contradiction queues.0.stretch', 'warning unsupported queues.0.needsAdvice'])
  })

  it('compares with the version in force', () => {
    const before = state([queue(), queue({ name: 'old' as QueueName, prefix: '/old/' })])
    const after = state([queue({ priority: 1 }), queue({ name: 'new' as QueueName, prefix: '/new/' })], { version: 2 })
    expect(checkVersion(after, before).map(({ code }) => code)).to.deep.equal(['notNewer'])
    expect(checkVersion({ ...after, version: 3 }, before)).to.deep.equal([])
    expect(differencesOf(before, after)).to.deep.equal([
      { kind: 'changed', what: 'queue h.example/q/', fields: [{ field: 'priority', before: 0, after: 1 }] },
      { kind: 'added', what: 'queue h.example/new/', fields: [] },
      { kind: 'removed', what: 'queue h.example/old/', fields: [] }
    ])
  })
})

describe('the check of contracts', () => {
  it('finds limits above their bounds, jobs that can never wait, and kinds that are hidden', () => {
    expect(checkContract(CONTRACT)).to.deep.equal([])
    const kinds = [...CONTRACT.kinds, ...CONTRACT.kinds]
    expect(checkContract({ ...CONTRACT, limits: { ...CONTRACT.limits, running: 11, jobTasks: 20 }, kinds }).map(({ path }) => path.join('.'))).to.have.members(['limits.running', 'limits.jobTasks', 'kinds.1.name'])
  })

  it('compares with those in force, and finds customers with two of them', () => {
    const other = { ...CONTRACT, customer: 'd' }
    expect(repeatedCustomers([CONTRACT, other, CONTRACT])).to.deep.equal(['c'])
    expect(contractDifferences([CONTRACT], [{ ...CONTRACT, weight: 2 }, other]).map(({ kind, what }) => `${kind} ${what}`)).to.deep.equal(['changed contract c', 'added contract d'])
  })
})
