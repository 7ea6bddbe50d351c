import { expect } from 'chai'
import type { EndpointId, EndpointReport, FailureDomain, InstanceId, ServiceName } from '@cranberryyard/protocol'
import { ms } from '@cranberryyard/protocol'
import { SHARD_DEFAULTS } from './settings.js'
import { ShardInstance } from './shardInstance.js'
import type { ShardInput } from './types.js'

const ENDPOINT: EndpointReport = {
  id: 'e' as EndpointId,
  service: 's' as ServiceName,
  address: 'e',
  failureDomain: 'd' as FailureDomain,
  draining: false,
  capacity: { cpuMilli: 1000, memoryMb: 1000, accelerators: 0 },
  labels: [],
  bornAt: 1
}

/** Lets an instance take lists and time pass. @returns names of what it logged */
function events (inputs: readonly (readonly [number, ShardInput])[]): string[] {
  const instance = new ShardInstance({ self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })
  return inputs.flatMap(([at, input]) => instance.handle(input, ms(at), ms(at))).flatMap(effect => effect.type === 'log' ? [effect.event] : [])
}

const list = (...reports: EndpointReport[]): ShardInput => ({ type: 'endpoints', reports, fresh: false })
const TICK: ShardInput = { type: 'tick' }
const REACHABLE: ShardInput = { type: 'storeReachable', reachable: true }

describe('the list of endpoints', () => {
  const { missingMs } = SHARD_DEFAULTS

  it('does not make an endpoint gone by one list that leaves it out, however long ago', () => {
    const inputs: [number, ShardInput][] = [[0, REACHABLE], [1, list(ENDPOINT)], [100, list()], [100 + missingMs + 1, TICK], [200 + missingMs, list(ENDPOINT)]]
    expect(events(inputs)).not.to.include('endpoint.gone')
  })

  it('makes an endpoint gone that lists leave out for the whole span', () => {
    expect(events([[0, REACHABLE], [1, list(ENDPOINT)], [100, list()], [101 + missingMs, list()]])).to.include('endpoint.gone')
  })
})
