import { expect } from 'chai'
import type { DispatchOrder, EndpointClockMs, EndpointId, EndpointReport, FailureDomain, FencingToken, InstanceId, JobId, ListedEnd, ListedRun, QueueName, ServiceName, ShardMessage, TaskName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { AttemptsDecider } from '../attempts/attemptsDecider.js'
import { EndpointsDecider } from '../endpoints/endpointsDecider.js'
import { PlacementDecider } from '../placement/placementDecider.js'
import { SHARD_DEFAULTS } from '../shard/settings.js'
import { ShardOutbox } from '../shard/types.js'
import type { ShardContext, ShardEffect } from '../shard/types.js'
import { runsEndBy } from './executionDb.js'
import { ExecutionDecider } from './executionDecider.js'
import type { FrontSession } from './types.js'

const DOMAIN = 'd' as FailureDomain
const SERVICE = 's' as ServiceName
const FRONT: FrontSession = { instance: 'front' as InstanceId, incarnation: 1, address: 'front' }
const OTHER_FRONT: FrontSession = { instance: 'other' as InstanceId, incarnation: 1, address: 'other' }

function report (id: string, slots: number): EndpointReport {
  return { id: id as EndpointId, service: SERVICE, address: id, failureDomain: DOMAIN, draining: false, capacity: { cpuMilli: 14_000 * slots, memoryMb: 100, accelerators: 0 }, labels: [], bornAt: 0 }
}

function order (id: string, count: number, estimateMs: number, overrides: Partial<DispatchOrder> = {}): DispatchOrder {
  const step = { count, needs: { cpuMilli: 14_000, memoryMb: 1, accelerators: 0 }, estimateMs: ms(estimateMs), after: [], requiredLabel: '', preferredRack: '', maxPerEndpoint: 0 }
  const queue = { name: 'q' as QueueName, host: 'h', prefix: '/', service: SERVICE, priority: 0, maxAttempts: 2, stretch: 1.6, latencyObjectiveMs: ms(60), needsAdvice: false }
  return { job: { id: id as JobId, spec: '', features: [], steps: [step] }, queue, ageMs: ms(0), remainingMs: ms(10_000), attempt: 1, resumed: false, done: [], lastChance: true, ...overrides }
}

/** Whole milliseconds after a confirmation up to which runs go on without another one. */
const STOP_AFTER_MS = Math.floor(runsEndBy(ms(0), SHARD_DEFAULTS) - SHARD_DEFAULTS.orderTimeoutMs)

/** Returns when a confirmation was sent that lets runs go on until the given time. */
function confirmedFor (endsBy: number): number {
  return endsBy - runsEndBy(ms(0), SHARD_DEFAULTS)
}

function withObjective (of: DispatchOrder, latencyObjectiveMs: number): DispatchOrder {
  return { ...of, queue: { ...of.queue, latencyObjectiveMs: ms(latencyObjectiveMs) } }
}

/** A shard owner with endpoints that have capacity for a number of tasks each, usually one; tests answer its start, stop and hold orders explicitly. */
class OwnerHarness {
  readonly ctx: ShardContext = { self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: DOMAIN, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(1000), suspendedMs: ms(0) }
  readonly sentToFronts: ShardMessage[] = []
  private readonly placement = new PlacementDecider(this.ctx)
  readonly execution: ExecutionDecider
  readonly ledger: EndpointsDecider
  private readonly holds = new Map<EndpointId, number>()
  private readonly sequences = new Map<EndpointId, number>()
  evacuated = false
  starts: Extract<ShardEffect, { type: 'startTask' }>[] = []
  stops: Extract<ShardEffect, { type: 'stopTask' }>[] = []

  constructor (endpoints: number, slots = 1) {
    this.execution = new ExecutionDecider(this.ctx, this.placement, new AttemptsDecider(this.ctx), {
      sendToFront: (_front, message) => this.sentToFronts.push(message),
      superseded: () => {},
      attemptsChanged: () => {},
      isQueueInForce: () => true,
      earlierRunsKnown: () => true,
      evacuationAllowsStart: () => !this.evacuated,
      isEvacuated: () => this.evacuated
    })
    this.ledger = new EndpointsDecider(this.ctx, () => 1 as FencingToken, () => false, this.execution, () => !this.evacuated)
    this.execution.endpoints = this.ledger
    const reports = Array.from({ length: endpoints }, (_, i) => report(`e-${i}`, slots))
    this.ledger.adopt(reports)
    this.collectEffects()
    for (const { id } of reports) this.answerHold(id, [])
  }

  /** Lets two runs fail at each endpoint. */
  distrustAll (): void {
    for (const { id } of this.ledger.db.all()) for (let i = 0; i < 2; i++) this.placement.recordFailure(id)
  }

  submit (job: DispatchOrder, front = FRONT): void {
    this.execution.submit(front, DOMAIN, job, this.ctx.now)
    this.settle()
  }

  /** Confirms every start that has not been answered yet. */
  confirmStarts (): void {
    for (const start of this.starts.splice(0)) this.ledger.startOutcome(start.endpoint, start.orderId, { type: 'started', clock: Math.floor(this.ctx.now) as EndpointClockMs })
    this.settle()
  }

  answerHold (id: EndpointId, running: readonly ListedRun[], ends: readonly Omit<ListedEnd, 'sequence'>[] = [], bornAt = 0): void {
    const ended = ends.map((end) => {
      const sequence = (this.sequences.get(id) ?? 0) + 1
      this.sequences.set(id, sequence)
      return { ...end, sequence }
    })
    this.ledger.holdOutcome(id, this.holds.get(id) ?? 0, { type: 'listed', listing: { clock: Math.floor(this.ctx.now) as EndpointClockMs, bornAt, running, ended } })
    this.settle()
  }

  /** Reports the end of the task's run in its endpoint's next listing. */
  reportEnd (task: string, how: ListedEnd['how']): void {
    const run = this.ledger.db.runOf(task as TaskName)
    if (run === undefined) throw new Error(`${task} does not run`)
    this.answerHold(run.endpoint, [], [{ task: run.task, run: run.run, how }])
  }

  /** Reports the progress of the task's run in its endpoint's next listing. */
  reportProgress (task: string, percent: number): void {
    const run = this.ledger.db.runOf(task as TaskName)
    if (run === undefined) throw new Error(`${task} does not run`)
    this.answerHold(run.endpoint, [{ task: run.task, run: run.run, percent }])
  }

  /** Refuses the endpoint's holds from now on, and lets the leases of its runs end. */
  crash (id: EndpointId): void {
    this.ledger.holdOutcome(id, this.holds.get(id) ?? 0, { type: 'refused' })
    this.settle()
    this.ledger.holdOutcome(id, this.holds.get(id) ?? 0, { type: 'refused' })
    this.settle()
    this.advanceMs(SHARD_DEFAULTS.leaseMs * 1.1)
    this.confirmJobs()
    this.ledger.tick()
    this.settle()
  }

  /** Answers the endpoint's next hold in another incarnation, which lists nothing. */
  restart (id: EndpointId): void {
    this.advanceMs(SHARD_DEFAULTS.silentHoldPeriodMs)
    this.confirmJobs()
    this.ledger.tick()
    this.settle()
    this.answerHold(id, [], [], this.ctx.now)
  }

  /** Confirms all jobs, as their fronts do every `confirmMs`. */
  confirmJobs (): void {
    for (const job of this.execution.db.jobs.values()) this.execution.confirmJobs(job.front, DOMAIN, [job.id], this.ctx.now)
  }

  /** Frees an endpoint of its runs, which end with success. */
  finishRuns (id: EndpointId): void {
    const runs = [...this.ledger.db.get(id)?.runs.values() ?? []]
    this.answerHold(id, [], runs.map(({ task, run }) => ({ task, run, how: 'done' })))
  }

  endpointOf (task: string): EndpointId {
    const run = this.ledger.db.runOf(task as TaskName)
    if (run === undefined) throw new Error(`${task} does not run`)
    return run.endpoint
  }

  holdOf (id: EndpointId): number {
    return this.holds.get(id) ?? 0
  }

  isQuarantined (id: string): boolean {
    return this.placement.isQuarantined(id as EndpointId)
  }

  advanceMs (span: number): void {
    this.ctx.now = ms(this.ctx.now + span)
  }

  settle (): void {
    this.execution.startWaitingTasks()
    this.collectEffects()
  }

  private collectEffects (): void {
    for (const effect of this.ctx.out.takeEffects()) {
      if (effect.type === 'hold') this.holds.set(effect.endpoint, effect.orderId)
      if (effect.type === 'startTask') this.starts.push(effect)
      if (effect.type === 'stopTask') this.stops.push(effect)
    }
  }
}

describe('execution', () => {
  it('reports the outcome to the front only after every task is done', () => {
    const owner = new OwnerHarness(2)
    owner.submit(order('a', 2, 100))
    owner.confirmStarts()
    owner.reportEnd('a.0.0.0', 'done')
    expect(owner.sentToFronts).to.deep.equal([])
    owner.reportEnd('a.0.0.1', 'done')
    expect(owner.sentToFronts).to.deep.equal([{ type: 'ended', jobId: 'a', outcome: 'completed' }])
  })

  it('restarts a failed task on another endpoint, and fails the job after the allowed attempts', () => {
    const owner = new OwnerHarness(2)
    owner.submit(order('a', 1, 100))
    const first = owner.starts[0]?.endpoint
    owner.confirmStarts()
    owner.reportEnd('a.0.0.0', 'failed')
    expect(owner.starts[0]?.endpoint).to.not.equal(first)
    owner.confirmStarts()
    owner.reportEnd('a.0.0.0', 'failed')
    expect(owner.sentToFronts).to.deep.equal([{ type: 'ended', jobId: 'a', outcome: 'failed' }])
  })

  it('starts a task nowhere once a second endpoint refuses connections under it, and fails its job at once when both turn out to have crashed', () => {
    const owner = new OwnerHarness(4)
    owner.submit(withObjective(order('a', 1, 100), 5000))
    owner.confirmStarts()
    const first = owner.endpointOf('a.0.0.0')
    owner.crash(first)
    expect(owner.starts.map(start => start.run)).to.deep.equal([2])
    owner.confirmStarts()
    const second = owner.endpointOf('a.0.0.0')
    owner.crash(second)
    expect(owner.starts).to.deep.equal([])
    owner.restart(first)
    expect([owner.starts, owner.sentToFronts]).to.deep.equal([[], []])
    owner.restart(second)
    expect(owner.sentToFronts).to.deep.equal([{ type: 'ended', jobId: 'a', outcome: 'failed' }])
    owner.submit(order('a', 1, 100))
    expect(owner.starts).to.deep.equal([])
  })

  it('starts a task again when one of two endpoints that refused connections under it turns out to have been cut off', () => {
    const owner = new OwnerHarness(4)
    owner.submit(withObjective(order('a', 1, 100), 5000))
    owner.confirmStarts()
    const first = owner.endpointOf('a.0.0.0')
    owner.crash(first)
    owner.confirmStarts()
    owner.crash(owner.endpointOf('a.0.0.0'))
    owner.advanceMs(SHARD_DEFAULTS.silentHoldPeriodMs)
    owner.confirmJobs()
    owner.ledger.tick()
    owner.settle()
    owner.answerHold(first, [])
    expect(owner.starts.map(start => start.run)).to.deep.equal([3])
    expect(owner.sentToFronts).to.deep.equal([])
  })

  it('starts nothing beside a suspect task that it finds running after a takeover', () => {
    const owner = new OwnerHarness(2, 2)
    owner.ledger.requireFreshAnswers()
    owner.settle()
    owner.answerHold('e-1' as EndpointId, [])
    owner.answerHold('e-0' as EndpointId, [{ task: 'a.0.0.0' as TaskName, run: 2, percent: 10 }])
    owner.submit(order('a', 1, 400, { resumed: true, attempts: [{ task: 'a.0.0.0' as TaskName, attempts: [{ run: 'gone@1#1', fault: 'crashed' }] }] }))
    owner.submit(withObjective(order('b', 3, 100), 5000))
    expect(owner.starts.map(start => start.endpoint)).to.deep.equal(['e-1', 'e-1'])
  })

  it('starts the tasks that were lost in a crash alone, and one of a job at a time until one has passed', () => {
    const owner = new OwnerHarness(4, 3)
    owner.submit(withObjective(order('a', 3, 100), 5000))
    owner.submit(withObjective(order('b', 1, 100), 5000))
    owner.confirmStarts()
    const crashed = owner.endpointOf('a.0.0.0')
    expect(['a.0.0.1', 'a.0.0.2'].map(task => owner.endpointOf(task))).to.deep.equal([crashed, crashed])
    owner.crash(crashed)
    expect(owner.starts.map(start => start.task)).to.deep.equal(['a.0.0.0'])
    const trial = owner.starts[0]?.endpoint as EndpointId
    expect(owner.endpointOf('b.0.0.0')).not.to.equal(trial)
    owner.confirmStarts()
    owner.submit(withObjective(order('c', 6, 100), 5000))
    expect(owner.starts.filter(start => start.endpoint === trial)).to.deep.equal([])
    owner.confirmStarts()
    owner.finishRuns(trial)
    owner.finishRuns(owner.endpointOf('b.0.0.0'))
    for (const id of ['e-0', 'e-1', 'e-2', 'e-3']) if (id !== crashed) owner.finishRuns(id as EndpointId)
    expect(owner.starts.map(start => start.task)).to.include.members(['a.0.0.1', 'a.0.0.2'])
    expect(new Set(owner.starts.filter(start => start.task.startsWith('a.')).map(start => start.endpoint)).size).to.equal(2)
  })

  it('finishes a running job before it starts another, and starts no second job partially', () => {
    const owner = new OwnerHarness(3)
    owner.submit(withObjective(order('a', 4, 200), 1000))
    owner.submit(withObjective(order('b', 2, 100), 2000))
    expect(owner.starts.map(start => start.task)).to.deep.equal(['a.0.0.0', 'a.0.0.1', 'a.0.0.2'])
    owner.confirmStarts()
    owner.advanceMs(50)
    owner.reportEnd('a.0.0.0', 'done')
    expect(owner.starts.map(start => start.task)).to.deep.equal(['a.0.0.3'])
    owner.confirmStarts()
    owner.reportEnd('a.0.0.1', 'done')
    owner.reportEnd('a.0.0.2', 'done')
    expect(owner.starts.map(start => start.task)).to.deep.equal(['b.0.0.0', 'b.0.0.1'])
  })

  // Admission counted trusted endpoints only, so that without any it declined every job for good.
  it('tries an endpoint again when all have lost their trust', () => {
    const owner = new OwnerHarness(2)
    owner.distrustAll()
    owner.submit(order('a', 1, 100))
    expect(owner.starts).to.deep.equal([])
    owner.advanceMs(700)
    owner.submit(order('b', 1, 100))
    expect(owner.starts.map(start => start.task)).to.deep.equal(['b.0.0.0'])
  })

  it('joins a job that arrives again from another front, and keeps it running when the first front is lost', () => {
    const owner = new OwnerHarness(1)
    owner.submit(order('a', 1, 100))
    owner.submit(order('a', 1, 100), OTHER_FRONT)
    expect(owner.starts.length).to.equal(1)
    owner.execution.frontLost(FRONT.instance, undefined)
    owner.settle()
    expect(owner.stops).to.deep.equal([])
  })

  it('stops the tasks of a lost front, and those of jobs that their front no longer confirms', () => {
    const owner = new OwnerHarness(2)
    owner.submit(order('a', 1, 100))
    owner.submit(order('b', 1, 100), OTHER_FRONT)
    owner.confirmStarts()
    owner.execution.frontLost(FRONT.instance, undefined)
    owner.settle()
    expect(owner.stops.map(stop => stop.task)).to.deep.equal(['a.0.0.0'])
    owner.advanceMs(STOP_AFTER_MS)
    owner.execution.tick()
    owner.settle()
    expect(owner.stops.map(stop => stop.task)).not.to.include('b.0.0.0')
    owner.advanceMs(1)
    owner.execution.tick()
    owner.settle()
    expect(owner.stops.map(stop => stop.task)).to.include('b.0.0.0')
  })

  it('starts nothing that could run when its caller sends the job again, and stops runs before then, by the sum of the bounds', () => {
    const { jobLeaseMs, startValidMs, orderTimeoutMs, clockDrift, resendMs } = SHARD_DEFAULTS
    const onSlowestClockMs = (leaseMs: number): number => leaseMs / (1 - clockDrift)
    expect(jobLeaseMs + onSlowestClockMs(startValidMs)).to.be.lessThan(resendMs)
    expect(onSlowestClockMs(runsEndBy(ms(0), SHARD_DEFAULTS))).to.be.lessThan(resendMs)
    expect(jobLeaseMs + startValidMs).to.be.at.most(runsEndBy(ms(0), SHARD_DEFAULTS))
    expect(STOP_AFTER_MS + orderTimeoutMs).to.be.lessThan(resendMs)
  })

  it('does not start a job whose order was on its way for longer than its front may wait', () => {
    const owner = new OwnerHarness(2)
    owner.advanceMs(SHARD_DEFAULTS.leaseMs)
    const sentAt = ms(owner.ctx.now - SHARD_DEFAULTS.jobLeaseMs - 1)
    expect(owner.execution.submit(FRONT, DOMAIN, order('a', 2, 900), sentAt)).to.equal(false)
    owner.settle()
    expect(owner.starts).to.deep.equal([])
    expect(owner.execution.submit(FRONT, DOMAIN, order('a', 2, 900, { attempt: 2 }), ms(sentAt + 2))).to.equal(true)
    owner.settle()
    expect(owner.starts).to.have.length(2)
  })

  it('does not start a task where the lease, which another run has extended, outlasts that of its job', () => {
    const owner = new OwnerHarness(1, 2)
    owner.advanceMs(SHARD_DEFAULTS.leaseMs)
    owner.submit(order('a', 1, 5000))
    owner.confirmStarts()
    owner.answerHold('e-0' as EndpointId, [{ task: 'a.0.0.0' as TaskName, run: 1, percent: 1 }])
    const heldAt = owner.ctx.now
    const sentAt = ms(heldAt - 400)
    owner.execution.submit(FRONT, DOMAIN, order('b', 1, 5000), sentAt)
    owner.settle()
    expect(owner.starts).to.deep.equal([])
    // Of the lease of 1000 ms that the hold has extended, no more is left than of the job's.
    owner.ctx.now = ms(heldAt + 1)
    owner.execution.confirmJobs(FRONT, DOMAIN, ['b' as JobId], ms(confirmedFor(heldAt + SHARD_DEFAULTS.leaseMs)))
    owner.execution.tick()
    owner.settle()
    expect(owner.starts.map(start => start.task)).to.deep.equal(['b.0.0.0'])
  })

  it('does not start a copy of a job that a later copy, declined or abandoned, or a cancel has overtaken', () => {
    const owner = new OwnerHarness(1)
    const refused = (id: string, attempt: number): boolean => !owner.execution.submit(FRONT, DOMAIN, order(id, 1, 5000, { attempt }), owner.ctx.now)
    owner.submit(order('runs', 1, 5000))
    owner.submit(withObjective(order('declined', 1, 100, { attempt: 3, lastChance: false }), 0))
    expect(owner.sentToFronts.at(-1)?.type).to.equal('declined')
    owner.submit(withObjective(order('abandoned', 1, 100, { attempt: 4 }), 60_000))
    owner.execution.cancel('abandoned' as JobId, FRONT.instance)
    owner.execution.cancel('cancelled' as JobId, FRONT.instance, { incarnation: FRONT.incarnation, attempt: 5 })
    owner.answerHold('e-0' as EndpointId, [], [{ task: 'runs.0.0.0' as TaskName, run: 1, how: 'done' }])
    expect([refused('declined', 2), refused('abandoned', 4), refused('cancelled', 5)]).to.deep.equal([true, true, true])
    expect([refused('declined', 6), refused('abandoned', 7), refused('cancelled', 8)]).to.deep.equal([false, false, false])
    expect(owner.execution.submit({ ...FRONT, incarnation: 2 }, DOMAIN, order('declined', 1, 5000, { attempt: 1 }), owner.ctx.now)).to.equal(true)
  })

  it('starts no copy up to the last one that it has refused as too old, and names that one to a front that asks, unless it has taken one', () => {
    const owner = new OwnerHarness(2)
    owner.advanceMs(SHARD_DEFAULTS.leaseMs)
    const { now } = owner.ctx
    const tooOld = ms(now - SHARD_DEFAULTS.jobLeaseMs - 1)
    const answerTo = (id: string): unknown => {
      owner.execution.confirmJobs(FRONT, DOMAIN, [id as JobId], now)
      return owner.sentToFronts.at(-1)
    }
    for (const attempt of [3, 4]) expect(owner.execution.submit(FRONT, DOMAIN, order('refused', 1, 100, { attempt }), tooOld)).to.equal(false)
    expect(owner.execution.submit(FRONT, DOMAIN, order('refused', 1, 100, { attempt: 3 }), now)).to.equal(false)
    expect(owner.execution.submit(FRONT, DOMAIN, order('refused', 1, 100, { attempt: 4 }), now)).to.equal(false)
    expect(answerTo('refused')).to.deep.equal({ type: 'notOwner', jobId: 'refused', failureDomain: DOMAIN, attempt: 4 })
    owner.submit(order('dropped', 1, 100, { attempt: 5 }))
    owner.execution.frontLost(FRONT.instance, undefined)
    expect(owner.execution.submit(FRONT, DOMAIN, order('dropped', 1, 100, { attempt: 6 }), tooOld)).to.equal(false)
    expect(answerTo('dropped')).to.deep.equal({ type: 'notOwner', jobId: 'dropped', failureDomain: DOMAIN })
    expect(owner.execution.submit(FRONT, DOMAIN, order('refused', 1, 100, { attempt: 7 }), now)).to.equal(true)
  })

  it('does not let a late confirmation set back a later one', () => {
    const owner = new OwnerHarness(1)
    owner.submit(order('a', 1, 5000))
    const { now } = owner.ctx
    owner.execution.confirmJobs(FRONT, DOMAIN, ['a' as JobId], ms(now - 500))
    owner.advanceMs(SHARD_DEFAULTS.jobLeaseMs)
    owner.execution.tick()
    expect(owner.execution.db.jobs.has('a' as JobId)).to.equal(true)
  })

  it('gives a run whose start is unanswered the lease of the job that comes again after a pause of this process', () => {
    const owner = new OwnerHarness(1)
    owner.submit(order('a', 1, 5000))
    owner.execution.forgetAllJobs()
    owner.submit(order('a', 1, 5000, { attempt: 2, resumed: true }))
    const job = owner.execution.db.jobs.get('a' as JobId)
    expect(owner.ledger.db.runOf('a.0.0.0' as TaskName)?.lease).to.equal(job?.runLease)
  })

  it('does not abandon a job for the cancel of an earlier copy', () => {
    const owner = new OwnerHarness(1)
    owner.submit(order('a', 1, 5000, { attempt: 3 }))
    owner.execution.cancel('a' as JobId, FRONT.instance, { incarnation: FRONT.incarnation, attempt: 2 })
    expect(owner.execution.db.jobs.has('a' as JobId)).to.equal(true)
    owner.execution.cancel('a' as JobId, FRONT.instance, { incarnation: FRONT.incarnation, attempt: 3 })
    expect(owner.execution.db.jobs.has('a' as JobId)).to.equal(false)
  })

  it('lets an older copy of a job that it holds change nothing, so that its next decline counts', () => {
    const owner = new OwnerHarness(1)
    owner.submit(order('runs', 1, 5000))
    owner.submit(withObjective(order('a', 1, 100, { attempt: 3 }), 5000))
    owner.submit(withObjective(order('a', 1, 100, { attempt: 2 }), 5000))
    expect(owner.execution.db.jobs.get('a' as JobId)?.attempt).to.equal(3)
  })

  it('counts a confirmation from when its front sent it, not from its arrival', () => {
    const owner = new OwnerHarness(1)
    owner.submit(order('a', 1, 5000))
    owner.confirmStarts()
    const sentAt = ms(owner.ctx.now + 100)
    owner.advanceMs(STOP_AFTER_MS)
    owner.execution.confirmJobs(FRONT, DOMAIN, ['a' as JobId], sentAt)
    owner.execution.tick()
    owner.advanceMs(99)
    owner.execution.tick()
    owner.settle()
    expect(owner.stops).to.deep.equal([])
    owner.advanceMs(2)
    owner.execution.tick()
    owner.settle()
    expect(owner.stops).to.have.length(1)
  })

  it('starts a task beside the run of another job only if the lease there does not outlast its front\'s latest confirmation', () => {
    const owner = new OwnerHarness(1, 2)
    owner.submit(order('a', 1, 900))
    owner.confirmStarts()
    owner.answerHold('e-0' as EndpointId, [{ task: 'a.0.0.0' as TaskName, run: 1, percent: 10 }])
    const { now } = owner.ctx
    owner.execution.submit(FRONT, DOMAIN, withObjective(order('b', 1, 100), 5000), ms(now - 400))
    owner.settle()
    expect(owner.starts).to.deep.equal([])
    owner.execution.confirmJobs(FRONT, DOMAIN, ['b' as JobId], ms(now - 200))
    owner.execution.tick()
    owner.settle()
    expect(owner.starts.map(({ task }) => task)).to.deep.equal(['b.0.0.0'])
  })

  it('starts no waiting task of a job whose confirmation has run out', () => {
    const owner = new OwnerHarness(1)
    owner.submit(order('a', 1, 100))
    owner.confirmStarts()
    owner.execution.submit(FRONT, DOMAIN, withObjective(order('b', 1, 100), 5000), owner.ctx.now)
    owner.advanceMs(SHARD_DEFAULTS.jobLeaseMs + 1)
    owner.starts = []
    owner.finishRuns('e-0' as EndpointId)
    expect(owner.starts).to.deep.equal([])
  })

  it('moves the only task of a step that makes no progress', () => {
    const owner = new OwnerHarness(5)
    owner.submit(order('a', 4, 400))
    owner.confirmStarts()
    owner.advanceMs(200)
    for (const index of [0, 1, 2]) owner.reportProgress(`a.0.0.${index}`, 50)
    owner.reportProgress('a.0.0.3', 0)
    expect(owner.stops.map(stop => stop.task)).to.deep.equal(['a.0.0.3'])
  })

  it('stops a stalled task even when no endpoint is free, and starts it first once one is', () => {
    const owner = new OwnerHarness(2)
    owner.submit(order('a', 1, 400))
    owner.submit(order('b', 1, 400))
    owner.submit(order('c', 1, 400))
    owner.confirmStarts()
    owner.advanceMs(300)
    owner.reportProgress('b.0.0.0', 60)
    owner.reportProgress('a.0.0.0', 0)
    expect(owner.stops.map(stop => stop.task)).to.deep.equal(['a.0.0.0'])
    owner.reportEnd('a.0.0.0', 'stopped')
    owner.advanceMs(100)
    owner.confirmJobs()
    owner.reportEnd('b.0.0.0', 'done')
    expect(owner.starts.map(start => start.task)[0]).to.equal('a.0.0.0')
  })

  it('measures the speed of runs found after a takeover only from the progress it has observed', () => {
    const owner = new OwnerHarness(5)
    owner.ledger.requireFreshAnswers()
    owner.settle()
    owner.answerHold('e-4' as EndpointId, [])
    for (const index of [0, 1, 2, 3]) owner.answerHold(`e-${index}` as EndpointId, [{ task: `a.0.0.${index}` as TaskName, run: 1, percent: 40 }])
    owner.submit(order('a', 4, 400, { resumed: true }))
    expect(owner.starts).to.deep.equal([])
    for (const percent of [60, 80]) {
      owner.advanceMs(300)
      for (const index of [0, 1, 2, 3]) owner.reportProgress(`a.0.0.${index}`, percent)
    }
    expect(owner.stops).to.deep.equal([])
    expect([0, 1, 2, 3].filter(index => owner.isQuarantined(`e-${index}`))).to.deep.equal([])
  })

  it('moves no task when all tasks of a job take longer than estimated', () => {
    const owner = new OwnerHarness(5)
    owner.submit(order('a', 4, 100))
    owner.confirmStarts()
    for (const percent of [10, 20, 30]) {
      owner.advanceMs(70)
      for (const index of [0, 1, 2, 3]) owner.reportProgress(`a.0.0.${index}`, percent)
    }
    expect(owner.stops).to.deep.equal([])
  })

  it('declines a job whose task fits no endpoint', () => {
    const owner = new OwnerHarness(1)
    const wide = order('a', 1, 100)
    const step = { ...wide.job.steps[0], needs: { cpuMilli: 99_000, memoryMb: 1, accelerators: 0 } } as DispatchOrder['job']['steps'][number]
    owner.submit({ ...wide, job: { ...wide.job, steps: [step] } })
    expect(owner.sentToFronts.map(message => message.type)).to.deep.equal(['declined'])
  })
})

describe('execution in an evacuated domain', () => {
  const answers = (owner: OwnerHarness): unknown[] => owner.sentToFronts.map(message => message.type === 'notOwner' ? message.released : message.type)

  it('declines jobs that have not run, waiting ones at once and new ones as they come', () => {
    const owner = new OwnerHarness(1)
    owner.submit(withObjective(order('a', 1, 100), 5000))
    owner.submit(withObjective(order('b', 1, 100), 5000))
    owner.evacuated = true
    owner.execution.evacuationsChanged()
    expect(answers(owner)).to.deep.equal(['declined'])
    owner.submit(withObjective(order('c', 1, 100), 5000))
    expect(answers(owner)).to.deep.equal(['declined', 'declined'])
    expect(owner.execution.capacity()).to.deep.equal({ totalCpuMilli: 0, freeCpuMilli: 0 })
    owner.evacuated = false
    owner.execution.evacuationsChanged()
    expect(owner.execution.capacity().totalCpuMilli).to.equal(14_000)
  })

  it('finishes what runs, and releases the rest of a job only when nothing of it runs any more', () => {
    const owner = new OwnerHarness(2)
    owner.submit(withObjective(order('a', 3, 100), 5000))
    owner.confirmStarts()
    owner.evacuated = true
    owner.execution.evacuationsChanged()
    owner.reportEnd('a.0.0.0', 'failed')
    owner.execution.tick()
    expect([answers(owner), owner.starts, owner.stops]).to.deep.equal([[], [], []])
    owner.reportEnd('a.0.0.1', 'done')
    owner.execution.tick()
    expect(answers(owner)).to.deep.equal([{ attempt: 1, done: ['0.1'] }])
    expect(owner.execution.db.jobs.size).to.equal(0)
  })

  it('sends no start again whose answer is missing, and keeps its job until it can no longer take effect', () => {
    const owner = new OwnerHarness(1)
    owner.submit(withObjective(order('a', 1, 100), 5000))
    const [start] = owner.starts.splice(0)
    owner.evacuated = true
    owner.execution.evacuationsChanged()
    owner.ledger.startOutcome(start?.endpoint ?? '' as EndpointId, start?.orderId ?? 0, { type: 'silent' })
    owner.settle()
    owner.execution.tick()
    expect([owner.starts, answers(owner)]).to.deep.equal([[], []])
    owner.advanceMs(SHARD_DEFAULTS.startValidMs + 10)
    owner.confirmJobs()
    owner.answerHold('e-0' as EndpointId, [])
    owner.answerHold('e-0' as EndpointId, [])
    owner.execution.tick()
    expect([owner.starts, answers(owner)]).to.deep.equal([[], [{ attempt: 1, done: [] }]])
  })

  it('starts nothing of a job that an earlier owner may have started, and releases it', () => {
    const owner = new OwnerHarness(1)
    owner.evacuated = true
    owner.submit(order('a', 2, 100, { resumed: true, done: ['0.1'] }))
    owner.execution.tick()
    expect([owner.starts, answers(owner)]).to.deep.equal([[], [{ attempt: 1, done: ['0.1'] }]])
  })

  it('does not stop a slow run to start it elsewhere', () => {
    const stopped = [false, true].map((evacuated) => {
      const owner = new OwnerHarness(2)
      owner.submit(withObjective(order('a', 1, 100), 5000))
      owner.confirmStarts()
      owner.evacuated = evacuated
      for (const percent of [10, 20, 30]) {
        owner.advanceMs(100)
        owner.reportProgress('a.0.0.0', percent)
      }
      return owner.stops.length
    })
    expect(stopped).to.deep.equal([1, 0])
  })
})

describe('an endpoint that has started a short time ago', () => {
  it('gets one task at a time, after endpoints that are warm, until it is warm itself', () => {
    const owner = new OwnerHarness(2, 2)
    const warmAt = owner.ctx.now + 1000
    owner.ledger.update([{ ...report('e-0', 2), coldForMs: ms(1000) }], false)
    owner.submit(withObjective(order('a', 2, 100), 5000))
    expect(owner.starts.splice(0).map(start => start.endpoint)).to.deep.equal(['e-1', 'e-1'])
    owner.submit(withObjective(order('b', 1, 100), 5000))
    owner.submit(withObjective(order('c', 1, 100), 5000))
    expect(owner.starts.splice(0).map(start => start.endpoint)).to.deep.equal(['e-0'])
    owner.ctx.now = ms(warmAt)
    owner.confirmJobs()
    owner.execution.tick()
    owner.settle()
    expect(owner.starts.map(start => start.endpoint)).to.deep.equal(['e-0'])
  })
})
