import { expect } from 'chai'
import type { EndpointReport } from '@cranberryyard/protocol'
import { listenHttp, sendJson } from '@cranberryyard/fakes'
import type { ShardInput } from '@cranberryyard/core/shard'
import { StoreTask } from './storeTask.js'
import type { StoreWire } from './wires.js'

const call = { method: 'GET', path: '/' } as const

/** A wire whose every list has one entry and two that cannot be read. */
function wireTo (address: string): StoreWire {
  return {
    address,
    readDesired: () => call,
    parseDesired: () => ({ type: 'state', state: undefined, asOf: 1, unreadable: true }),
    watchDesired: () => ({ ...call, path: '/watch' }),
    parseDesiredWatch: () => ({ type: 'state', state: undefined, asOf: 1, unreadable: true }),
    listEndpoints: () => call,
    parseEndpoints: () => ({ type: 'page', entries: [{} as EndpointReport], nextAfter: undefined, unreadable: 2 }),
    listRecords: () => call,
    parseRecords: () => ({ type: 'page', entries: [], nextAfter: undefined, unreadable: 0 }),
    writeMember: () => call,
    claimShard: () => call,
    parseWrite: () => ({ type: 'written', revision: 1 })
  }
}

describe('the store task', () => {
  it('passes on what can be read and logs what cannot, once', async () => {
    const server = await listenHttp(0, (req, res) => {
      if (req.url !== '/watch') sendJson(res, 200, {})
    })
    const logged: string[] = []
    const inputs: ShardInput['type'][] = []
    let listed = (): void => {}
    const seen = new Promise<void>((resolve) => {
      listed = resolve
    })
    const task = new StoreTask(wireTo(`127.0.0.1:${server.port}`), (input) => {
      inputs.push(input.type)
      if (inputs.includes('endpoints') && inputs.includes('records') && logged.length === 2) listed()
    }, () => 0, (list, entries) => {
      logged.push(`${list} ${entries}`)
      if (inputs.includes('endpoints') && inputs.includes('records') && logged.length === 2) listed()
    })
    task.start()
    await seen
    await task.close()
    await server.close()
    expect(logged).to.have.members(['desiredState 1', 'endpoints 2'])
  })

  it('reads the list of endpoints at once, and not stale, when this instance becomes an owner', async () => {
    const server = await listenHttp(0, (req, res) => {
      if (req.url !== '/watch') sendJson(res, 200, {})
    })
    const stale: boolean[] = []
    const fresh: boolean[] = []
    let listed = (): void => {}
    const nextList = (): Promise<void> => new Promise((resolve) => {
      listed = resolve
    })
    const wire: StoreWire = {
      ...wireTo(`127.0.0.1:${server.port}`),
      listEndpoints: (_after, mayBeStale) => {
        stale.push(mayBeStale)
        return call
      }
    }
    const task = new StoreTask(wire, (input) => {
      if (input.type !== 'endpoints') return
      fresh.push(input.fresh)
      listed()
    }, () => 0, () => {})
    task.setPace('far')
    const first = nextList()
    task.start()
    await first
    // The next reading of an instance that is far from owning is many seconds away.
    await new Promise(resolve => setTimeout(resolve, 50))
    const second = nextList()
    task.setPace('owner')
    await second
    await task.close()
    await server.close()
    expect([stale, fresh]).to.deep.equal([[true, false], [false, true]])
  }).timeout(6000)
})
