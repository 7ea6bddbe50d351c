import { expect } from 'chai'
import type { DesiredState, FailureDomain, FencingToken, InstanceId, JobId, JobRequest, QueueName, ServiceName, ShardMessage } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { AttemptsDecider } from '../attempts/attemptsDecider.js'
import { DesiredDecider } from '../desired/desiredDecider.js'
import { SessionsDecider } from '../sessions/sessionsDecider.js'
import { SHARD_DEFAULTS } from '../shard/settings.js'
import { ShardOutbox } from '../shard/types.js'
import type { CallerReply, ShardContext } from '../shard/types.js'
import { IntakeDecider } from './intakeDecider.js'

const OWNER = 'owner' as InstanceId
const DOMAIN = 'd' as FailureDomain
const STATE: DesiredState = {
  version: 3,
  queues: [{ name: 'q' as QueueName, host: 'h', prefix: '/q/', service: 's' as ServiceName, priority: 0, maxAttempts: 3, stretch: 1.5, latencyObjectiveMs: ms(50), needsAdvice: false }],
  services: []
}

function job (id: string, estimateMs = 100): JobRequest {
  return { id: id as JobId, spec: '', features: [], steps: [{ count: 1, needs: { cpuMilli: 1, memoryMb: 0, accelerators: 0 }, estimateMs: ms(estimateMs), after: [], requiredLabel: '', preferredRack: '', maxPerEndpoint: 0 }] }
}

function setUp (): { ctx: ShardContext, intake: IntakeDecider, desired: DesiredDecider, sessions: SessionsDecider, sent: ShardMessage[], replies: () => CallerReply[], evacuated: Set<FailureDomain> } {
  const ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: DOMAIN, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(1000), suspendedMs: ms(0) }
  const sessions = new SessionsDecider(ctx, () => ({ desiredVersion: 3 }), { peerLost: () => {}, peerRecovered: () => {} })
  const desired = new DesiredDecider(ctx, () => {}, () => true)
  desired.adopt(STATE, 'test')
  sessions.messageReceived(OWNER, 1, 'owner')
  sessions.db.learnOwner({ failureDomain: DOMAIN, owner: OWNER, token: 1 as FencingToken })
  const sent: ShardMessage[] = []
  const evacuated = new Set<FailureDomain>()
  const intake = new IntakeDecider(ctx, desired, sessions, new AttemptsDecider(ctx), { isEvacuated: failureDomain => evacuated.has(failureDomain), isEverywhere: () => evacuated.size === sessions.db.shards.size }, (_to, message) => sent.push(message))
  const replies = (): CallerReply[] => ctx.out.takeEffects().flatMap(effect => effect.type === 'reply' ? [effect.reply] : [])
  return { ctx, intake, desired, sessions, sent, replies, evacuated }
}

const types = (messages: readonly ShardMessage[]): string[] => messages.map(message => message.type)

describe('IntakeDecider', () => {
  it('sends a job to the owner and passes its outcome on', () => {
    const { intake, sent, replies } = setUp()
    intake.submit('c1', 'h', '/q/a', job('a'), ms(1500))
    expect(types(sent)).to.deep.equal(['submit'])
    intake.ended('a' as JobId, 'completed')
    expect(replies()).to.deep.equal([{ type: 'ended', outcome: 'completed' }])
  })

  it('refuses at once jobs without a queue and jobs that need unsupported features', () => {
    const { intake, sent, replies } = setUp()
    intake.submit('c1', 'h', '/other/a', job('a'), ms(1500))
    intake.submit('c2', 'h', '/q/b', { ...job('b'), features: ['stored'] }, ms(1500))
    expect(sent).to.deep.equal([])
    expect(replies().map(reply => reply.type === 'refused' && reply.cause)).to.deep.equal(['noQueue', 'unsupported'])
  })

  it('does not say that there is no queue while a newer version, which may have added it, is on its way', () => {
    const { intake, desired, replies } = setUp()
    desired.peerVersionReceived('peer' as InstanceId, STATE.version + 2)
    intake.submit('c1', 'h', '/other/a', job('a'), ms(1500))
    expect(replies().map(reply => reply.type === 'refused' && reply.cause)).to.deep.equal(['outdatedState'])
    expect([intake.refusalFor('h', '/other/a')?.cause, intake.refusalFor('h', '/q/a')]).to.deep.equal(['outdatedState', undefined])
    desired.adopt({ ...STATE, version: STATE.version + 2 }, 'store')
    expect(intake.refusalFor('h', '/other/a')?.cause).to.equal('noQueue')
  })

  it('accepts no job by a version that was replaced long ago, as long as it is in contact with peers that have the newer one', () => {
    const { ctx, intake, desired, replies } = setUp()
    const submitAt = (at: number, id: string): string => {
      ctx.now = ms(at)
      intake.submit(id, 'h', '/q/a', job(id), ms(1500))
      const [reply] = replies()
      return reply === undefined ? 'accepted' : reply.type === 'refused' ? reply.cause : reply.type
    }
    ctx.now = ms(10_000)
    desired.peerVersionReceived('peer' as InstanceId, STATE.version + 2, ms(700))
    expect([submitAt(10_200, 'a'), submitAt(10_400, 'b')]).to.deep.equal(['accepted', 'outdatedState'])
    expect(submitAt(13_100, 'c'), 'cut off from the peers that have it').to.equal('accepted')
    desired.peerVersionReceived('peer' as InstanceId, STATE.version + 2, ms(3800))
    expect(submitAt(13_200, 'd')).to.equal('outdatedState')
    desired.adopt({ ...STATE, version: STATE.version + 2 }, 'store')
    expect(submitAt(13_300, 'e')).to.equal('accepted')
  })

  it('does not say that there is no queue before it has a desired state', () => {
    const { ctx, sessions } = setUp()
    const intake = new IntakeDecider(ctx, new DesiredDecider(ctx, () => {}, () => true), sessions, new AttemptsDecider(ctx), { isEvacuated: () => false, isEverywhere: () => false }, () => {})
    expect(intake.refusalFor('h', '/q/a')?.cause).to.equal('noDesiredState')
  })

  it('ignores a decline of an earlier copy: the later one may have started', () => {
    const { intake, sent, replies } = setUp()
    intake.submit('c1', 'h', '/q/a', job('a'), ms(1500))
    intake.linkReplaced(OWNER)
    expect(types(sent)).to.deep.equal(['submit', 'submit'])
    intake.declined('a' as JobId, OWNER, 1, ms(1000))
    expect(replies()).to.deep.equal([])
    intake.declined('a' as JobId, OWNER, 2, ms(1000))
    expect(replies().map(reply => reply.type)).to.deep.equal(['refused'])
  })

  it('gives each copy a higher number, also when a caller sends a job again that this front has given up, and cancels by number', () => {
    const { intake, sent, ctx } = setUp()
    intake.submit('c1', 'h', '/q/a', job('a'), ms(1500))
    ctx.now = ms(ctx.now + 1501)
    intake.tick()
    intake.submit('c2', 'h', '/q/a', job('a'), ms(1500))
    intake.declined('a' as JobId, OWNER, 1, ms(1000))
    expect(sent.flatMap(message => message.type === 'submit' ? [`submit ${message.order.attempt}`] : message.type === 'cancelJob' ? [`cancel ${message.attempt}`] : [])).to.deep.equal(['submit 1', 'cancel 1', 'submit 2'])
  })

  it('sends a job anew whose only copy an owner has not taken, resumes one of which an owner may have taken a copy, and ignores answers to earlier copies', () => {
    const { intake, sent } = setUp()
    const resumed = (): (boolean | undefined)[] => sent.map(message => message.type === 'submit' ? message.order.resumed : undefined)
    intake.submit('c1', 'h', '/q/a', job('a'), ms(1500))
    intake.jobUnknownAtOwner('a' as JobId, OWNER, DOMAIN, 1)
    expect(resumed()).to.deep.equal([false, false])
    intake.linkReplaced(OWNER)
    intake.jobUnknownAtOwner('a' as JobId, OWNER, DOMAIN, 2)
    expect(resumed()).to.deep.equal([false, false, true])
    intake.jobUnknownAtOwner('a' as JobId, OWNER, DOMAIN, 3)
    expect(resumed()).to.deep.equal([false, false, true, true])
  })

  it('sends a job to another domain once an owner has refused two copies of it, but not one of which it may have taken a copy', () => {
    const { intake, sessions, sent } = setUp()
    const other = 'other' as InstanceId
    sessions.messageReceived(other, 1, 'other')
    sessions.db.learnOwner({ failureDomain: 'far' as FailureDomain, owner: other, token: 1 as FencingToken })
    const domains = (id: string): string[] => sent.flatMap(message => message.type === 'submit' && message.order.job.id === id ? [message.failureDomain] : [])
    intake.submit('c1', 'h', '/q/a', job('a'), ms(1500))
    intake.jobUnknownAtOwner('a' as JobId, OWNER, DOMAIN, 1)
    expect(domains('a')).to.deep.equal([DOMAIN, DOMAIN])
    intake.jobUnknownAtOwner('a' as JobId, OWNER, DOMAIN, 1)
    intake.jobUnknownAtOwner('a' as JobId, OWNER, DOMAIN, 2)
    expect(domains('a')).to.deep.equal([DOMAIN, DOMAIN, 'far'])
    intake.submit('c2', 'h', '/q/b', job('b'), ms(1500))
    intake.linkReplaced(OWNER)
    for (const attempt of [5, 6, 7]) intake.jobUnknownAtOwner('b' as JobId, OWNER, DOMAIN, attempt)
    expect(new Set(domains('b'))).to.deep.equal(new Set([DOMAIN]))
    intake.submit('c3', 'h', '/q/c', job('c'), ms(1500))
    const { lastAttempt } = intake as unknown as { lastAttempt: number }
    intake.jobUnknownAtOwner('c' as JobId, OWNER, DOMAIN, lastAttempt)
    intake.jobUnknownAtOwner('c' as JobId, OWNER, DOMAIN)
    intake.jobUnknownAtOwner('c' as JobId, OWNER, DOMAIN, lastAttempt + 2)
    expect(new Set(domains('c'))).to.deep.equal(new Set([DOMAIN]))
  })

  it('resumes a job at the next owner of its shard, and reports it as lost when there is none', () => {
    const { ctx, intake, sessions, sent, replies } = setUp()
    intake.submit('c1', 'h', '/q/a', job('a', 2000), ms(9000))
    sessions.connectionFailed(OWNER)
    intake.ownerLost(OWNER)
    const next = 'next' as InstanceId
    sessions.messageReceived(next, 1, 'next')
    sessions.db.learnOwner({ failureDomain: DOMAIN, owner: next, token: 2 as FencingToken })
    intake.ownerKnown(DOMAIN)
    const last = sent.at(-1)
    expect(last?.type === 'submit' && last.order.resumed).to.equal(true)
    sessions.connectionFailed(next)
    intake.ownerLost(next)
    ctx.now = ms(ctx.now + SHARD_DEFAULTS.ownerWaitMs + 1)
    intake.tick()
    expect(replies().map(reply => reply.type)).to.deep.equal(['lost'])
    expect(sent.at(-1)?.type).to.equal('cancelJob')
  })

  it('keeps a job without an owner no longer than its answer is of use', () => {
    const { ctx, intake, sessions, replies } = setUp()
    // On time within 1.5 x 100 + 50 ms, of use within three times that.
    const usefulMs = 600
    intake.submit('c1', 'h', '/q/a', job('a'), ms(9000))
    sessions.connectionFailed(OWNER)
    intake.ownerLost(OWNER)
    intake.submit('c2', 'h', '/q/b', job('b'), ms(9000))
    ctx.now = ms(ctx.now + usefulMs)
    intake.tick()
    expect(replies()).to.deep.equal([])
    ctx.now = ms(ctx.now + 1)
    intake.tick()
    expect(replies().map(reply => reply.type)).to.deep.equal(['lost', 'refused'])
  })

  it('joins two calls with the same job and answers both', () => {
    const { intake, sent, replies } = setUp()
    intake.submit('c1', 'h', '/q/a', job('a'), ms(1500))
    intake.submit('c2', 'h', '/q/a', job('a'), ms(1500))
    expect(sent.length).to.equal(1)
    intake.ended('a' as JobId, 'failed')
    expect(replies().length).to.equal(2)
  })

  it('cancels a job whose caller left', () => {
    const { intake, sent } = setUp()
    intake.submit('c1', 'h', '/q/a', job('a'), ms(1500))
    intake.callerLeft('c1')
    expect(types(sent)).to.deep.equal(['submit', 'cancelJob'])
  })

  it('accepts only jobs that end before a leaving process does', () => {
    const { ctx, intake, sent, replies } = setUp()
    intake.leave()
    ctx.now = ms(ctx.now + 1700)
    intake.submit('c1', 'h', '/q/a', job('a', 1500), ms(9000))
    intake.submit('c2', 'h', '/q/b', job('b', 60), ms(1500))
    expect(replies().map(reply => reply.type === 'refused' && reply.cause)).to.deep.equal(['leaving'])
    expect(types(sent)).to.deep.equal(['submit'])
  })

  it('refuses even short jobs that arrive long after the request to stop', () => {
    const { ctx, intake, sent, replies } = setUp()
    intake.leave()
    ctx.now = ms(ctx.now + SHARD_DEFAULTS.leaveAcceptMs + 1)
    intake.submit('c1', 'h', '/q/a', job('a', 60), ms(1500))
    expect(replies().map(reply => reply.type === 'refused' && reply.cause)).to.deep.equal(['leaving'])
    expect(sent).to.deep.equal([])
  })

  it('sends nothing to an evacuated domain, and refuses at once when all are evacuated', () => {
    const { intake, sessions, sent, replies, evacuated } = setUp()
    const far = 'far' as FailureDomain
    sessions.messageReceived('other' as InstanceId, 1, 'other')
    sessions.db.learnOwner({ failureDomain: far, owner: 'other' as InstanceId, token: 1 as FencingToken })
    evacuated.add(DOMAIN)
    intake.submit('c1', 'h', '/q/a', job('a'), ms(1500))
    expect(sent.map(message => message.type === 'submit' && [message.failureDomain, message.order.lastChance])).to.deep.equal([[far, true]])
    evacuated.add(far)
    intake.submit('c2', 'h', '/q/b', job('b'), ms(1500))
    expect(replies()).to.deep.equal([{ type: 'refused', cause: 'evacuated', retryAfterMs: 2000 }])
    evacuated.clear()
    intake.submit('c3', 'h', '/q/c', job('c'), ms(1500))
    expect(sent.at(-1)).to.deep.include({ type: 'submit', failureDomain: DOMAIN })
  })

  it('sends the rest of a job that an evacuated domain has released to another one, and never says that it has not run', () => {
    const { intake, sessions, sent, replies, evacuated } = setUp()
    const [far, other] = ['far' as FailureDomain, 'other' as InstanceId]
    sessions.messageReceived(other, 1, 'other')
    sessions.db.learnOwner({ failureDomain: far, owner: other, token: 1 as FencingToken })
    intake.submit('c1', 'h', '/q/a', job('a'), ms(1500))
    evacuated.add(DOMAIN)
    intake.released('a' as JobId, OWNER, DOMAIN, { attempt: 0, done: [] })
    expect(sent.length, 'an earlier copy').to.equal(1)
    intake.released('a' as JobId, OWNER, DOMAIN, { attempt: 1, done: ['0.0'] })
    const last = sent.at(-1)
    expect(last?.type === 'submit' && [last.failureDomain, last.order.resumed, last.order.done]).to.deep.equal([far, false, ['0.0']])
    intake.declined('a' as JobId, other, 2, ms(1000))
    expect(replies()).to.deep.equal([{ type: 'lost' }])
  })
})
