import { expect } from 'chai'
import { DEFAULT_MACHINE, allowancesFor } from '@cranberryyard/core'
import { EMPTY_FLEET, systemClock } from '@cranberryyard/protocol'
import type { Settings } from '@cranberryyard/protocol'
import type { StatusReport } from '@cranberryyard/core'
import { connect } from 'node:net'
import { CallerTask } from '../callers/callerTask.js'
import { OperatorTask } from '../operators/operatorTask.js'
import { ConnectionGuard } from './connectionGuard.js'
import { hashKey } from './keys.js'
import { listen, makePlainServer, senderLimits } from './plainServer.js'
import type { RequestHandler } from './plainServer.js'

const KEY = 'key'
const SENDER_TIMEOUT_MS = 3000

/** Sends a request with a target as it is, and returns the status of the answer. */
async function statusFor (handler: RequestHandler, target: string): Promise<string | undefined> {
  const server = makePlainServer(senderLimits(SENDER_TIMEOUT_MS), handler)
  const port = await listen(server, '127.0.0.1', 0)
  const answer = await new Promise<string>((resolve, reject) => {
    const socket = connect({ host: '127.0.0.1', port })
    socket.once('error', reject).once('data', (data: Buffer) => {
      socket.destroy()
      resolve(data.toString())
    })
    socket.write(`GET ${target} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${KEY}\r\n\r\n`)
  })
  await new Promise(resolve => server.close(resolve))
  return /^HTTP\/1.1 (\d+)/.exec(answer)?.[1]
}

describe('requests whose target is not a path', () => {
  it('are refused and do not end the process', async () => {
    const guard = new ConnectionGuard(allowancesFor(DEFAULT_MACHINE).callers, systemClock, () => {})
    const callers = new CallerTask(() => {}, guard)
    const settings = { teamKeys: [{ keyHash: hashKey(KEY), name: 'team' }] } as unknown as Settings['operators']
    const operators = new OperatorTask(settings, () => {}, { status: () => ({}) as StatusReport, fleet: () => EMPTY_FLEET, readArchive: () => Promise.resolve(undefined) }, guard)
    for (const handler of [callers, operators].map((task): RequestHandler => (req, res) => task.handle(req, res))) {
      expect(await statusFor(handler, '//')).to.equal('400')
      expect(await statusFor(handler, 'http://[')).to.equal('400')
      expect(await statusFor(handler, '/other')).to.equal('404')
    }
  })
})
