import { expect } from 'chai'
import { ms } from '@cranberryyard/protocol'
import { TURN_DEFAULTS, TurnsDecider } from './turnsDecider.js'
import type { Turn } from './types.js'

const SMALL_BYTES = 1500
/** What one read of a socket brings, and its cost in chunks of one byte. */
const FULL_READ_BYTES = 65_536
const SLICE_BYTES = 4096
const SLICE_UNITS = SLICE_BYTES / TURN_DEFAULTS.bytesPerUnit

function waiting (decider: TurnsDecider, bytes: number, at = 0): Turn {
  const turn = decider.open(ms(at))
  decider.wait(turn, bytes, ms(at))
  return turn
}

/** Reads a slice of a connection, as the shell does. */
function readSlice (decider: TurnsDecider, turn: Turn, now: number, units = SLICE_UNITS): void {
  decider.spend(turn, units, ms(now))
  if (turn.bytes > SLICE_BYTES) decider.wait(turn, turn.bytes - SLICE_BYTES, ms(now))
}

describe('the turns of connections', () => {
  it('reads the small request of a new connection before what is costly, whoever came first', () => {
    const decider = new TurnsDecider()
    for (let i = 0; i < 800; i++) waiting(decider, FULL_READ_BYTES)
    const small = waiting(decider, SMALL_BYTES, 10)
    expect(decider.next(ms(10))).to.equal(small)
  })

  it('reads it next when costly input is being read already', () => {
    const decider = new TurnsDecider()
    for (let i = 0; i < 800; i++) waiting(decider, FULL_READ_BYTES)
    for (let now = 0; now < 1000; now += 5) {
      decider.startTurn(ms(now))
      const turn = decider.next(ms(now))
      if (turn !== undefined) readSlice(decider, turn, now)
    }
    const small = waiting(decider, SMALL_BYTES, 1000)
    expect(decider.next(ms(1000))).to.equal(small)
  })

  it('reads it at once when nothing cheap waits', () => {
    const decider = new TurnsDecider()
    for (let i = 0; i < 800; i++) waiting(decider, FULL_READ_BYTES)
    const small = decider.open(ms(0))
    expect(decider.readAtOnce(small, SMALL_BYTES, ms(0))).to.equal(true)
    expect(decider.readAtOnce(decider.open(ms(0)), FULL_READ_BYTES, ms(0))).to.equal(false)
    decider.spend(small, TURN_DEFAULTS.turnUnits, ms(0))
    expect(decider.readAtOnce(decider.open(ms(0)), SMALL_BYTES, ms(0))).to.equal(false)
    decider.startTurn(ms(1))
    expect(decider.readAtOnce(decider.open(ms(1)), SMALL_BYTES, ms(1))).to.equal(true)
  })

  it('reads a slice of each costly connection in turn, so that nobody waits for good', () => {
    const decider = new TurnsDecider()
    const all = Array.from({ length: 20 }, () => waiting(decider, FULL_READ_BYTES))
    const read = new Set<Turn>()
    for (let now = 0; now < 20 * TURN_DEFAULTS.maxPauseMs; now += TURN_DEFAULTS.maxPauseMs) {
      decider.startTurn(ms(now))
      waiting(decider, SMALL_BYTES, now)
      for (let turn = decider.next(ms(now)); turn !== undefined; turn = decider.next(ms(now))) {
        read.add(turn)
        readSlice(decider, turn, now, turn.bytes > SLICE_BYTES ? SLICE_UNITS : 50)
      }
    }
    expect(all.filter(turn => !read.has(turn))).to.deep.equal([])
  })

  it('leaves costly reads half of the time', () => {
    const decider = new TurnsDecider()
    waiting(decider, FULL_READ_BYTES)
    waiting(decider, FULL_READ_BYTES)
    decider.startTurn(ms(100))
    readSlice(decider, decider.next(ms(100)) as Turn, 100)
    decider.startTurn(ms(130))
    expect(decider.next(ms(130))).to.equal(undefined)
    expect(decider.pauseMs(ms(130))).to.equal(30)
    decider.startTurn(ms(160))
    expect(decider.next(ms(160))).to.not.equal(undefined)
  })

  it('takes input for costly that is small but comes again and again, until its connection has been quiet', () => {
    const decider = new TurnsDecider()
    const turn = decider.open(ms(0))
    for (let i = 0; i < 100; i++) decider.spend(turn, 50, ms(i))
    expect(decider.isCheap(turn, SMALL_BYTES, ms(100))).to.equal(false)
    expect(decider.isCheap(turn, SMALL_BYTES, ms(3000))).to.equal(true)
  })

  it('reads a busy connection at once when nothing else waits', () => {
    const decider = new TurnsDecider()
    const busy = decider.open(ms(0))
    decider.spend(busy, 2 * TURN_DEFAULTS.cheapUnits, ms(0))
    decider.startTurn(ms(1))
    expect(decider.readAtOnce(busy, SMALL_BYTES, ms(1))).to.equal(true)
    waiting(decider, FULL_READ_BYTES)
    expect(decider.readAtOnce(busy, SMALL_BYTES, ms(1))).to.equal(false)
  })

  it('moves a connection among the costly ones once more arrives while it waits', () => {
    const decider = new TurnsDecider()
    const turn = waiting(decider, SMALL_BYTES)
    expect(decider.wait(turn, FULL_READ_BYTES, ms(0))).to.equal(true)
    expect(decider.next(ms(0))).to.equal(turn)
    expect(decider.next(ms(0))).to.equal(undefined)
  })

  it('forgets a connection that is closed while it waits', () => {
    const decider = new TurnsDecider()
    for (const bytes of [SMALL_BYTES, FULL_READ_BYTES]) decider.close(waiting(decider, bytes))
    expect(decider.next(ms(0))).to.equal(undefined)
    expect(decider.pauseMs(ms(0))).to.equal(undefined)
  })
})
