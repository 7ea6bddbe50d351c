import { expect } from 'chai'
import type { ModelTask } from '@cranberryyard/fakes'
import type { InstanceId } from '@cranberryyard/protocol'
import { ShardFleet } from './shardFleet.js'
import type { CallerJob } from './shardFleet.js'

const SEEDS = [1, 2, 3, 4, 5, 6] as const
const FRONT = 'a-0' as InstanceId
const WARM_UP_MS = 8000
const PATIENCE_MS = 20_000
const CUT_MS = 2500
const CUT_AFTER_MS = 300
const DISTURBED_MS = 9000
const SOUND: ModelTask = { cpuMilli: 14_000, workMs: 60, fails: false }
const LONG: ModelTask = { ...SOUND, workMs: 900 }
const CRASHING: ModelTask = { ...SOUND, crashAfterMs: 2 }

function warmFleet (seed: number): ShardFleet {
  const fleet = new ShardFleet({ domains: ['a', 'b'], instancesPerDomain: 3, endpointsPerDomain: 6, seed })
  fleet.run(WARM_UP_MS)
  return fleet
}

/** Resets each of the first two endpoints that run the job's task, some time after its start there. */
function resetTwice (fleet: ShardFleet, job: CallerJob, whileReset: () => void): void {
  const seen = new Set<string>()
  for (let at = 0; at < PATIENCE_MS && seen.size < 2; at += 20) {
    fleet.run(20)
    const endpoint = [...fleet.endpoints.values()].find(({ id, runs }) => !seen.has(id) && runs.has(`${job.id}.0.0.0`))
    if (endpoint === undefined) continue
    seen.add(endpoint.id)
    fleet.run(CUT_AFTER_MS)
    fleet.resetEndpoint(endpoint.id, CUT_MS)
  }
  expect(seen.size).to.equal(2)
  whileReset()
}

/** Resets four endpoints at a time, again and again. */
function resetEndpoints (fleet: ShardFleet): void {
  const ids = [...fleet.endpoints.keys()]
  for (let at = 0; at < DISTURBED_MS; at += 700) {
    fleet.time.after(at, () => {
      for (let i = 0; i < 4; i++) fleet.resetEndpoint(ids[fleet.randomBelow(ids.length)] ?? '', CUT_MS)
    })
  }
}

function problemsOf ({ oracle, jobs }: ShardFleet, seed: number): string[] {
  return [...oracle.violations.map(({ rule, detail }) => `seed ${seed}: ${rule} ${detail}`), ...jobs.filter(({ reply }) => reply === 'failed').map(({ id }) => `seed ${seed}: ${id} failed`)]
}

describe('a sound task whose endpoints are cut off with resets', function () {
  this.timeout(60_000)

  it('is completed, and its job is not answered as failed after the second cut', () => {
    for (const seed of SEEDS) {
      const fleet = warmFleet(seed)
      const job = fleet.submitTasks(FRONT, [LONG], PATIENCE_MS)
      resetTwice(fleet, job, () => {})
      fleet.run(PATIENCE_MS)
      expect(problemsOf(fleet, seed)).to.deep.equal([])
      expect(job.reply, `seed ${seed}`).to.equal('completed')
    }
  })

  it('is completed, though its owner is killed while both endpoints are cut off', () => {
    for (const seed of SEEDS) {
      const fleet = warmFleet(seed)
      const job = fleet.submitTasks(FRONT, [LONG], PATIENCE_MS)
      resetTwice(fleet, job, () => {
        fleet.run(CUT_AFTER_MS)
        for (const name of fleet.owners()) if (name !== FRONT) fleet.kill(name, 500)
      })
      fleet.run(PATIENCE_MS)
      expect(problemsOf(fleet, seed)).to.deep.equal([])
      expect(job.reply, `seed ${seed}`).to.equal('completed')
    }
  })

  it('does not make its job fail while other endpoints are cut off again and again', () => {
    for (const seed of SEEDS) {
      const fleet = warmFleet(seed)
      resetEndpoints(fleet)
      for (let at = 0; at < DISTURBED_MS; at += 60) fleet.time.after(at, () => fleet.submitTasks(FRONT, [LONG, SOUND], PATIENCE_MS))
      fleet.run(DISTURBED_MS + PATIENCE_MS)
      expect(problemsOf(fleet, seed)).to.deep.equal([])
    }
  })
})

describe('a task that crashes its endpoints while others are cut off with resets', function () {
  this.timeout(60_000)

  it('is given up after two crashes', () => {
    for (const seed of SEEDS) {
      const fleet = warmFleet(seed)
      resetEndpoints(fleet)
      const job = fleet.submitTasks(FRONT, [CRASHING, SOUND], PATIENCE_MS)
      fleet.run(DISTURBED_MS + PATIENCE_MS)
      expect(fleet.oracle.crashesOf(`${job.id}.0.0.0`), `seed ${seed}`).to.be.at.most(2)
      expect(job.reply, `seed ${seed}`).to.equal('failed')
      expect(fleet.oracle.violations, `seed ${seed}`).to.deep.equal([])
    }
  })

  it('does not start a third time while the endpoints that it has crashed stay away', () => {
    for (const seed of SEEDS) {
      const fleet = warmFleet(seed)
      fleet.crashedEndpointsReturn = false
      const job = fleet.submitTasks(FRONT, [CRASHING, SOUND], PATIENCE_MS)
      fleet.run(PATIENCE_MS)
      expect(fleet.oracle.crashesOf(`${job.id}.0.0.0`), `seed ${seed}`).to.equal(2)
      expect(fleet.oracle.violations, `seed ${seed}`).to.deep.equal([])
    }
  })
})
