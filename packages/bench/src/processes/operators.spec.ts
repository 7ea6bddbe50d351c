import { expect } from 'chai'
import { startDevelopment } from '@cranberryyard/dispatcher'
import type { Development } from '@cranberryyard/dispatcher'
import { contractSchema } from '@cranberryyard/protocol'

const TEN_MB = 10 * 1024 * 1024

interface Reply {
  readonly code: number
  readonly field?: string
}

describe('changes at the operator port', function () {
  this.timeout(30_000)
  let development: Development

  before(async () => {
    development = await startDevelopment(2)
    for (let i = 0; i < 100 && !await isServing(development); i++) await new Promise(resolve => setTimeout(resolve, 50))
  })
  after(() => development.close())

  async function change (body: unknown, key = development.teamKey): Promise<Reply> {
    const res = await fetch(`http://127.0.0.1:${development.ports.operator}/v1/changes`, {
      method: 'POST',
      body: typeof body === 'string' ? body : JSON.stringify(body),
      headers: { authorization: `Bearer ${key}` }
    })
    return await res.json() as Reply
  }

  const contract = contractSchema.parse({
    customer: 'new-customer',
    limits: { running: 5 },
    bounds: { running: 9 },
    kinds: [{ name: 'compute', idempotent: true, answerWithinMs: 1000 }]
  })
  const contractChange = (c: unknown, changeId: string) => ({ changeId, reason: 'test', change: { type: 'contract', contract: c, expectedRevision: 0 } })

  it('refuses a body of ten megabytes without reading it all', async () => {
    const outcome = await change('x'.repeat(TEN_MB)).then(r => r.code, () => 'disconnected')
    expect(outcome).to.be.oneOf([1003, 'disconnected'])
    expect(await isServing(development)).to.equal(true)
  })

  it('refuses an unknown key', async () => {
    expect((await change(contractChange(contract, 'change-a1'), 'nobody')).code).to.equal(1004)
  })

  it('refuses the key of a caller', async () => {
    expect((await change(contractChange(contract, 'change-a2'), development.callerKey)).code).to.equal(1004)
  })

  it('names the invalid field of a contract', async () => {
    expect(await change(contractChange({ ...contract, limits: { running: -1 } }, 'change-a3'))).to.include({ code: 4004, field: 'limits.running' })
  })

  it('refuses a customer name with path characters', async () => {
    expect((await change(contractChange({ ...contract, customer: '../../fleet' }, 'change-a4'))).code).to.equal(4011)
  })

  it('accepts a contract, and accepts the same change again', async () => {
    expect((await change(contractChange(contract, 'change-a5'))).code).to.equal(0)
    expect((await change(contractChange(contract, 'change-a5'))).code).to.equal(0)
  })

  it('refuses a change id that was used for a different change', async () => {
    expect((await change(contractChange({ ...contract, weight: 3 }, 'change-a5'))).code).to.equal(4010)
  })
})

async function isServing ({ ports }: Development): Promise<boolean> {
  const res = await fetch(`http://127.0.0.1:${ports.caller}/healthz`)
  await res.arrayBuffer()
  return res.status === 200
}
