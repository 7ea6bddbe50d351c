import { expect } from 'chai'
import type { InstanceId } from '@cranberryyard/protocol'
import { ShardFleet } from './shardFleet.js'
import type { EndpointKind } from './shardFleet.js'
import { countFromArrival, extendLeasesFreely, joinAnyLease, waitFromTakeover } from './shardMutations.js'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]
/** Downtime that is longer than the rest of any test run here. */
const BEYOND_TEST_MS = 60_000
/** Tasks that still run when their caller sends the job again. */
const LONG_TASK = { cpuMilli: 8000, workMs: 5000, fails: false }
const FRONT = 'b-0' as InstanceId
const OWNER = 'b-1' as InstanceId

/**
 * Plays a scenario with several seeds, which decide among other things to which instances callers send again.
 * @returns the violations of all plays
 */
function violationsOf ({ play, domains = ['a', 'b'], endpointKinds }: Scenario): string[] {
  return SEEDS.flatMap((seed) => {
    const fleet = new ShardFleet({ domains, instancesPerDomain: 3, endpointsPerDomain: 4, seed, ...endpointKinds === undefined ? {} : { endpointKinds } })
    // After 8 s the instances with the most processor time own the shards.
    fleet.run(8000)
    play(fleet)
    fleet.run(8000)
    return fleet.oracle.violations.map(({ rule, at, detail }) => `seed ${seed}: ${rule} at ${Math.round(at)}: ${detail}`)
  })
}

/** Names every directed link between two groups of instances or endpoints, both ways. */
function linksBetween (names: readonly string[], others: readonly string[]): string[] {
  return names.flatMap(name => others.flatMap(other => [`${name}>${other}`, `${other}>${name}`]))
}

function endpointsOf (fleet: ShardFleet, domain: string): string[] {
  return [...fleet.endpoints.keys()].filter(id => id.startsWith(`e-${domain}-`))
}

/** A way in which a job may come to a second failure domain while the first still runs it. */
interface Scenario {
  readonly when: string
  readonly domains?: string[]
  /** In place of four endpoints of random size. */
  readonly endpointKinds?: readonly EndpointKind[]
  readonly play: (fleet: ShardFleet) => void
}

const SCENARIOS = {
  givenUp: {
    when: 'an order arrives at its owner after the front has given the job up',
    domains: ['a', 'b', 'c'],
    play: (fleet) => {
      for (const id of endpointsOf(fleet, 'a')) fleet.drain(id, 10)
      fleet.run(2000)
      const remote = [...fleet.processes.keys()].filter(name => !name.startsWith('a'))
      fleet.holdUpLinks(linksBetween(['a-0'], remote), 3000 + fleet.randomBelow(1500))
      fleet.submit('a-0' as InstanceId, 2, LONG_TASK)
    }
  },
  slowLink: {
    when: 'the front loses power while its messages take long to the owner',
    play: (fleet) => {
      fleet.submit(FRONT, 2, LONG_TASK)
      for (const delayMs of [100, 200, 300, 400, 500, 600, 700, 800]) {
        fleet.delayLinks([`${FRONT}>${OWNER}`], delayMs)
        fleet.run(200)
      }
      fleet.losePower(FRONT, BEYOND_TEST_MS)
    }
  },
  frontThenOwner: {
    when: 'the front and then the owner lose power before the owner has noticed',
    play: (fleet) => {
      fleet.submit(FRONT, 2, LONG_TASK)
      fleet.run(500)
      fleet.losePower(FRONT, BEYOND_TEST_MS)
      fleet.time.after(350 + fleet.randomBelow(300), () => fleet.losePower(OWNER, BEYOND_TEST_MS))
    }
  },
  slowSuccessors: {
    when: 'an instance that is front and owner loses power and its successors are slow',
    play: (fleet) => {
      fleet.submit(OWNER, 2, LONG_TASK)
      fleet.run(500)
      fleet.losePower(OWNER, BEYOND_TEST_MS)
      fleet.time.after(500, () => {
        for (const successor of ['b-0', 'b-2'] as InstanceId[]) fleet.slowDown(successor, 40 + fleet.randomBelow(300), 5000)
      })
    }
  },
  successorsInTurn: {
    when: 'an instance that is front and owner and its successor lose power one after the other',
    play: (fleet) => {
      fleet.submit(OWNER, 2, LONG_TASK)
      fleet.run(500)
      fleet.losePower(OWNER, BEYOND_TEST_MS)
      for (const successor of ['b-0', 'b-2'] as InstanceId[]) {
        fleet.time.after(600 + fleet.randomBelow(400), () => fleet.losePower(successor, 1000 + fleet.randomBelow(500)))
      }
    }
  },
  ownerCutOff: {
    when: 'the front loses power and the owner is then cut off from its endpoints',
    play: (fleet) => {
      fleet.submit(FRONT, 2, LONG_TASK)
      fleet.run(500)
      fleet.losePower(FRONT, BEYOND_TEST_MS)
      fleet.time.after(510 + fleet.randomBelow(40), () => fleet.cutPairs(linksBetween([OWNER], endpointsOf(fleet, 'b')), 3000))
    }
  },
  lateStart: {
    when: 'a task starts beside one of a live front after its own front has lost power, and then the owner does',
    endpointKinds: [{ count: 1, cpuMilli: 16_000, speed: 1 }],
    play: (fleet) => {
      fleet.submit('b-2' as InstanceId, 1, LONG_TASK)
      fleet.submit('b-2' as InstanceId, 1, { ...LONG_TASK, workMs: 800 })
      fleet.run(2)
      const { id } = fleet.submit(FRONT, 1, LONG_TASK)
      // The front has just confirmed its job when it loses power; the task starts when the short one ends.
      fleet.run(228)
      fleet.losePower(FRONT, BEYOND_TEST_MS)
      const hasStarted = (): boolean => [...fleet.endpoints.get('e-b-0')?.runs.keys() ?? []].some(task => task.startsWith(id))
      const loseOwner = (): void => hasStarted() ? fleet.losePower(OWNER, BEYOND_TEST_MS) : fleet.time.after(1, loseOwner)
      loseOwner()
    }
  },
  lateStops: {
    when: 'the front loses power and the endpoints carry out stop orders late',
    play: (fleet) => {
      fleet.submit(FRONT, 2, LONG_TASK)
      fleet.run(500)
      fleet.losePower(FRONT, BEYOND_TEST_MS)
      fleet.lateStopShare = 1
    }
  }
} satisfies Record<string, Scenario>

/** The owner goes on beside its successor until it meets the new token, since none of its endpoints but that of the run is asked often. */
const OWNERS_APART: Scenario = {
  when: 'the owner\'s successor reaches neither the owner nor the endpoint of the run',
  domains: ['b'],
  play: (fleet) => {
    fleet.run(fleet.randomBelow(2000))
    fleet.submit('b-2' as InstanceId, 1, LONG_TASK)
    fleet.run(100)
    const withRun = endpointsOf(fleet, 'b').filter(id => fleet.endpoints.get(id)?.runs.size === 1)
    fleet.cutPairs(linksBetween(['b-0'], [OWNER, ...withRun]), 10_000)
  }
}

describe('a task does not run at two owners of a failure domain at once', () => {
  it(`when ${OWNERS_APART.when}`, () => {
    expect(violationsOf(OWNERS_APART)).to.deep.equal([])
  })
})

describe('a task does not run in two failure domains at once', () => {
  for (const scenario of Object.values<Scenario>(SCENARIOS)) {
    it(`when ${scenario.when}`, () => {
      expect(violationsOf(scenario)).to.deep.equal([])
    })
  }
})

describe('runs of a live front', () => {
  it('go on beside those of an owner that was a front itself and has lost power', () => {
    for (const seed of SEEDS) {
      const fleet = new ShardFleet({ domains: ['b'], instancesPerDomain: 3, endpointsPerDomain: 3, seed, endpointKinds: [{ count: 3, cpuMilli: 32_000, speed: 1 }] })
      fleet.run(8000)
      const ofLiveFront = [1, 2, 3, 4, 5, 6].map(() => {
        fleet.submit(OWNER, 1, { ...LONG_TASK, workMs: 2500 })
        return fleet.submit(FRONT, 1, { ...LONG_TASK, workMs: 2500 })
      })
      fleet.run(300)
      fleet.losePower(OWNER, BEYOND_TEST_MS)
      fleet.run(4000)
      expect(ofLiveFront.map(({ reply }) => reply), `seed ${seed}`).to.deep.equal(ofLiveFront.map(() => 'completed'))
      expect(Math.max(...ofLiveFront.map(({ latencyMs }) => latencyMs ?? Infinity)), `seed ${seed}`).to.be.lessThan(2500 * 1.2)
      expect(fleet.oracle.violations, `seed ${seed}`).to.deep.equal([])
    }
  })
})

describe('two runs of a task at once', () => {
  const MUTATIONS = [
    { name: 'orders and confirmations count from their arrival', apply: countFromArrival, shownBy: [SCENARIOS.givenUp, SCENARIOS.slowLink] },
    { name: 'holds extend leases whatever the jobs of the runs allow', apply: extendLeasesFreely, shownBy: [SCENARIOS.frontThenOwner, SCENARIOS.successorsInTurn, SCENARIOS.ownerCutOff, SCENARIOS.lateStops] },
    { name: 'runs start whatever lease is in force at the endpoint', apply: joinAnyLease, shownBy: [SCENARIOS.lateStart] },
    { name: 'a resumed job waits for the end of earlier leases from the takeover and not from when it arrives', apply: waitFromTakeover, shownBy: [OWNERS_APART] }
  ] as const

  for (const { name, apply, shownBy } of MUTATIONS) {
    for (const scenario of shownBy) {
      it(`show if ${name}, when ${scenario.when}`, () => {
        const undo = apply()
        try {
          expect(violationsOf(scenario).join()).to.include('TWICE')
        } finally {
          undo()
        }
      })
    }
  }
})
