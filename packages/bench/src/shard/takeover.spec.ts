import { expect } from 'chai'
import type { FailureDomain, FencingToken, InstanceId } from '@cranberryyard/protocol'
import { ShardFleet } from './shardFleet.js'

/** Longest time from the loss of an owner until its shard completes jobs again, for an owner that is killed and for one that freezes. */
const KILLED_TAKEOVER_TARGET_MS = 500
const FROZEN_TAKEOVER_TARGET_MS = 1500
const WORK_MS = 10
const JOB_PERIOD_MS = 20
const OWNER = 'a-1' as InstanceId
const SUBMISSION_INSTANCE = 'a-0' as InstanceId
/** Downtime that is longer than the rest of any test run here. */
const BEYOND_TEST_MS = 60_000

type CauseOwnerLoss = (fleet: ShardFleet) => void

/**
 * Makes the owner of a one-domain fleet fail under a steady load of short jobs.
 * @returns time from the failure to the completion of the first job that was submitted after it
 */
function measureTakeoverMs (seed: number, storeDown: boolean, causeOwnerLoss: CauseOwnerLoss): number {
  const fleet = new ShardFleet({ domains: ['a'], instancesPerDomain: 3, endpointsPerDomain: 5, seed })
  // After 8 s the instance with the most processor time owns the shard, and the shard record names its successors.
  fleet.run(8000)
  fleet.storeFaults.down = storeDown
  fleet.run(300)
  const lostAt = fleet.time.now
  causeOwnerLoss(fleet)
  for (let at = 1; at < FROZEN_TAKEOVER_TARGET_MS * 2; at += JOB_PERIOD_MS) {
    fleet.time.after(at, () => fleet.submit(SUBMISSION_INSTANCE, 1, { cpuMilli: 8000, workMs: WORK_MS, fails: false }))
  }
  fleet.run(FROZEN_TAKEOVER_TARGET_MS * 2)
  expect(fleet.oracle.violations).to.deep.equal([])
  const done = fleet.jobs.filter(job => job.reply === 'completed' && job.sentAt > lostAt)
  return Math.min(...done.map(job => job.sentAt + (job.latencyMs ?? Infinity) - lostAt))
}

/** Kills all instances at once under a steady load. @returns share of completed jobs for each second after the restart */
function completedSharesAfterRestart (seed: number): number[] {
  const downMs = 1000
  const seconds = 7
  const fleet = new ShardFleet({ domains: ['a', 'b'], instancesPerDomain: 3, endpointsPerDomain: 5, seed })
  fleet.run(8000)
  const restartedAt = fleet.time.now + downMs
  for (const name of fleet.processes.keys()) fleet.kill(name, downMs)
  for (let at = 0; at < downMs + seconds * 1000; at += JOB_PERIOD_MS * 5) {
    fleet.time.after(at, () => fleet.submit(SUBMISSION_INSTANCE, 2, { cpuMilli: 8000, workMs: 200, fails: false }))
  }
  fleet.run(downMs + seconds * 1000 + 2000)
  expect(fleet.oracle.violations).to.deep.equal([])
  return Array.from({ length: seconds }, (_, second) => {
    const sent = fleet.jobs.filter(job => job.sentAt >= restartedAt + second * 1000 && job.sentAt < restartedAt + (second + 1) * 1000)
    return sent.filter(job => job.reply === 'completed').length / Math.max(1, sent.length)
  })
}

describe('a fleet that restarts after the loss of all instances', () => {
  it('completes at least 25 % of the jobs from 3 s after the restart, and at least 90 % from 5 s', () => {
    for (const seed of [1, 2, 3, 4]) {
      const shares = completedSharesAfterRestart(seed)
      expect(Math.min(...shares.slice(3)), `seed ${seed}: ${shares.join()}`).to.be.at.least(0.25)
      expect(Math.min(...shares.slice(5)), `seed ${seed}: ${shares.join()}`).to.be.at.least(0.9)
    }
  })
})

describe('takeover from a failed owner', () => {
  for (const storeDown of [false, true]) {
    const store = storeDown ? 'while the store is down' : 'while the store is available'

    it(`takes at most ${KILLED_TAKEOVER_TARGET_MS} ms after the owner is killed, ${store}`, () => {
      const takeoverTimesMs = [1, 2, 3, 4].map(seed => measureTakeoverMs(seed, storeDown, fleet => fleet.kill(OWNER, BEYOND_TEST_MS)))
      expect(Math.max(...takeoverTimesMs)).to.be.at.most(KILLED_TAKEOVER_TARGET_MS)
    })

    it(`takes at most ${FROZEN_TAKEOVER_TARGET_MS} ms after the owner stops responding, ${store}`, () => {
      const takeoverTimesMs = [1, 2, 3, 4].map(seed => measureTakeoverMs(seed, storeDown, fleet => fleet.freeze(OWNER, BEYOND_TEST_MS)))
      expect(Math.max(...takeoverTimesMs)).to.be.at.most(FROZEN_TAKEOVER_TARGET_MS)
    })
  }
})

describe('an instance that knows an outdated record of its domain while the store is down', () => {
  /** The owner writes its record anew while some instances do not reach the store, and is killed when nobody does. @returns the owners of its domain for some seeds */
  function ownersAfterOutage (unserved: readonly string[], meanwhile: (fleet: ShardFleet) => void): string[] {
    return [1, 2, 3, 4].map((seed) => {
      const fleet = new ShardFleet({ domains: ['a', 'b'], instancesPerDomain: 2, endpointsPerDomain: 3, seed })
      fleet.run(8000)
      for (const name of unserved) fleet.storeFaults.unservedInstances.add(name)
      fleet.kill(OWNER, 1000)
      fleet.run(8000)
      fleet.storeFaults.down = true
      fleet.run(1000)
      meanwhile(fleet)
      fleet.run(4000)
      fleet.kill(OWNER, BEYOND_TEST_MS)
      fleet.run(3000)
      expect(fleet.oracle.violations).to.deep.equal([])
      return fleet.owners().filter(name => name.startsWith('a-')).join()
    })
  }

  it('can take the domain over after it was introduced by a peer with that record', () => {
    const owners = ownersAfterOutage(['b-0'], fleet => fleet.kill(SUBMISSION_INSTANCE, 500))
    expect(owners).to.deep.equal(owners.map(() => SUBMISSION_INSTANCE))
  })

  it('can take the domain over when only the owner knew the latest one', () => {
    const owners = ownersAfterOutage([SUBMISSION_INSTANCE, 'b-0', 'b-1'], () => {})
    expect(owners).to.deep.equal(owners.map(() => SUBMISSION_INSTANCE))
  })
})

describe('a fleet in which every instance is restarted in turn while the store is down', () => {
  it('still knows the endpoints of every failure domain', () => {
    const capacities = [1, 2, 3, 4].map((seed) => {
      const fleet = new ShardFleet({ domains: ['a', 'b'], instancesPerDomain: 2, endpointsPerDomain: 3, seed })
      fleet.run(8000)
      fleet.storeFaults.down = true
      fleet.run(2000)
      for (const name of fleet.processes.keys()) {
        fleet.kill(name, 500)
        fleet.run(850)
      }
      fleet.run(5000)
      expect(fleet.oracle.violations).to.deep.equal([])
      return fleet.owners().map(name => `${name.slice(0, 1)} ${(fleet.processes.get(name)?.core.execution.capacity().totalCpuMilli ?? 0) > 0}`).sort().join()
    })
    expect(capacities).to.deep.equal(capacities.map(() => 'a true,b true'))
  })

  it('still knows a record that its owner wrote just before', () => {
    const owners = [1, 2, 3, 4].map((seed) => {
      const fleet = new ShardFleet({ domains: ['a', 'b'], instancesPerDomain: 2, endpointsPerDomain: 3, seed })
      fleet.run(8000)
      for (const name of [SUBMISSION_INSTANCE, 'b-0', 'b-1']) fleet.storeFaults.unservedInstances.add(name)
      fleet.kill(OWNER, 1000)
      fleet.run(8000)
      fleet.storeFaults.down = true
      fleet.kill(SUBMISSION_INSTANCE, 3000)
      fleet.run(3400)
      fleet.kill(OWNER, BEYOND_TEST_MS)
      fleet.run(3000)
      expect(fleet.oracle.violations).to.deep.equal([])
      return fleet.owners().filter(name => name.startsWith('a-')).join()
    })
    expect(owners).to.deep.equal(owners.map(() => SUBMISSION_INSTANCE))
  })
})

describe('an instance that takes over with an outdated endpoint list while the store is down', () => {
  it('does not restart tasks that run at an endpoint it does not know', () => {
    const violations = [1, 2, 3, 4].flatMap((seed) => {
      const fleet = new ShardFleet({ domains: ['a'], instancesPerDomain: 5, endpointsPerDomain: 5, seed })
      const newEndpoint = 'e-a-4'
      const submit = (at: number, workMs: number): void => fleet.time.after(at, () => fleet.submit('a-4' as InstanceId, 2, { cpuMilli: 16_000, workMs, fails: false }))
      fleet.lapsedEntries.add(newEndpoint)
      // After 14 s the owner and its first successors no longer change, and the other instances have read the list for a while.
      fleet.run(14_000)
      fleet.lapsedEntries.delete(newEndpoint)
      fleet.run(2000)
      fleet.storeFaults.down = true
      // Short tasks fill the endpoints that all instances know, so that the long tasks go to the new endpoint.
      for (let i = 0; i < 6; i++) submit(0, 300)
      for (let i = 0; i < 3; i++) submit(50, 1500)
      fleet.time.after(600, () => {
        for (const name of ['a-0', 'a-1', 'a-2', 'a-3']) fleet.kill(name as InstanceId, BEYOND_TEST_MS)
      })
      fleet.run(5000)
      return fleet.oracle.violations
    })
    expect(violations).to.deep.equal([])
  })
})

describe('a failure domain whose instances take each other for the owner', () => {
  it('has an owner again, also while messages pass between them all the time', () => {
    const fleet = new ShardFleet({ domains: ['a'], instancesPerDomain: 2, endpointsPerDomain: 3, seed: 1 })
    fleet.run(8000)
    const [first, second] = ['a-0', 'a-1'].map(name => fleet.processes.get(name as InstanceId)?.core)
    if (first === undefined || second === undefined) throw new Error('the fleet lacks an instance')
    for (let at = 0; at < 6000; at += JOB_PERIOD_MS) {
      for (const name of ['a-0', 'a-1'] as InstanceId[]) fleet.time.after(at, () => fleet.submit(name, 1, { cpuMilli: 4000, workMs: WORK_MS, fails: false }))
    }
    fleet.run(200)
    const token = (Math.max(...[first, second].map(core => core.sessions.db.shards.values().next().value?.token ?? 0)) + 1) as FencingToken
    for (const [core, other] of [[first, 'a-1'], [second, 'a-0']] as const) {
      core.ownership.ownerAnnounced('a' as FailureDomain, other as InstanceId, token)
      core.sessions.db.learnOwner({ failureDomain: 'a' as FailureDomain, owner: other as InstanceId, token })
    }
    expect(fleet.owners()).to.deep.equal([])
    fleet.run(4000)
    expect(fleet.owners().length).to.equal(1)
  })
})
