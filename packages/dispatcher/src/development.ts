/**
 * Development mode (`cranberryyardd --dev`): a daemon with an in-memory platform, a sample endpoint and a sample
 * customer in the same process, without TLS. It needs no settings and no other service. Not for production use.
 */
import { EndpointFake, PlatformFake } from '@cranberryyard/fakes'
import { EMPTY_FLEET, contractSchema, settingsSchema } from '@cranberryyard/protocol'
import type { Contract, EndpointId, FailureDomain, Fleet } from '@cranberryyard/protocol'
import { Daemon } from './daemon.js'
import type { BoundPorts } from './daemon.js'
import { hashKey, newKey } from './utils/keys.js'
import { log } from './utils/log.js'

const DOMAIN = 'local' as FailureDomain
const SAMPLE_SIZE = { slots: 8, cores: 32, memoryMb: 131_072, accelerators: 0 }

/** A running development environment. */
export interface Development {
  readonly daemon: Daemon
  readonly ports: BoundPorts
  readonly callerKey: string
  readonly teamKey: string
  /** Text for the terminal: ports and keys. */
  readonly notice: string
  close (): Promise<void>
}

/**
 * Starts a daemon and the stand-ins for platform and endpoints on loopback.
 * @param endpoints - number of sample endpoints
 * @returns the daemon, its ports, and keys for the caller and operator ports
 */
export async function startDevelopment (endpoints = 1): Promise<Development> {
  const callerKey = newKey()
  const teamKey = newKey()
  const platform = new PlatformFake()
  const fakes = Array.from({ length: endpoints }, () => new EndpointFake(SAMPLE_SIZE, false))
  platform.endpoints = await Promise.all(fakes.map(async (fake, i) => ({
    id: `sample-${i + 1}` as EndpointId,
    failureDomain: DOMAIN,
    rack: 'local',
    address: `127.0.0.1:${await fake.listen()}`,
    leaving: false,
    ...SAMPLE_SIZE
  })))
  platform.store.write('fleet', JSON.stringify(sampleFleet(hashKey(callerKey))), 0)
  const settings = settingsSchema.parse({
    instance: { id: 'development', failureDomain: DOMAIN },
    listen: { callerPort: 0, operatorPort: 0, peerPort: 0 },
    callerTls: { plain: true },
    operatorTls: { plain: true },
    peerTls: { plain: true },
    platform: { address: `127.0.0.1:${await platform.listen()}` },
    operators: { teamKeys: [{ name: 'development', keyHash: hashKey(teamKey) }] }
  })
  const daemon = new Daemon(settings)
  const ports = await daemon.start()
  log.warn('development', { message: 'in-memory platform, sample endpoint, ports without TLS: not for production use' })
  const close = async (): Promise<void> => {
    await daemon.close()
    await Promise.all(fakes.map(f => f.close()))
    await platform.close()
  }
  return { daemon, ports, callerKey, teamKey, notice: noticeOf(ports, callerKey, teamKey), close }
}

function sampleFleet (callerHash: string): Fleet {
  const contract: Contract = contractSchema.parse({
    customer: 'sample',
    limits: { running: 1000 },
    bounds: { running: 1000 },
    kinds: [
      { name: 'compute', idempotent: true, answerWithinMs: 60_000, whenLate: 'runLate', runMs: 100 },
      { name: 'serial', idempotent: false, answerWithinMs: 10_000, runMs: 100 }
    ],
    callers: [{ name: 'sample', keyHash: callerHash }]
  })
  return { ...EMPTY_FLEET, version: 1, contracts: [{ revision: 1, contract }] }
}

function noticeOf (ports: BoundPorts, callerKey: string, teamKey: string): string {
  return [
    'DEVELOPMENT MODE: in-memory platform, one sample endpoint, ports without TLS. Not for production use.',
    `callers   http://127.0.0.1:${ports.caller}   key ${callerKey}`,
    `operators http://127.0.0.1:${ports.operator}   key ${teamKey}`
  ].join('\n')
}
