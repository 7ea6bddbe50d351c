import { expect } from 'chai'
import { bucketOf, holdersOf } from '@cranberryyard/core'
import type { CustomerId, RequestId } from '@cranberryyard/protocol'
import { testJob, testKeyHash } from '../memory/workload.js'
import type { MemoryNode } from '../memory/memoryFleet.js'
import { isEnded } from './oracle.js'
import { makeWorld, quiesce } from './runFuzz.js'
import type { World } from './commands.js'

function nodeAt (world: World, i: number): MemoryNode {
  const node = world.fleet.nodes[i]
  if (node === undefined) throw new Error(`no instance ${i}`)
  return node
}

function scheduler (world: World): MemoryNode {
  const node = world.fleet.nodes.find(n => n.core?.routing.isScheduler() === true)
  if (node === undefined) throw new Error('no scheduler')
  return node
}

function die (world: World, node: MemoryNode): void {
  world.oracle.noteDeath(node)
  world.fleet.kill(node)
}

function flood (world: World, customer: string, tasks: number, runMs: number): void {
  world.fleet.nodes.forEach((node, i) => {
    if (node.core === undefined || i % 2 === 1) return
    const job = testJob(customer, `flood-${i}-${Math.round(world.fleet.time.now)}`, 'compute', new Array<number>(tasks).fill(runMs))
    world.fleet.submit(node, testKeyHash(customer), customer, job)
  })
}

describe('traces found by fuzzing', function () {
  this.timeout(60_000)

  it('starts a job once when its forward arrives twice', () => {
    const world = makeWorld(12177)
    Object.assign(world.fleet.links.profile, { doublePerMille: 1000 })
    flood(world, 'alpha', 12, 1500)
    quiesce(world)
  })

  it('places a job once when its forward fails twice', () => {
    const world = makeWorld(16965)
    Object.assign(world.fleet.links.profile, { doublePerMille: 1000 })
    die(world, scheduler(world))
    flood(world, 'alpha', 12, 1500)
    quiesce(world)
  })

  it('keeps to the limit when permit requests overtake each other', () => {
    const world = makeWorld(22827)
    die(world, scheduler(world))
    flood(world, 'alpha', 12, 3706)
    quiesce(world)
  })

  it('does not free the permits that an earlier life of a borrower holds', () => {
    const world = makeWorld(5)
    flood(world, 'alpha', 12, 6000)
    world.fleet.run(800)
    const node = scheduler(world)
    die(world, node)
    world.fleet.start(node)
    flood(world, 'alpha', 12, 6000)
    quiesce(world)
  })

  it('does not count a later life of a claim holder as a source of claims', () => {
    const world = makeWorld(58424)
    const job = testJob('beta', 'again-3', 'serial', [150, 300])
    world.fleet.post(nodeAt(world, 0), { type: 'leave' })
    world.fleet.submit(nodeAt(world, 1), testKeyHash('beta'), 'beta', job)
    world.fleet.run(13)
    const bucket = bucketOf('beta' as CustomerId, 'again-3' as RequestId)
    for (const holder of holdersOf(bucket, world.fleet.storedFleet().claimVoters.entries)) {
      const node = world.fleet.nodes.find(n => holder.startsWith(`${n.id}#`))
      if (node === undefined) continue
      die(world, node)
      world.fleet.start(node)
      world.fleet.run(1168)
    }
    world.fleet.submit(nodeAt(world, 4), testKeyHash('beta'), 'beta', job)
    quiesce(world)
    expect(world.fleet.calls.at(-1)).to.satisfy(isEnded)
  })
})
