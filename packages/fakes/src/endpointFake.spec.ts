import { expect } from 'chai'
import type { StartRequest, TaskId } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { EndpointFake } from './endpointFake.js'

const TASKS = 60

describe('the stand-in for an endpoint', () => {
  it('answers for no task before the end that its log records', async () => {
    const fake = new EndpointFake({ slots: TASKS, cores: TASKS, memoryMb: TASKS, accelerators: 0 })
    const port = await fake.listen()
    const answeredAt = await Promise.all(Array.from({ length: TASKS }, async (_, i) => {
      const request: StartRequest = { taskId: `t/${i}` as TaskId, holder: 'h', cores: 1, memoryMb: 1, accelerators: 0, leaseMs: ms(5000), notAfter: ms(Date.now() + 5000), payload: { runMs: 20 + i * 1.37 } }
      const res = await fetch(`http://127.0.0.1:${port}/v1/start`, { method: 'POST', body: JSON.stringify(request) })
      await res.text()
      return performance.now()
    }))
    const early = fake.model.log.filter(({ taskId, endedAt }) => (endedAt ?? Infinity) > (answeredAt[Number(taskId.slice(2))] ?? 0))
    await fake.close()
    expect(early.map(({ taskId }) => taskId)).to.deep.equal([])
  })
})
