import { expect } from 'chai'
import type { ModelTask } from '@cranberryyard/fakes'
import type { InstanceId } from '@cranberryyard/protocol'
import { replaceMethod, sampleInstance as sample } from './patches.js'
import type { Undo } from './patches.js'
import { DEFAULT_QUEUE, ShardFleet } from './shardFleet.js'
import type { CallerJob } from './shardFleet.js'

const SEEDS = [1, 2, 3, 4, 5, 6] as const
const FRONT = 'a-0' as InstanceId
/** Instance 1 of a domain has the most processor time, so it owns the shard after a while. */
const OWNER = 'a-1' as InstanceId
const WARM_UP_MS = 8000
const PATIENCE_MS = 20_000
const DISTURBED_MS = 9000
const RACK_ENDPOINTS = 20
const RACK_SEEDS = [1, 2, 3] as const
const SOUND: ModelTask = { cpuMilli: 14_000, workMs: 60, fails: false }
const CRASHING: ModelTask = { ...SOUND, crashAfterMs: 2 }

/** A fleet of two domains that has run for a while, and its jobs. The first task of a crashing job crashes its endpoints. */
class Play {
  readonly fleet: ShardFleet

  constructor (readonly seed: number) {
    this.fleet = new ShardFleet({ domains: ['a', 'b'], instancesPerDomain: 3, endpointsPerDomain: 6, seed })
    this.fleet.run(WARM_UP_MS)
  }

  submitCrashing (): CallerJob {
    return this.submit([CRASHING, SOUND, SOUND, SOUND])
  }

  submit (tasks: readonly ModelTask[]): CallerJob {
    return this.fleet.submitTasks(FRONT, tasks, PATIENCE_MS)
  }

  crashesOf (job: CallerJob): number {
    return this.fleet.oracle.crashesOf(`${job.id}.0.0.0`)
  }

  /** Runs until the caller of a job submitted now has left, and calls back some time after each change of a count. */
  followChanges (count: () => number, delayMs: number, onChange: () => void): void {
    let seen = count()
    for (let at = 0; at < PATIENCE_MS; at += 20) {
      this.fleet.run(20)
      if (count() === seen) continue
      seen = count()
      this.fleet.run(delayMs)
      onChange()
    }
  }

  killOwners (): void {
    for (const name of this.fleet.owners()) if (name !== FRONT) this.fleet.kill(name, 500)
  }

  /** @returns violated invariants, and a line for a job that crashed more endpoints than that */
  problems (job: CallerJob, crashesMax: number): string[] {
    const crashes = this.crashesOf(job)
    return [...this.fleet.oracle.violations.map(({ rule, detail }) => `seed ${this.seed}: ${rule} ${detail}`), ...crashes > crashesMax ? [`seed ${this.seed}: ${crashes} crashes`] : []]
  }
}

type Scenario = (play: Play) => string[]

const undisturbed: Scenario = (play) => {
  const job = play.submitCrashing()
  play.fleet.run(PATIENCE_MS)
  return [...play.problems(job, 2), ...job.reply === 'failed' ? [] : [`seed ${play.seed}: answered ${job.reply}`]]
}

const ownersKilled: Scenario = (play) => {
  const job = play.submitCrashing()
  play.followChanges(() => play.crashesOf(job), 300, () => play.killOwners())
  return play.problems(job, 3)
}

const ownersRestartedInTurn: Scenario = (play) => {
  const job = play.submitCrashing()
  play.followChanges(() => play.crashesOf(job), 100, () => play.fleet.owners().forEach(name => play.fleet.terminate(name, 300)))
  return play.problems(job, 3)
}

const storeDown: Scenario = (play) => {
  play.fleet.storeFaults.down = true
  return ownersKilled(play)
}

const sentAgain: Scenario = (play) => {
  const job = play.submitCrashing()
  for (let kills = 0; kills < 3; kills++) {
    play.fleet.run(1400)
    for (const name of play.fleet.fronts(job.id)) if (name !== OWNER) play.fleet.kill(name, 400)
  }
  play.fleet.run(PATIENCE_MS)
  return play.problems(job, 3)
}

const domainLost: Scenario = (play) => {
  const job = play.submitCrashing()
  while (play.crashesOf(job) === 0) play.fleet.run(50)
  play.fleet.run(300)
  for (const name of ['a-0', 'a-1', 'a-2']) play.fleet.kill(name as InstanceId, 2500)
  play.fleet.run(PATIENCE_MS)
  return [...play.problems(job, 2), ...job.reply === 'failed' ? [] : [`seed ${play.seed}: answered ${job.reply}`]]
}

/** Kills all instances that know of a crash: the owners and the job's fronts. */
const allWhoKnowKilled = (losses: number): Scenario => (play) => {
  const job = play.submitCrashing()
  let killed = 0
  play.followChanges(() => play.crashesOf(job), 300, () => {
    if (killed++ < losses) for (const name of new Set([...play.fleet.owners(), ...play.fleet.fronts(job.id)])) play.fleet.kill(name, 500)
  })
  return play.problems(job, 3 + losses)
}

/** A crash without a sign shows only when the endpoint is back, so the task may cost one endpoint more. */
const silentCrashes: Scenario = (play) => {
  play.fleet.crashesAreSilent = true
  const job = play.submitCrashing()
  play.fleet.run(PATIENCE_MS)
  return play.problems(job, 3)
}

const besideSoundJobs: Scenario = (play) => {
  const sound: CallerJob[] = []
  for (let at = 0; at < 4000; at += 40) {
    if (at % 800 === 0) play.submitCrashing()
    sound.push(play.submit([SOUND, SOUND]))
    play.fleet.run(40)
  }
  play.fleet.run(PATIENCE_MS)
  const failed = sound.filter(job => job.reply === 'failed').map(job => `seed ${play.seed}: ${job.id} failed`)
  const { violations, runsLostToSuspects } = play.fleet.oracle
  return [...violations.map(({ rule, detail }) => `${rule} ${detail}`), ...failed, ...runsLostToSuspects > 0 ? [`seed ${play.seed}: ${runsLostToSuspects} runs lost beside a suspect task`] : []]
}

const failingTask: Scenario = (play) => {
  const { id } = play.submit([{ ...SOUND, workMs: 200, fails: true }])
  const failures = (): number => play.fleet.oracle.failuresOf(`${id}.0.0.0`)
  play.followChanges(failures, 40, () => play.killOwners())
  return failures() === DEFAULT_QUEUE.maxAttempts ? [] : [`seed ${play.seed}: ${failures()} failed runs`]
}

/** Plays a scenario with each seed. @returns the problems */
function playAll (scenario: Scenario): string[] {
  return SEEDS.flatMap(seed => scenario(new Play(seed)))
}

/** Loses nearly all answers of endpoints for a while. */
function loseAnswers (fleet: ShardFleet): void {
  fleet.lostAnswerShare = 0.9
  fleet.time.after(DISTURBED_MS, () => {
    fleet.lostAnswerShare = 0
  })
}

/** Cuts off four endpoints at a time from all instances; connections are not refused, and runs go on until their leases end. */
function cutOffEndpoints (fleet: ShardFleet): void {
  const ids = [...fleet.endpoints.keys()]
  for (let at = 0; at < DISTURBED_MS; at += 700) {
    fleet.time.after(at, () => {
      for (let i = 0; i < 4; i++) {
        const id = ids[fleet.randomBelow(ids.length)] ?? ''
        fleet.cutPairs([...fleet.processes.keys()].flatMap(name => [`${name}>${id}`, `${id}>${name}`]), 2500)
      }
    })
  }
}

describe('tasks that crash the endpoints that start them', function () {
  this.timeout(60_000)

  it('are given up soon, and their job fails', () => {
    expect(playAll(undisturbed)).to.deep.equal([])
  })

  it('are given up although their owner is killed after each crash', () => {
    expect(playAll(ownersKilled)).to.deep.equal([])
  })

  it('are given up although owners are restarted after each crash', () => {
    expect(playAll(ownersRestartedInTurn)).to.deep.equal([])
  })

  it('are given up although the store is down and their owner is killed after each crash', () => {
    expect(playAll(storeDown)).to.deep.equal([])
  })

  it('are given up although the caller sends the job again through other instances', () => {
    expect(playAll(sentAgain)).to.deep.equal([])
  })

  it('are given up although all instances of the domain are killed after the first crash and the job goes on in another domain', () => {
    expect(playAll(domainLost)).to.deep.equal([])
  })

  it('cost one endpoint more each time all instances that know of a crash are killed at once', () => {
    for (const losses of [1, 2]) expect(playAll(allWhoKnowKilled(losses))).to.deep.equal([])
  })

  it('are given up although the endpoints give no sign when they crash', () => {
    expect(playAll(silentCrashes)).to.deep.equal([])
  })

  it('do not make jobs fail that run beside them, and take runs of others along only once', () => {
    expect(playAll(besideSoundJobs)).to.deep.equal([])
  })
})

describe('sound tasks at endpoints that do not answer', function () {
  this.timeout(60_000)

  it('do not make their job fail while listings are lost or endpoints are cut off without a sign', () => {
    const failed = [loseAnswers, cutOffEndpoints].flatMap(disturb => playAll(({ fleet, seed }) => {
      disturb(fleet)
      for (let at = 0; at < DISTURBED_MS; at += 60) fleet.time.after(at, () => fleet.submitTasks(FRONT, [SOUND, SOUND], PATIENCE_MS))
      fleet.run(DISTURBED_MS + PATIENCE_MS)
      expect(fleet.oracle.violations, `seed ${seed}`).to.deep.equal([])
      return fleet.jobs.filter(job => job.reply === 'failed').map(job => `${disturb.name}, seed ${seed}: ${job.id}`)
    }))
    expect(failed).to.deep.equal([])
  })
})

describe('sound tasks at a rack that crashes at once', function () {
  this.timeout(60_000)

  it('do not make their job fail when the next endpoint is of the rack too and refuses them', () => {
    const failed = RACK_SEEDS.flatMap((seed) => {
      const fleet = new ShardFleet({ domains: ['a'], instancesPerDomain: 3, endpointsPerDomain: 0, seed, endpointKinds: [{ count: RACK_ENDPOINTS * 6, cpuMilli: 48_000, speed: 1 }] })
      fleet.run(WARM_UP_MS)
      for (let at = 0; at < 4500; at += 16) fleet.time.after(at, () => fleet.submit(FRONT, 8, { cpuMilli: 2000, workMs: 1000, fails: false }))
      // Idle endpoints are asked every 2 s, so the crash of some is not noticed before the first tasks start again.
      fleet.run(3500)
      const byLoad = [...fleet.endpoints.values()].sort((a, b) => b.runs.size - a.runs.size)
      for (const endpoint of byLoad.filter((_, index) => index % 6 === 0)) endpoint.crash(fleet.time.now)
      fleet.run(2000)
      return [...fleet.oracle.violations.map(({ rule, detail }) => `seed ${seed}: ${rule} ${detail}`), ...fleet.jobs.filter(job => job.reply === 'failed').map(job => `seed ${seed}: ${job.id} failed`)]
    })
    expect(failed).to.deep.equal([])
  })
})

describe('a task whose runs fail', function () {
  this.timeout(60_000)

  it('gets no more attempts than its queue allows although its owner is killed after each', () => {
    expect(playAll(failingTask)).to.deep.equal([])
  })
})

/** Deliberate faults of the attempts decision, each with a scenario that must show it. */
const MUTATIONS: readonly { readonly name: string, readonly scenario: Scenario, readonly apply: () => Undo }[] = [
  { name: 'a lost run is not counted', scenario: undisturbed, apply: () => replaceMethod(sample.attempts, 'record', () => () => false) },
  { name: 'attempts stay with the instance that saw them', scenario: ownersKilled, apply: () => replaceMethod(sample, 'sendAttempts', () => () => {}) },
  { name: 'owners do not read the attempts that come with an order', scenario: domainLost, apply: () => replaceMethod(sample.attempts, 'learn', () => () => new Set()) },
  { name: 'failed runs stay with the owner that saw them', scenario: failingTask, apply: () => replaceMethod(sample.attempts, 'learn', () => () => new Set()) },
  { name: 'suspect tasks start beside others', scenario: besideSoundJobs, apply: () => replaceMethod(sample.attempts, 'standingOf', original => function (this: typeof sample.attempts, ...args) {
    const standing = original.apply(this, args)
    return standing === 'suspect' ? 'sound' : standing
  }) },
  { name: 'endpoints lost in silence are taken back when they are back, whichever incarnation answers', scenario: silentCrashes, apply: () => replaceMethod(sample.execution, 'endpointHadCrashed', () => function (this: typeof sample.execution, ...args) {
    return this.endpointBack(...args as unknown as Parameters<typeof sample.execution.endpointBack>)
  }) }
]

describe('the scenarios with tasks that crash their endpoints', function () {
  this.timeout(60_000)

  for (const { name, scenario, apply } of MUTATIONS) {
    it(`show that ${name}`, () => {
      const undo = apply()
      try {
        expect(playAll(scenario)).not.to.deep.equal([])
      } finally {
        undo()
      }
    })
  }
})
