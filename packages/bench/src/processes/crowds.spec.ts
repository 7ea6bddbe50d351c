import { expect } from 'chai'
import { hashKey } from '@cranberryyard/dispatcher'
import { Crowd, EndlessServer, HeldMemoryWatch, ProcessWatch, chunkOf, pour } from '@cranberryyard/fakes'
import type { Behaviour } from '@cranberryyard/fakes'
import { contractSchema } from '@cranberryyard/protocol'
import type { EndpointId, FailureDomain } from '@cranberryyard/protocol'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { connect as connectHttp2 } from 'node:http2'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { generate } from 'selfsigned'
import { Caller } from './caller.js'
import { LocalFleet, sleep } from './localFleet.js'
import type { LocalInstance } from './localFleet.js'

const KEY = 'caller-key'
const CONTRACT = contractSchema.parse({
  customer: 'load',
  limits: { running: 40 },
  bounds: { running: 40 },
  kinds: [{ name: 'compute', idempotent: true, answerWithinMs: 20_000, whenLate: 'runLate', runMs: 20 }],
  callers: [{ name: 'load', keyHash: hashKey(KEY) }]
})
const MEMORY_MB = 350
const FDS = 4100
/** With these, half of a crowd of 400 would use up what the machine has for sockets. */
const FEW_FDS = 400
/** A process that holds so much has failed, and is ended. */
const END_ABOVE_MB = 4 * MEMORY_MB
/** How long a crowd presses. */
const PRESS_MS = 3000
/** Longest time to wait for an answer that must come; its length is not checked. */
const PATIENCE_MS = 20_000
const POLL_MS = 200

const block = Buffer.alloc(65_536, 'x')
const blockChunk = chunkOf(block)
const tinyChunks = Buffer.concat(Array.from({ length: 10_000 }, () => chunkOf(Buffer.from('x'))))
const post = (path: string): string => `POST ${path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${KEY}\r\nTransfer-Encoding: chunked\r\n\r\n`
const tinyBodies = (path: string): Behaviour => (connection) => {
  connection.socket.write(post(path))
  pour(connection, tinyChunks, 24)
}
const endlessBodies = (path: string): Behaviour => (connection) => {
  connection.socket.write(post(path))
  pour(connection, blockChunk, Infinity)
}
const silent: Behaviour = () => {}
/** The start of a TLS handshake that announces more than follows. */
const shortHandshake: Behaviour = ({ socket }) => socket.write(Buffer.from('16030102000100', 'hex'))

/** gRPC messages of 4,000,000 bytes that stop one byte short of their end, on several streams of each connection. */
const shortMessage = Buffer.concat([Buffer.from('00003d0900', 'hex'), Buffer.alloc(3_999_999, 'x')])
const shortMessages = (streams: number): Behaviour => ({ socket }) => {
  const session = connectHttp2('http://peer', { createConnection: () => socket }).on('error', () => {})
  for (let stream = 0; stream < streams; stream++) {
    session.request({ ':method': 'POST', ':path': '/cranberryyard.Peer/Channel', 'content-type': 'application/grpc', te: 'trailers' }, { endStream: false })
      .on('error', () => {}).write(shortMessage)
  }
}

interface Pressing {
  calm: () => void
  close: () => void
}

describe('cranberryyardd beside a crowd that nobody controls', function () {
  this.timeout(120_000)
  let fleet: LocalFleet

  afterEach(() => fleet.stop())

  /** Plays a crowd and checks what must hold, whatever the speed of the machine. */
  async function check (maxFds: number, press: (instance: LocalInstance) => readonly Pressing[] | Promise<readonly Pressing[]>, settings: Record<string, Record<string, unknown>> = {}): Promise<void> {
    fleet = new LocalFleet({
      folder: mkdtempSync(join(tmpdir(), 'cranberryyard-')),
      domains: ['one'],
      instancesPerDomain: 1,
      endpointsPerDomain: 2,
      slots: 8,
      contracts: [CONTRACT],
      teamKey: 'team-key',
      proxied: false,
      settings: { machine: { memoryMb: MEMORY_MB, maxFds }, ...settings }
    })
    await fleet.start()
    const [instance] = fleet.instances as [LocalInstance]
    const caller = new Caller(KEY, 'load', { rejectUnauthorized: false })
    const url = settings.callerTls === undefined ? instance.callerUrl : instance.callerUrl.replace('http:', 'https:')
    expect(await submitUntilComplete(caller, url, 'before'), `before the crowd; logs: ${fleet.folder}`).to.equal('complete')
    const child = instance.process
    const watch = new HeldMemoryWatch(child?.pid ?? 0, END_ABOVE_MB)
    const descriptors = new ProcessWatch(child?.pid ?? 0)
    const crowds = await press(instance)
    try {
      await sleep(PRESS_MS)
      for (const crowd of crowds) crowd.calm()
      const outcome = await submitUntilComplete(caller, url, 'after')
      if (process.env.CROWD_FIGURES === 'print') console.log(`      ${watch.describe()}; ${descriptors.peakDescriptors} descriptors`)
      expect(child?.exitCode ?? child?.signalCode, `the process ended; logs: ${fleet.folder}`).to.equal(null)
      expect(watch.peakHeldMb, `resident and unread memory in MB; logs: ${fleet.folder}`).to.be.at.most(MEMORY_MB)
      expect(descriptors.peakDescriptors, `open descriptors; logs: ${fleet.folder}`).to.be.at.most(maxFds)
      expect(outcome, `after the crowd; logs: ${fleet.folder}`).to.equal('complete')
    } finally {
      watch.stop()
      descriptors.stop()
      for (const crowd of crowds) crowd.close()
      await caller.close()
    }
  }

  async function submitUntilComplete (caller: Caller, url: string, name: string): Promise<string | undefined> {
    let outcome: string | undefined
    for (const until = performance.now() + PATIENCE_MS; performance.now() < until; await sleep(POLL_MS)) {
      const { answer } = await caller.submit(url, { requestId: `${name}-${Math.round(performance.now())}`, kind: 'compute', runTimes: [20] })
      outcome = answer?.outcome
      if (outcome === 'complete') break
    }
    return outcome
  }

  const portOf = (url: string): number => Number(new URL(url).port)

  it('serves after bodies at the ports of callers and operators at once', () => check(FDS, ({ callerUrl, operatorUrl }) => [
    new Crowd(portOf(callerUrl), 300, tinyBodies('/v1/jobs')),
    new Crowd(portOf(callerUrl), 100, endlessBodies('/v1/jobs')),
    new Crowd(portOf(operatorUrl), 200, tinyBodies('/v1/contracts')),
    new Crowd(portOf(operatorUrl), 100, endlessBodies('/v1/contracts'))
  ]))
  it('serves after connections to the port of peers that send nothing', () => check(FEW_FDS, ({ peerPort }) => [new Crowd(peerPort, 400, silent)]))
  it('serves after bytes at the port of peers that are no gRPC', () => check(FDS, ({ peerPort }) => [new Crowd(peerPort, 400, connection => pour(connection, block, Infinity))]))
  it('serves after gRPC messages that stop short of their end', () => check(FDS, ({ peerPort }) => [new Crowd(peerPort, 100, shortMessages(1))]))
  it('serves after gRPC messages on many streams that stop short of their end', () => check(FDS, ({ peerPort }) => [new Crowd(peerPort, 40, shortMessages(50))]))

  it('serves after TLS handshakes that stall at all ports', async () => {
    const certificate = await generate([{ name: 'commonName', value: 'fleet' }], { extensions: [{ name: 'basicConstraints', cA: true }, { name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] }] })
    const folder = mkdtempSync(join(tmpdir(), 'cranberryyard-tls-'))
    const [certFile, keyFile] = [join(folder, 'cert.pem'), join(folder, 'key.pem')]
    writeFileSync(certFile, certificate.cert)
    writeFileSync(keyFile, certificate.private)
    const tls = { certFile, keyFile }
    await check(FEW_FDS, ({ callerUrl, operatorUrl, peerPort }) => [callerUrl, operatorUrl, `http://127.0.0.1:${peerPort}`].flatMap(url => [
      new Crowd(portOf(url), 200, silent),
      new Crowd(portOf(url), 200, shortHandshake)
    ]), { callerTls: tls, operatorTls: tls, peerTls: { ...tls, caFile: certFile } })
  })

  it('serves after answers of endpoints without end', () => check(FDS, async () => {
    const endless = await Promise.all(Array.from({ length: 40 }, () => EndlessServer.listen(blockChunk)))
    const infos = endless.map(({ address }, i) => ({ id: `endless-${i}` as EndpointId, failureDomain: 'one' as FailureDomain, rack: 'r', address, leaving: false, slots: 8, cores: 32, memoryMb: 131_072, accelerators: 0 }))
    fleet.platform.endpoints.push(...infos)
    const caller = new Caller(KEY, 'load')
    const [{ callerUrl }] = fleet.instances as [LocalInstance]
    const jobs = setInterval(() => void caller.submit(callerUrl, { requestId: `wide-${Math.round(performance.now())}`, kind: 'compute', runTimes: new Array<number>(40).fill(20) }), 250)
    return [{
      calm: () => {
        clearInterval(jobs)
        for (const info of infos) fleet.platform.endpoints.splice(fleet.platform.endpoints.indexOf(info), 1)
      },
      close: () => {
        clearInterval(jobs)
        endless.forEach(server => server.close())
        void caller.close()
      }
    }]
  }))

  it('serves after answers of the platform without end', () => check(FDS, () => {
    const { platform: { faults } } = fleet
    faults.endless = true
    const calm = (): void => {
      faults.endless = false
    }
    return [{ calm, close: calm }]
  }))
})
