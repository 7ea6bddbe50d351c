import { expect } from 'chai'
import { EndpointFake, PlatformFake } from '@cranberryyard/fakes'
import { EMPTY_FLEET, contractSchema, settingsSchema } from '@cranberryyard/protocol'
import type { EndpointId, FailureDomain, Settings } from '@cranberryyard/protocol'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { generate } from 'selfsigned'
import { Agent, request } from 'undici'
import { Daemon } from './daemon.js'
import type { BoundPorts } from './daemon.js'
import { hashKey } from './utils/keys.js'

const KEY = 'tls-caller'
const SIZE = { slots: 8, cores: 8, memoryMb: 1000, accelerators: 0 }
const PEER_PORTS = [14_801, 14_802] as const

describe('daemons with TLS enabled in the settings', function () {
  this.timeout(30_000)
  const platform = new PlatformFake()
  const endpoint = new EndpointFake(SIZE)
  const daemons: Daemon[] = []
  const ports: BoundPorts[] = []
  let ca = ''

  before(async () => {
    const certificate = await generate([{ name: 'commonName', value: 'fleet' }], {
      extensions: [{ name: 'basicConstraints', cA: true }, { name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] }]
    })
    ca = certificate.cert
    const folder = mkdtempSync(join(tmpdir(), 'cranberryyard-tls-'))
    const [certFile, keyFile] = [join(folder, 'cert.pem'), join(folder, 'key.pem')]
    writeFileSync(certFile, certificate.cert)
    writeFileSync(keyFile, certificate.private)
    const address = `127.0.0.1:${await endpoint.listen()}`
    platform.endpoints = [{ id: 'e' as EndpointId, failureDomain: 'one' as FailureDomain, rack: 'r', address, leaving: false, ...SIZE }]
    const contract = contractSchema.parse({
      customer: 'secure',
      limits: { running: 8 },
      bounds: { running: 8 },
      kinds: [{ name: 'serial', idempotent: false, answerWithinMs: 10_000 }],
      callers: [{ name: 'c', keyHash: hashKey(KEY) }]
    })
    platform.store.write('fleet', JSON.stringify({ ...EMPTY_FLEET, version: 1, contracts: [{ revision: 1, contract }] }), 0)
    const platformPort = await platform.listen()
    for (const i of [0, 1] as const) {
      const daemon = new Daemon(settingsOf(i, platformPort, { certFile, keyFile }))
      daemons.push(daemon)
      ports.push(await daemon.start())
    }
    await new Promise(resolve => setTimeout(resolve, 4000))
  })

  after(async () => {
    await Promise.all(daemons.map(d => d.close()))
    await Promise.all([platform.close(), endpoint.close()])
  })

  function settingsOf (i: 0 | 1, platformPort: number, files: { certFile: string, keyFile: string }): Settings {
    const other = 1 - i
    return settingsSchema.parse({
      instance: { id: `entry-${i}`, failureDomain: 'one' },
      listen: { callerPort: 0, operatorPort: 0, peerPort: PEER_PORTS[i] },
      peers: [{ id: `entry-${other}`, address: `127.0.0.1:${PEER_PORTS[other]}` }],
      callerTls: files,
      operatorTls: files,
      peerTls: { ...files, caFile: files.certFile },
      platform: { address: `127.0.0.1:${platformPort}` }
    })
  }

  it('serve callers over TLS and cooperate over mutual TLS', async () => {
    for (const { caller } of ports) {
      const res = await request(`https://127.0.0.1:${caller}/v1/jobs`, {
        method: 'POST',
        dispatcher: new Agent({ connect: { ca } }),
        headers: { authorization: `Bearer ${KEY}` },
        body: JSON.stringify({ requestId: `tls-${caller}`, kind: 'serial', tasks: [{ payload: { runMs: 10, value: 'right' } }] })
      })
      expect(await res.body.json()).to.deep.include({ outcome: 'complete', results: ['right'] })
    }
  })

  it('do not answer a caller that connects without TLS', async () => {
    const socket = connect(ports[0]?.caller ?? 0, '127.0.0.1')
    socket.write('GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n')
    const text = await new Promise<string>((resolve) => {
      let received = ''
      socket.on('data', (chunk) => {
        received += String(chunk)
      })
      socket.on('error', () => {})
      socket.on('close', () => resolve(received))
    })
    expect(text).not.to.include('serving')
  })
})
