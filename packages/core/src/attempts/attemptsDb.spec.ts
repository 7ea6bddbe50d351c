import { expect } from 'chai'
import type { AttemptFault, JobId, TaskName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { AttemptsDb } from './attemptsDb.js'

const CRASHED_JOB = 'crashed' as JobId
/** Runs at a rack of 20 endpoints at the size of the two-year target, and at a failure domain of 560 of them. */
const RUNS_OF_A_RACK = 700
const RUNS_OF_A_DOMAIN = 20_000

/** Records one fault at a task of each of many jobs. */
function recordJobs (db: AttemptsDb, jobs: number, fault: AttemptFault, tasksOfAJob = 1): void {
  for (let i = 0; i < jobs; i++) {
    for (let task = 0; task < tasksOfAJob; task++) db.add(`${fault}${i}.0.0.${task}` as TaskName, 'e#1', fault, ms(0))
  }
}

const attemptsIn = (db: AttemptsDb): number => [...db.jobIds()].flatMap(id => db.ofJob(id)).reduce((sum, { attempts }) => sum + attempts.length, 0)

describe('the attempts that an instance keeps', () => {
  it('do not lose a crash when a whole failure domain falls silent afterwards', () => {
    const db = new AttemptsDb()
    db.add(`${CRASHED_JOB}.0.0.0` as TaskName, 'e#1', 'crashed', ms(0))
    recordJobs(db, RUNS_OF_A_DOMAIN, 'silent')
    expect(db.has(CRASHED_JOB)).to.equal(true)
  })

  it('do not lose a crash when two racks crash afterwards', () => {
    const db = new AttemptsDb()
    db.add(`${CRASHED_JOB}.0.0.0` as TaskName, 'e#1', 'crashed', ms(0))
    recordJobs(db, RUNS_OF_A_RACK * 2, 'crashed')
    expect(db.has(CRASHED_JOB)).to.equal(true)
  })

  it('are bounded in number, also when jobs of 340 tasks lose all of them', () => {
    const db = new AttemptsDb()
    recordJobs(db, 200, 'crashed', 340)
    expect(attemptsIn(db)).to.be.within(RUNS_OF_A_RACK * 2, 10_000)
  })
})
