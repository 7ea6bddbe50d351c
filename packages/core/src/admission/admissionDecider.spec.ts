import { expect } from 'chai'
import type { QueueName, ServiceName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { AdmissionDecider } from './admissionDecider.js'
import { SlotForecast } from './slotForecast.js'
import type { EndpointOutlook } from './slotForecast.js'
import type { AdmissionInput, QueuedWork } from './types.js'

const SERVICE = 's' as ServiceName
const SLOT_CPU_MILLI = 10_000
/** Ten idle endpoints with one slot each. */
const IDLE: readonly EndpointOutlook[] = Array.from({ length: 10 }, () => ({ freeCpuMilli: SLOT_CPU_MILLI, ends: [] }))
/** Ten endpoints with one slot each, which become free one every 20 ms. */
const FULL: readonly EndpointOutlook[] = IDLE.map((_, i) => ({ freeCpuMilli: 0, ends: [{ at: ms(1000 + 20 * (i + 1)), cpuMilli: SLOT_CPU_MILLI }] }))

function makeInput (endpoints: readonly EndpointOutlook[], overrides: Partial<AdmissionInput> = {}): AdmissionInput {
  const now = ms(1000)
  return { now, capacity: { totalCpuMilli: 100_000, freeCpuMilli: 0 }, forecast: (_service, cpuMilli) => new SlotForecast(endpoints, cpuMilli, now), lastChance: false, lateCpuMilli: 0, ...overrides }
}

interface NamedWork extends QueuedWork {
  readonly name: string
}

function makeWork (name: string, overrides: Partial<Omit<QueuedWork, 'waitingWork' | 'hasStarted' | 'demand'>> & { tasks?: number, started?: boolean } = {}): NamedWork {
  const { tasks = 1, started = false, ...times } = overrides
  return {
    name,
    service: SERVICE,
    queue: 'q' as QueueName,
    calledAt: ms(1000),
    width: tasks,
    lastChance: false,
    workAsked: tasks * SLOT_CPU_MILLI * 100,
    priority: 0,
    criticalPathMs: ms(100),
    latestStart: ms(1100),
    usefulUntil: ms(2000),
    mayHaveRun: started,
    admittedLate: false,
    waitingWork: () => tasks * SLOT_CPU_MILLI * 100,
    demand: () => ({ tasks, cpuMilli: SLOT_CPU_MILLI, runMs: 100 }),
    hasStarted: () => started,
    ...times
  }
}

describe('admission', () => {
  it('orders started jobs first, then those still on time by their latest start, then late ones', () => {
    const admission = new AdmissionDecider<NamedWork>()
    const jobs = [
      makeWork('late', { latestStart: ms(950) }),
      makeWork('relaxed', { latestStart: ms(1500) }),
      makeWork('urgent', { latestStart: ms(1050) }),
      makeWork('useless', { latestStart: ms(400), usefulUntil: ms(900), started: true }),
      makeWork('started', { latestStart: ms(910), started: true })
    ]
    for (const job of jobs) admission.db.waiting.add(job)
    expect(admission.inStartOrder(ms(1000)).map(job => job.name)).to.deep.equal(['started', 'urgent', 'relaxed', 'late', 'useless'])
  })

  it('starts the job with the lower priority number first when the latest starts of two jobs are close', () => {
    const admission = new AdmissionDecider<NamedWork>()
    admission.db.waiting.add(makeWork('minor', { priority: 2, latestStart: ms(1100) }))
    admission.db.waiting.add(makeWork('major', { priority: 0, latestStart: ms(1130) }))
    expect(admission.inStartOrder(ms(1000)).map(job => job.name)).to.deep.equal(['major', 'minor'])
  })

  it('declines on arrival a job that cannot be on time behind the jobs ahead of it, and gives a retry delay', () => {
    const admission = new AdmissionDecider<NamedWork>()
    for (let i = 0; i < 20; i++) admission.db.waiting.add(makeWork(`ahead ${i}`))
    const verdict = admission.decide(makeWork('new', { latestStart: ms(1150) }), makeInput(IDLE))
    expect(verdict.type).to.equal('decline')
    if (verdict.type === 'decline') expect(verdict.retryAfterMs).to.be.within(1000, 5000)
  })

  it('counts the runs in progress: a full shard with an empty queue has no slot yet', () => {
    const admission = new AdmissionDecider<NamedWork>()
    expect(admission.decide(makeWork('narrow', { tasks: 2, latestStart: ms(1050) }), makeInput(FULL))).to.deep.equal({ type: 'admit', late: false, displaced: [] })
    expect(admission.decide(makeWork('wide', { tasks: 8, latestStart: ms(1050) }), makeInput(FULL)).type).to.equal('decline')
  })

  it('admits a job that can only be late where no other shard is left, while late jobs occupy little of this one', () => {
    const admission = new AdmissionDecider<NamedWork>()
    const wide = makeWork('wide', { tasks: 20, latestStart: ms(1050) })
    expect(admission.decide(wide, makeInput(IDLE)).type).to.equal('decline')
    expect(admission.decide(wide, makeInput(IDLE, { lastChance: true }))).to.deep.equal({ type: 'admit', late: true, displaced: [] })
    expect(admission.decide(wide, makeInput(IDLE, { lastChance: true, lateCpuMilli: 50_000 })).type).to.equal('decline')
  })

  it('does not count the jobs of another service, which run on other endpoints', () => {
    const admission = new AdmissionDecider<NamedWork>()
    for (let i = 0; i < 100; i++) admission.db.waiting.add(makeWork(`other ${i}`, { service: 'other' as ServiceName, latestStart: ms(1050) }))
    expect(admission.decide(makeWork('new'), makeInput(IDLE))).to.deep.equal({ type: 'admit', late: false, displaced: [] })
    admission.db.waiting.add(makeWork('waits'))
    expect(admission.jobsToDecline(makeInput(IDLE)).map(({ job }) => job.name)).not.to.include('waits')
  })

  it('declines only the jobs of a burst that exceed the capacity, and never a job that may have run', () => {
    const admission = new AdmissionDecider<NamedWork>()
    // A start is on time until 1700, so seven rounds of ten jobs, which take 100 ms each, start in time, and the margin allows no eighth.
    for (let i = 0; i < 100; i++) admission.db.waiting.add(makeWork(`burst ${i}`, { latestStart: ms(1650) }))
    admission.db.waiting.add(makeWork('has run', { mayHaveRun: true, latestStart: ms(4999), criticalPathMs: ms(1) }))
    const declined = admission.jobsToDecline(makeInput(IDLE)).map(({ job }) => job.name)
    expect(declined).to.have.length(30)
    expect(declined).not.to.include('has run')
  })

  it('declines a job that was admitted late and has not started, since others would overtake it until it is of no use', () => {
    const admission = new AdmissionDecider<NamedWork>()
    admission.db.waiting.add(makeWork('late', { admittedLate: true, latestStart: ms(950) }))
    admission.db.waiting.add(makeWork('started late', { admittedLate: true, latestStart: ms(950), started: true }))
    expect(admission.jobsToDecline(makeInput(IDLE)).map(({ job }) => job.name)).to.deep.equal(['late'])
  })

  it('admits no job late while another job waits for room', () => {
    const admission = new AdmissionDecider<NamedWork>()
    admission.db.waiting.add(makeWork('ahead'))
    expect(admission.decide(makeWork('wide', { tasks: 20, latestStart: ms(1050) }), makeInput(IDLE, { lastChance: true })).type).to.equal('decline')
  })

  it('admits a job that can finish on time', () => {
    const admission = new AdmissionDecider<NamedWork>()
    for (let i = 0; i < 10; i++) admission.db.waiting.add(makeWork(`ahead ${i}`))
    expect(admission.decide(makeWork('new', { latestStart: ms(1200) }), makeInput(IDLE)).type).to.equal('admit')
  })
})
