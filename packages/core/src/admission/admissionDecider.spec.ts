import { expect } from 'chai'
import { ms } from '@cranberryyard/protocol'
import { AdmissionDecider } from './admissionDecider.js'
import type { QueuedWork } from './types.js'

const CAPACITY = { totalCpuMilli: 100_000, freeCpuMilli: 0 }

interface NamedWork extends QueuedWork {
  readonly name: string
}

function makeWork (name: string, overrides: Partial<Omit<QueuedWork, 'waitingWork' | 'hasStarted'>> & { work?: number, started?: boolean } = {}): NamedWork {
  const { work: waiting = 1_000_000, started = false, ...times } = overrides
  return { name, priority: 0, criticalPathMs: ms(100), onTimeUntil: ms(1200), usefulUntil: ms(2000), mayHaveRun: started, waitingWork: () => waiting, hasStarted: () => started, ...times }
}

describe('admission', () => {
  it('orders started jobs first, then those still on time by their latest start, then late ones', () => {
    const admission = new AdmissionDecider<NamedWork>()
    const jobs = [
      makeWork('late', { onTimeUntil: ms(1050) }),
      makeWork('relaxed', { onTimeUntil: ms(1600) }),
      makeWork('urgent', { onTimeUntil: ms(1150) }),
      makeWork('useless', { onTimeUntil: ms(500), usefulUntil: ms(900), started: true }),
      makeWork('started', { onTimeUntil: ms(1010), started: true })
    ]
    for (const job of jobs) admission.db.waiting.add(job)
    expect(admission.inStartOrder(ms(1000)).map(job => job.name)).to.deep.equal(['started', 'urgent', 'relaxed', 'late', 'useless'])
  })

  it('starts the job with the lower priority number first when the latest starts of two jobs are close', () => {
    const admission = new AdmissionDecider<NamedWork>()
    admission.db.waiting.add(makeWork('minor', { priority: 2, onTimeUntil: ms(1200) }))
    admission.db.waiting.add(makeWork('major', { priority: 0, onTimeUntil: ms(1230) }))
    expect(admission.inStartOrder(ms(1000)).map(job => job.name)).to.deep.equal(['major', 'minor'])
  })

  it('declines on arrival a job that cannot finish while it is useful, and gives a retry delay', () => {
    const admission = new AdmissionDecider<NamedWork>()
    for (let i = 0; i < 100; i++) admission.db.waiting.add(makeWork(`ahead ${i}`))
    const verdict = admission.decide(makeWork('new', { onTimeUntil: ms(1300) }), CAPACITY, ms(1000))
    expect(verdict.type).to.equal('decline')
    if (verdict.type === 'decline') expect(verdict.retryAfterMs).to.be.within(1000, 5000)
  })

  it('declines only the jobs of a burst that exceed the capacity, and never a job that may have run', () => {
    const admission = new AdmissionDecider<NamedWork>()
    // Each job occupies the usable capacity for 11.8 ms, so the work of 76 of them fits into the 900 ms within which a start is still useful.
    for (let i = 0; i < 100; i++) admission.db.waiting.add(makeWork(`burst ${i}`))
    admission.db.waiting.add(makeWork('has run', { mayHaveRun: true, onTimeUntil: ms(5000), criticalPathMs: ms(1) }))
    const declined = admission.jobsToDecline(CAPACITY, ms(1000)).map(job => job.name)
    expect(declined.length).to.be.within(20, 30)
    expect(declined).not.to.include('has run')
  })

  it('admits a job that can finish while it is useful', () => {
    const admission = new AdmissionDecider<NamedWork>()
    for (let i = 0; i < 10; i++) admission.db.waiting.add(makeWork(`ahead ${i}`))
    expect(admission.decide(makeWork('new', { onTimeUntil: ms(1300) }), CAPACITY, ms(1000)).type).to.equal('admit')
  })
})
