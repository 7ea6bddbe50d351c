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

/**
 * Passes timed inputs to a new instance.
 * @returns the names of the log events
 */
function loggedEvents (inputs: readonly (readonly [number, ShardInput])[]): string[] {
  const instance = new ShardInstance({ self: { instance: 'me' as InstanceId, incarnation: 1, failureDomain: 'd' as FailureDomain, address: 'me', cpuMilli: 500 }, cfg: SHARD_DEFAULTS })
  return inputs.flatMap(([at, input]) => instance.handle(input, ms(at), ms(at))).flatMap(effect => effect.type === 'log' ? [effect.event] : [])
}

const listInput = (...reports: EndpointReport[]): ShardInput => ({ type: 'endpoints', reports, fresh: false })
const TICK: ShardInput = { type: 'tick' }
const REACHABLE: ShardInput = { type: 'storeReachable', reachable: true }

describe('the list of endpoints', () => {
  const { missingEndpointRetentionMs } = SHARD_DEFAULTS

  it('does not remove an endpoint after a single list without it, however long ago that was', () => {
    const inputs: [number, ShardInput][] = [[0, REACHABLE], [1, listInput(ENDPOINT)], [100, listInput()], [100 + missingEndpointRetentionMs + 1, TICK], [200 + missingEndpointRetentionMs, listInput(ENDPOINT)]]
    expect(loggedEvents(inputs)).not.to.include('endpoint.gone')
  })

  it('removes an endpoint that lists leave out for the whole retention period', () => {
    expect(loggedEvents([[0, REACHABLE], [1, listInput(ENDPOINT)], [100, listInput()], [101 + missingEndpointRetentionMs, listInput()]])).to.include('endpoint.gone')
  })
})
