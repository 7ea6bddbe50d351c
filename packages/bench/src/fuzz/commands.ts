/**
 * Generates the commands of the stateful fuzzer: requests of callers, changes by operators, and faults. Each command
 * acts on a fleet in memory and then has the oracle check it. The commands are separate from the run itself so that a
 * run can draw them in any order and fast-check can shrink a failing sequence.
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

/** Customers of a fuzzed fleet; `running` is the limit on tasks that run at the same time. */
export const FUZZ_CUSTOMERS = [{ name: 'alpha', running: 12 }, { name: 'beta', running: 3 }] as const

/** A fleet in memory with the oracle that checks it. */
export interface SystemUnderTest {
  readonly fleet: MemoryFleet
  readonly oracle: Oracle
}

/** Empty model for fast-check: the oracle keeps the expected state, so commands need none of their own. */
export type Model = Record<string, never>

type Action = (system: SystemUnderTest) => void

class FuzzCommand implements AsyncCommand<Model, SystemUnderTest> {
  constructor (private readonly name: string, private readonly action: Action) {}

  check (): boolean {
    return true
  }

  async run (_model: Model, system: SystemUnderTest): Promise<void> {
    this.action(system)
    system.oracle.check()
  }

  toString (): string {
    return this.name
  }
}

const command = (name: string, action: Action): FuzzCommand => new FuzzCommand(name, action)

const instanceIndex = fc.nat(8)
const domainIndex = fc.nat(2)
const customer = fc.constantFrom(...FUZZ_CUSTOMERS)

function nodeAt (system: SystemUnderTest, i: number): MemoryNode {
  const { nodes } = system.fleet
  const node = nodes[i % nodes.length]
  if (node === undefined) throw codedError('unknownSubmission', `no instance for index ${i}: the fleet has ${nodes.length}`)
  return node
}

const submit = fc.tuple(instanceIndex, customer, fc.boolean(), fc.nat(200), fc.integer({ min: 1, max: 10 }), fc.integer({ min: 20, max: 2500 }))
  .map(([i, c, serial, id, count, runMs]) => command(`submit(${i},${c.name},${serial ? 'serial' : 'compute'},r${id},${count}x${runMs}ms)`, (system) => {
    const node = nodeAt(system, i)
    if (node.core === undefined) return
    const kind = serial ? 'serial' : 'compute'
    const job = testJob(c.name, `${kind}-${id}`, kind, new Array<number>(count).fill(runMs))
    system.fleet.submit(node, testKeyHash(c.name), c.name, job)
  }))

/** Short run times and few request ids, so that a resubmission finds the first submission in every possible state. */
const resubmit = fc.tuple(instanceIndex, instanceIndex, customer, fc.nat(3), fc.integer({ min: 0, max: 800 }))
  .map(([a, b, c, id, gap]) => command(`resubmit(${a},${b},${c.name},s${id},after ${gap}ms)`, (system) => {
    const job = testJob(c.name, `again-${id}`, 'serial', [150, 300])
    const first = nodeAt(system, a)
    if (first.core !== undefined) system.fleet.submit(first, testKeyHash(c.name), c.name, job)
    system.fleet.run(gap)
    const second = nodeAt(system, b)
    if (second.core !== undefined) system.fleet.submit(second, testKeyHash(c.name), c.name, job)
  }))

const cancel = fc.nat(1000).map(n => command(`cancel(${n})`, (system) => {
  const { calls } = system.fleet
  const call = calls[n % Math.max(1, calls.length)]
  const node = call === undefined ? undefined : system.fleet.node(call.instance)
  if (call !== undefined && node !== undefined) system.fleet.cancel(node, testKeyHash(call.customer), call)
}))

const advance = fc.integer({ min: 1, max: 4000 }).map(n => command(`advance(${n}ms)`, system => system.fleet.run(n)))

const kill = instanceIndex.map(i => command(`kill(${i})`, (system) => {
  const node = nodeAt(system, i)
  if (node.core === undefined) return
  system.oracle.noteDeath(node)
  system.fleet.kill(node)
}))

const restart = instanceIndex.map(i => command(`restart(${i})`, (system) => {
  const node = nodeAt(system, i)
  if (node.core !== undefined) {
    system.oracle.noteDeath(node)
    system.fleet.kill(node)
  }
  system.fleet.start(node)
}))

const leave = instanceIndex.map(i => command(`leave(${i})`, system => system.fleet.post(nodeAt(system, i), { type: 'leave' })))

const pause = fc.tuple(instanceIndex, fc.integer({ min: 50, max: 9000 }))
  .map(([i, n]) => command(`pause(${i},${n}ms)`, system => system.fleet.pause(nodeAt(system, i), n)))

const cutDomain = fc.tuple(domainIndex, fc.constantFrom('all', 'peers', 'platform', 'oneWay')).map(([d, scope]) => command(`cut(domain-${d + 1},${scope})`, (system) => {
  const { links } = system.fleet
  const own = `domain-${d + 1}`
  for (const other of ['domain-1', 'domain-2', 'domain-3'].filter(o => o !== own)) {
    if (scope === 'all' || scope === 'peers') links.cut(own, other)
    if (scope === 'oneWay') links.cutOneWay(own, other)
  }
  if (scope === 'all' || scope === 'platform') links.cut(own, PLATFORM)
}))

const heal = fc.constant(command('heal()', system => system.fleet.heal()))

const storeDown = fc.boolean().map(down => command(`storeDown(${down})`, (system) => {
  system.fleet.storeDown = down
}))

const loseStoreReply = fc.constant(command('loseStoreReply()', (system) => {
  system.fleet.loseStoreReplies++
}))

const breakStartConnections = fc.constantFrom(0, 30, 200).map(n => command(`breakStarts(${n}/1000)`, (system) => {
  system.fleet.brokenStartsPerMille = n
}))

const delayStarts = fc.constantFrom(0, 100, 600).map(n => command(`delayStarts(${n}ms)`, (system) => {
  system.fleet.startDelayMs = n
}))

const linkFaults = fc.tuple(fc.constantFrom(0, 20, 200), fc.constantFrom(0, 20, 100), fc.constantFrom(0, 100)).map(([lost, late, double]) => command(`links(lost ${lost}, late ${late}, double ${double} of 1000)`, (system) => {
  Object.assign(system.fleet.links.profile, { lossPerMille: lost, latePerMille: late, doublePerMille: double })
}))

/** Submits enough long tasks at every second instance that demand exceeds the permits of the customer. */
const flood = fc.tuple(customer, fc.integer({ min: 1500, max: 6000 }), fc.nat(1_000_000)).map(([c, runMs, id]) => command(`flood(${c.name},${runMs}ms)`, (system) => {
  system.fleet.nodes.forEach((node, i) => {
    if (node.core === undefined || i % 2 === 1) return
    const job = testJob(c.name, `flood-${id}-${i}-${Math.round(system.fleet.time.now)}`, 'compute', new Array<number>(c.running).fill(runMs))
    system.fleet.submit(node, testKeyHash(c.name), c.name, job)
  })
}))

function schedulerOf (system: SystemUnderTest): MemoryNode | undefined {
  return system.fleet.nodes.find(n => n.core?.routing.isScheduler() === true)
}

const killScheduler = fc.boolean().map(restarts => command(`killScheduler(${restarts ? 'restart' : 'stay down'})`, (system) => {
  const node = schedulerOf(system)
  if (node === undefined) return
  system.oracle.noteDeath(node)
  system.fleet.kill(node)
  if (restarts) system.fleet.start(node)
}))

const pauseScheduler = fc.integer({ min: 500, max: 9000 }).map(n => command(`pauseScheduler(${n}ms)`, (system) => {
  const node = schedulerOf(system)
  if (node !== undefined) system.fleet.pause(node, n)
}))

/** Restarts the instances that hold the claim of a request, one after the other. */
const replaceHolders = fc.tuple(customer, fc.nat(3), fc.integer({ min: 1, max: 3 }), fc.integer({ min: 200, max: 6000 }))
  .map(([c, id, count, gap]) => command(`replaceHolders(${c.name},s${id},${count} every ${gap}ms)`, (system) => {
    const bucket = bucketOf(c.name as CustomerId, `again-${id}` as RequestId)
    const holders = holdersOf(bucket, system.fleet.storedFleet().claimVoters.entries)
    for (const holder of holders.slice(0, count)) {
      const node = system.fleet.nodes.find(n => holder.startsWith(`${n.id}#`))
      if (node === undefined) continue
      system.oracle.noteDeath(node)
      system.fleet.kill(node)
      system.fleet.start(node)
      system.fleet.run(gap)
      system.oracle.check()
    }
  }))

const misbehave = fc.tuple(fc.nat(5), fc.constantFrom('none', 'failsEveryTask', 'straggler', 'hangs', 'refuses') as fc.Arbitrary<'none' | 'hangs'>)
  .map(([e, misbehaviour]) => command(`misbehave(${e},${misbehaviour})`, (system) => {
    const endpoint = system.fleet.endpoints[e]
    if (endpoint !== undefined) endpoint.model.misbehaviour = misbehaviour
  }))

const setLimit = fc.tuple(instanceIndex, customer, fc.integer({ min: 1, max: 24 }), fc.nat(1_000_000)).map(([i, c, running, id]) => command(`setLimit(${i},${c.name},${running})`, (system) => {
  const node = nodeAt(system, i)
  const record = node.core?.contracts.db.fleet.contracts.find(r => r.contract.customer === c.name)
  if (record === undefined) return
  const contract = { ...record.contract, limits: { ...record.contract.limits, running } }
  const changeId = `fuzz-${id}-${Math.round(system.fleet.time.now)}` as ChangeId
  const change = { type: 'contract', contract, expectedRevision: record.revision } as const
  system.fleet.post(node, { type: 'change', callId: changeId, request: { changeId, keyHash: TEAM_KEY_HASH, reason: 'fuzz', change } })
}))

const orderEndpoint = fc.tuple(instanceIndex, fc.nat(5), fc.constantFrom('active', 'draining', 'stopped') as fc.Arbitrary<EndpointOrder>, fc.nat(1_000_000)).map(([i, e, requested, id]) => command(`order(${i},${e},${requested})`, (system) => {
  const endpoint = system.fleet.endpoints[e]?.id ?? '' as EndpointId
  const changeId = `order-${id}-${Math.round(system.fleet.time.now)}` as ChangeId
  const change = { type: 'endpoint', endpoint, order: requested, force: false } as const
  system.fleet.post(nodeAt(system, i), { type: 'change', callId: changeId, request: { changeId, keyHash: TEAM_KEY_HASH, reason: 'fuzz', change } })
}))

/** All commands. A command that is listed several times is drawn more often. */
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
  loseStoreReply,
  breakStartConnections,
  delayStarts,
  linkFaults,
  misbehave,
  setLimit,
  setLimit,
  orderEndpoint
]
