import { expect } from 'chai'
import type { InstanceId, JobId } from '@cranberryyard/protocol'
import { playMovedJobs } from './movedJobs.js'
import { replaceMethod, sampleInstance as sample } from './patches.js'
import type { Method, Undo } from './patches.js'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]

function violationsOf (seed: number): string[] {
  return playMovedJobs(seed).oracle.violations.map(({ rule, at, detail }) => `seed ${seed}: ${rule} at ${Math.round(at)}: ${detail}`)
}

/** A front takes a job elsewhere of which the owner may have taken an earlier copy. */
function moveResumedJobs (): Undo {
  return replaceMethod(sample.intake, 'jobUnknownAtOwner', original => function (this: typeof sample.intake, ...args) {
    const [id, from, failureDomain, attempt] = args as unknown as [JobId, InstanceId, string, number | undefined]
    const job = this.db.jobs.get(id)
    const isLatest = job?.location.type === 'atOwner' && job.location.owner === from && (attempt ?? job.attempt) === job.attempt
    if (!isLatest || !(this as unknown as { moveElsewhere: Method }).moveElsewhere(...[job, failureDomain] as never[])) original.apply(this, args)
  })
}

/** An owner declines jobs of which an earlier owner, or itself, may have started tasks. */
function declineResumedJobs (): Undo {
  return replaceMethod(sample.execution, 'accept', original => function (this: typeof sample.execution, ...args) {
    const [job] = args as unknown as [{ mayHaveRun: boolean }]
    job.mayHaveRun = false
    return original.apply(this, args)
  })
}

/** An owner releases the rest of a job from an evacuated domain while tasks of it run there. */
function releaseRunningJobs (): Undo {
  const { adoption } = sample.execution as unknown as { adoption: object }
  let isReleasing = false
  const undoRuns = replaceMethod(adoption, 'hasRuns', original => function (this: object, ...args) {
    return !isReleasing && original.apply(this, args)
  })
  const undoRelease = replaceMethod(sample.execution, 'leaveEvacuatedDomains', original => function (this: typeof sample.execution, ...args) {
    isReleasing = true
    original.apply(this, args)
    isReleasing = false
  })
  return () => {
    undoRuns()
    undoRelease()
  }
}

describe('a job that moves between failure domains', () => {
  it('starts in none while it may run in another, in whatever order the messages about it arrive', () => {
    expect(SEEDS.flatMap(violationsOf)).to.deep.equal([])
  })

  for (const [name, apply, breaks] of [
    ['its front takes it elsewhere although the owner may have taken a copy of it', moveResumedJobs, 'TWICE'],
    ['its owner declines it although an earlier owner may have started it', declineResumedJobs, 'REFUSED'],
    ['its owner releases it although tasks of it run', releaseRunningJobs, 'TWICE']
  ] as const) {
    it(`starts where it must not if ${name}`, () => {
      const undo = apply()
      try {
        expect(SEEDS.some(seed => violationsOf(seed).join().includes(breaks))).to.equal(true)
      } finally {
        undo()
      }
    })
  }
})
