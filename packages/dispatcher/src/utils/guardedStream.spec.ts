import { expect } from 'chai'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { systemClock } from '@cranberryyard/protocol'
import type { UnreadInput } from './connectionReads.js'
import { GuardedStream } from './guardedStream.js'
import { InputTurns } from './inputTurns.js'

/** More than is handed on at once. */
const INPUT_BYTES = 6000
/** More than a socket takes from the kernel before it is read; less a slice, it takes more. */
const FULL_BYTES = 17_000
/** Fills the socket again. */
const REFILL_BYTES = 5000
const PATIENCE_MS = 5000

const COUNTS = { hold: () => {}, setAwaitsTurn: () => {}, noteUnread: () => {}, noteAnswered: () => {} }

describe('a connection that is read in turns', () => {
  let server: Server
  let client: Socket

  beforeEach(async () => {
    server = createServer({ allowHalfOpen: true }).listen(0, '127.0.0.1')
    await once(server, 'listening')
  })
  afterEach(() => {
    client.destroy()
    server.close()
  })

  async function accept (): Promise<Socket> {
    const accepted = once(server, 'connection')
    client = connect((server.address() as AddressInfo).port, '127.0.0.1')
    return (await accepted as [Socket])[0]
  }

  it('ends when its end arrived while bytes waited for their turn', async () => {
    const socket = await accept()
    const turns = new InputTurns(systemClock)
    const stream = new GuardedStream(socket, turns, turns.open(), COUNTS)
    client.end(Buffer.alloc(INPUT_BYTES))
    while (socket.readableLength < INPUT_BYTES) await sleep(1)
    // The end is read behind the bytes, none of which is taken yet.
    await sleep(20)
    let bytes = 0
    const ended = once(stream, 'end').then(() => 'ended')
    stream.on('data', (piece: Buffer) => {
      bytes += piece.length
    })
    const outcome = await Promise.race([ended, sleep(PATIENCE_MS, 'not ended', { ref: false })])
    expect([outcome, bytes, socket.readableEnded]).to.deep.equal(['ended', INPUT_BYTES, true])
  })

  it('is noted as full before it is read on, although its socket filled again without an event', async () => {
    const socket = await accept()
    const noted: UnreadInput[] = []
    const turns = { wait () {}, readAtOnce: () => false, spend () {}, close () {} } as unknown as InputTurns
    const stream = new GuardedStream(socket, turns, new InputTurns(systemClock).open(), { ...COUNTS, noteUnread: unread => noted.push(unread) })
    stream.on('data', () => {})
    client.write(Buffer.alloc(FULL_BYTES))
    while (socket.readableLength < FULL_BYTES) await sleep(1)
    stream.readSlice()
    const left = socket.readableLength
    client.write(Buffer.alloc(REFILL_BYTES))
    while (socket.readableLength < left + REFILL_BYTES) await sleep(1)
    noted.length = 0
    stream.readSlice()
    expect(noted).to.deep.equal(['full', 'some'])
  })
})
