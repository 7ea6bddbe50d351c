/**
 * Commands of the stateful fuzzer: callers' requests, operators' changes and faults, as fast-check generates them.
 */
import fc from 'fast-check'
import type { AsyncCommand } from 'fast-check'
import { bucketOf, holdersOf } from '@cranberryyard/core'
import type { ChangeId, CustomerId, EndpointId, EndpointOrder, RequestId } from '@cranberryyard/protocol'
import { codedError } from '@cranberryyard/protocol'
import type { MemoryFleet, MemoryNode } from '../memory/memoryFleet.js'
import { PLATFORM } from '../memory/link.js'
import { TEAM_KEY_HASH, testJob, testKeyHash } from '../memory/workload.js'
import type { Oracle } from './oracle.js'

/** Customers of fuzzed fleets, with their limits. */
export const FUZZ_CUSTOMERS = [{ name: 'alpha', running: 12 }, { name: 'beta', running: 3 }] as const

/** The system under test with its oracle. */
export interface World {
  readonly fleet: MemoryFleet
  readonly oracle: Oracle
}

/** The oracle holds the model; commands need no state of their own. */
export type Model = Record<string, never>

type Act = (world: World) => void

class FuzzCommand implements AsyncCommand<Model, World> {
  constructor (private readonly name: string, private readonly act: Act) {}

  check (): boolean {
    return true
  }

  async run (_model: Model, world: World): Promise<void> {
    this.act(world)
    world.oracle.check()
  }

  toString (): string {
    return this.name
  }
}

const command = (name: string, act: Act): FuzzCommand => new FuzzCommand(name, act)

const index = fc.nat(8)
const domain = fc.nat(2)
const customer = fc.constantFrom(...FUZZ_CUSTOMERS)

function nodeAt (world: World, i: number): MemoryNode {
  const { nodes } = world.fleet
  const node = nodes[i % nodes.length]
  if (node === undefined) throw codedError('unknownSubmission', 'no instance')
  return node
}

const submit = fc.tuple(index, customer, fc.boolean(), fc.nat(200), fc.integer({ min: 1, max: 10 }), fc.integer({ min: 20, max: 2500 }))
  .map(([i, c, serial, id, count, runMs]) => command(`submit(${i},${c.name},${serial ? 'serial' : 'compute'},r${id},${count}x${runMs}ms)`, (world) => {
    const node = nodeAt(world, i)
    if (node.core === undefined) return
    const kind = serial ? 'serial' : 'compute'
    const job = testJob(c.name, `${kind}-${id}`, kind, new Array<number>(count).fill(runMs))
    world.fleet.submit(node, testKeyHash(c.name), c.name, job)
  }))

/** Small run times and few ids, so that resubmissions meet their first submission in every state. */
const resubmit = fc.tuple(index, index, customer, fc.nat(3), fc.integer({ min: 0, max: 800 }))
  .map(([a, b, c, id, gap]) => command(`resubmit(${a},${b},${c.name},s${id},after ${gap}ms)`, (world) => {
    const job = testJob(c.name, `again-${id}`, 'serial', [150, 300])
    const first = nodeAt(world, a)
    if (first.core !== undefined) world.fleet.submit(first, testKeyHash(c.name), c.name, job)
    world.fleet.run(gap)
    const second = nodeAt(world, b)
    if (second.core !== undefined) world.fleet.submit(second, testKeyHash(c.name), c.name, job)
  }))

const cancel = fc.nat(1000).map(n => command(`cancel(${n})`, (world) => {
  const { calls } = world.fleet
  const call = calls[n % Math.max(1, calls.length)]
  const node = call === undefined ? undefined : world.fleet.node(call.instance)
  if (call !== undefined && node !== undefined) world.fleet.cancel(node, testKeyHash(call.customer), call)
}))

const advance = fc.integer({ min: 1, max: 4000 }).map(n => command(`advance(${n}ms)`, world => world.fleet.run(n)))

const kill = index.map(i => command(`kill(${i})`, (world) => {
  const node = nodeAt(world, i)
  if (node.core === undefined) return
  world.oracle.noteDeath(node)
  world.fleet.kill(node)
}))

const restart = index.map(i => command(`restart(${i})`, (world) => {
  const node = nodeAt(world, i)
  if (node.core !== undefined) {
    world.oracle.noteDeath(node)
    world.fleet.kill(node)
  }
  world.fleet.start(node)
}))

const leave = index.map(i => command(`leave(${i})`, world => world.fleet.post(nodeAt(world, i), { type: 'leave' })))

const pause = fc.tuple(index, fc.integer({ min: 50, max: 9000 }))
  .map(([i, n]) => command(`pause(${i},${n}ms)`, world => world.fleet.pause(nodeAt(world, i), n)))

const cutDomain = fc.tuple(domain, fc.constantFrom('all', 'peers', 'platform', 'oneWay')).map(([d, how]) => command(`cut(domain-${d + 1},${how})`, (world) => {
  const { links } = world.fleet
  const own = `domain-${d + 1}`
  for (const other of ['domain-1', 'domain-2', 'domain-3'].filter(o => o !== own)) {
    if (how === 'all' || how === 'peers') links.cut(own, other)
    if (how === 'oneWay') links.cutOneWay(own, other)
  }
  if (how === 'all' || how === 'platform') links.cut(own, PLATFORM)
}))

const heal = fc.constant(command('heal()', world => world.fleet.heal()))

const storeDown = fc.boolean().map(down => command(`storeDown(${down})`, (world) => {
  world.fleet.storeDown = down
}))

const loseReply = fc.constant(command('loseStoreReply()', (world) => {
  world.fleet.loseStoreReplies++
}))

const breakStarts = fc.constantFrom(0, 30, 200).map(n => command(`breakStarts(${n}/1000)`, (world) => {
  world.fleet.brokenStartsPerMille = n
}))

const delayStarts = fc.constantFrom(0, 100, 600).map(n => command(`delayStarts(${n}ms)`, (world) => {
  world.fleet.startDelayMs = n
}))

const loss = fc.tuple(fc.constantFrom(0, 20, 200), fc.constantFrom(0, 20, 100), fc.constantFrom(0, 100)).map(([lost, late, double]) => command(`links(lost ${lost}, late ${late}, double ${double} of 1000)`, (world) => {
  Object.assign(world.fleet.links.profile, { lossPerMille: lost, latePerMille: late, doublePerMille: double })
}))

/** Enough long tasks at several instances that every permit is wanted. */
const flood = fc.tuple(customer, fc.integer({ min: 1500, max: 6000 }), fc.nat(1_000_000)).map(([c, runMs, id]) => command(`flood(${c.name},${runMs}ms)`, (world) => {
  world.fleet.nodes.forEach((node, i) => {
    if (node.core === undefined || i % 2 === 1) return
    const job = testJob(c.name, `flood-${id}-${i}-${Math.round(world.fleet.time.now)}`, 'compute', new Array<number>(c.running).fill(runMs))
    world.fleet.submit(node, testKeyHash(c.name), c.name, job)
  })
}))

function schedulerOf (world: World): MemoryNode | undefined {
  return world.fleet.nodes.find(n => n.core?.routing.isScheduler() === true)
}

const killScheduler = fc.boolean().map(again => command(`killScheduler(${again ? 'restart' : 'stay down'})`, (world) => {
  const node = schedulerOf(world)
  if (node === undefined) return
  world.oracle.noteDeath(node)
  world.fleet.kill(node)
  if (again) world.fleet.start(node)
}))

const pauseScheduler = fc.integer({ min: 500, max: 9000 }).map(n => command(`pauseScheduler(${n}ms)`, (world) => {
  const node = schedulerOf(world)
  if (node !== undefined) world.fleet.pause(node, n)
}))

/** Replaces the claim holders of a request one after the other. */
const replaceHolders = fc.tuple(customer, fc.nat(3), fc.integer({ min: 1, max: 3 }), fc.integer({ min: 200, max: 6000 }))
  .map(([c, id, count, gap]) => command(`replaceHolders(${c.name},s${id},${count} every ${gap}ms)`, (world) => {
    const bucket = bucketOf(c.name as CustomerId, `again-${id}` as RequestId)
    const holders = holdersOf(bucket, world.fleet.storedFleet().claimVoters.entries)
    for (const holder of holders.slice(0, count)) {
      const node = world.fleet.nodes.find(n => holder.startsWith(`${n.id}#`))
      if (node === undefined) continue
      world.oracle.noteDeath(node)
      world.fleet.kill(node)
      world.fleet.start(node)
      world.fleet.run(gap)
      world.oracle.check()
    }
  }))

const misbehave = fc.tuple(fc.nat(5), fc.constantFrom('none', 'failsEveryTask', 'straggler', 'hangs', 'refuses') as fc.Arbitrary<'none' | 'hangs'>)
  .map(([e, as]) => command(`misbehave(${e},${as})`, (world) => {
    const endpoint = world.fleet.endpoints[e]
    if (endpoint !== undefined) endpoint.model.misbehaviour = as
  }))

const setLimit = fc.tuple(index, customer, fc.integer({ min: 1, max: 24 }), fc.nat(1_000_000)).map(([i, c, running, id]) => command(`setLimit(${i},${c.name},${running})`, (world) => {
  const node = nodeAt(world, i)
  const record = node.core?.contracts.db.fleet.contracts.find(r => r.contract.customer === c.name)
  if (record === undefined) return
  const contract = { ...record.contract, limits: { ...record.contract.limits, running } }
  const changeId = `fuzz-${id}-${Math.round(world.fleet.time.now)}` as ChangeId
  const change = { type: 'contract', contract, expectedRevision: record.revision } as const
  world.fleet.post(node, { type: 'change', callId: changeId, request: { changeId, keyHash: TEAM_KEY_HASH, reason: 'fuzz', change } })
}))

const order = fc.tuple(index, fc.nat(5), fc.constantFrom('active', 'draining', 'stopped') as fc.Arbitrary<EndpointOrder>, fc.nat(1_000_000)).map(([i, e, what, id]) => command(`order(${i},${e},${what})`, (world) => {
  const endpoint = world.fleet.endpoints[e]?.id ?? '' as EndpointId
  const changeId = `order-${id}-${Math.round(world.fleet.time.now)}` as ChangeId
  const change = { type: 'endpoint', endpoint, order: what, force: false } as const
  world.fleet.post(nodeAt(world, i), { type: 'change', callId: changeId, request: { changeId, keyHash: TEAM_KEY_HASH, reason: 'fuzz', change } })
}))

/** All commands, the frequent ones repeated. */
export const COMMANDS = [
  submit,
  submit,
  submit,
  submit,
  resubmit,
  resubmit,
  cancel,
  advance,
  advance,
  advance,
  kill,
  restart,
  restart,
  leave,
  pause,
  pauseScheduler,
  killScheduler,
  flood,
  flood,
  flood,
  replaceHolders,
  replaceHolders,
  cutDomain,
  cutDomain,
  heal,
  heal,
  storeDown,
  loseReply,
  breakStarts,
  delayStarts,
  loss,
  misbehave,
  setLimit,
  setLimit,
  order
]
