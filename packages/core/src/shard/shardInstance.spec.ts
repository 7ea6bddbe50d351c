import { expect } from 'chai'
import type { ClockReading, DispatchOrder, EndpointClockMs, EndpointId, EndpointReport, FailureDomain, FencingToken, InstanceId, JobId, MemberRecord, Ms, QueueName, ServiceName, ShardMessage } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { EndpointSets } from '../endpoints/endpointSets.js'
import { SHARD_DEFAULTS } from './settings.js'
import { ShardInstance } from './shardInstance.js'
import type { ShardEffect, ShardInput } from './types.js'

const ENDPOINT: EndpointReport = {
  id: 'e' as EndpointId,
  service: 's' as ServiceName,
  address: 'e',
  failureDomain: 'd' as FailureDomain,
  draining: false,
  capacity: { cpuMilli: 1000, memoryMb: 1000, accelerators: 0 },
  labels: [],
  bornAt: 1
}

/**
 * Passes timed inputs to a new instance.
 * @returns the names of the log events
 */
function loggedEvents (inputs: readonly (readonly [number, ShardInput])[]): string[] {
  const instance = new ShardInstance({ self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })
  return inputs.flatMap(([at, input]) => instance.handle(input, ms(at), ms(at))).flatMap(effect => effect.type === 'log' ? [effect.event] : [])
}

const listInput = (...reports: EndpointReport[]): ShardInput => ({ type: 'endpoints', reports, fresh: false })
const TICK: ShardInput = { type: 'tick' }
const REACHABLE: ShardInput = { type: 'storeReachable', reachable: true }

describe('the list of endpoints', () => {
  const { missingEndpointRetentionMs } = SHARD_DEFAULTS

  it('does not remove an endpoint after a single list without it, however long ago that was', () => {
    const inputs: [number, ShardInput][] = [[0, REACHABLE], [1, listInput(ENDPOINT)], [100, listInput()], [100 + missingEndpointRetentionMs + 1, TICK], [200 + missingEndpointRetentionMs, listInput(ENDPOINT)]]
    expect(loggedEvents(inputs)).not.to.include('endpoint.gone')
  })

  it('removes an endpoint that lists leave out for the whole retention period', () => {
    expect(loggedEvents([[0, REACHABLE], [1, listInput(ENDPOINT)], [100, listInput()], [101 + missingEndpointRetentionMs, listInput()]])).to.include('endpoint.gone')
  })
})

describe('an introduction', () => {
  const FAR: EndpointReport = { ...ENDPOINT, id: 'f' as EndpointId, failureDomain: 'far' as FailureDomain }

  it('has the endpoints of all failure domains, also from a sender that has not noticed yet that the store is down', () => {
    const member = { instance: 'new' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'new', cpuMilli: 500 }
    const introduced = [true, false].map((reachable) => {
      const instance = new ShardInstance({ self: { ...member, instance: 'me' as InstanceId, address: 'me' }, cfg: SHARD_DEFAULTS })
      const handle = (input: ShardInput): ShardMessage[] => instance.handle(input, ms(0), ms(0)).flatMap(effect => effect.type === 'send' ? [effect.message] : [])
      handle({ type: 'records', members: [{ revision: 1, value: member }], shards: [] })
      handle(listInput(ENDPOINT, FAR))
      handle({ type: 'storeReachable', reachable })
      const answer = handle({ type: 'peer', from: member.instance, message: { type: 'desiredRequest', introduce: true } }).find(message => message.type === 'introduction')
      return answer?.endpoints.map(({ id }) => id)
    })
    expect(introduced).to.deep.equal([['e', 'f'], ['e', 'f']])
  })

  it('names the members of the own domain, which are asked next when it lacks the record of that domain', () => {
    const member = (name: string, failureDomain: string): MemberRecord => ({ instance: name as InstanceId, incarnation: 1, failureDomain: failureDomain as FailureDomain, address: name, cpuMilli: 500 })
    const instance = new ShardInstance({ self: member('me', 'd'), cfg: SHARD_DEFAULTS, seeds: ['seed'] })
    const handle = (now: number, input: ShardInput): string[] => instance.handle(input, ms(now), ms(now)).flatMap(effect => effect.type === 'send' && effect.message.type === 'desiredRequest' ? [effect.address] : [])
    const ticks = (from: number, to: number): string[] => Array.from({ length: (to - from) / 100 }, (_, n) => handle(from + n * 100, TICK)).flat()
    expect(ticks(0, 700)).to.deep.equal(['seed'])
    handle(700, { type: 'peer', from: 'seed' as InstanceId, message: { type: 'introduction', members: [member('me', 'd'), member('seed', 'far'), member('near', 'd'), member('other', 'far')], shards: [], endpoints: [ENDPOINT, FAR] } })
    expect(ticks(700, 2000)[0]).to.equal('near')
  })

  it('comes without a copy of the desired state for a peer that has it, since the copy may be long', () => {
    const copies = [2, 3].map((desiredVersion) => {
      const instance = new ShardInstance({ self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })
      const handle = (input: ShardInput): string[] => instance.handle(input, ms(0), ms(0)).flatMap(effect => effect.type === 'send' ? [effect.message.type] : [])
      handle({ type: 'records', members: [], shards: [] })
      handle({ type: 'desired', state: { version: 3, queues: [], services: [] } })
      handle({ type: 'peer', from: 'peer' as InstanceId, message: { type: 'ping', incarnation: 1, address: 'peer', desiredVersion } })
      expect(handle({ type: 'peer', from: 'peer' as InstanceId, message: { type: 'desiredRequest', introduce: true } })).to.include('introduction')
      return handle(TICK).includes('desired')
    })
    expect(copies).to.deep.equal([true, false])
  })

  it('passes on the endpoints of another failure domain that one peer knew, also when others know none', () => {
    const member = { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }
    const instance = new ShardInstance({ self: member, cfg: SHARD_DEFAULTS })
    const handle = (now: number, message: ShardMessage): ShardMessage[] => instance.handle({ type: 'peer', from: 'peer' as InstanceId, message }, ms(now), ms(now)).flatMap(effect => effect.type === 'send' ? [effect.message] : [])
    handle(0, { type: 'ping', incarnation: 1, address: 'peer', desiredVersion: 0 })
    for (const [n, endpoints] of [[FAR], [], []].entries()) handle(n * SHARD_DEFAULTS.missingEndpointRetentionMs, { type: 'introduction', members: [member], shards: [], endpoints })
    const answer = handle(10_000, { type: 'desiredRequest', introduce: true }).find(message => message.type === 'introduction')
    expect(answer?.endpoints.map(({ id }) => id)).to.deep.equal(['f'])
  })
})

describe('an instance that was restarted and that the record of its shard still names', () => {
  it('sends itself no ping when a job comes before it owns the shard again: the answer would come later and deny that it does', () => {
    const self = { instance: 'me' as InstanceId, incarnation: 2, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }
    const instance = new ShardInstance({ self, cfg: SHARD_DEFAULTS })
    const sentToSelf = (now: number, input: ShardInput): ShardMessage[] => instance.handle(input, ms(now), ms(now)).flatMap(effect => effect.type === 'send' && effect.to === self.instance ? [effect.message] : [])
    const record = { revision: 5, value: { failureDomain: self.failureDomain, owner: { ...self, incarnation: 1 }, successors: [] } }
    const queue = { name: 'q' as QueueName, host: 'h', prefix: '/q/', service: 's' as ServiceName, priority: 0, maxAttempts: 3, stretch: 1.5, latencyObjectiveMs: ms(50), needsAdvice: false }
    const step = { count: 1, needs: { cpuMilli: 1, memoryMb: 0, accelerators: 0 }, estimateMs: ms(100), after: [], requiredLabel: '', preferredRack: '', maxPerEndpoint: 0 }
    const sent = [
      ...sentToSelf(0, REACHABLE),
      ...sentToSelf(1, { type: 'records', members: [{ revision: 4, value: { ...self, incarnation: 1 } }], shards: [record] }),
      ...sentToSelf(2, { type: 'desired', state: { version: 1, queues: [queue], services: [] } }),
      ...sentToSelf(3, { type: 'submit', callId: 'c', host: 'h', path: '/q/a', job: { id: 'a' as JobId, spec: '', features: [], steps: [step] }, deadlineMs: ms(3000) }),
      ...sentToSelf(4, TICK)
    ]
    expect(sent).to.deep.equal([])
  })
})

describe('the age of an order', () => {
  const DOMAIN = 'd' as FailureDomain
  const FRONT = 'front' as InstanceId
  const ORDER: DispatchOrder = {
    job: { id: 'a' as JobId, spec: '', features: [], steps: [{ count: 1, needs: { cpuMilli: 1, memoryMb: 0, accelerators: 0 }, estimateMs: ms(100), after: [], requiredLabel: '', preferredRack: '', maxPerEndpoint: 0 }] },
    queue: { name: 'q' as QueueName, host: 'h', prefix: '/q/', service: 's' as ServiceName, priority: 0, maxAttempts: 3, stretch: 1.5, latencyObjectiveMs: ms(50), needsAdvice: false },
    ageMs: ms(0),
    remainingMs: ms(5000),
    attempt: 1,
    resumed: true,
    done: []
  }

  /** Makes an owner of a shard and lets a peer submit a job at 10 s. @returns whether the owner took it, and its last message to the peer before the answer */
  function submitTo (message: { readonly ownerClock?: ClockReading, readonly time?: Ms }, wall = (now: number): number => now): { readonly taken: boolean, readonly clock: Ms | undefined } {
    const owner = new ShardInstance({ self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: DOMAIN, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })
    const handle = (now: number, input: ShardInput): ShardMessage[] => owner.handle(input, ms(now), ms(wall(now))).flatMap(effect => effect.type === 'send' ? [effect.message] : [])
    handle(0, { type: 'records', members: [], shards: [] })
    handle(1, TICK)
    handle(2, { type: 'claimOutcome', claimId: 1, result: { type: 'written', revision: 1 } })
    handle(9990, TICK)
    const answers = handle(10_000, { type: 'peer', from: FRONT, message: { type: 'submit', incarnation: 7, address: 'front', failureDomain: DOMAIN, order: ORDER, ...message } })
    const pong = answers.find(answer => answer.type === 'pong')
    return { taken: !answers.some(answer => answer.type === 'notOwner'), clock: pong?.time }
  }

  it('is proved by a reading of the owner\'s clock', () => {
    const { jobLeaseMs } = SHARD_DEFAULTS
    expect(submitTo({ time: ms(1), ownerClock: { incarnation: 1, at: ms(10_000 - jobLeaseMs) } }).taken).to.equal(true)
    expect(submitTo({ time: ms(1), ownerClock: { incarnation: 1, at: ms(10_000 - jobLeaseMs - 1) } }).taken).to.equal(false)
  })

  it('is not proved without a reading or by one of an earlier incarnation, and the answer carries the clock', () => {
    expect(submitTo({ time: ms(1) })).to.deep.equal({ taken: false, clock: 10_000 })
    expect(submitTo({ time: ms(1), ownerClock: { incarnation: 0, at: ms(10_000) } })).to.deep.equal({ taken: false, clock: 10_000 })
  })

  it('does not let a front take a job elsewhere that this owner has from another front', () => {
    const owner = new ShardInstance({ self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: DOMAIN, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })
    const handle = (now: number, input: ShardInput): ShardMessage[] => owner.handle(input, ms(now), ms(now)).flatMap(effect => effect.type === 'send' ? [effect.message] : [])
    const submit = (from: string, at: number): ShardInput => ({ type: 'peer', from: from as InstanceId, message: { type: 'submit', incarnation: 7, address: from, failureDomain: DOMAIN, order: ORDER, time: ms(1), ownerClock: { incarnation: 1, at: ms(at) } } })
    const refusals = (messages: readonly ShardMessage[]): unknown[] => messages.filter(message => message.type === 'notOwner')
    handle(0, { type: 'records', members: [], shards: [] })
    handle(1, TICK)
    handle(2, { type: 'claimOutcome', claimId: 1, result: { type: 'written', revision: 1 } })
    handle(1990, TICK)
    expect(refusals(handle(2000, submit('other', 100)))).to.deep.equal([{ type: 'notOwner', jobId: 'a', failureDomain: DOMAIN, attempt: 1 }])
    expect(refusals(handle(2001, submit('front', 2001)))).to.deep.equal([])
    expect(refusals(handle(2002, submit('other', 100)))).to.deep.equal([{ type: 'notOwner', jobId: 'a', failureDomain: DOMAIN }])
  })

  it('is not proved by a reading ahead of the owner\'s clock, which stood still while its machine was suspended and its wall clock stepped back', () => {
    const wall = (now: number): number => now < 10_000 ? now : now - 5000
    expect(submitTo({ time: ms(1), ownerClock: { incarnation: 1, at: ms(13_000) } }, wall)).to.deep.equal({ taken: false, clock: 10_000 })
  })

  it('is not asked of a front of an earlier version, which knows no readings', () => {
    expect(submitTo({}).taken).to.equal(true)
  })

  it('is not asked of a front that has gone back to an earlier version', () => {
    const owner = new ShardInstance({ self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: DOMAIN, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })
    const handle = (now: number, input: ShardInput): string[] => owner.handle(input, ms(now), ms(now)).flatMap(effect => effect.type === 'send' ? [effect.message.type] : [])
    handle(0, { type: 'records', members: [], shards: [] })
    handle(1, TICK)
    handle(2, { type: 'claimOutcome', claimId: 1, result: { type: 'written', revision: 1 } })
    handle(3, { type: 'peer', from: FRONT, message: { type: 'ping', incarnation: 7, address: 'front', desiredVersion: 1, time: ms(5) } })
    expect(handle(4, { type: 'peer', from: FRONT, message: { type: 'submit', incarnation: 8, address: 'front', failureDomain: DOMAIN, order: ORDER } })).not.to.include('notOwner')
  })

  it('is that of the last look at the callers for a job of the owner\'s own callers', () => {
    const owner = new ShardInstance({ self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: DOMAIN, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })
    const handle = (now: number, input: ShardInput, upTo = now): ShardEffect[] => owner.handle(input, ms(now), ms(now), { upTo: ms(upTo), endedAt: ms(now) })
    handle(0, { type: 'records', members: [], shards: [] })
    handle(1, listInput(ENDPOINT))
    handle(2, TICK)
    const [hold] = handle(3, { type: 'claimOutcome', claimId: 1, result: { type: 'written', revision: 1 } }).filter(effect => effect.type === 'hold')
    handle(4, { type: 'holdOutcome', endpoint: ENDPOINT.id, orderId: hold?.orderId ?? 0, outcome: { type: 'listed', listing: { clock: 4 as EndpointClockMs, bornAt: 1, running: [], ended: [] } } })
    handle(5, { type: 'desired', state: { version: 1, queues: [ORDER.queue], services: [] } })
    handle(10, { type: 'submit', callId: 'c', host: 'h', path: '/q/a', job: ORDER.job, deadlineMs: ms(9000) })
    handle(390, TICK, 20)
    expect([...owner.execution.db.jobs.values()].map(job => job.confirmedAt)).to.deep.equal([20])
  })

  it('includes the time for which the owner was suspended, which its monotonic clock does not count', () => {
    const suspendedMs = 3000
    const wall = (now: number): number => now < 10_000 ? now : now + suspendedMs
    expect(submitTo({ time: ms(1), ownerClock: { incarnation: 1, at: ms(10_000) } }, wall).taken).to.equal(false)
    expect(submitTo({ time: ms(1), ownerClock: { incarnation: 1, at: ms(10_000 + suspendedMs) } }, wall).taken).to.equal(true)
  })
})

describe('a confirmation with a reading ahead of the owner\'s clock', () => {
  const DOMAIN = 'd' as FailureDomain
  const FRONT = 'front' as InstanceId

  it('confirms nothing, until the front has the present time', () => {
    const owner = new ShardInstance({ self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: DOMAIN, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })
    const handle = (now: number, input: ShardInput): unknown => owner.handle(input, ms(now), ms(now))
    const peer = (message: ShardMessage): ShardInput => ({ type: 'peer', from: FRONT, message })
    const confirmedAt = (): Ms | undefined => owner.execution.db.jobs.get('a' as JobId)?.confirmedAt
    const check = (at: number): ShardInput => peer({ type: 'checkJobs', failureDomain: DOMAIN, jobIds: ['a' as JobId], ownerClock: { incarnation: 1, at: ms(at) } })
    const job = { id: 'a' as JobId, spec: '', features: [], steps: [{ count: 1, needs: { cpuMilli: 1, memoryMb: 0, accelerators: 0 }, estimateMs: ms(100), after: [], requiredLabel: '', preferredRack: '', maxPerEndpoint: 0 }] }
    const queue = { name: 'q' as QueueName, host: 'h', prefix: '/q/', service: 's' as ServiceName, priority: 0, maxAttempts: 3, stretch: 1.5, latencyObjectiveMs: ms(50), needsAdvice: false }
    handle(0, { type: 'records', members: [], shards: [] })
    handle(1, TICK)
    handle(2, { type: 'claimOutcome', claimId: 1, result: { type: 'written', revision: 1 } })
    handle(10, peer({ type: 'submit', incarnation: 7, address: 'front', failureDomain: DOMAIN, order: { job, queue, ageMs: ms(0), remainingMs: ms(5000), attempt: 1, resumed: true, done: [] }, time: ms(1), ownerClock: { incarnation: 1, at: ms(9) } }))
    handle(200, check(3200))
    expect(confirmedAt()).to.equal(9)
    // Clocks of two machines differ a little in their rate.
    handle(210, check(212))
    expect(confirmedAt()).to.equal(210)
  })
})

describe('what a front says of its jobs', () => {
  const DOMAIN = 'd' as FailureDomain
  const OWNER = 'owner' as InstanceId
  const JOB = { id: 'a' as JobId, spec: '', features: [], steps: [{ count: 1, needs: { cpuMilli: 1, memoryMb: 0, accelerators: 0 }, estimateMs: ms(5000), after: [], requiredLabel: '', preferredRack: '', maxPerEndpoint: 0 }] }
  const QUEUE = { name: 'q' as QueueName, host: 'h', prefix: '/q/', service: 's' as ServiceName, priority: 0, maxAttempts: 3, stretch: 1.5, latencyObjectiveMs: ms(50), needsAdvice: false }

  it('counts from when it has read its callers\' connections, in confirmations and in copies sent on a new link', () => {
    const front = new ShardInstance({ self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: DOMAIN, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })
    const handle = (now: number, input: ShardInput, upTo = now, endedAt = now): (readonly [string, Ms | undefined])[] => front.handle(input, ms(now), ms(now), { upTo: ms(upTo), endedAt: ms(endedAt) })
      .flatMap(effect => effect.type === 'send' && (effect.message.type === 'submit' || effect.message.type === 'checkJobs') ? [[effect.message.type, effect.message.ownerClock?.at] as const] : [])
    handle(0, { type: 'desired', state: { version: 1, queues: [QUEUE], services: [] } })
    handle(1, { type: 'peer', from: OWNER, message: { type: 'announce', incarnation: 3, address: 'owner', failureDomain: DOMAIN, token: 64 as FencingToken, time: ms(1001) } })
    expect(handle(10, { type: 'submit', callId: 'c', host: 'h', path: '/q/a', job: JOB, deadlineMs: ms(9000) })).to.deep.equal([['submit', 1010]])
    expect(handle(390, TICK, 11)).to.deep.equal([['checkJobs', 1011]])
    expect(handle(391, { type: 'linkDown', peer: OWNER }, 12)).to.deep.equal([['submit', 1012]])
    // A reading that was read together with what had arrived before it, and one that was not.
    handle(400, { type: 'peer', from: OWNER, message: { type: 'announce', incarnation: 3, address: 'owner', failureDomain: DOMAIN, token: 64 as FencingToken, time: ms(1300) } }, 12, 391)
    expect(handle(401, { type: 'linkDown', peer: OWNER }, 12, 391)).to.deep.equal([['submit', 1300 + 12 - 400]])
    expect(handle(410, { type: 'linkDown', peer: OWNER }, 12, 405)).to.deep.equal([['submit', 1300]])
  })

  describe('while input waits unread on the connection of a job\'s caller', () => {
    const behind = new Map<string, Ms>()
    let front: ShardInstance
    const handle = (now: number, input: ShardInput): ShardEffect[] => front.handle(input, ms(now), ms(now), { upTo: ms(now), endedAt: ms(now), behindAt: callId => behind.get(callId) })
    const messagesIn = (effects: readonly ShardEffect[]): (readonly [string, Ms | undefined])[] => effects
      .flatMap(effect => effect.type === 'send' && (effect.message.type === 'submit' || effect.message.type === 'checkJobs') ? [[effect.message.type, effect.message.ownerClock?.at] as const] : [])
    const submit = (callId: string, id: string): ShardInput => ({ type: 'submit', callId, host: 'h', path: `/q/${id}`, job: { ...JOB, id: id as JobId }, deadlineMs: ms(9000) })
    const announce = (now: number): ShardInput => ({ type: 'peer', from: OWNER, message: { type: 'announce', incarnation: 3, address: 'owner', failureDomain: DOMAIN, token: 64 as FencingToken, time: ms(now + 1000) } })

    beforeEach(() => {
      behind.clear()
      front = new ShardInstance({ self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: DOMAIN, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })
      handle(0, { type: 'desired', state: { version: 1, queues: [QUEUE], services: [] } })
      handle(1, announce(1))
    })

    it('confirms the job up to the last time at which all of it was read, and the jobs of other callers as usual', () => {
      handle(10, submit('c1', 'a'))
      handle(10, submit('c2', 'b'))
      const checked = (now: number): unknown[] => handle(now, TICK).flatMap(effect => effect.type === 'send' && effect.message.type === 'checkJobs' ? [[...effect.message.jobIds, effect.message.ownerClock?.at]] : [])
      behind.set('c1', ms(40))
      handle(250, announce(250))
      expect(checked(300)).to.deep.equal([['a', 1040], ['b', 1300]])
      behind.clear()
      expect(checked(510)).to.deep.equal([['a', 'b', 1510]])
    })

    it('counts a job of its own shard up to that time too', () => {
      const dates: [string, Ms][] = []
      handle(10, { type: 'records', members: [], shards: [] })
      handle(11, { type: 'peer', from: OWNER, message: { type: 'handover', failureDomain: DOMAIN, revision: 2, rank: 0 } })
      expect(front.ownership.owns()).to.equal(true)
      front.execution.submit = (_front, _failureDomain, _order, sentAt) => dates.push(['submit', sentAt]) > 0
      front.execution.confirmJobs = (_front, _failureDomain, _ids, sentAt) => {
        dates.push(['confirm', sentAt])
      }
      behind.set('c1', ms(12))
      handle(20, submit('c1', 'a'))
      handle(300, TICK)
      expect(dates).to.deep.equal([['submit', 12], ['confirm', 12]])
    })

    it('dates copies of the job with the last time at which all of it was read', () => {
      handle(10, submit('c1', 'a'))
      behind.set('c1', ms(20))
      handle(200, announce(200))
      const effects = handle(210, { type: 'linkDown', peer: OWNER })
      expect(messagesIn(effects)).to.deep.equal([['submit', 1020]])
      expect(effects.flatMap(effect => effect.type === 'send' && effect.message.type === 'submit' ? effect.message.order.remainingMs : [])).to.deep.equal([10 + 9000 - 20])
    })

    it('goes on with a job for which another caller waits', () => {
      handle(10, submit('c1', 'a'))
      handle(11, submit('c2', 'a'))
      behind.set('c1', ms(12))
      expect(messagesIn(handle(300, TICK))).to.deep.equal([['checkJobs', 1300]])
    })

    it('gives the job up when its owner may not start any more of it', () => {
      handle(10, submit('c1', 'a'))
      behind.set('c1', ms(20))
      const given = (now: number): string[] => handle(now, TICK).flatMap(effect => effect.type === 'reply' ? effect.reply.type : effect.type === 'send' && effect.message.type === 'cancelJob' ? 'cancelJob' : [])
      for (let at = 200; at <= 20 + SHARD_DEFAULTS.jobLeaseMs; at += 145) {
        handle(at - 1, announce(at - 1))
        expect(given(at)).to.deep.equal([])
      }
      expect(given(21 + SHARD_DEFAULTS.jobLeaseMs)).to.deep.equal(['cancelJob', 'lost'])
    })
  })
})

describe('an owner that gets a resumed job', () => {
  const DOMAIN = 'd' as FailureDomain
  const [E, F, G] = ['e', 'f', 'g'].map(id => ({ ...ENDPOINT, id: id as EndpointId, address: id })) as [EndpointReport, EndpointReport, EndpointReport]
  const digestOf = (...reports: EndpointReport[]): number => new EndpointSets().remember(reports.map(({ id }) => id))

  /** An owner of two endpoints since 3 ms, whose token was renewed at 9 s, so that it has no answer from them yet. */
  function ownerWithNewToken (): { readonly handle: (now: number, input: ShardInput) => void, readonly answer: (now: number, id: EndpointId) => void, readonly starts: readonly string[] } {
    const owner = new ShardInstance({ self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: DOMAIN, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })
    const holds = new Map<string, number>()
    const starts: string[] = []
    const handle = (now: number, input: ShardInput): void => {
      for (const effect of owner.handle(input, ms(now), ms(now))) {
        if (effect.type === 'hold') holds.set(effect.endpoint, effect.orderId)
        if (effect.type === 'startTask') starts.push(effect.endpoint)
      }
    }
    const answer = (now: number, id: EndpointId): void => handle(now, { type: 'holdOutcome', endpoint: id, orderId: holds.get(id) ?? 0, outcome: { type: 'listed', listing: { clock: now as EndpointClockMs, bornAt: 1, running: [], ended: [] } } })
    handle(0, { type: 'records', members: [], shards: [] })
    handle(1, listInput(E, F))
    handle(2, TICK)
    handle(3, { type: 'claimOutcome', claimId: 1, result: { type: 'written', revision: 1 } })
    for (const { id } of [E, F]) answer(4, id)
    for (let at = 300; at < 9000; at += 300) handle(at, { type: 'endpoints', reports: [E, F], fresh: true })
    handle(9000, { type: 'records', members: [], shards: [{ revision: 2, value: { failureDomain: DOMAIN, owner: { ...owner.ctx.self }, successors: [] } }] })
    return { handle, answer, starts }
  }

  function resumedJob (earlierEndpoints?: readonly number[]): ShardInput {
    const job = { id: 'a' as JobId, spec: '', features: [], steps: [{ count: 1, needs: { cpuMilli: 1, memoryMb: 0, accelerators: 0 }, estimateMs: ms(100), after: [], requiredLabel: '', preferredRack: '', maxPerEndpoint: 0 }] }
    const queue = { name: 'q' as QueueName, host: 'h', prefix: '/q/', service: 's' as ServiceName, priority: 0, maxAttempts: 3, stretch: 1.5, latencyObjectiveMs: ms(50), needsAdvice: false }
    const order = { job, queue, ageMs: ms(0), remainingMs: ms(5000), attempt: 1, resumed: true, done: [], ...earlierEndpoints === undefined ? {} : { earlierEndpoints } }
    return { type: 'peer', from: 'front' as InstanceId, message: { type: 'submit', incarnation: 7, address: 'front', failureDomain: DOMAIN, order } }
  }

  it('starts no task of it before every endpoint has answered under a renewed token, since a successor may have started the task', () => {
    const { handle, answer, starts } = ownerWithNewToken()
    handle(9001, resumedJob([digestOf(E, F)]))
    answer(9002, E.id)
    expect(starts).to.deep.equal([])
    answer(9003, F.id)
    expect(starts).to.have.length(1)
  })

  // Guards against a second run beside one at an endpoint whose entry has been missing since this instance started.
  it('waits for the leases of earlier runs when an earlier owner had an endpoint that it does not know, or has reported none', () => {
    const leasesEndMs = SHARD_DEFAULTS.supersededMs + SHARD_DEFAULTS.leaseMs * (1 + SHARD_DEFAULTS.clockDrift) + SHARD_DEFAULTS.leaseSlackMs
    for (const earlierEndpoints of [[digestOf(E, F, G)], [digestOf(E, F), digestOf(G)], undefined]) {
      const { handle, answer, starts } = ownerWithNewToken()
      handle(9001, resumedJob(earlierEndpoints))
      for (const { id } of [E, F]) answer(9002, id)
      for (let at = 9100; at < 9001 + leasesEndMs; at += 100) {
        handle(at, { type: 'peer', from: 'front' as InstanceId, message: { type: 'checkJobs', failureDomain: DOMAIN, jobIds: ['a' as JobId] } })
        handle(at, TICK)
      }
      expect(starts).to.deep.equal([])
      handle(9010 + leasesEndMs, TICK)
      expect(starts).to.have.length(1)
    }
  })

  it('takes over the endpoints of an owner that hands its shard over, also those that its own list lacks', () => {
    const { handle, answer, starts } = ownerWithNewToken()
    handle(9100, { type: 'peer', from: 'other' as InstanceId, message: { type: 'handover', failureDomain: DOMAIN, revision: 3, rank: 1, endpoints: [E, F, G] } })
    handle(9101, { type: 'endpoints', reports: [E, F], fresh: true })
    handle(9102, resumedJob([digestOf(E, F, G)]))
    for (const { id } of [E, F]) answer(9103, id)
    expect(starts).to.deep.equal([])
    answer(9104, G.id)
    expect(starts).to.have.length(1)
  })
})

describe('a front whose job changes its owner', () => {
  const DOMAIN = 'd' as FailureDomain
  const QUEUE = { name: 'q' as QueueName, host: 'h', prefix: '/q/', service: 's' as ServiceName, priority: 0, maxAttempts: 3, stretch: 1.5, latencyObjectiveMs: ms(50), needsAdvice: false }
  const JOB = { id: 'a' as JobId, spec: '', features: [], steps: [{ count: 1, needs: { cpuMilli: 1, memoryMb: 0, accelerators: 0 }, estimateMs: ms(5000), after: [], requiredLabel: '', preferredRack: '', maxPerEndpoint: 0 }] }

  /** Lets owners follow each other, each of which reports the given digest, if any, and then gives its shard up. @returns what the last copy of the job says of earlier owners */
  function earlierEndpoints (digests: readonly (number | undefined)[], lose: (name: InstanceId) => ShardMessage): readonly number[] | undefined {
    const front = new ShardInstance({ self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: DOMAIN, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })
    let last: readonly number[] | undefined
    const handle = (now: number, input: ShardInput): void => {
      for (const effect of front.handle(input, ms(now), ms(now))) if (effect.type === 'send' && effect.message.type === 'submit') last = effect.message.order.earlierEndpoints
    }
    handle(0, { type: 'desired', state: { version: 1, queues: [QUEUE], services: [] } })
    for (const [n, digest] of [...digests, undefined].entries()) {
      const from = `owner-${n}` as InstanceId
      const token = (64 * (n + 1)) as FencingToken
      const load = { waitMs: ms(0), busyShare: 0 }
      handle(10 * n + 1, { type: 'peer', from, message: { type: 'announce', incarnation: 3, address: from, failureDomain: DOMAIN, token } })
      if (n === 0) handle(2, { type: 'submit', callId: 'c', host: 'h', path: '/q/a', job: JOB, deadlineMs: ms(9000) })
      handle(10 * n + 3, { type: 'peer', from, message: { type: 'pong', incarnation: 3, owned: [{ failureDomain: DOMAIN, token, load, ...digest === undefined ? {} : { endpointsDigest: digest } }], others: [], desiredVersion: 1 } })
      if (n < digests.length) handle(10 * n + 4, { type: 'peer', from, message: lose(from) })
    }
    return last
  }

  const moved = (to: InstanceId): ShardMessage => ({ type: 'moved', failureDomain: DOMAIN, to, progress: [] })

  it('tells the next one what all earlier ones have reported of their endpoints', () => {
    expect(earlierEndpoints([5, 6, 5], moved)).to.deep.equal([5, 6])
  })

  it('tells the next one nothing when one of them has reported nothing, as earlier versions do', () => {
    expect(earlierEndpoints([5, undefined, 6], moved)).to.equal(undefined)
  })

  it('prefers what an owner reports with the loss of its shard', () => {
    expect(earlierEndpoints([5], to => ({ type: 'moved', failureDomain: DOMAIN, to, progress: [], endpointsDigest: 9 }))).to.deep.equal([9])
  })

  it('uses what an owner reported before it restarted', () => {
    expect(earlierEndpoints([5], () => ({ type: 'pong', incarnation: 4, owned: [{ failureDomain: DOMAIN, token: 64 as FencingToken, load: { waitMs: ms(0), busyShare: 0 }, endpointsDigest: 9 }], others: [], desiredVersion: 1 }))).to.include(5)
  })
})

describe('an owner that does not reach an endpoint', () => {
  const DOMAIN = 'd' as FailureDomain
  const ENDPOINTS = ['e', 'f'].map(id => ({ ...ENDPOINT, id: id as EndpointId, address: id }))

  it('starts no task of a resumed job before the lease has ended that an earlier owner may have renewed there until the job arrived', () => {
    const owner = new ShardInstance({ self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: DOMAIN, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })
    const starts: number[] = []
    const holds = new Map<string, number>()
    const handle = (now: number, input: ShardInput): void => {
      for (const effect of owner.handle(input, ms(now), ms(now))) {
        if (effect.type === 'hold') holds.set(effect.endpoint, effect.orderId)
        if (effect.type === 'startTask') starts.push(now)
      }
    }
    handle(0, { type: 'records', members: [], shards: [] })
    handle(1, listInput(...ENDPOINTS))
    handle(2, TICK)
    handle(3, { type: 'claimOutcome', claimId: 1, result: { type: 'written', revision: 1 } })
    handle(4, { type: 'holdOutcome', endpoint: 'e' as EndpointId, orderId: holds.get('e') ?? 0, outcome: { type: 'listed', listing: { clock: 4 as EndpointClockMs, bornAt: 1, running: [], ended: [] } } })
    for (let at = 300; at <= 9000; at += 300) handle(at, { type: 'endpoints', reports: ENDPOINTS, fresh: true })
    const job = { id: 'a' as JobId, spec: '', features: [], steps: [{ count: 1, needs: { cpuMilli: 1, memoryMb: 0, accelerators: 0 }, estimateMs: ms(5000), after: [], requiredLabel: '', preferredRack: '', maxPerEndpoint: 0 }] }
    const queue = { name: 'q' as QueueName, host: 'h', prefix: '/q/', service: 's' as ServiceName, priority: 0, maxAttempts: 3, stretch: 1.5, latencyObjectiveMs: ms(50), needsAdvice: false }
    handle(9001, { type: 'peer', from: 'front' as InstanceId, message: { type: 'submit', incarnation: 7, address: 'front', failureDomain: DOMAIN, order: { job, queue, ageMs: ms(0), remainingMs: ms(10_000), attempt: 1, resumed: true, done: [] } } })
    for (let at = 9100; at < 12_000; at += 100) {
      handle(at, { type: 'peer', from: 'front' as InstanceId, message: { type: 'checkJobs', failureDomain: DOMAIN, jobIds: [job.id] } })
      handle(at, TICK)
    }
    expect(starts).to.have.length(1)
    expect(starts[0]).to.be.within(9001 + SHARD_DEFAULTS.resendMs, 9001 + 1600)
  })
})

describe('an evacuation', () => {
  const DOMAIN = 'd' as FailureDomain
  const QUEUE = { name: 'q' as QueueName, host: 'h', prefix: '/q/', service: 's' as ServiceName, priority: 0, maxAttempts: 3, stretch: 1.5, latencyObjectiveMs: ms(50), needsAdvice: false }
  const JOB = { id: 'a' as JobId, spec: '', features: [], steps: [{ count: 1, needs: { cpuMilli: 1, memoryMb: 0, accelerators: 0 }, estimateMs: ms(100), after: [], requiredLabel: '', preferredRack: '', maxPerEndpoint: 0 }] }
  const EVACUATIONS = { revision: 7, domains: [DOMAIN] }
  const OWNER = 'owner' as InstanceId
  const announced: ShardInput = { type: 'peer', from: OWNER, message: { type: 'announce', incarnation: 3, address: 'owner', failureDomain: DOMAIN, token: 64 as FencingToken } }

  function instance (): { readonly core: ShardInstance, readonly handle: (now: number, input: ShardInput) => ShardEffect[] } {
    const core = new ShardInstance({ self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: DOMAIN, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })
    return { core, handle: (now, input) => core.handle(input, ms(now), ms(now)) }
  }

  const sentTo = (effects: readonly ShardEffect[], type: string): ShardMessage[] => effects.flatMap(effect => effect.type === 'send' && effect.message.type === type ? [effect.message] : [])

  it('reaches the owner at once from an instance that has learned of it, and is acknowledged by its pong', () => {
    const front = instance()
    front.handle(0, announced)
    const pings = sentTo(front.handle(10, { type: 'evacuations', evacuations: EVACUATIONS }), 'ping')
    expect(pings.map(message => message.type === 'ping' && message.evacuations)).to.deep.equal([EVACUATIONS])
    expect(sentTo(front.handle(20, { type: 'evacuations', evacuations: { ...EVACUATIONS, revision: 9 } }), 'ping'), 'nothing has changed').to.deep.equal([])
    const owner = instance()
    const pongs = sentTo(owner.handle(30, { type: 'peer', from: 'front' as InstanceId, message: pings[0] as ShardMessage }), 'pong')
    expect(pongs.map(message => message.type === 'pong' && message.evacuations)).to.deep.equal([EVACUATIONS])
    expect(owner.core.evacuation.isEvacuated(DOMAIN)).to.equal(true)
  })

  it('is known to an instance that has the desired state from a peer before that state arrives', () => {
    const { handle } = instance()
    handle(0, { type: 'evacuations', evacuations: EVACUATIONS })
    handle(1, { type: 'desired', state: { version: 3, queues: [], services: [] } })
    handle(2, { type: 'peer', from: 'new' as InstanceId, message: { type: 'ping', incarnation: 1, address: 'new', desiredVersion: 0 } })
    const answers = [...handle(3, { type: 'peer', from: 'new' as InstanceId, message: { type: 'desiredRequest' } }), ...handle(4, TICK)]
    expect(answers.flatMap(effect => effect.type === 'send' ? [effect.message.type] : []).filter(type => type !== 'ping')).to.deep.equal(['pong', 'desired'])
  })

  it('empties the shard that this instance owns, whose room is back at once when the domain is', () => {
    const { core, handle } = instance()
    handle(0, { type: 'records', members: [], shards: [] })
    handle(1, listInput(ENDPOINT))
    handle(2, TICK)
    const [hold] = handle(3, { type: 'claimOutcome', claimId: 1, result: { type: 'written', revision: 1 } }).filter(effect => effect.type === 'hold')
    handle(4, { type: 'holdOutcome', endpoint: ENDPOINT.id, orderId: hold?.orderId ?? 0, outcome: { type: 'listed', listing: { clock: 4 as EndpointClockMs, bornAt: 1, running: [], ended: [] } } })
    handle(5, { type: 'desired', state: { version: 1, queues: [QUEUE], services: [] } })
    const submit = (at: number): string[] => handle(at, { type: 'submit', callId: `c${at}`, host: 'h', path: '/q/a', job: { ...JOB, id: `${at}` as JobId }, deadlineMs: ms(9000) }).map(effect => effect.type)
    const load = (at: number): unknown => sentTo(handle(at, { type: 'peer', from: 'front' as InstanceId, message: { type: 'ping', incarnation: 1, address: 'front', desiredVersion: 1 } }), 'pong').flatMap(message => message.type === 'pong' ? message.owned.map(owned => owned.load) : [])
    handle(6, { type: 'evacuations', evacuations: EVACUATIONS })
    expect(submit(7)).to.include('reply').and.not.to.include('startTask')
    expect(load(8)).to.deep.equal([{ waitMs: SHARD_DEFAULTS.ownerWaitMs, busyShare: 1 }])
    core.placement.recordSlowRun(ENDPOINT.id, 10)
    handle(9, { type: 'evacuations', evacuations: { revision: 8, domains: [] } })
    expect(load(10)).to.deep.equal([{ waitMs: 0, busyShare: 0 }])
    expect(submit(11)).to.include('startTask')
    expect(core.ctx.out.gauges.get('shard.evacuation.lastStartMs')).to.equal(0)
  })

  it('makes an instance that reaches no other domain unready, but not one whose domains are all evacuated, nor one that may not know all', () => {
    const { handle } = instance()
    const readiness = (now: number, input: ShardInput): string[] => handle(now, input).flatMap(effect => effect.type === 'state' ? [effect.name] : [])
    const far = { type: 'announce', incarnation: 3, address: 'far', failureDomain: 'far' as FailureDomain, token: 64 as FencingToken } as const
    handle(0, { type: 'desired', state: { version: 1, queues: [QUEUE], services: [] } })
    expect(readiness(1, announced)).to.deep.equal(['ready'])
    expect(readiness(2, { type: 'evacuations', evacuations: EVACUATIONS }), 'other domains may exist').to.deep.equal(['notReady'])
    expect(handle(3, { type: 'submit', callId: 'c', host: 'h', path: '/q/a', job: JOB, deadlineMs: ms(9000) }).map(effect => effect.type), 'waits for an owner').not.to.include('reply')
    expect(readiness(4, { type: 'peer', from: 'far' as InstanceId, message: far })).to.deep.equal(['ready'])
    expect(readiness(5, { type: 'sendFailed', to: 'far' as InstanceId, message: far })).to.deep.equal(['notReady'])
    handle(6, { type: 'records', members: [], shards: [] })
    expect(readiness(7, { type: 'evacuations', evacuations: { revision: 8, domains: [DOMAIN, 'far' as FailureDomain] } })).to.deep.equal(['ready'])
  })
})
