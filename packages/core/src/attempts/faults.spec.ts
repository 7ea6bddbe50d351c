import { expect } from 'chai'
import type { EndpointId, FailureDomain, InstanceId, JobId, TaskName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { makeRun } from '../endpoints/endpointsDb.js'
import { SHARD_DEFAULTS } from '../shard/settings.js'
import { ShardOutbox } from '../shard/types.js'
import { AttemptsDecider } from './attemptsDecider.js'
import type { RunFault } from './types.js'

const TASK = 'a.0.0.0' as TaskName
const JOB = 'a' as JobId
const BORN_AT = 5

/** @returns what an instance knows after these faults, each of another run at an endpoint of its own */
function attemptsAfter (...faults: RunFault[]): AttemptsDecider {
  const attempts = new AttemptsDecider({ self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(1000), suspendedMs: ms(0) })
  for (const [index, fault] of faults.entries()) {
    attempts.record(makeRun({ id: `e-${index + 1}` as EndpointId }, TASK, index + 1, ms(1000), { state: 'running' }), { bornAt: BORN_AT }, fault)
  }
  return attempts
}

describe('endpoints that refuse connections under a task', () => {
  it('make it suspect at once, and keep it from starting where as many crashes would end its job', () => {
    expect(attemptsAfter('refused').standingOf(TASK)).to.equal('suspect')
    expect(attemptsAfter('refused', 'refused').standingOf(TASK)).to.equal('suspect')
    for (const faults of [['refused', 'refusedAlone'], ['crashed', 'refusedAlone'], ['refused', 'crashedAlone'], ['refused', 'refused', 'refused'], ['refused', 'silent', 'silent']] as const) {
      const attempts = attemptsAfter(...faults)
      expect(attempts.standingOf(TASK), faults.join()).to.equal('unclear')
      expect(attempts.hopelessTaskOf(JOB, 4), faults.join()).to.equal(undefined)
    }
  })

  it('count as crashed when they answer in another incarnation, and not at all when they answer in the same one', () => {
    const attempts = attemptsAfter('refused', 'refusedAlone', 'refusedAlone')
    attempts.endpointAnswered('e-3' as EndpointId, BORN_AT)
    expect(attempts.standingOf(TASK)).to.equal('unclear')
    attempts.endpointAnswered('e-1' as EndpointId, BORN_AT + 1)
    expect(attempts.hopelessTaskOf(JOB, 4)).to.equal(undefined)
    attempts.endpointAnswered('e-2' as EndpointId, BORN_AT + 1)
    expect(attempts.db.faultsOf(TASK)).to.deep.equal(['crashed', 'crashedAlone', 'outOfReach'])
    expect(attempts.hopelessTaskOf(JOB, 4)).to.equal(TASK)
  })

  it('count as crashed by the same run that goes on after their first answer', () => {
    const attempts = attemptsAfter('refusedAlone', 'refusedAlone')
    for (const n of [1, 2]) attempts.endpointAnswered(`e-${n}` as EndpointId, BORN_AT)
    expect(attempts.standingOf(TASK)).to.equal('sound')
    for (const n of [1, 2]) {
      attempts.record(makeRun({ id: `e-${n}` as EndpointId }, TASK, n, ms(1000), { state: 'running' }), { bornAt: BORN_AT }, 'crashedAlone')
    }
    expect(attempts.standingOf(TASK)).to.equal('crashing')
  })

  it('stay unsettled for an instance that is told of them, while one of an earlier version takes them for crashed', () => {
    const told = attemptsAfter('refused', 'refusedAlone').db.ofJob(JOB)
    expect(told.flatMap(({ attempts }) => attempts.map(({ fault }) => fault))).to.deep.equal(['crashed', 'crashedAlone'])
    const other = attemptsAfter()
    expect([...other.learn(told)]).to.deep.equal([JOB])
    expect(other.standingOf(TASK)).to.equal('unclear')
    other.learn(attemptsAfter('crashed', 'crashedAlone').db.ofJob(JOB))
    expect(other.standingOf(TASK)).to.equal('crashing')
  })
})
