import { expect } from 'chai'
import type { InstanceId } from '@cranberryyard/protocol'
import { cutOffFront, cutOffOwner } from './queueChanges.js'
import { ShardFleet } from './shardFleet.js'
import { ignoreVersionsOfJobs, keepVersionsOfFronts, requestNoVersions, startUnderNewerVersions } from './shardMutations.js'

const SEEDS = [1, 2, 3, 4]
const OWNER = 'a-1' as InstanceId
const FRONT = 'a-0' as InstanceId
const CUT_MS = 5500

function fleetOf (seed: number): ShardFleet {
  const fleet = new ShardFleet({ domains: ['a'], instancesPerDomain: 2, endpointsPerDomain: 4, seed })
  // After 8 s the instance with the most processor time owns the shard.
  fleet.run(8000)
  return fleet
}

/** Lets a version add a queue while the owner is cut off from the store. @returns the violations */
function violationsOfCuts (): string[] {
  return SEEDS.flatMap((seed) => {
    const fleet = fleetOf(seed)
    cutOffOwner(fleet, OWNER, CUT_MS)
    fleet.run(CUT_MS + 3000)
    expect(fleet.jobs.filter(job => job.reply === 'completed').length).to.be.greaterThan(0)
    return fleet.oracle.violations.map(({ rule, at, detail }) => `seed ${seed}: ${rule} at ${Math.round(at)}: ${detail}`)
  })
}

describe('an owner that the store does not serve while a version adds a queue', () => {
  // Guards against callers that get 404 from an instance that runs jobs of the same queue for others.
  it('knows the queue when it starts the first task of it', () => {
    expect(violationsOfCuts()).to.deep.equal([])
  })

  it('denies the queue while it starts tasks of it when it does neither wait for the version nor ask for it', () => {
    const undo = [ignoreVersionsOfJobs(), startUnderNewerVersions()]
    try {
      expect(violationsOfCuts().join()).to.include('CONFIG')
    } finally {
      for (const step of undo) step()
    }
  })

  it('has the version soon from the front that sends it jobs', () => {
    for (const seed of SEEDS) {
      const fleet = fleetOf(seed)
      cutOffOwner(fleet, OWNER, CUT_MS)
      fleet.run(1000)
      const versions = [FRONT, OWNER].map(name => fleet.processes.get(name)?.core.desired.db.version())
      expect(versions[1]).to.equal(versions[0])
    }
  })
})

describe('an owner that has not heard of a version which changes nothing for a queue', () => {
  it('starts jobs of that queue at once', () => {
    for (const seed of SEEDS) {
      const fleet = fleetOf(seed)
      fleet.storeFaults.unservedInstances.add(OWNER)
      fleet.changeDesiredState()
      fleet.run(60)
      fleet.submit(FRONT, 1, { cpuMilli: 4000, workMs: 40, fails: false })
      fleet.run(500)
      expect(fleet.jobs[0]?.latencyMs).to.be.lessThan(100)
    }
  })
})

describe('an owner with a newer version than a front that the store does not serve', () => {
  /** @returns the violations, and the replies to jobs */
  function play (): { readonly violations: string, readonly replies: ReadonlySet<string | undefined> } {
    const fleets = SEEDS.map((seed) => {
      const fleet = fleetOf(seed)
      cutOffFront(fleet, FRONT, OWNER, CUT_MS)
      fleet.run(CUT_MS + 3000)
      return fleet
    })
    return { violations: fleets.flatMap(fleet => fleet.oracle.violations.map(({ rule, detail }) => `${rule}: ${detail}`)).join('; '), replies: new Set(fleets.flatMap(fleet => fleet.jobs.map(job => job.reply))) }
  }

  it('starts no job of a queue that its version has removed, and the caller learns that it has not run', () => {
    const { violations, replies } = play()
    expect(violations).to.equal('')
    expect([...replies].sort()).to.deep.equal(['completed', 'refused'])
  })

  it('starts no such job of a front that stays behind, since it requests no version from peers', () => {
    const undo = requestNoVersions()
    try {
      expect(play().violations).to.equal('')
    } finally {
      undo()
    }
  })

  it('starts such jobs when it takes the version of a front that stays behind', () => {
    const undo = [requestNoVersions(), keepVersionsOfFronts()]
    try {
      expect(play().violations).to.include('CONFIG')
    } finally {
      for (const step of undo) step()
    }
  })
})
