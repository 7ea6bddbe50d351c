import { expect } from 'chai'
import { SHARD_DEFAULTS } from '@cranberryyard/core/shard'
import type { ModelTask } from '@cranberryyard/fakes'
import type { InstanceId, Ms } from '@cranberryyard/protocol'
import { ShardFleet } from './shardFleet.js'

const SEEDS = [1, 2, 3, 4] as const
const FRONT = 'a-2' as InstanceId
/** After this time, the instance with the most processor time owns the shard. */
const SETTLED_MS = 8000
const LOAD_MS = 10_000
const JOBS_PER_S = 60
/** The load fills four fifths of a narrow link on average. */
const NARROW_BYTES_PER_MS = 400
const WIDE_BYTES_PER_MS = 12_500
/** Text of a job, which each start carries. */
const JOB_TEXT = 'x'.repeat(700)
const LATENCY_TARGET_MS = 60
const STRETCH = 1.6

interface Service {
  readonly jobs: number
  readonly inTime: number
  /** Orders that were given up; each of them costs a connection. */
  readonly givenUp: number
}

function playLoad (seed: number, orderTimeoutMaxMs: Ms, bytesPerMs: number): Service {
  const fleet = new ShardFleet({ domains: ['a'], instancesPerDomain: 3, endpointsPerDomain: 40, seed, cfg: { orderTimeoutMaxMs } })
  fleet.run(SETTLED_MS)
  for (const name of fleet.processes.keys()) fleet.narrowLinks.set(name, bytesPerMs)
  const workByJob = new Map<string, number>()
  for (let at = 0; at < LOAD_MS; at += 1000 / JOBS_PER_S) {
    fleet.time.after(at, () => {
      const share = fleet.randomBelow(100)
      const [tasks, workMs] = share < 24 ? [8, 60] : share < 29 ? [4, 900] : [2, 200]
      const task: ModelTask & { readonly text: string } = { cpuMilli: 16_000, workMs, fails: false, text: JOB_TEXT }
      workByJob.set(fleet.submit(FRONT, tasks, task).id, workMs)
    })
  }
  fleet.run(LOAD_MS + 8000)
  expect(fleet.oracle.violations, `seed ${seed}`).to.deep.equal([])
  const inTime = fleet.jobs.filter(({ id, reply, latencyMs = Infinity }) => reply === 'completed' && latencyMs <= STRETCH * (workByJob.get(id) ?? 0) + LATENCY_TARGET_MS).length
  let givenUp = 0
  for (const { core } of fleet.processes.values()) for (const name of ['shard.tasks.startSilent', 'shard.holds.silent'] as const) givenUp += core.ctx.out.counters.get(name) ?? 0
  return { jobs: fleet.jobs.length, inTime, givenUp }
}

/** @returns the service over all seeds */
function playSeeds (orderTimeoutMaxMs: Ms, bytesPerMs: number): Service {
  const plays = SEEDS.map(seed => playLoad(seed, orderTimeoutMaxMs, bytesPerMs))
  const sum = (figure: keyof Service): number => plays.reduce((total, play) => total + play[figure], 0)
  return { jobs: sum('jobs'), inTime: sum('inTime'), givenUp: sum('givenUp') }
}

describe('a narrow link of the owner', () => {
  it('is not filled with orders that were given up too soon', () => {
    const fixed = playSeeds(SHARD_DEFAULTS.orderTimeoutMs, NARROW_BYTES_PER_MS)
    const measured = playSeeds(SHARD_DEFAULTS.orderTimeoutMaxMs, NARROW_BYTES_PER_MS)
    expect(fixed.inTime / fixed.jobs, 'in time with a fixed timeout').to.be.lessThan(0.6)
    expect(measured.inTime / measured.jobs, 'in time').to.be.greaterThan(0.85)
    expect(measured.givenUp, 'orders given up').to.be.lessThan(fixed.givenUp / 20)
  })

  it('changes nothing where links are wide', () => {
    expect(playSeeds(SHARD_DEFAULTS.orderTimeoutMaxMs, WIDE_BYTES_PER_MS)).to.deep.equal(playSeeds(SHARD_DEFAULTS.orderTimeoutMs, WIDE_BYTES_PER_MS))
  })
})
