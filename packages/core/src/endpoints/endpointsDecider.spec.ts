import { expect } from 'chai'
import type { EndpointClockMs, EndpointId, EndpointListing, EndpointReport, FailureDomain, FencingToken, InstanceId, ListedEnd, ListedRun, ServiceName, TaskName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { SHARD_DEFAULTS } from '../shard/settings.js'
import { ShardOutbox } from '../shard/types.js'
import type { ShardContext, ShardEffect } from '../shard/types.js'
import { freeCapacityOf } from './endpointsDb.js'
import { EndpointsDecider } from './endpointsDecider.js'
import type { LedgerEndpoint, LedgerRun, RunListener, RunLoss } from './types.js'

const ID = 'e-1' as EndpointId
const TASK = 'job.0.0.0' as TaskName
/** The lease of a job that its front confirms throughout the test. */
const LEASE = { endsBy: ms(Infinity) }
const NEEDS = { cpuMilli: 14_000, memoryMb: 64, accelerators: 0 }
const REPORT: EndpointReport = {
  id: ID,
  service: 's' as ServiceName,
  address: 'e-1',
  failureDomain: 'd' as FailureDomain,
  draining: false,
  capacity: { cpuMilli: 32_000, memoryMb: 1000, accelerators: 0 },
  labels: [],
  bornAt: 5
}

class RecordingListener implements RunListener {
  readonly events: string[] = []
  readonly losses: string[] = []
  readonly refusals: string[] = []
  runStarted (run: LedgerRun): void {
    this.events.push(`started ${run.run}`)
  }

  runEnded (run: LedgerRun, how: string): void {
    this.events.push(`${how} ${run.run}`)
  }

  runRejected (run: LedgerRun, reason: string): void {
    this.events.push(`rejected ${run.run} ${reason}`)
  }

  runLost (run: LedgerRun, { why, runsThere }: RunLoss): void {
    this.losses.push(`${why}, ${runsThere} there`)
    this.events.push(`lost ${run.run}`)
  }

  endpointRefused (): void {
    this.refusals.push('refused')
  }

  endpointHadCrashed (_endpoint: LedgerEndpoint, runs: readonly LedgerRun[]): void {
    this.refusals.push(`had crashed under ${runs.length}`)
  }

  endpointAnswered (): void {}
  endpointBack (): void {
    this.refusals.push('back')
  }

  runProgressed (): void {}
  runFound (run: LedgerRun): void {
    this.events.push(`found ${run.run}`)
  }

  capacityChanged (): void {}
  superseded (): void {
    this.events.push('superseded')
  }
}

function setUp (): { ctx: ShardContext, ledger: EndpointsDecider, listener: RecordingListener, tokens: { value: number }, awaited: { value: boolean } } {
  const ctx: ShardContext = { self: { instance: 'i' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'i', cpuMilli: 500 }, cfg: SHARD_DEFAULTS, out: new ShardOutbox(), now: ms(1000), suspendedMs: ms(0) }
  const listener = new RecordingListener()
  const tokens = { value: 7 }
  const awaited = { value: false }
  return { ctx, listener, tokens, awaited, ledger: new EndpointsDecider(ctx, () => tokens.value as FencingToken, () => awaited.value, listener) }
}

type EffectOf<T extends ShardEffect['type']> = Extract<ShardEffect, { type: T }>

function takeEffects<T extends ShardEffect['type']> (ctx: ShardContext, type: T): EffectOf<T>[] {
  return ctx.out.takeEffects().filter((effect): effect is EffectOf<T> => effect.type === type)
}

function listing (clock: number, running: readonly ListedRun[] = [], ended: readonly ListedEnd[] = [], bornAt = 5): EndpointListing {
  return { clock: clock as EndpointClockMs, bornAt, running, ended }
}

/** Answers the latest hold with a listing. */
function answerHold (ctx: ShardContext, ledger: EndpointsDecider, answer: EndpointListing): void {
  const hold = takeEffects(ctx, 'hold').at(-1)
  ledger.holdOutcome(ID, hold?.orderId ?? 0, { type: 'listed', listing: answer })
}

function endpointOf (ledger: EndpointsDecider): LedgerEndpoint {
  const endpoint = ledger.db.get(ID)
  if (endpoint === undefined) throw new Error('endpoint is missing')
  return endpoint
}

/** Sets up a ledger whose endpoint has confirmed the start of a run. */
function setUpWithRun (): ReturnType<typeof setUp> {
  const parts = setUp()
  const { ctx, ledger } = parts
  ledger.adopt([REPORT])
  answerHold(ctx, ledger, listing(500))
  const run = ledger.start(endpointOf(ledger), TASK, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
  ledger.startOutcome(ID, run.orderId, { type: 'started', clock: 500 as EndpointClockMs })
  return parts
}

describe('EndpointsDecider, the ledger of endpoints', () => {
  // An owner that was short of processor time took its own delay for slowness of its endpoints, and set a third of them aside.
  it('takes the run time from the endpoint\'s clock, not from when the answer was handled', () => {
    const { ctx, ledger } = setUpWithRun()
    const run = ledger.db.runOf(TASK)
    takeEffects(ctx, 'hold')
    ctx.now = ms(ctx.now + 400)
    ledger.holdOutcome(ID, endpointOf(ledger).hold?.orderId ?? 0, { type: 'listed', listing: listing(600, [], [{ sequence: 1, task: TASK, run: 1, how: 'done' }]) })
    expect(run?.ranMs).to.equal(100)
  })

  it('knows how late it handles an answer, so that an end which the next one reports may have been earlier', () => {
    const { ctx, ledger } = setUpWithRun()
    const endpoint = endpointOf(ledger)
    for (const task of ['job.0.0.1', 'job.0.0.2'] as TaskName[]) ledger.start(endpoint, task, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
    const answer = (atMs: number, clock: number): void => {
      ctx.now = ms(atMs)
      ledger.holdOutcome(ID, endpoint.hold?.orderId ?? 0, { type: 'listed', listing: listing(clock, [...endpoint.runs.keys()].map(task => ({ task, run: 1, percent: 1 }))) })
    }
    answer(1100, 600)
    expect([endpoint.handlingDelayMs, endpoint.hold?.endTimeKnown]).to.deep.equal([0, true])
    answer(1400, 700)
    expect(endpoint.handlingDelayMs).to.be.within(190, 200)
    expect(endpoint.hold?.endTimeKnown).to.equal(false)
    answer(1500, 1000)
    expect(endpoint.hold?.endTimeKnown).to.equal(true)
  })

  it('renews a short lease sooner, so that a slow owner does not let it run out between two holds', () => {
    const { ctx, ledger } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    const lease = { endsBy: ms(0) }
    const run = ledger.start(endpointOf(ledger), TASK, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease })
    ledger.startOutcome(ID, run.orderId, { type: 'started', clock: 500 as EndpointClockMs })
    const waits = [2000, 1000, 400, 80, 0].map((remainingMs) => {
      lease.endsBy = ms(ctx.now + remainingMs)
      ledger.holdOutcome(ID, endpointOf(ledger).hold?.orderId ?? 0, { type: 'listed', listing: listing(500, [{ task: TASK, run: 1, percent: 1 }]) })
      return takeEffects(ctx, 'hold').at(-1)?.waitMs
    })
    expect(waits).to.deep.equal([250, 250, 100, 50, 250])
  })

  it('lets no hold extend the lease of an endpoint beyond that of any job with a run there, stopping or not', () => {
    const { ctx, ledger } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    const lease = { endsBy: ms(ctx.now + 400) }
    const runs = [1, 2].map((number) => {
      const run = ledger.start(endpointOf(ledger), `job.0.0.${number}` as TaskName, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: number === 1 ? lease : LEASE })
      ledger.startOutcome(ID, run.orderId, { type: 'started', clock: 500 as EndpointClockMs })
      return run
    })
    const running = runs.map(({ task, run }) => ({ task, run, percent: 1 }))
    const extensions: (number | undefined)[] = []
    const holdAgain = (afterMs: number): void => {
      ctx.now = ms(ctx.now + afterMs)
      ledger.holdOutcome(ID, endpointOf(ledger).hold?.orderId ?? 0, { type: 'listed', listing: listing(500 + ctx.now - 1000, running) })
      extensions.push(takeEffects(ctx, 'hold').at(-1)?.extendTo)
    }
    holdAgain(0)
    ledger.stop(runs[0] as LedgerRun)
    holdAgain(300)
    expect(ledger.usable(endpointOf(ledger))).to.equal(false)
    holdAgain(100)
    lease.endsBy = ms(ctx.now + 2000)
    holdAgain(10)
    expect(extensions).to.deep.equal([900, 900, undefined, 910 + SHARD_DEFAULTS.leaseMs])
    expect(ledger.usable(endpointOf(ledger))).to.equal(true)
  })

  it('lets a run join the lease that is in force at an endpoint only if that ends before the lease of its job', () => {
    const { ctx, ledger } = setUpWithRun()
    answerHold(ctx, ledger, listing(500, [{ task: TASK, run: 1, percent: 10 }]))
    const { leaseMs } = SHARD_DEFAULTS
    const endsInTime = (endsInMs: number): boolean => ledger.endsWithLease(endpointOf(ledger), { endsBy: ms(ctx.now + endsInMs) })
    expect([endsInTime(leaseMs - 1), endsInTime(leaseMs)]).to.deep.equal([false, true])
    ctx.now = ms(ctx.now + leaseMs / 2)
    expect([endsInTime(leaseMs / 2 - 1), endsInTime(leaseMs / 2)]).to.deep.equal([false, true])
  })

  it('expects a lease of the earlier owner at an endpoint, also if nothing runs there any more', () => {
    const { ctx, ledger } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    expect(ledger.endsWithLease(endpointOf(ledger), { endsBy: ms(ctx.now + SHARD_DEFAULTS.leaseMs - 1) })).to.equal(false)
    expect(ledger.endsWithLease(endpointOf(ledger), { endsBy: ms(ctx.now + SHARD_DEFAULTS.leaseMs) })).to.equal(true)
  })

  it('gives up a run that never arrived although its stop is repeated more often than holds are answered', () => {
    const { ctx, ledger, listener } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    const run = ledger.start(endpointOf(ledger), TASK, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
    ledger.startOutcome(ID, run.orderId, { type: 'silent' })
    ledger.stop(run)
    for (let elapsedMs = 0; elapsedMs <= 1000; elapsedMs += 25) {
      ctx.now = ms(ctx.now + 25)
      ledger.tick()
      const { hold } = endpointOf(ledger)
      if (hold !== undefined && ctx.now - hold.sentAt >= SHARD_DEFAULTS.holdWaitMs) ledger.holdOutcome(ID, hold.orderId, { type: 'listed', listing: listing(500 + ctx.now - 1000) })
    }
    expect(listener.events).to.deep.equal(['rejected 1 neverArrived'])
  })

  it('does not extend the lease of a run by repeating the start of another', () => {
    const { ctx, ledger } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    const lease = { endsBy: ms(ctx.now + 350) }
    const run = ledger.start(endpointOf(ledger), TASK, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease })
    ledger.startOutcome(ID, run.orderId, { type: 'started', clock: 500 as EndpointClockMs })
    const other = ledger.start(endpointOf(ledger), 'other.0.0.0' as TaskName, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
    ctx.now = ms(ctx.now + 150)
    ctx.out.takeEffects()
    ledger.startOutcome(ID, other.orderId, { type: 'silent' })
    expect(takeEffects(ctx, 'startTask').map(({ notAfter }) => notAfter)).to.deep.equal([850])
    ctx.now = ms(ctx.now + 250)
    ledger.startOutcome(ID, other.orderId, { type: 'silent' })
    expect(takeEffects(ctx, 'startTask')).to.deep.equal([])
  })

  it('repeats a start after a restart of its endpoint with the usual deadline', () => {
    const { ctx, ledger } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    const run = ledger.start(endpointOf(ledger), TASK, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
    answerHold(ctx, ledger, listing(20, [], [], 6))
    ctx.now = ms(ctx.now + 100)
    ledger.startOutcome(ID, run.orderId, { type: 'silent' })
    expect(takeEffects(ctx, 'startTask'), 'the hold that was answered waited, so the new incarnation may not have seen its token').to.deep.equal([])
    ledger.holdOutcome(ID, endpointOf(ledger).hold?.orderId ?? 0, { type: 'listed', listing: listing(120, [], [], 6) })
    expect(takeEffects(ctx, 'startTask').map(({ notAfter }) => notAfter)).to.deep.equal([120 + SHARD_DEFAULTS.startValidMs])
    expect(run.notAfter).to.be.greaterThan(10_000)
  })

  // An endpoint that had restarted took starts of two owners: the later one went by the answer of the incarnation before.
  it('sends a start to no other incarnation than the one that has answered, and lets a later one answer first', () => {
    const { ctx, ledger, listener } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    const run = ledger.start(endpointOf(ledger), TASK, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
    expect(takeEffects(ctx, 'startTask').map(({ bornAt }) => bornAt)).to.deep.equal([5])
    ledger.startOutcome(ID, run.orderId, { type: 'otherLife' })
    expect(listener.events).to.deep.equal(['rejected 1 otherLife'])
    expect(ledger.usable(endpointOf(ledger))).to.equal(false)
    const earlierOwners: readonly ListedRun[] = [{ task: 'other.0.0.0' as TaskName, run: 1, percent: 0 }]
    answerHold(ctx, ledger, listing(20, earlierOwners, [], 6))
    ledger.update([{ ...REPORT, bornAt: 6 }], true)
    expect(freeCapacityOf(endpointOf(ledger)).cpuMilli, 'while a run of unknown needs is there').to.equal(0)
    answerHold(ctx, ledger, listing(50, [], [{ sequence: 1, task: 'other.0.0.0' as TaskName, run: 1, how: 'done' }], 6))
    expect(ledger.usable(endpointOf(ledger))).to.equal(true)
  })

  it('gives up a start at once that could not be sent, and places nothing there until the endpoint answers', () => {
    const { ctx, ledger, listener } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    const run = ledger.start(endpointOf(ledger), TASK, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
    ledger.startOutcome(ID, run.orderId, { type: 'unsent' })
    expect(listener.events).to.deep.equal(['rejected 1 unsent'])
    expect(listener.refusals, 'no sign of a crash').to.deep.equal([])
    expect(ledger.usable(endpointOf(ledger))).to.equal(false)
    answerHold(ctx, ledger, listing(520))
    expect(ledger.usable(endpointOf(ledger))).to.equal(true)
  })

  // The endpoint answered a hold of the later owner that had reached the incarnation before, and took starts of the earlier owner.
  it('places nothing at an endpoint that has restarted while a hold waited there before it answers another one', () => {
    const { ctx, ledger } = setUpWithRun()
    ledger.update([{ ...REPORT, bornAt: 6 }], true)
    answerHold(ctx, ledger, listing(20, [], [], 6))
    expect(ledger.usable(endpointOf(ledger))).to.equal(false)
    answerHold(ctx, ledger, listing(21, [], [], 6))
    expect(ledger.usable(endpointOf(ledger))).to.equal(true)
  })

  it('sends no start again under a new token before the endpoint has answered under it', () => {
    const { ctx, ledger, tokens } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    const run = ledger.start(endpointOf(ledger), TASK, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
    tokens.value = 9
    ledger.requireFreshAnswers()
    ctx.out.takeEffects()
    ledger.startOutcome(ID, run.orderId, { type: 'silent' })
    expect(takeEffects(ctx, 'startTask')).to.deep.equal([])
    ledger.holdOutcome(ID, endpointOf(ledger).hold?.orderId ?? 0, { type: 'listed', listing: listing(500) })
    expect(takeEffects(ctx, 'startTask').map(({ token }) => token)).to.deep.equal([9])
  })

  it('does not take runs that it finds for lost before the leases of their earlier owner must have ended', () => {
    const { ctx, ledger, listener } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500, [{ task: TASK, run: 3, percent: 10 }]))
    const loseHolds = (untilMs: number): void => {
      for (; ctx.now < untilMs; ctx.now = ms(ctx.now + 50)) {
        ledger.holdOutcome(ID, endpointOf(ledger).hold?.orderId ?? 0, { type: 'silent' })
        ledger.tick()
      }
    }
    loseHolds(1000 + SHARD_DEFAULTS.leaseMs)
    expect(listener.losses).to.deep.equal([])
    loseHolds(1000 + SHARD_DEFAULTS.leaseMs * 1.2)
    expect(listener.losses).to.deep.equal(['silent, 1 there'])
  })

  it('does not extend the lease of runs that it finds until a job claims them', () => {
    const { ctx, ledger } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500, [{ task: TASK, run: 3, percent: 10 }]))
    expect(takeEffects(ctx, 'hold').at(-1)?.extendTo).to.equal(undefined)
    const run = endpointOf(ledger).runs.get(TASK) as LedgerRun
    ledger.claim(run, NEEDS, false, LEASE)
    ledger.holdOutcome(ID, endpointOf(ledger).hold?.orderId ?? 0, { type: 'listed', listing: listing(500, [{ task: TASK, run: 3, percent: 10 }]) })
    expect(takeEffects(ctx, 'hold').at(-1)?.extendTo).to.equal(500 + SHARD_DEFAULTS.leaseMs)
  })

  it('uses an endpoint only after it has answered under the fencing token', () => {
    const { ctx, ledger } = setUp()
    ledger.adopt([REPORT])
    expect(ledger.usable(endpointOf(ledger))).to.equal(false)
    answerHold(ctx, ledger, listing(500))
    expect(ledger.usable(endpointOf(ledger))).to.equal(true)
  })

  it('gives no work to an endpoint that is known only from a copy of the list while the new owner reads it', () => {
    const { ctx, ledger, awaited } = setUp()
    awaited.value = true
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    ledger.update([REPORT], false)
    expect(ledger.usable(endpointOf(ledger))).to.equal(false)
    ledger.update([{ ...REPORT, capacity: { ...REPORT.capacity, cpuMilli: 14_000 } }], true)
    expect(ledger.usable(endpointOf(ledger))).to.equal(true)
    expect(freeCapacityOf(endpointOf(ledger)).cpuMilli).to.equal(14_000)
  })

  it('gives no work to an endpoint that is missing from the first list since the takeover: the entry known from before may be outdated', () => {
    const { ctx, ledger } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    ledger.update([], true)
    expect(ledger.usable(endpointOf(ledger))).to.equal(false)
    ledger.update([REPORT], true)
    expect(ledger.usable(endpointOf(ledger))).to.equal(true)
    ledger.update([], true)
    expect(ledger.usable(endpointOf(ledger))).to.equal(true)
  })

  it('keeps the capacity of an unanswered start reserved until that start can no longer take effect', () => {
    const { ctx, ledger, listener } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    const run = ledger.start(endpointOf(ledger), TASK, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
    for (let i = 0; i < 3; i++) {
      ctx.now = ms(ctx.now + 100)
      ledger.startOutcome(ID, run.orderId, { type: 'silent' })
    }
    expect(freeCapacityOf(endpointOf(ledger)).cpuMilli).to.equal(18_000)
    answerHold(ctx, ledger, listing(run.notAfter))
    expect(listener.events).to.deep.equal([])
    ctx.now = ms(ctx.now + 10)
    answerHold(ctx, ledger, listing(run.notAfter + 1))
    expect(listener.events).to.deep.equal(['rejected 1 neverArrived'])
    expect(freeCapacityOf(endpointOf(ledger)).cpuMilli).to.equal(32_000)
  })

  it('lets runs finish at an endpoint that is no longer listed, and gives it no more work', () => {
    const { ctx, ledger, listener } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    const run = ledger.start(endpointOf(ledger), TASK, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
    ledger.startOutcome(ID, run.orderId, { type: 'started', clock: 510 as EndpointClockMs })
    ledger.markUnlisted(ID)
    expect(listener.events).to.deep.equal(['started 1'])
    expect(ledger.usable(endpointOf(ledger))).to.equal(false)
    ctx.now = ms(ctx.now + 100)
    answerHold(ctx, ledger, listing(600, [], [{ sequence: 1, task: TASK, run: 1, how: 'done' }]))
    ledger.tick()
    expect(listener.events).to.deep.equal(['started 1', 'done 1'])
    expect(ledger.db.get(ID)).to.equal(undefined)
  })

  it('uses an unlisted endpoint again once the store lists it again', () => {
    const { ctx, ledger } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    ledger.start(endpointOf(ledger), TASK, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
    ledger.markUnlisted(ID)
    ledger.update([REPORT], true)
    expect(ledger.usable(endpointOf(ledger))).to.equal(true)
  })

  it('gives no work to an endpoint with a found run of unknown needs, even while that run is being stopped', () => {
    const { ctx, ledger, listener } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500, [{ task: TASK, run: 3, percent: 10 }]))
    expect(listener.events).to.deep.equal(['found 3'])
    const run = ledger.db.runOf(TASK)
    if (run === undefined) throw new Error('run is missing')
    ledger.stop(run)
    expect(freeCapacityOf(endpointOf(ledger)).cpuMilli).to.equal(0)
    answerHold(ctx, ledger, listing(540, [], [{ sequence: 1, task: TASK, run: 3, how: 'stopped' }]))
    expect(freeCapacityOf(endpointOf(ledger)).cpuMilli).to.equal(32_000)
  })

  it('reports the runs of an endpoint that does not answer as lost only after their leases have run out', () => {
    const { ctx, ledger, listener } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    const run = ledger.start(endpointOf(ledger), TASK, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
    ledger.startOutcome(ID, run.orderId, { type: 'started', clock: 500 as EndpointClockMs })
    const holdSentAt = ctx.now
    for (let i = 0; i < 40 && listener.events.length < 2; i++) {
      const hold = takeEffects(ctx, 'hold').at(-1)
      ctx.now = ms(ctx.now + 100)
      if (hold !== undefined) ledger.holdOutcome(ID, hold.orderId, { type: 'silent' })
      ledger.tick()
    }
    expect(listener.events).to.deep.equal(['started 1', 'lost 1'])
    expect(listener.losses).to.deep.equal(['silent, 1 there'])
    expect(ctx.now - holdSentAt).to.be.greaterThan(SHARD_DEFAULTS.leaseMs)
  })

  it('stops renewing leases at an endpoint that does not answer, so that the leases run out', () => {
    const { ctx, ledger } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    ledger.start(endpointOf(ledger), TASK, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
    const extensions: (number | undefined)[] = []
    for (let i = 0; i < 12; i++) {
      const hold = takeEffects(ctx, 'hold').at(-1)
      ctx.now = ms(ctx.now + 100)
      if (hold !== undefined) {
        extensions.push(hold.extendTo)
        ledger.holdOutcome(ID, hold.orderId, { type: 'silent' })
      }
      ledger.tick()
    }
    expect(extensions.slice(0, 2).every(extension => extension !== undefined)).to.equal(true)
    expect(extensions.slice(2).every(extension => extension === undefined)).to.equal(true)
  })

  it('reports the runs of a restarted endpoint as lost', () => {
    const { ctx, ledger, listener } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    const run = ledger.start(endpointOf(ledger), TASK, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
    ledger.startOutcome(ID, run.orderId, { type: 'started', clock: 510 as EndpointClockMs })
    listener.events.length = 0
    answerHold(ctx, ledger, listing(3, [], [], 900))
    expect(listener.events).to.deep.equal(['lost 1'])
    expect(listener.losses).to.deep.equal(['restarted, 1 there'])
  })

  it('takes no run for lost with a restarted endpoint that it has started, or ended, since it is back', () => {
    for (const ended of [false, true]) {
      const { ctx, ledger, listener } = setUpWithRun()
      answerHold(ctx, ledger, ended ? listing(20, [], [{ sequence: 1, task: TASK, run: 1, how: 'done' }], 6) : listing(20, [{ task: TASK, run: 1, percent: 10 }], [], 6))
      expect(listener.events).to.deep.equal(['started 1', ...ended ? ['done 1'] : []])
      expect(listener.losses).to.deep.equal([])
    }
  })

  it('does not count runs that a restarted endpoint has started since among those that were there when it crashed', () => {
    const { ctx, ledger, listener } = setUpWithRun()
    const other = ledger.start(endpointOf(ledger), 'other.0.0.0' as TaskName, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
    ledger.startOutcome(ID, other.orderId, { type: 'started', clock: 10 as EndpointClockMs })
    answerHold(ctx, ledger, listing(20, [{ task: other.task, run: 1, percent: 10 }], [], 6))
    expect(listener.losses).to.deep.equal(['restarted, 1 there'])
  })

  it('reports that an endpoint refused connections before the leases of its runs ended', () => {
    const { ctx, ledger, listener } = setUpWithRun()
    for (let i = 0; i < 40 && listener.losses.length === 0; i++) {
      const hold = takeEffects(ctx, 'hold').at(-1)
      ctx.now = ms(ctx.now + 100)
      if (hold !== undefined) ledger.holdOutcome(ID, hold.orderId, { type: i === 1 ? 'refused' : 'silent' })
      ledger.tick()
    }
    expect(listener.losses).to.deep.equal(['refused, 1 there'])
    expect(listener.refusals).to.deep.equal(['refused'])
  })

  it('reports that an endpoint had not crashed also when this process was paused in between', () => {
    const { ctx, ledger, listener } = setUpWithRun()
    ledger.holdOutcome(ID, takeEffects(ctx, 'hold').at(-1)?.orderId ?? 0, { type: 'refused' })
    ledger.requireFreshAnswers()
    answerHold(ctx, ledger, listing(600, [{ task: TASK, run: 1, percent: 10 }]))
    expect(listener.refusals).to.deep.equal(['refused', 'back'])
  })

  for (const { bornAt, verdict } of [{ bornAt: 5, verdict: 'back' }, { bornAt: 900, verdict: 'had crashed under 1' }]) {
    it(`learns from the next answer of an endpoint whether it had crashed under runs that were lost in silence: ${verdict}`, () => {
      const { ctx, ledger, listener } = setUpWithRun()
      ledger.holdOutcome(ID, takeEffects(ctx, 'hold').at(-1)?.orderId ?? 0, { type: 'silent' })
      ctx.now = ms(ctx.now + 2 * SHARD_DEFAULTS.leaseMs)
      ledger.tick()
      expect(listener.losses).to.deep.equal(['silent, 1 there'])
      answerHold(ctx, ledger, listing(2500, [], [], bornAt))
      expect(listener.refusals).to.deep.equal([verdict])
    })
  }

  it('gives up a start at once that was refused, since it never arrived, and does not count a crash against it', () => {
    const { ledger, listener } = setUpWithRun()
    const later = ledger.start(endpointOf(ledger), 'job.0.0.1' as TaskName, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
    ledger.startOutcome(ID, later.orderId, { type: 'refused' })
    expect(listener.events).to.deep.equal(['started 1', 'rejected 1 refused'])
    expect(endpointOf(ledger).runsAtRefusal?.map(({ task }) => task)).to.deep.equal([TASK])
    expect(ledger.usable(endpointOf(ledger))).to.equal(false)
  })

  it('keeps a start reserved that was refused only when it was sent again', () => {
    const { ctx, ledger, listener } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    const run = ledger.start(endpointOf(ledger), TASK, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
    ledger.startOutcome(ID, run.orderId, { type: 'silent' })
    ledger.startOutcome(ID, run.orderId, { type: 'refused' })
    expect(listener.events).to.deep.equal([])
    expect(freeCapacityOf(endpointOf(ledger)).cpuMilli).to.equal(18_000)
    expect(endpointOf(ledger).runsAtRefusal?.map(({ task }) => task)).to.deep.equal([TASK])
  })

  it('reports that an endpoint had not crashed when it answers again in the same incarnation, even after its runs were lost', () => {
    const { ctx, ledger, listener } = setUpWithRun()
    const hold = takeEffects(ctx, 'hold').at(-1)
    ledger.holdOutcome(ID, hold?.orderId ?? 0, { type: 'refused' })
    ctx.now = ms(ctx.now + 2 * SHARD_DEFAULTS.leaseMs)
    ledger.tick()
    expect(listener.events).to.include('lost 1')
    answerHold(ctx, ledger, listing(2500))
    expect(listener.refusals).to.deep.equal(['refused', 'back'])
  })

  it('restarts no task and places nothing there while its start, sent to the earlier incarnation, may still be carried out by the new one', () => {
    const { ctx, ledger, listener } = setUp()
    ledger.adopt([REPORT])
    answerHold(ctx, ledger, listing(500))
    const run = ledger.start(endpointOf(ledger), TASK, 1, { spec: 'text', needs: NEEDS, expectedMs: 100, exclusive: false, lease: LEASE })
    answerHold(ctx, ledger, listing(3, [], [], 900))
    expect(listener.events).to.deep.equal([])
    ledger.update([{ ...REPORT, bornAt: 900 }], true)
    expect(ledger.usable(endpointOf(ledger))).to.equal(false)
    ctx.now = ms(ctx.now + 1000)
    answerHold(ctx, ledger, listing(1000, [{ task: TASK, run: 1, percent: 10 }], [], 900))
    expect(run.state).to.equal('running')
    expect(listener.events).to.include('started 1')
  })

  it('reports a shard as superseded only when the refused token is the one in force', () => {
    const { ctx, ledger, listener, tokens } = setUp()
    ledger.adopt([REPORT])
    const hold = takeEffects(ctx, 'hold').at(-1)
    tokens.value = 8
    ledger.holdOutcome(ID, hold?.orderId ?? 0, { type: 'fenced' })
    expect(listener.events).to.deep.equal([])
    const promptHold = takeEffects(ctx, 'hold').at(-1)
    ctx.now = ms(ctx.now + SHARD_DEFAULTS.idleHoldPeriodMs)
    ledger.tick()
    const nextHold = promptHold ?? takeEffects(ctx, 'hold').at(-1)
    ledger.holdOutcome(ID, nextHold?.orderId ?? 0, { type: 'fenced' })
    expect(listener.events).to.deep.equal(['superseded'])
  })
})
