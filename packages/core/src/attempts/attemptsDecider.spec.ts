import { expect } from 'chai'
import type { AttemptFault, EndpointId, FailureDomain, InstanceId, JobId, TaskName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { makeRun } from '../endpoints/endpointsDb.js'
import { SHARD_DEFAULTS } from '../shard/settings.js'
import { ShardOutbox } from '../shard/types.js'
import type { ShardContext } from '../shard/types.js'
import { AttemptsDecider } from './attemptsDecider.js'

const TASK = 'a.0.0.0' as TaskName
const TASKS_OF_A_WIDE_JOB = 340

class Harness {
  readonly ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(1000), suspendedMs: ms(0) }
  readonly attempts = new AttemptsDecider(this.ctx)

  /** Records a fault of the task's run with this number, at an endpoint of its own. */
  record (run: number, fault: AttemptFault): boolean {
    return this.attempts.record(makeRun({ id: `e-${run}` as EndpointId }, TASK, run, this.ctx.now, { state: 'running' }), { bornAt: 5 }, fault)
  }

  /** @returns the standing of a task after these faults, each of another run */
  static standingAfter (...faults: AttemptFault[]): string {
    const harness = new Harness()
    for (const [index, fault] of faults.entries()) harness.record(index + 1, fault)
    return harness.attempts.standingOf(TASK)
  }
}

describe('the attempts at a task', () => {
  it('make it suspect after a crash of its endpoint, and crashing after another one while nothing else ran there', () => {
    expect(Harness.standingAfter('crashed')).to.equal('suspect')
    expect(Harness.standingAfter('crashed', 'crashedAlone')).to.equal('crashing')
    expect(Harness.standingAfter('crashedAlone')).to.equal('suspect')
  })

  it('do not make it crashing after two crashes that tasks beside it may have caused, but after three', () => {
    expect(Harness.standingAfter('crashed', 'crashed')).to.equal('suspect')
    expect(Harness.standingAfter('crashed', 'crashed', 'crashed')).to.equal('crashing')
  })

  it('do not make it suspect after one silent endpoint, which may only be cut off', () => {
    expect(Harness.standingAfter('silent')).to.equal('sound')
    expect(Harness.standingAfter('silent', 'silent')).to.equal('suspect')
  })

  it('do not end the job but keep the task from starting while three endpoints may have crashed and some may only be cut off', () => {
    const harness = new Harness()
    for (const run of [1, 2, 3]) harness.record(run, 'silent')
    expect(harness.attempts.standingOf(TASK)).to.equal('unclear')
    expect(harness.attempts.hopelessTaskOf('a' as JobId, 4)).to.equal(undefined)
    harness.record(1, 'outOfReach')
    expect(harness.attempts.standingOf(TASK)).to.equal('suspect')
    for (const run of [2, 3]) harness.record(run, 'crashedAlone')
    expect(harness.attempts.standingOf(TASK)).to.equal('crashing')
  })

  it('clear it when its endpoint turns out not to have crashed', () => {
    const harness = new Harness()
    harness.record(1, 'crashedAlone')
    harness.record(1, 'outOfReach')
    expect(harness.record(1, 'crashedAlone')).to.equal(false)
    expect(harness.attempts.standingOf(TASK)).to.equal('sound')
  })

  it('count a run once, whoever reports it', () => {
    const [owner, other] = [new Harness(), new Harness()]
    owner.record(1, 'crashedAlone')
    const known = owner.attempts.db.ofJob('a' as JobId)
    expect([...other.attempts.learn(known)]).to.deep.equal(['a'])
    expect([...other.attempts.learn(known)]).to.deep.equal([])
    expect(other.attempts.standingOf(TASK)).to.equal('suspect')
    other.record(2, 'crashed')
    expect(other.attempts.hopelessTaskOf('a' as JobId, 4)).to.equal(TASK)
  })

  it('are settled by the next answer of a silent endpoint, also for an owner that learned of the silence', () => {
    const [owner, next] = [new Harness(), new Harness()]
    for (const run of [1, 2, 3]) owner.record(run, 'silent')
    next.attempts.learn(owner.attempts.db.ofJob('a' as JobId))
    expect(next.attempts.standingOf(TASK)).to.equal('unclear')
    expect([...next.attempts.endpointAnswered('e-1' as EndpointId, 5)]).to.deep.equal(['a'])
    expect([...next.attempts.endpointAnswered('e-1' as EndpointId, 5)]).to.deep.equal([])
    expect(next.attempts.standingOf(TASK)).to.equal('suspect')
    next.attempts.endpointAnswered('e-2' as EndpointId, 6)
    expect(next.attempts.db.faultsOf(TASK)).to.deep.equal(['outOfReach', 'crashed', 'silent'])
    next.ctx.now = ms(120_000)
    next.attempts.tick()
    expect(next.attempts.db.silentAt('e-3' as EndpointId)).to.deep.equal([])
  })

  it('end the job when as many runs of a task have failed as are allowed', () => {
    const harness = new Harness()
    harness.record(1, 'failed')
    expect(harness.attempts.hopelessTaskOf('a' as JobId, 2)).to.equal(undefined)
    harness.record(2, 'failed')
    expect(harness.attempts.hopelessTaskOf('a' as JobId, 2)).to.equal(TASK)
    expect(harness.attempts.standingOf(TASK)).to.equal('sound')
  })

  it('judge each task of a wide job at most once when a rack crashes under all of them', () => {
    const harness = new Harness()
    let judged = 0
    const original = harness.attempts.standingOf.bind(harness.attempts)
    harness.attempts.standingOf = (task) => {
      judged++
      return original(task)
    }
    for (let index = 0; index < TASKS_OF_A_WIDE_JOB; index++) {
      const run = makeRun({ id: `e-${index % 20}` as EndpointId }, `a.0.0.${index}` as TaskName, 1, harness.ctx.now, { state: 'running' })
      harness.attempts.record(run, { bornAt: 5 }, 'crashed')
      expect(harness.attempts.hopelessTaskOf('a' as JobId, 4)).to.equal(undefined)
    }
    expect(judged).to.be.at.most(TASKS_OF_A_WIDE_JOB)
  })

  it('are forgotten a minute after the last one', () => {
    const harness = new Harness()
    harness.record(1, 'crashed')
    harness.ctx.now = ms(61_001)
    harness.attempts.tick()
    expect(harness.attempts.standingOf(TASK)).to.equal('sound')
  })
})
