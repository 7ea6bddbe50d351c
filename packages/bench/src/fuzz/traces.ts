/**
 * Short traces that each provoke one kind of failure: those that fuzzing found, and those that a mutation of core
 * would need. Every trace must end without a broken promise.
 */
import { bucketOf, holdersOf } from '@cranberryyard/core'
import type { ChangeId, CustomerId, RequestId } from '@cranberryyard/protocol'
import type { MemoryNode } from '../memory/memoryFleet.js'
import { TEAM_KEY_HASH, testJob, testKeyHash } from '../memory/workload.js'
import { SCHEDULING_MODES, makeWorld, quiesce } from './runFuzz.js'
import type { SchedulingMode } from './runFuzz.js'
import type { World } from './commands.js'

/** One trace. */
export interface Trace {
  readonly name: string
  readonly run: () => void
}

function nodeAt (world: World, i: number): MemoryNode {
  const node = world.fleet.nodes[i]
  if (node === undefined) throw new Error(`no instance ${i}`)
  return node
}

function schedulerOf (world: World): MemoryNode {
  const node = world.fleet.nodes.find(n => n.core?.routing.isScheduler() === true)
  if (node === undefined) throw new Error('no scheduler')
  return node
}

function die (world: World, node: MemoryNode): void {
  world.oracle.noteDeath(node)
  world.fleet.kill(node)
}

function restart (world: World, node: MemoryNode): void {
  die(world, node)
  world.fleet.start(node)
}

function flood (world: World, customer: string, tasks: number, runMs: number): void {
  world.fleet.nodes.forEach((node, i) => {
    if (node.core === undefined || i % 2 === 1) return
    const job = testJob(customer, `flood-${i}-${Math.round(world.fleet.time.now)}`, 'compute', new Array<number>(tasks).fill(runMs))
    world.fleet.submit(node, testKeyHash(customer), customer, job)
  })
}

/** Floods again and again, so that every permit that comes free is taken at once. */
function keepFlooding (world: World, customer: string, tasks: number, runMs: number, forMs: number): void {
  for (let t = 0; t < forMs; t += 500) {
    flood(world, customer, tasks, runMs)
    world.fleet.run(500)
    world.oracle.check()
  }
}

function serialJob (requestId: string): ReturnType<typeof testJob> {
  return testJob('beta', requestId, 'serial', [150, 300])
}

function submitSerial (world: World, i: number, requestId: string): void {
  const node = nodeAt(world, i)
  if (node.core !== undefined) world.fleet.submit(node, testKeyHash('beta'), 'beta', serialJob(requestId))
}

function holderNodes (world: World, requestId: string): MemoryNode[] {
  const bucket = bucketOf('beta' as CustomerId, requestId as RequestId)
  const holders = holdersOf(bucket, world.fleet.storedFleet().claimVoters.entries)
  return holders.flatMap(h => world.fleet.nodes.filter(n => h.startsWith(`${n.id}#`)))
}

function replaceHolders (world: World, requestId: string, gapMs: number): void {
  for (const node of holderNodes(world, requestId)) {
    restart(world, node)
    world.fleet.run(gapMs)
  }
}

function setLimit (world: World, i: number, customer: string, running: number): void {
  const node = nodeAt(world, i)
  const record = node.core?.contracts.db.fleet.contracts.find(r => r.contract.customer === customer)
  if (record === undefined) return
  const contract = { ...record.contract, limits: { ...record.contract.limits, running } }
  const changeId = `trace-${Math.round(world.fleet.time.now)}` as ChangeId
  const change = { type: 'contract', contract, expectedRevision: record.revision } as const
  world.fleet.post(node, { type: 'change', callId: changeId, request: { changeId, keyHash: TEAM_KEY_HASH, reason: 'trace', change } })
}

interface TraceScript {
  readonly name: string
  readonly seed: number
  readonly act: (world: World) => void
}

function trace (name: string, seed: number, act: (world: World) => void): TraceScript {
  return { name, seed, act }
}

function inMode ({ name, seed, act }: TraceScript, mode: SchedulingMode): Trace {
  return {
    name: `${name}; scheduling: ${mode}`,
    run: () => {
      const world = makeWorld(seed, mode)
      act(world)
      quiesce(world)
    }
  }
}

const SCRIPTS: readonly TraceScript[] = [
  trace('a forward arrives twice', 12177, (world) => {
    Object.assign(world.fleet.links.profile, { doublePerMille: 1000 })
    flood(world, 'alpha', 12, 1500)
  }),
  trace('a forward to a dead scheduler fails twice', 16965, (world) => {
    Object.assign(world.fleet.links.profile, { doublePerMille: 1000 })
    die(world, schedulerOf(world))
    flood(world, 'alpha', 12, 1500)
  }),
  trace('permit requests overtake each other', 22827, (world) => {
    die(world, schedulerOf(world))
    flood(world, 'alpha', 12, 3706)
  }),
  trace('a borrower is restarted while its earlier life\'s tasks run', 5, (world) => {
    flood(world, 'alpha', 12, 6000)
    world.fleet.run(800)
    restart(world, schedulerOf(world))
    flood(world, 'alpha', 12, 6000)
  }),
  trace('a claim\'s three holders are restarted within seconds', 58424, (world) => {
    world.fleet.post(nodeAt(world, 0), { type: 'leave' })
    submitSerial(world, 1, 'again-3')
    world.fleet.run(13)
    replaceHolders(world, 'again-3', 1168)
    submitSerial(world, 4, 'again-3')
  }),
  trace('a claim\'s three holders are replaced one after the other', 3, (world) => {
    for (let i = 0; i < 6; i++) {
      submitSerial(world, i % 9, `again-${i}`)
      world.fleet.run(700)
      replaceHolders(world, `again-${i}`, 4000)
      for (const at of [2, 5, 8]) submitSerial(world, at, `again-${i}`)
      world.fleet.run(1500)
      world.oracle.check()
    }
  }),
  trace('a claim is taken at both sides of a cut', 17, (world) => {
    for (let i = 0; i < 40; i++) {
      world.fleet.links.cut('domain-1', 'domain-2')
      world.fleet.links.cut('domain-1', 'domain-3')
      submitSerial(world, 0, `split-${i}`)
      submitSerial(world, 8, `split-${i}`)
      world.fleet.run(60)
      world.fleet.heal()
      world.fleet.run(600)
    }
  }),
  trace('the scheduler dies with every permit in use', 8, (world) => {
    for (let i = 0; i < 4; i++) {
      keepFlooding(world, 'alpha', 12, 5000, 2500)
      const node = schedulerOf(world)
      die(world, node)
      keepFlooding(world, 'alpha', 12, 5000, 9000)
      world.fleet.start(node)
      world.fleet.run(3000)
    }
  }),
  trace('the scheduler dies just after it renewed its tasks\' leases', 8, (world) => {
    keepFlooding(world, 'alpha', 12, 5000, 1000)
    world.fleet.run(80)
    die(world, schedulerOf(world))
    keepFlooding(world, 'alpha', 12, 5000, 8000)
  }),
  trace('a scheduler is restarted while a front asks what became of its job', 18, (world) => {
    const scheduler = schedulerOf(world)
    for (let i = 0; i < 12; i++) {
      flood(world, 'alpha', 4, 400)
      world.fleet.run(150)
    }
    restart(world, scheduler)
    for (const node of world.fleet.nodes) world.fleet.post(node, { type: 'linkDown', peer: scheduler.id })
    world.fleet.run(4000)
  }),
  trace('instances of one domain die one after the other under load', 9, (world) => {
    for (const i of [3, 4, 6, 7]) {
      keepFlooding(world, 'alpha', 12, 2900, 2000)
      die(world, nodeAt(world, i))
      keepFlooding(world, 'alpha', 12, 2900, 7000)
    }
  }),
  trace('the scheduler is frozen past its removal and comes back', 10, (world) => {
    for (const pauseMs of [2500, 5500, 8000]) {
      keepFlooding(world, 'alpha', 24, 900, 2000)
      world.fleet.pause(schedulerOf(world), pauseMs)
      keepFlooding(world, 'alpha', 24, 900, pauseMs + 4000)
    }
  }),
  trace('one instance cannot be heard, but hears and works on', 14, (world) => {
    const isolated = schedulerOf(world)
    keepFlooding(world, 'alpha', 24, 700, 2000)
    world.fleet.silence(isolated)
    keepFlooding(world, 'alpha', 24, 700, 14_000)
  }),
  trace('connections break while tasks run', 11, (world) => {
    world.fleet.brokenStartsPerMille = 300
    keepFlooding(world, 'alpha', 12, 2500, 12_000)
  }),
  trace('starts are late on their way', 12, (world) => {
    world.fleet.startDelayMs = 400
    keepFlooding(world, 'alpha', 12, 1200, 8000)
  }),
  trace('a limit goes up and down under load while domains are cut', 13, (world) => {
    for (const [i, running] of [24, 4, 18, 2, 20].entries()) {
      if (i % 2 === 1) world.fleet.links.cut('domain-2', 'domain-1')
      setLimit(world, i, 'alpha', running)
      keepFlooding(world, 'alpha', 24, 1500, 4000)
      world.fleet.heal()
    }
  }),
  trace('an old fleet value arrives after a newer one', 15, (world) => {
    Object.assign(world.fleet.links.profile, { latePerMille: 400, doublePerMille: 300 })
    for (let i = 0; i < 14; i++) {
      setLimit(world, i % 9, 'alpha', 5 + i)
      world.fleet.run(400)
      world.oracle.check()
    }
  }),
  trace('the scheduler dies and its jobs\' ends are unknown', 16, (world) => {
    flood(world, 'alpha', 12, 900)
    world.fleet.run(300)
    die(world, schedulerOf(world))
    world.fleet.run(6000)
  })
]

/** All traces, in every mode of scheduling. */
export const TRACES: readonly Trace[] = SCHEDULING_MODES.flatMap(mode => SCRIPTS.map(script => inMode(script, mode)))
