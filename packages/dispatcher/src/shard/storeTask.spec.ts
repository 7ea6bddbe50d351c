import { expect } from 'chai'
import type { EndpointReport, FailureDomain } from '@cranberryyard/protocol'
import { systemClock } from '@cranberryyard/protocol'
import { listenHttp, sendJson } from '@cranberryyard/fakes'
import type { ShardInput } from '@cranberryyard/core/shard'
import { StoreTask } from './storeTask.js'
import type { DesiredAnswer, DesiredReadResult, StoreWire } from './wires.js'

const call = { method: 'GET', path: '/' } as const

/** A store adapter without a real store: the desired state is unreadable, and the list of endpoints has one valid and two unreadable entries. */
function stubStoreWire (address: string): StoreWire {
  return {
    address,
    readDesired: () => call,
    parseDesired: () => ({ type: 'state', state: undefined, asOf: 1, unreadable: { key: 'op', reason: 'torn' } }),
    watchDesired: () => ({ ...call, path: '/watch' }),
    parseDesiredWatch: () => ({ type: 'state', state: undefined, asOf: 1, unreadable: { key: 'op', reason: 'torn' } }),
    listEndpoints: () => call,
    parseEndpoints: () => ({ type: 'page', entries: [{} as EndpointReport], nextAfter: undefined, unreadable: [{ key: 'one', reason: 'torn' }, { key: 'two', reason: 'odd' }] }),
    listRecords: () => call,
    parseRecords: () => ({ type: 'page', entries: [], nextAfter: undefined, unreadable: [] }),
    writeMember: () => call,
    claimShard: () => call,
    parseWrite: () => ({ type: 'written', revision: 1 })
  }
}

describe('the store task', () => {
  let closeAll = (): Promise<void> => Promise.resolve()

  it('posts the readable entries of a list, logs the number of unreadable ones once, and names each', async () => {
    const server = await listenHttp(0, (req, res) => {
      if (req.url !== '/watch') sendJson(res, 200, {})
    })
    const logged: string[] = []
    const named = new Set<string>()
    const inputs: ShardInput['type'][] = []
    let resolveReported = (): void => {}
    const allReported = new Promise<void>((resolve) => {
      resolveReported = resolve
    })
    const task = new StoreTask(stubStoreWire(`127.0.0.1:${server.port}`), (input) => {
      inputs.push(input.type)
      if (inputs.includes('endpoints') && inputs.includes('records') && logged.length === 2) resolveReported()
    }, () => 0, systemClock, {
      unreadable: (list, entries) => {
        logged.push(`${list} ${entries}`)
        if (inputs.includes('endpoints') && inputs.includes('records') && logged.length === 2) resolveReported()
      },
      unreadableEntry: (list, { key, reason }) => named.add(`${list} ${key}: ${reason}`),
      failedCall: () => {},
      failedRead: () => {},
      desiredRead: () => {}
    })
    task.start()
    await allReported
    await task.close()
    await server.close()
    expect(logged).to.have.members(['desiredState 1', 'endpoints 2'])
    expect([...named]).to.have.members(['desiredState op: torn', 'endpoints one: torn', 'endpoints two: odd'])
  })

  it('logs reads that gave nothing usable, with the reason, and the arrival of a version', async () => {
    let served = 0
    const server = await listenHttp(0, (_req, res) => sendJson(res, served++ < 6 ? 503 : 200, { text: 'x' }))
    const failed = new Set<string>()
    let resolveRead: (version: number) => void = () => {}
    const read = new Promise<number>((resolve) => {
      resolveRead = resolve
    })
    const wire: StoreWire = {
      ...stubStoreWire(`127.0.0.1:${server.port}`),
      parseDesired: ({ status }) => status === 503 ? { type: 'unavailable' } : { type: 'state', state: { version: 7, queues: [], services: [] }, asOf: 1, unreadable: undefined },
      parseEndpoints: () => ({ type: 'unavailable' })
    }
    const task = new StoreTask(wire, () => {}, () => 0, systemClock, {
      unreadable: () => {},
      unreadableEntry: () => {},
      failedCall: () => {},
      failedRead: (list, { why, isWatch }) => failed.add(`${list} ${why} ${isWatch}`),
      desiredRead: version => resolveRead(version)
    })
    task.start()
    expect(await read).to.equal(7)
    await task.close()
    await server.close()
    expect([...failed]).to.include.members(['desiredState status 503 false', 'endpoints status 503 false'])
  })

  it('has a version soon after a store that was silent answers again, also when a call is on its way then', async () => {
    const callsOnTheWay = 4
    let watches = 0
    let backAt = Infinity
    const server = await listenHttp(0, (req, res) => {
      if (req.url !== '/watch') return sendJson(res, 200, {})
      // The store answers again right after it has let the last of these calls pass unanswered.
      if (++watches === callsOnTheWay) backAt = performance.now()
      if (watches > callsOnTheWay) sendJson(res, 200, {})
    })
    const wire: StoreWire = {
      ...stubStoreWire(`127.0.0.1:${server.port}`),
      parseDesired: () => ({ type: 'state', state: undefined, asOf: 1, unreadable: undefined }),
      parseDesiredWatch: () => ({ type: 'state', state: { version: 2, queues: [], services: [] }, asOf: 2, unreadable: undefined })
    }
    const heardAt = await new Promise<number>((resolve) => {
      const task = new StoreTask(wire, (input) => {
        if (input.type !== 'desired') return
        void task.close()
        resolve(performance.now())
      }, () => 1, systemClock, { unreadable: () => {}, unreadableEntry: () => {}, failedCall: () => {}, failedRead: () => {}, desiredRead: () => {} })
      task.start()
    })
    await server.close()
    // An instance counts as in contact with the store 3 s after the end of an outage (bound of the platform).
    expect(heardAt - backAt).to.be.lessThan(3000)
  }).timeout(30_000)

  it('reads the list of endpoints at once, without allowing a stale read, when this instance becomes an owner', async () => {
    const server = await listenHttp(0, (req, res) => {
      if (req.url !== '/watch') sendJson(res, 200, {})
    })
    const allowedStale: boolean[] = []
    const reportedFresh: boolean[] = []
    let resolveNextList = (): void => {}
    const nextList = (): Promise<void> => new Promise((resolve) => {
      resolveNextList = resolve
    })
    const wire: StoreWire = {
      ...stubStoreWire(`127.0.0.1:${server.port}`),
      listEndpoints: (_after, mayBeStale) => {
        allowedStale.push(mayBeStale)
        return call
      }
    }
    const task = new StoreTask(wire, (input) => {
      if (input.type !== 'endpoints') return
      reportedFresh.push(input.fresh)
      resolveNextList()
    }, () => 0, systemClock, { unreadable: () => {}, unreadableEntry: () => {}, failedCall: () => {}, failedRead: () => {}, desiredRead: () => {} })
    task.setPace('far')
    const first = nextList()
    task.start()
    await first
    // At the pace `far` the next read would follow only after many seconds.
    await new Promise(resolve => setTimeout(resolve, 50))
    const second = nextList()
    task.setPace('owner')
    await second
    await task.close()
    await server.close()
    expect([allowedStale, reportedFresh]).to.deep.equal([[true, false], [false, true]])
  }).timeout(6000)

  it('goes on at the address to which the store has moved', async () => {
    const before = await listenHttp(0, (req, res) => {
      if (req.url !== '/watch') sendJson(res, 200, {})
    })
    const after = await listenHttp(0, (_req, res) => sendJson(res, 200, {}))
    const wire = stubStoreWire(`127.0.0.1:${before.port}`)
    const versionAfterMove = await new Promise<number>((resolve) => {
      const task = new StoreTask(wire, (input) => {
        if (input.type !== 'desired') return
        void task.close()
        resolve(input.state.version)
      }, () => 0, systemClock, { unreadable: () => {}, unreadableEntry: () => {}, failedCall: () => {}, failedRead: () => {}, desiredRead: () => {} })
      task.start()
      void before.close()
      task.moveTo({ ...stubStoreWire(`127.0.0.1:${after.port}`), parseDesiredWatch: () => ({ type: 'state', state: { version: 8, queues: [], services: [] }, asOf: 2, unreadable: undefined }) })
    })
    await after.close()
    expect(versionAfterMove).to.equal(8)
  }).timeout(10_000)

  /** Plays answers to the reads in full and to the watches, each in turn, and collects what is posted until both are used up. */
  async function postedFor (full: readonly DesiredReadResult[], watches: readonly DesiredReadResult[]): Promise<{ readonly posted: string[], readonly calls: string[] }> {
    const posted: string[] = []
    const calls: string[] = []
    const [fullLeft, watchesLeft] = [[...full], [...watches]]
    let resolveUsedUp = (): void => {}
    const usedUp = new Promise<void>((resolve) => {
      resolveUsedUp = resolve
    })
    const server = await listenHttp(0, (req, res) => {
      const isWatch = req.url?.startsWith('/watch') === true
      if (!isWatch && req.url !== '/full') return sendJson(res, 200, {})
      if ((isWatch ? watchesLeft : fullLeft).length === 0) return resolveUsedUp()
      calls.push(req.url ?? '')
      sendJson(res, 200, {})
    })
    const next = (left: DesiredReadResult[]): DesiredReadResult => left.shift() ?? { type: 'forgotten' }
    const task = new StoreTask({
      ...stubStoreWire(`127.0.0.1:${server.port}`),
      readDesired: () => ({ ...call, path: '/full' }),
      parseDesired: () => next(fullLeft),
      watchDesired: after => ({ ...call, path: `/watch${after}` }),
      parseDesiredWatch: () => next(watchesLeft)
    }, (input) => {
      if (input.type === 'evacuations') posted.push(`${input.evacuations.revision} ${input.evacuations.domains.join()}`)
      if (input.type === 'desired') posted.push(`version ${input.state.version}`)
    }, () => 0, systemClock, { unreadable: () => {}, unreadableEntry: () => {}, failedCall: () => {}, failedRead: () => {}, desiredRead: () => {} })
    task.start()
    await usedUp
    await task.close()
    await server.close()
    return { posted, calls }
  }

  function answer (asOf: number, version: number | undefined, ...changes: readonly string[]): DesiredAnswer {
    const entries = changes.map(change => ({ failureDomain: change.slice(1) as FailureDomain, evacuated: change.startsWith('+') }))
    return { type: 'state', state: version === undefined ? undefined : { version, queues: [], services: [] }, asOf, unreadable: undefined, evacuations: { entries, unreadable: [] } }
  }

  it('posts the evacuations as of each answer, before the desired state, and reads them again when the store has forgotten the revision', async () => {
    const { posted, calls } = await postedFor(
      [{ ...answer(4, undefined, '+a'), nextAfter: 'x' }, answer(5, 1, '+b'), answer(30, 2, '+c')],
      [answer(6, undefined, '-a', '+d'), answer(8, undefined), { type: 'forgotten' }, answer(31, undefined, '+a', '-a')]
    )
    expect(calls).to.deep.equal(['/full', '/full', '/watch4', '/watch6', '/watch8', '/full', '/watch30'])
    expect(posted).to.deep.equal(['4 a,b', 'version 1', '6 b,d', '8 b,d', '30 c', 'version 2', '31 c'])
  })

  it('reads the newest of versions that come in quick succession, without those in between', async () => {
    const { posted, calls } = await postedFor([answer(4, 1), answer(40, 9)], [answer(5, 2)])
    expect(calls).to.deep.equal(['/full', '/watch4', '/full'])
    expect(posted.filter(input => input.startsWith('version'))).to.deep.equal(['version 1', 'version 2', 'version 9'])
    const slow = await postedFor([answer(4, undefined), answer(40, 9)], [{ ...answer(5, 2), hasOlderVersions: true }])
    expect(slow.calls).to.deep.equal(['/full', '/watch4', '/full'])
  })

  it('reads the newest version in full after a watch of which so much arrived that the rest did not come in time', async () => {
    const calls: string[] = []
    await new Promise<void>((resolve) => {
      void listenHttp(0, (req, res) => {
        if (req.url !== '/watch' && req.url !== '/full') return sendJson(res, 200, {})
        calls.push(req.url)
        if (calls.length === 3) resolve()
        else if (req.url === '/watch') res.writeHead(200).write('x'.repeat(100_000))
        else sendJson(res, 200, {})
      }).then((server) => {
        const wire: StoreWire = { ...stubStoreWire(`127.0.0.1:${server.port}`), readDesired: () => ({ ...call, path: '/full' }) }
        const task = new StoreTask(wire, () => {}, () => 0, systemClock, { unreadable: () => {}, unreadableEntry: () => {}, failedCall: () => {}, failedRead: () => {}, desiredRead: () => {} })
        task.start()
        closeAll = async () => {
          await task.close()
          await server.close()
        }
      })
    })
    await closeAll()
    expect(calls).to.deep.equal(['/full', '/watch', '/full'])
  }).timeout(10_000)
})
