import { expect } from 'chai'
import { fileURLToPath } from 'node:url'
import { planJobs } from './arrivals.js'
import { objectiveMs, playLoad } from './loadRun.js'
import type { PlayedJob } from './loadRun.js'
import { POLICIES } from './policies.js'
import { playReference } from './reference.js'
import { readShape } from './shape.js'
import type { JobKind, LoadShape } from './shape.js'
import { summarize } from './summary.js'
import type { Summary } from './summary.js'

const SHAPE_FOLDER = new URL('../../../../examples/load/', import.meta.url)
const SEED = 1
/** An owner reassesses waiting jobs each 60 ms, may expect a job to be due later than it is, and up to three owners are asked. */
const REFUSAL_SLACK_MS = 150

const shapeOf = (name: string): LoadShape => readShape(fileURLToPath(new URL(`${name}.toml`, SHAPE_FOLDER)))

function playWithout (name: string, shape: LoadShape): Summary {
  const policy = POLICIES.find(entry => entry.name === name)
  if (policy === undefined) throw new Error(`no policy is named ${name}`)
  const undo = policy.apply()
  try {
    return summarize(playLoad(shape, SEED).jobs)
  } finally {
    undo()
  }
}

/** The jobs that arrived within some seconds of the run. */
const within = (jobs: readonly PlayedJob[], fromS: number, toS: number): PlayedJob[] => jobs.filter(({ planned: { atMs } }) => atMs >= fromS * 1000 && atMs < toS * 1000)

describe('the load player', function () {
  this.timeout(120_000)

  it('gives the same result for the same seed', () => {
    const shape = { ...shapeOf('busy'), durationS: 5 }
    const [first, second] = [playLoad(shape, SEED), playLoad(shape, SEED)].map(run => JSON.stringify(summarize(run.jobs)))
    expect(first).to.equal(second)
  })

  it('rejects a shape with a field that it does not know, and names its line', () => {
    expect(() => readShape(fileURLToPath(new URL('../bantay/entry-1.toml', SHAPE_FOLDER)))).to.throw(/entry-1\.toml:\d+: /)
  })

  it('has a reference that serves nearly everything where the capacity suffices', () => {
    const shape = shapeOf('busy')
    const jobs = planJobs(shape, SEED)
    expect(playReference(shape, jobs).size / jobs.length).to.be.greaterThan(0.95)
  })
})

describe('what callers get', function () {
  this.timeout(120_000)

  it('under a load near the capacity: few late answers and refusals, for every kind and for wide jobs too', () => {
    const run = playLoad(shapeOf('busy'), SEED)
    const { all, byKind, widest } = summarize(run.jobs)
    expect(run.violations).to.deep.equal([])
    expect(all.late + all.refused + all.failed).to.be.below(0.1)
    for (const shares of Object.values(byKind)) expect(shares.value).to.be.greaterThan(0.8)
    for (const [kind, shares] of Object.entries(widest)) expect(shares.onTime + shares.late).to.be.greaterThan((byKind[kind]?.onTime ?? 1) / 2)
  })

  it('in a burst that exceeds the capacity: excess jobs are refused at once and the others served on time, where a queue would make all late', () => {
    const shape = shapeOf('burst')
    const run = playLoad(shape, SEED)
    const { all, byKind, byDomain } = summarize(run.jobs)
    expect(run.violations).to.deep.equal([])
    expect(all.late).to.be.below(0.1)
    expect(all.failed, 'a job that has started gets an outcome').to.be.below(0.005)
    for (const shares of [...Object.values(byKind), ...Object.values(byDomain)]) expect(shares.value).to.be.greaterThan(0.8)
    for (const { planned, latencyMs } of run.jobs.filter(job => job.result === 'refused')) {
      const latestStartMs = objectiveMs(planned) - Math.max(...planned.runMs)
      expect(latencyMs, 'a caller is refused soon after its job can no longer be on time').to.be.below(latestStartMs + REFUSAL_SLACK_MS)
    }
    const afterwards = summarize(within(run.jobs, 15, 30)).all
    expect(afterwards.onTime).to.be.greaterThan(0.95)
    const queueing = playWithout('declines', shape)
    expect(all.value - queueing.all.value).to.be.greaterThan(0.05)
  })

  it('from too little room for seconds: more value with more traffic, most to the most important level, and something to every kind', () => {
    const shape = shapeOf('pairs')
    const atRate = (rate: number): LoadShape => ({ ...shape, durationS: 4, kinds: shape.kinds.map(kind => ({ ...kind, perSecond: kind.perSecond * rate })) })
    const runs = [1, 2.5, 4].map(rate => ({ rate, shape: atRate(rate), run: playLoad(atRate(rate), SEED) }))
    let servedBefore = 0
    for (const { rate, run } of runs) {
      const { all, byKind, widest } = summarize(run.jobs)
      expect(run.violations).to.deep.equal([])
      expect(all.value * rate, 'value served').to.be.at.least(servedBefore)
      servedBefore = all.value * rate
      const shares = Object.entries(byKind).map(([kind, { value }]) => ({ priority: shape.kinds.find(({ name }) => name === kind)?.priority, value }))
      const dearest = shares.find(({ priority }) => priority === 0)?.value ?? 0
      for (const { priority, value } of shares) if (priority !== 0 && rate > 1) expect(dearest).to.be.greaterThan(value)
      for (const { value } of [...shares, ...Object.values(widest)]) expect(value).to.be.greaterThan(0)
    }
    const last = runs.at(-1)
    const leastServed = (summary: Summary): number => Math.min(...Object.values(summary.byKind).map(({ value }) => value))
    expect(leastServed(summarize(last?.run.jobs ?? []))).to.be.greaterThan(leastServed(playWithout('shedding', last?.shape ?? shape)))
  })

  it('from domains smaller than their job: a job that cannot be on time anywhere is served late, not refused each time', () => {
    const busy = shapeOf('busy')
    const kind = { ...busy.kinds[0] as JobKind, perSecond: 3, width: 16, widthSpread: 0.1 }
    const shape: LoadShape = { ...busy, durationS: 10, endpoints: [{ count: 2, cpuMilli: 64_000, speed: 1 }], kinds: [kind] }
    const { late, onTime } = summarize(playLoad(shape, SEED).jobs).all
    expect(late + onTime).to.be.greaterThan(0.5)
    expect(playWithout('late-jobs', shape).all.late).to.equal(0)
  })

  it('after the return of all instances: the backlog does not make the jobs late that arrive afterwards', () => {
    const run = playLoad(shapeOf('return'), SEED)
    expect(run.violations).to.deep.equal([])
    expect(summarize(within(run.jobs, 17, 25)).all.onTime).to.be.greaterThan(0.9)
  })

  it('from instances that restart while the store is down: no refusal for want of a desired state once a peer has one', () => {
    const run = playLoad(shapeOf('outage-restart'), SEED)
    expect(run.violations).to.deep.equal([])
    const refusals = run.fleet.logs.filter(({ event, fields }) => event === 'job.refused' && 'cause' in fields && fields.cause === 'noDesiredState')
    expect(refusals.length / run.jobs.length).to.be.below(0.01)
  })
})
