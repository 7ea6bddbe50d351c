import { expect } from 'chai'
import type { ModelTask } from '@cranberryyard/fakes'
import type { InstanceId } from '@cranberryyard/protocol'
import { DEFAULT_QUEUE, ShardFleet } from './shardFleet.js'
import type { CallerJob } from './shardFleet.js'

const SEEDS = [1, 2, 3, 4, 5, 6] as const
const FRONT = 'a-0' as InstanceId
/** Instance 1 of a domain has the most processor time, so it owns the shard after a while. */
const OWNER = 'a-1' as InstanceId
const WARM_UP_MS = 8000
const PATIENCE_MS = 20_000
const DISTURBED_MS = 9000
const SOUND: ModelTask = { cpuMilli: 14_000, workMs: 60, fails: false }
const DEADLY: ModelTask = { ...SOUND, crashAfterMs: 2 }

/** Two domains, where the first task of one job crashes each endpoint that starts it. */
class DeadlyDay {
  readonly fleet: ShardFleet

  constructor (seed: number) {
    this.fleet = new ShardFleet({ domains: ['a', 'b'], instancesPerDomain: 3, endpointsPerDomain: 6, seed })
    this.fleet.run(WARM_UP_MS)
  }

  submitDeadly (): CallerJob {
    return this.submit([DEADLY, SOUND, SOUND, SOUND])
  }

  submitFailing (): CallerJob {
    return this.submit([{ ...SOUND, workMs: 200, fails: true }])
  }

  submitSound (): CallerJob {
    return this.submit([SOUND, SOUND])
  }

  private submit (tasks: readonly ModelTask[]): CallerJob {
    return this.fleet.submitTasks(FRONT, tasks, PATIENCE_MS)
  }

  crashesOf (job: CallerJob): number {
    return this.fleet.oracle.crashesOf(`${job.id}.0.0.0`)
  }
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
    for (const seed of SEEDS) {
      const day = new DeadlyDay(seed)
      const deadly = day.submitDeadly()
      day.fleet.run(PATIENCE_MS)
      expect(day.fleet.oracle.violations, `seed ${seed}`).to.deep.equal([])
      expect(deadly.reply, `seed ${seed}`).to.equal('failed')
      expect(day.crashesOf(deadly), `seed ${seed}`).to.equal(2)
    }
  })

  it('are given up although their owner is killed after each crash', () => {
    for (const seed of SEEDS) {
      const day = new DeadlyDay(seed)
      const deadly = day.submitDeadly()
      let crashes = 0
      for (let at = 0; at < PATIENCE_MS; at += 50) {
        day.fleet.run(50)
        if (day.crashesOf(deadly) === crashes) continue
        crashes = day.crashesOf(deadly)
        day.fleet.run(300)
        for (const name of day.fleet.owners()) if (name !== FRONT) day.fleet.kill(name, 500)
      }
      expect(day.fleet.oracle.violations, `seed ${seed}`).to.deep.equal([])
      expect(crashes, `seed ${seed}`).to.be.at.most(3)
    }
  })

  it('are given up although the caller sends the job again through other instances', () => {
    for (const seed of SEEDS) {
      const day = new DeadlyDay(seed)
      const deadly = day.submitDeadly()
      for (let kills = 0; kills < 3; kills++) {
        day.fleet.run(1400)
        for (const name of day.fleet.fronts(deadly.id)) if (name !== OWNER) day.fleet.kill(name, 400)
      }
      day.fleet.run(PATIENCE_MS)
      expect(day.fleet.oracle.violations, `seed ${seed}`).to.deep.equal([])
      expect(day.crashesOf(deadly), `seed ${seed}`).to.be.at.most(3)
    }
  })

  it('are given up although all instances of the domain are killed after the first crash and the job goes on in another domain', () => {
    for (const seed of SEEDS) {
      const day = new DeadlyDay(seed)
      const deadly = day.submitDeadly()
      while (day.crashesOf(deadly) === 0) day.fleet.run(50)
      day.fleet.run(300)
      for (const name of ['a-0', 'a-1', 'a-2']) day.fleet.kill(name as InstanceId, 2500)
      day.fleet.run(PATIENCE_MS)
      expect(day.fleet.oracle.violations, `seed ${seed}`).to.deep.equal([])
      expect(deadly.reply, `seed ${seed}`).to.equal('failed')
      expect(day.crashesOf(deadly), `seed ${seed}`).to.equal(2)
    }
  })

  it('do not make jobs fail that run beside them', () => {
    for (const seed of SEEDS) {
      const day = new DeadlyDay(seed)
      const sound: CallerJob[] = []
      for (let at = 0; at < 4000; at += 40) {
        if (at % 800 === 0) day.submitDeadly()
        sound.push(day.submitSound())
        day.fleet.run(40)
      }
      day.fleet.run(PATIENCE_MS)
      expect(day.fleet.oracle.violations, `seed ${seed}`).to.deep.equal([])
      expect(sound.filter(job => job.reply === 'failed'), `seed ${seed}`).to.deep.equal([])
    }
  })
})

describe('sound tasks at endpoints that do not answer', function () {
  this.timeout(60_000)

  it('do not make their job fail while listings are lost or endpoints are cut off without a sign', () => {
    const failed = SEEDS.flatMap(seed => [loseAnswers, cutOffEndpoints].flatMap((disturb) => {
      const { fleet } = new DeadlyDay(seed)
      disturb(fleet)
      for (let at = 0; at < DISTURBED_MS; at += 60) fleet.time.after(at, () => fleet.submitTasks(FRONT, [SOUND, SOUND], PATIENCE_MS))
      fleet.run(DISTURBED_MS + PATIENCE_MS)
      expect(fleet.oracle.violations, `seed ${seed}`).to.deep.equal([])
      return fleet.jobs.filter(job => job.reply === 'failed').map(job => `${disturb.name}, seed ${seed}: ${job.id}`)
    }))
    expect(failed).to.deep.equal([])
  })
})

describe('a task whose runs fail', function () {
  this.timeout(60_000)

  it('gets no more attempts than its queue allows although its owner is killed after each', () => {
    for (const seed of SEEDS) {
      const day = new DeadlyDay(seed)
      const { id } = day.submitFailing()
      const failures = (): number => day.fleet.oracle.failuresOf(`${id}.0.0.0`)
      let seen = 0
      for (let at = 0; at < PATIENCE_MS; at += 20) {
        day.fleet.run(20)
        if (failures() === seen) continue
        seen = failures()
        day.fleet.run(40)
        for (const name of day.fleet.owners()) if (name !== FRONT) day.fleet.kill(name, 500)
      }
      expect(seen, `seed ${seed}`).to.equal(DEFAULT_QUEUE.maxAttempts)
    }
  })
})
