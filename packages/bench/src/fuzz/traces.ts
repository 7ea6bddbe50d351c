/**
 * Short fixed command sequences that each provoke one kind of failure. Fuzzing found some of them; others
 * are needed to catch a mutation of core. Every trace must end without a violated invariant. The mutations
 * refer to traces by name.
 */
import { bucketOf, holdersOf } from '@cranberryyard/core'
import type { ChangeId, CustomerId, RequestId } from '@cranberryyard/protocol'
import type { MemoryNode } from '../memory/memoryFleet.js'
import { TEAM_KEY_HASH, testJob, testKeyHash } from '../memory/workload.js'
import { SCHEDULING_MODES, makeSystem, quiesce } from './runFuzz.js'
import type { SchedulingMode } from './runFuzz.js'
import type { SystemUnderTest } from './commands.js'

/** A script in one scheduling mode, ready to run. */
export interface Trace {
  readonly name: string
  readonly run: () => void
}

function nodeAt (system: SystemUnderTest, i: number): MemoryNode {
  const node = system.fleet.nodes[i]
  if (node === undefined) throw new Error(`no instance with index ${i}: the fleet has ${system.fleet.nodes.length}`)
  return node
}

function schedulerOf (system: SystemUnderTest): MemoryNode {
  const node = system.fleet.nodes.find(n => n.core?.routing.isScheduler() === true)
  if (node === undefined) throw new Error('no instance of the fleet is a scheduler')
  return node
}

function kill (system: SystemUnderTest, node: MemoryNode): void {
  system.oracle.noteDeath(node)
  system.fleet.kill(node)
}

function restart (system: SystemUnderTest, node: MemoryNode): void {
  kill(system, node)
  system.fleet.start(node)
}

function flood (system: SystemUnderTest, customer: string, tasks: number, runMs: number): void {
  system.fleet.nodes.forEach((node, i) => {
    if (node.core === undefined || i % 2 === 1) return
    const job = testJob(customer, `flood-${i}-${Math.round(system.fleet.time.now)}`, 'compute', new Array<number>(tasks).fill(runMs))
    system.fleet.submit(node, testKeyHash(customer), customer, job)
  })
}

/** Repeats the flood, so that every released permit is requested at once. */
function keepFlooding (system: SystemUnderTest, customer: string, tasks: number, runMs: number, forMs: number): void {
  for (let t = 0; t < forMs; t += 500) {
    flood(system, customer, tasks, runMs)
    system.fleet.run(500)
    system.oracle.check()
  }
}

function serialJob (requestId: string): ReturnType<typeof testJob> {
  return testJob('beta', requestId, 'serial', [150, 300])
}

function submitSerial (system: SystemUnderTest, i: number, requestId: string): void {
  const node = nodeAt(system, i)
  if (node.core !== undefined) system.fleet.submit(node, testKeyHash('beta'), 'beta', serialJob(requestId))
}

function claimHolders (system: SystemUnderTest, requestId: string): MemoryNode[] {
  const bucket = bucketOf('beta' as CustomerId, requestId as RequestId)
  const holders = holdersOf(bucket, system.fleet.storedFleet().claimVoters.entries)
  return holders.flatMap(h => system.fleet.nodes.filter(n => h.startsWith(`${n.id}#`)))
}

function restartHolders (system: SystemUnderTest, requestId: string, gapMs: number): void {
  for (const node of claimHolders(system, requestId)) {
    restart(system, node)
    system.fleet.run(gapMs)
  }
}

function setLimit (system: SystemUnderTest, i: number, customer: string, running: number): void {
  const node = nodeAt(system, i)
  const record = node.core?.contracts.db.fleet.contracts.find(r => r.contract.customer === customer)
  if (record === undefined) return
  const contract = { ...record.contract, limits: { ...record.contract.limits, running } }
  const changeId = `trace-${Math.round(system.fleet.time.now)}` as ChangeId
  const change = { type: 'contract', contract, expectedRevision: record.revision } as const
  system.fleet.post(node, { type: 'change', callId: changeId, request: { changeId, keyHash: TEAM_KEY_HASH, reason: 'trace', change } })
}

interface Script {
  readonly name: string
  readonly seed: number
  readonly steps: (system: SystemUnderTest) => void
}

function script (name: string, seed: number, steps: (system: SystemUnderTest) => void): Script {
  return { name, seed, steps }
}

function traceOf ({ name, seed, steps }: Script, mode: SchedulingMode): Trace {
  return {
    name: `${name}; scheduling: ${mode}`,
    run: () => {
      const system = makeSystem(seed, mode)
      steps(system)
      quiesce(system)
    }
  }
}

const SCRIPTS: readonly Script[] = [
  script('a forward arrives twice', 12177, (system) => {
    Object.assign(system.fleet.links.profile, { doublePerMille: 1000 })
    flood(system, 'alpha', 12, 1500)
  }),
  script('a forward to a dead scheduler fails twice', 16965, (system) => {
    Object.assign(system.fleet.links.profile, { doublePerMille: 1000 })
    kill(system, schedulerOf(system))
    flood(system, 'alpha', 12, 1500)
  }),
  script('permit requests overtake each other', 22827, (system) => {
    kill(system, schedulerOf(system))
    flood(system, 'alpha', 12, 3706)
  }),
  script('a borrower is restarted while its earlier life\'s tasks run', 5, (system) => {
    flood(system, 'alpha', 12, 6000)
    system.fleet.run(800)
    restart(system, schedulerOf(system))
    flood(system, 'alpha', 12, 6000)
  }),
  script('a claim\'s three holders are restarted within seconds', 58424, (system) => {
    system.fleet.post(nodeAt(system, 0), { type: 'leave' })
    submitSerial(system, 1, 'again-3')
    system.fleet.run(13)
    restartHolders(system, 'again-3', 1168)
    submitSerial(system, 4, 'again-3')
  }),
  script('a claim\'s three holders are replaced one after the other', 3, (system) => {
    for (let i = 0; i < 6; i++) {
      submitSerial(system, i % 9, `again-${i}`)
      system.fleet.run(700)
      restartHolders(system, `again-${i}`, 4000)
      for (const at of [2, 5, 8]) submitSerial(system, at, `again-${i}`)
      system.fleet.run(1500)
      system.oracle.check()
    }
  }),
  script('a claim is taken at both sides of a cut', 17, (system) => {
    for (let i = 0; i < 40; i++) {
      system.fleet.links.cut('domain-1', 'domain-2')
      system.fleet.links.cut('domain-1', 'domain-3')
      submitSerial(system, 0, `split-${i}`)
      submitSerial(system, 8, `split-${i}`)
      system.fleet.run(60)
      system.fleet.heal()
      system.fleet.run(600)
    }
  }),
  script('the scheduler dies with every permit in use', 8, (system) => {
    for (let i = 0; i < 4; i++) {
      keepFlooding(system, 'alpha', 12, 5000, 2500)
      const node = schedulerOf(system)
      kill(system, node)
      keepFlooding(system, 'alpha', 12, 5000, 9000)
      system.fleet.start(node)
      system.fleet.run(3000)
    }
  }),
  script('the scheduler dies just after it renewed its tasks\' leases', 8, (system) => {
    keepFlooding(system, 'alpha', 12, 5000, 1000)
    system.fleet.run(80)
    kill(system, schedulerOf(system))
    keepFlooding(system, 'alpha', 12, 5000, 8000)
  }),
  script('a scheduler is restarted while a front asks what became of its job', 18, (system) => {
    const scheduler = schedulerOf(system)
    for (let i = 0; i < 12; i++) {
      flood(system, 'alpha', 4, 400)
      system.fleet.run(150)
    }
    restart(system, scheduler)
    for (const node of system.fleet.nodes) system.fleet.post(node, { type: 'linkDown', peer: scheduler.id })
    system.fleet.run(4000)
  }),
  script('instances of one domain die one after the other under load', 9, (system) => {
    for (const i of [3, 4, 6, 7]) {
      keepFlooding(system, 'alpha', 12, 2900, 2000)
      kill(system, nodeAt(system, i))
      keepFlooding(system, 'alpha', 12, 2900, 7000)
    }
  }),
  script('the scheduler is frozen past its removal and comes back', 10, (system) => {
    for (const pauseMs of [2500, 5500, 8000]) {
      keepFlooding(system, 'alpha', 24, 900, 2000)
      system.fleet.pause(schedulerOf(system), pauseMs)
      keepFlooding(system, 'alpha', 24, 900, pauseMs + 4000)
    }
  }),
  script('one instance cannot send, but receives and keeps working', 14, (system) => {
    const isolated = schedulerOf(system)
    keepFlooding(system, 'alpha', 24, 700, 2000)
    system.fleet.silence(isolated)
    keepFlooding(system, 'alpha', 24, 700, 14_000)
  }),
  script('connections break while tasks run', 11, (system) => {
    system.fleet.brokenStartsPerMille = 300
    keepFlooding(system, 'alpha', 12, 2500, 12_000)
  }),
  script('start requests arrive late', 12, (system) => {
    system.fleet.startDelayMs = 400
    keepFlooding(system, 'alpha', 12, 1200, 8000)
  }),
  script('a limit goes up and down under load while domains are cut', 13, (system) => {
    for (const [i, running] of [24, 4, 18, 2, 20].entries()) {
      if (i % 2 === 1) system.fleet.links.cut('domain-2', 'domain-1')
      setLimit(system, i, 'alpha', running)
      keepFlooding(system, 'alpha', 24, 1500, 4000)
      system.fleet.heal()
    }
  }),
  script('an old fleet value arrives after a newer one', 15, (system) => {
    Object.assign(system.fleet.links.profile, { latePerMille: 400, doublePerMille: 300 })
    for (let i = 0; i < 14; i++) {
      setLimit(system, i % 9, 'alpha', 5 + i)
      system.fleet.run(400)
      system.oracle.check()
    }
  }),
  script('the scheduler dies and its jobs\' ends are unknown', 16, (system) => {
    flood(system, 'alpha', 12, 900)
    system.fleet.run(300)
    kill(system, schedulerOf(system))
    system.fleet.run(6000)
  })
]

/** All traces: every script in every scheduling mode. */
export const TRACES: readonly Trace[] = SCHEDULING_MODES.flatMap(mode => SCRIPTS.map(s => traceOf(s, mode)))
