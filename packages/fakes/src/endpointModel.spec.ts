import { expect } from 'chai'
import type { Ms, TaskId } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { EndpointModel } from './endpointModel.js'

const LEASE_MS = ms(500)
const NEVER: Ms = ms(1e15)
const TASK = 't' as TaskId

function startedModel (runMs: number): { model: EndpointModel, outcomes: string[] } {
  const model = new EndpointModel({ slots: 2, cores: 32, memoryMb: 1000, accelerators: 0 })
  const outcomes: string[] = []
  model.start({ taskId: TASK, holder: 'h', leaseMs: LEASE_MS, notAfter: NEVER, cores: 1, memoryMb: 1, accelerators: 0, payload: { runMs } }, 0, 0, outcome => outcomes.push(outcome.type))
  return { model, outcomes }
}

describe('the endpoint model', () => {
  it('records the expiry of a lease as the end of a task, even if it is advanced later', () => {
    const { model, outcomes } = startedModel(2000)
    model.advance(LEASE_MS + 300)
    expect([model.log[0]?.endedAt, ...outcomes]).to.deep.equal([LEASE_MS, 'stopped'])
  })

  it('does not renew a lease that expired before the model was advanced', () => {
    const { model, outcomes } = startedModel(2000)
    expect(model.renew([TASK], LEASE_MS + 1, 0, NEVER)).to.deep.equal([])
    expect([model.log[0]?.endedAt, ...outcomes]).to.deep.equal([LEASE_MS, 'stopped'])
  })

  it('returns the result of a task that finished before a stop, even if it is advanced only by the stop', () => {
    const { model, outcomes } = startedModel(100)
    model.stop([TASK], 200)
    expect([model.log[0]?.endedAt, ...outcomes]).to.deep.equal([100, 'done'])
  })
})
