/**
 * Plays clients that nobody controls, for the crowd tests: each member of a crowd keeps a connection open, writes what its behaviour
 * says, and connects again when the process turns it away. `ProcessWatch` measures what the process under test holds meanwhile.
 */
import { readFileSync, readdirSync, readlinkSync } from 'node:fs'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

/** Pause of a member that was turned away, before it connects again. */
const RECONNECT_MS = 50
/** Interval at which descriptors are counted. */
const SAMPLE_MS = 25
const KIB_PER_MB = 1024
const BYTES_PER_MB = 1_048_576
/** Interval at which the receive queues of sockets are added up. */
const QUEUE_SAMPLE_MS = 50
/** States of a TCP connection in which bytes wait for the process, as `/proc/net/tcp` has them. */
const CONNECTED_STATES = new Set(['01', '08'])
const LISTENING_STATE = '0A'

/** A connection of a member. `calmed` aborts when the crowd stops pressing; the connection stays open. */
export interface Connection {
  readonly socket: Socket
  readonly member: number
  readonly calmed: AbortSignal
}

/** What a member does with a new connection; it reads all answers unless it pauses the socket. */
export type Behaviour = (connection: Connection) => void

/** Connections of one kind to one port. */
export class Crowd {
  private readonly sockets = new Set<Socket>()
  private readonly calming = new AbortController()

  constructor (private readonly port: number, size: number, private readonly behave: Behaviour) {
    for (let member = 0; member < size; member++) this.join(member)
  }

  /** Opens no further connections and writes no more; connections that are open stay so. */
  calm (): void {
    this.calming.abort()
  }

  /** Closes all connections. */
  close (): void {
    this.calm()
    for (const socket of this.sockets) socket.destroy()
  }

  private join (member: number): void {
    if (this.calming.signal.aborted) return
    const socket = connect({ host: '127.0.0.1', port: this.port })
    this.sockets.add(socket)
    socket.once('connect', () => {
      socket.resume()
      this.behave({ socket, member, calmed: this.calming.signal })
    })
    socket.on('error', () => {}).once('close', () => {
      this.sockets.delete(socket)
      setTimeout(() => this.join(member), RECONNECT_MS).unref()
    })
  }
}

/** Writes a block a number of times, as fast as the other side reads, and calls back once all is written. */
export function pour ({ socket, calmed }: Pick<Connection, 'socket' | 'calmed'>, block: Buffer, times: number, done: () => void = () => {}): void {
  let left = times
  const proceed = (): void => {
    while (left > 0 && !socket.destroyed && !calmed.aborted) {
      left--
      if (!socket.write(block)) {
        socket.once('drain', proceed)
        return
      }
    }
    if (left === 0 && !socket.destroyed) done()
  }
  proceed()
}

/** Writes a text one byte at a time with a pause after each, until the connection ends. */
export async function trickle ({ socket, calmed }: Connection, text: string, pauseMs: number): Promise<void> {
  for (const byte of text) {
    if (socket.destroyed || calmed.aborted) return
    socket.write(byte)
    await sleep(pauseMs)
  }
}

/** @returns the chunk as an HTTP body carries it */
export function chunkOf (data: Buffer): Buffer {
  return Buffer.concat([Buffer.from(`${data.length.toString(16)}\r\n`), data, Buffer.from('\r\n')])
}

/** A server whose every answer is a body without end. */
export class EndlessServer {
  private readonly sockets = new Set<Socket>()
  private readonly closing = new AbortController()

  private constructor (private readonly server: Server) {}

  static async listen (block: Buffer): Promise<EndlessServer> {
    const server = createServer()
    const endless = new EndlessServer(server)
    server.on('connection', (socket) => {
      endless.sockets.add(socket)
      socket.on('error', () => {}).once('close', () => endless.sockets.delete(socket))
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n')
        pour({ socket, calmed: endless.closing.signal }, block, Infinity)
      })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    return endless
  }

  get address (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  close (): void {
    this.closing.abort()
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }
}

/** The peaks of a process's memory and descriptors. */
export class ProcessWatch {
  /** Largest number of descriptors that a sample has shown. */
  peakDescriptors = 0
  private readonly timer: NodeJS.Timeout

  constructor (private readonly pid: number) {
    this.sample()
    this.timer = setInterval(() => this.sample(), SAMPLE_MS)
  }

  /** @returns the largest resident memory so far in MB; throws if the process has ended */
  peakMemoryMb (): number {
    const kib = /^VmHWM:\s+(\d+) kB/m.exec(readFileSync(`/proc/${this.pid}/status`, 'utf8'))?.[1]
    if (kib === undefined) throw new Error(`process ${this.pid} has ended`)
    return Math.round(Number(kib) / KIB_PER_MB)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private sample (): void {
    try {
      this.peakDescriptors = Math.max(this.peakDescriptors, readdirSync(`/proc/${this.pid}/fd`).length)
    } catch {
      // The process has ended, which the test finds out by itself.
    }
  }
}

/** A TCP socket as `/proc/net/tcp` has it. */
interface TcpSocket {
  readonly localPort: string
  readonly state: string
  readonly unreadBytes: number
  /** Identifies the socket among the descriptors of a process; 0 until the process has accepted the connection. */
  readonly inode: string
}

function readTcpSockets (pid: number): TcpSocket[] {
  return readFileSync(`/proc/${pid}/net/tcp`, 'utf8').split('\n').slice(1, -1).map((line) => {
    const [, local = '', , state = '', queues = '', , , , , inode = ''] = line.trim().split(/\s+/)
    return { localPort: local.slice(local.indexOf(':') + 1), state, unreadBytes: parseInt(queues.slice(queues.indexOf(':') + 1), 16), inode }
  })
}

function socketInodes (pid: number): Set<string> {
  const inodes = new Set<string>()
  for (const fd of readdirSync(`/proc/${pid}/fd`)) {
    try {
      const inode = /^socket:\[(\d+)\]$/.exec(readlinkSync(`/proc/${pid}/fd/${fd}`))?.[1]
      if (inode !== undefined) inodes.add(inode)
    } catch {
      // The descriptor has been closed meanwhile.
    }
  }
  return inodes
}

/** Bytes that wait in the receive queues of a process. Those of connections that it has not accepted yet are counted as well. */
function unreadBytesOf (pid: number): { bytes: number, largest: number, connections: number, unaccepted: number } {
  const sockets = readTcpSockets(pid)
  const inodes = socketInodes(pid)
  const listening = new Set(sockets.filter(({ state, inode }) => state === LISTENING_STATE && inodes.has(inode)).map(({ localPort }) => localPort))
  const own = sockets.filter(({ localPort, state, inode }) => CONNECTED_STATES.has(state) && (inodes.has(inode) || (inode === '0' && listening.has(localPort))))
  const unread = own.filter(({ unreadBytes }) => unreadBytes > 0)
  return {
    bytes: unread.reduce((sum, { unreadBytes }) => sum + unreadBytes, 0),
    largest: Math.max(0, ...unread.map(({ unreadBytes }) => unreadBytes)),
    connections: unread.length,
    unaccepted: unread.filter(({ inode }) => inode === '0').length
  }
}

/** The peak of a process's resident memory together with what waits unread in its sockets; the platform counts both. */
export class HeldMemoryWatch {
  private readonly peak = { heldMb: 0, residentMb: 0, unreadMb: 0, largestKb: 0, connections: 0, unaccepted: 0 }
  private readonly timer: NodeJS.Timeout

  /** @param endAboveMb - a process that holds more is ended, so that a fault does not take the memory of the whole machine */
  constructor (private readonly pid: number, private readonly endAboveMb: number) {
    this.timer = setInterval(() => this.sample(), QUEUE_SAMPLE_MS)
  }

  /** Largest sum of resident and unread memory in MB that a sample has shown. */
  get peakHeldMb (): number {
    return this.peak.heldMb
  }

  /** @returns the peaks, for the journal of a test */
  describe (): string {
    const { heldMb, residentMb, unreadMb, largestKb, connections, unaccepted } = this.peak
    return `at most ${heldMb} MB resident and unread, ${residentMb} MB resident, ${unreadMb} MB unread; unread bytes on ${connections} connections, ${largestKb} KB on one; ${unaccepted} of them not accepted`
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private sample (): void {
    try {
      const { bytes, largest, connections, unaccepted } = unreadBytesOf(this.pid)
      const residentKib = Number(/^VmRSS:\s+(\d+) kB/m.exec(readFileSync(`/proc/${this.pid}/status`, 'utf8'))?.[1] ?? 0)
      const heldMb = Math.round(residentKib / KIB_PER_MB + bytes / BYTES_PER_MB)
      this.peak.heldMb = Math.max(this.peak.heldMb, heldMb)
      if (heldMb > this.endAboveMb) process.kill(this.pid, 'SIGKILL')
      this.peak.residentMb = Math.max(this.peak.residentMb, Math.round(residentKib / KIB_PER_MB))
      this.peak.unaccepted = Math.max(this.peak.unaccepted, unaccepted)
      this.peak.unreadMb = Math.max(this.peak.unreadMb, Math.round(bytes / BYTES_PER_MB))
      this.peak.largestKb = Math.max(this.peak.largestKb, Math.round(largest / KIB_PER_MB))
      this.peak.connections = Math.max(this.peak.connections, connections)
    } catch {
      // The process has ended, which the test finds out by itself.
    }
  }
}
