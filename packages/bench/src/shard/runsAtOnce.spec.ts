import { expect } from 'chai'
import { SHARD_DEFAULTS } from '@cranberryyard/core/shard'
import type { InstanceId } from '@cranberryyard/protocol'
import { ShardFleet } from './shardFleet.js'
import type { FleetOptions } from './shardFleet.js'
import { countFromArrival, countFromSending, extendLeasesFreely, startUnderAnyLease, waitFromTakeover } from './shardMutations.js'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]
/** Downtime that is longer than the rest of any test run here. */
const BEYOND_TEST_MS = 60_000
/** Time for which an instance may handle nothing before it takes itself for paused. */
const UNNOTICED_PAUSE_MS = SHARD_DEFAULTS.pauseMs - 10
/** Tasks that still run when their caller sends the job again. */
const LONG_TASK = { cpuMilli: 8000, workMs: 5000, fails: false }
const ENDPOINT_CPU_MILLI = 32_000
const HALF_ENDPOINT = { ...LONG_TASK, cpuMilli: ENDPOINT_CPU_MILLI / 2 }
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
  /** Endpoints of each domain, if their size matters. */
  readonly endpointKinds?: FleetOptions['endpointKinds']
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
  longerLease: {
    endpointKinds: [{ count: 4, cpuMilli: ENDPOINT_CPU_MILLI, speed: 1 }],
    when: 'a waiting task starts beside runs with a longer lease after its front has lost power, and then the owner does',
    play: (fleet) => {
      const halfOfEach = 4
      fleet.submit(OWNER, halfOfEach, HALF_ENDPOINT)
      fleet.submit('a-1' as InstanceId, halfOfEach, HALF_ENDPOINT)
      fleet.submit(OWNER, halfOfEach, { ...HALF_ENDPOINT, workMs: 900 })
      fleet.submit('a-1' as InstanceId, halfOfEach, { ...HALF_ENDPOINT, workMs: 1400 })
      fleet.run(300)
      fleet.submit(FRONT, 2, HALF_ENDPOINT)
      fleet.run(100 + fleet.randomBelow(100))
      fleet.losePower(FRONT, BEYOND_TEST_MS)
      fleet.time.after(520, () => fleet.losePower(OWNER, BEYOND_TEST_MS))
    }
  },
  unreadEnd: {
    when: 'the front has not yet read that its caller has left, and then loses power',
    play: (fleet) => {
      fleet.submit(FRONT, 2, LONG_TASK)
      fleet.run(500 + fleet.randomBelow(200))
      fleet.lateStopShare = 1
      fleet.slowDown(FRONT, UNNOTICED_PAUSE_MS, UNNOTICED_PAUSE_MS)
      fleet.breakCallers(FRONT)
      fleet.run(UNNOTICED_PAUSE_MS - 1)
      fleet.losePower(FRONT, BEYOND_TEST_MS)
    }
  },
  unreadEndNewLink: {
    when: 'the front has not yet read that its caller has left, sends the job again on a new connection, and then loses power',
    play: (fleet) => {
      fleet.submit(FRONT, 2, LONG_TASK)
      fleet.run(500 + fleet.randomBelow(200))
      fleet.lateStopShare = 1
      fleet.slowDown(FRONT, UNNOTICED_PAUSE_MS, UNNOTICED_PAUSE_MS)
      fleet.replaceConnections(FRONT, OWNER)
      fleet.breakCallers(FRONT)
      fleet.run(UNNOTICED_PAUSE_MS - 1)
      fleet.replaceConnections(FRONT, OWNER)
      fleet.losePower(FRONT, BEYOND_TEST_MS)
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

describe('runs of a front and an owner that are slow', () => {
  it('are not stopped and started again while each handles messages 250 ms late', () => {
    for (const seed of SEEDS.slice(0, 4)) {
      const fleet = new ShardFleet({ domains: ['a', 'b'], instancesPerDomain: 3, endpointsPerDomain: 4, seed })
      fleet.run(8000)
      const from = fleet.time.now
      for (const name of [FRONT, OWNER]) fleet.slowDown(name, 250, BEYOND_TEST_MS)
      for (let job = 0; job < 30; job++) {
        fleet.run(400)
        fleet.submit(FRONT, 2, { ...LONG_TASK, cpuMilli: 4000, workMs: 1000 })
      }
      fleet.run(6000)
      const unconfirmed = fleet.logs.filter(({ at, event, fields }) => at > from && event === 'job.abandoned' && 'why' in fields && fields.why === 'unconfirmed')
      expect(unconfirmed.map(({ at, fields }) => ({ at, fields })), `seed ${seed}`).to.deep.equal([])
      expect(fleet.oracle.violations, `seed ${seed}`).to.deep.equal([])
    }
  })
})

describe('a job whose owner is at the end of a slow link', () => {
  it('goes to another domain after that owner has refused its copies as too old, and runs there only', () => {
    for (const seed of SEEDS) {
      const fleet = new ShardFleet({ domains: ['a', 'b', 'c'], instancesPerDomain: 3, endpointsPerDomain: 4, seed })
      fleet.run(6000)
      for (const id of endpointsOf(fleet, 'a')) fleet.drain(id, 10)
      fleet.submit('c-1' as InstanceId, 2, LONG_TASK)
      // The delay grows slowly, so that the link does not seem silent, beyond the age up to which orders are taken.
      for (let delayMs = 25; delayMs <= 1000; delayMs += 25) {
        fleet.delayLinks(['a-1>b-1'], delayMs)
        fleet.run(100)
      }
      const job = fleet.submit('a-1' as InstanceId, 2, { ...LONG_TASK, workMs: 500 })
      fleet.run(6000)
      expect(job.reply, `seed ${seed}`).to.equal('completed')
      expect(fleet.logs.filter(({ event, fields }) => event === 'job.outdated' && 'job' in fields && fields.job === job.id), `seed ${seed}`).to.have.length(2)
      expect(fleet.oracle.violations, `seed ${seed}`).to.deep.equal([])
    }
  })
})

describe('two runs of a task at once', () => {
  const MUTATIONS = [
    { name: 'orders and confirmations count from their arrival', apply: countFromArrival, shownBy: [SCENARIOS.givenUp, SCENARIOS.slowLink] },
    { name: 'orders and confirmations count from their sending by a front that has not read its callers\' connections', apply: countFromSending, shownBy: [SCENARIOS.unreadEnd, SCENARIOS.unreadEndNewLink] },
    { name: 'holds extend leases whatever the jobs of the runs allow', apply: extendLeasesFreely, shownBy: [SCENARIOS.frontThenOwner, SCENARIOS.successorsInTurn, SCENARIOS.ownerCutOff, SCENARIOS.lateStops] },
    { name: 'tasks start under whatever lease there is', apply: startUnderAnyLease, shownBy: [SCENARIOS.longerLease, SCENARIOS.lateStart] },
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
