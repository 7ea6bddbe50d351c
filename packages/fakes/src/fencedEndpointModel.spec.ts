import { expect } from 'chai'
import { FencedEndpointModel, SLOWEST_CLOCK_RATE } from './fencedEndpointModel.js'
import type { ModelEnd } from './fencedEndpointModel.js'

const LONG = { cpuMilli: 1000, workMs: 60_000, fails: false }

/** Starts a run at 0 with a lease of 300 ms, sends a second start at 200, and finds the time at which the run lapses. */
function lapseAfter (second: { readonly task: string, readonly run: number, readonly untilMs: number }, clockRate = 1): number {
  const ends: { readonly how: ModelEnd['how'], readonly at: number }[] = []
  const endpoint = new FencedEndpointModel('e', 1000, 0, (_run, how, at) => ends.push({ how, at }), clockRate)
  endpoint.start(0, { token: 1, task: 'ended', run: 4, spec: { ...LONG, workMs: 1 }, untilMs: 300 })
  endpoint.start(0, { token: 1, task: 'a', run: 1, spec: LONG, untilMs: 300 })
  endpoint.start(200, { token: 1, spec: LONG, ...second })
  endpoint.advance(10_000)
  return ends.find(({ how }) => how === 'lapsed')?.at ?? Infinity
}

describe('the model of an endpoint', () => {
  it('extends the lease of all runs for a start that is repeated or refused as old, and never shortens it', () => {
    expect(lapseAfter({ task: 'a', run: 1, untilMs: 500 })).to.equal(500)
    expect(lapseAfter({ task: 'ended', run: 4, untilMs: 500 })).to.equal(500)
    expect(lapseAfter({ task: 'a', run: 1, untilMs: 250 })).to.equal(300)
  })

  it('measures the lease on its own clock, which may be slow', () => {
    expect(lapseAfter({ task: 'a', run: 1, untilMs: 490 }, SLOWEST_CLOCK_RATE)).to.equal(500)
  })
})
