import { expect } from 'chai'
import { ms } from '@cranberryyard/protocol'
import { CONNECTION_DEFAULTS, ConnectionsDecider, DEFAULT_MACHINE, RECEIVE_BUFFER_BYTES, allowancesFor, backlogsFor, costOfPart } from './connectionsDecider.js'
import type { Connection, ConnectionPhase } from './types.js'

const KB = 1024
/** Limits of the pages for bodies and idle times. */
const PAGE_BODY_BYTES = 262_144
const PAGE_IDLE_MS = 15_000

function opened (decider: ConnectionsDecider, phase: ConnectionPhase, openedAt: number, bytes: number, received = bytes): Connection {
  const connection = decider.open(ms(openedAt))
  decider.enter(connection, phase, ms(openedAt))
  connection.received = received
  decider.hold(connection, bytes)
  return connection
}

describe('the budget of connections', () => {
  it('gives up what holds most for longest with least progress, and never a small request that has just come', () => {
    const decider = new ConnectionsDecider({ connections: 100, bytes: 1000 * KB })
    const slow = opened(decider, 'receiving', 0, 200 * KB)
    const shortAgo = opened(decider, 'receiving', 9000, 200 * KB)
    const fast = opened(decider, 'receiving', 0, 200 * KB, 100_000 * KB)
    const large = opened(decider, 'receiving', 0, 500 * KB)
    const small = opened(decider, 'receiving', 10_000, 4 * KB)
    const waits = opened(decider, 'served', 0, 4 * KB)
    expect(decider.excess()).to.equal('memory')
    expect(decider.victims(ms(10_000))).to.deep.equal([large])
    decider.close(large)
    expect(decider.excess()).to.equal(undefined)
    const wave = Array.from({ length: 3 }, () => opened(decider, 'receiving', 9990, 300 * KB))
    const victims = decider.victims(ms(10_000))
    expect(victims[0]).to.equal(slow)
    expect(victims).to.include(shortAgo)
    expect(victims).to.not.include(small)
    expect(victims).to.not.include(waits)
    expect([fast, ...wave].some(connection => !victims.includes(connection))).to.equal(true)
  })

  it('gives up the connection that has been idle for longest when there are too many', () => {
    const decider = new ConnectionsDecider({ connections: 8, bytes: 1000 * KB })
    const all = Array.from({ length: 9 }, (_, i) => opened(decider, i < 4 ? 'served' : 'idle', 100 * i, 0))
    expect(decider.excess()).to.equal('tooMany')
    expect(decider.victims(ms(5000))).to.deep.equal([all[4], all[5]])
  })

  it('gives up a connection that has very many answers due before those that wait for one', () => {
    const decider = new ConnectionsDecider({ connections: 100, bytes: 1000 * KB })
    const many = opened(decider, 'served', 0, 990 * KB)
    for (let i = 0; i < 20; i++) opened(decider, 'served', 0, KB)
    expect(decider.victims(ms(1000))).to.deep.equal([many])
  })

  it('gives up connections that have their last answer before all others, whatever happens on them', () => {
    const decider = new ConnectionsDecider({ connections: 4, bytes: 1000 * KB })
    opened(decider, 'receiving', 0, 900 * KB)
    const answered = [opened(decider, 'answered', 900, 0), opened(decider, 'answered', 900, 0)]
    opened(decider, 'idle', 0, 0)
    opened(decider, 'idle', 0, 0)
    decider.enter(answered[1] as Connection, 'idle', ms(950))
    expect(decider.victims(ms(1000))).to.deep.equal(answered)
  })

  it('gives up the earliest of connections that were opened at the same moment', () => {
    const decider = new ConnectionsDecider({ connections: 8, bytes: 1000 * KB })
    const all = Array.from({ length: 9 }, () => opened(decider, 'receiving', 0, 0))
    expect(decider.victims(ms(0)).map(victim => all.indexOf(victim))).to.deep.equal([0, 1])
  })

  it('gives up the latest of those that wait for their turn, after one that stopped short, and no small one', () => {
    const decider = new ConnectionsDecider({ connections: 100, bytes: 1000 * KB })
    const wait = (openedAt: number, bytes: number): Connection => {
      const connection = opened(decider, 'receiving', openedAt, bytes)
      connection.awaitsTurn = true
      return connection
    }
    const waiting = Array.from({ length: 5 }, (_, i) => wait(i, 200 * KB))
    const small = wait(5000, 2 * KB)
    const stopped = opened(decider, 'receiving', 4000, 100 * KB)
    expect(decider.victims(ms(5000))).to.deep.equal([stopped, waiting[4]])
    expect(decider.victims(ms(5000))).to.not.include(small)
    expect(decider.stalled(ms(500_000))).to.deep.equal([stopped])
  })

  it('counts what may wait unread behind a long part of a message', () => {
    expect(costOfPart(64 * KB)).to.equal(64 * KB)
    expect(costOfPart(256 * KB)).to.equal(256 * KB + RECEIVE_BUFFER_BYTES)
  })

  it('counts what is held once a connection is closed no more', () => {
    const decider = new ConnectionsDecider({ connections: 100, bytes: 1000 * KB })
    const connection = opened(decider, 'receiving', 0, 10 * KB)
    decider.close(connection)
    decider.hold(connection, 20 * KB)
    decider.close(connection)
    expect(decider.db.bytes).to.equal(0)
  })

  it('finds what makes less than the least progress, and nothing inside the limits of the pages', () => {
    const decider = new ConnectionsDecider(allowancesFor(DEFAULT_MACHINE).callers)
    const stuck = opened(decider, 'receiving', 0, PAGE_BODY_BYTES - 1, KB)
    opened(decider, 'receiving', 0, 0, PAGE_BODY_BYTES)
    opened(decider, 'idle', 0, 0)
    opened(decider, 'served', 0, KB)
    expect(decider.stalled(ms(PAGE_IDLE_MS))).to.deep.equal([])
    expect(decider.stalled(ms(PAGE_IDLE_MS + 5000))).to.deep.equal([stuck])
    expect(CONNECTION_DEFAULTS.stallGraceMs).to.be.at.least(PAGE_IDLE_MS)
  })

  it('is divided so that all kinds together stay inside the machine', () => {
    for (const machine of [DEFAULT_MACHINE, { memoryMb: 210, maxFds: 400 }, { memoryMb: 210, maxFds: 4100 }]) {
      const { callers, peers, operators, answers } = allowancesFor(machine)
      const backlogs = backlogsFor(machine)
      expect((backlogs.callers + backlogs.peers + 2 * backlogs.others) * RECEIVE_BUFFER_BYTES).to.be.at.most(machine.memoryMb * KB * KB / 3)
      expect(callers.connections + peers.connections + operators.connections).to.be.below(machine.maxFds - 200)
      expect(callers.bytes + peers.bytes + operators.bytes + answers.bytes).to.be.at.most(machine.memoryMb * KB * KB / 4)
    }
  })
})
