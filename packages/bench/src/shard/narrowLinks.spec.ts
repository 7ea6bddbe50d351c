import { expect } from 'chai'
import type { InstanceId } from '@cranberryyard/protocol'
import { largeStateOptions } from './largeStates.js'
import { ShardFleet } from './shardFleet.js'

const TASK = { cpuMilli: 4000, workMs: 40, fails: false }
const INSTANCES = ['a-0', 'a-1', 'a-2', 'b-0', 'b-1', 'b-2'] as InstanceId[]

/** A fleet with a state of 1,000 queues, which takes 3 s over the links of two of its instances, one of which has the strongest processor of its domain. */
function fleetWithNarrowLinks (seed: number): ShardFleet {
  const fleet = new ShardFleet({ domains: ['a', 'b'], instancesPerDomain: 3, endpointsPerDomain: 4, seed, ...largeStateOptions(['a-2', 'b-1']) })
  fleet.run(12_000)
  return fleet
}

describe('a version of the desired state, 2 s after it was published, on a fleet with narrow links', () => {
  for (const seed of [1, 2, 3]) {
    it(`is known to every instance that is asked for a queue which it has added, with seed ${seed}`, () => {
      const fleet = fleetWithNarrowLinks(seed)
      const queueVersion = fleet.addQueue()
      fleet.run(2050)
      for (const name of INSTANCES) fleet.submit(name, 1, TASK, { queueVersion })
      fleet.run(3000)
      expect(fleet.oracle.violations).to.deep.equal([])
      expect(fleet.jobs.map(({ reply }) => reply)).to.deep.equal(INSTANCES.map(() => 'completed'))
    })

    it(`lets no instance run jobs of a queue which it has removed, with seed ${seed}`, () => {
      const fleet = fleetWithNarrowLinks(seed)
      const queueVersion = fleet.addQueue()
      fleet.run(8000)
      fleet.addQueue()
      fleet.addQueue()
      fleet.run(2050)
      for (const name of INSTANCES) fleet.submit(name, 1, TASK, { queueVersion })
      fleet.run(3000)
      expect(fleet.oracle.violations).to.deep.equal([])
      expect(fleet.jobs.map(({ reply }) => reply)).to.deep.equal(INSTANCES.map(() => 'refused'))
    })
  }

  it('is known to instances that were restarted meanwhile', () => {
    const fleet = fleetWithNarrowLinks(4)
    for (const name of ['a-2', 'b-1'] as InstanceId[]) fleet.kill(name, 300)
    fleet.run(300 + 2000)
    expect(['a-2', 'b-1'].map(name => fleet.processes.get(name as InstanceId)?.core.desired.db.version())).to.deep.equal([1, 1])
  })
})
