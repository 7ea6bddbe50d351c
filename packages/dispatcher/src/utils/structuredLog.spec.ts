import { expect } from 'chai'
import { LineBudget, RepeatBudget, StructuredLog } from './structuredLog.js'

describe('the structured log', () => {
  it('repeats a line about a lasting state rarely, and bounds the number of different ones', () => {
    const budget = new RepeatBudget()
    const writtenIn = (from: number, until: number, texts: number): number => {
      let written = 0
      for (let at = from; at < until; at += 500) for (let n = 0; n < texts; n++) written += budget.tryConsume('event', `${n}`, at) ? 1 : 0
      return written
    }
    expect(writtenIn(0, 600_000, 3)).to.equal(3)
    expect(writtenIn(600_000, 1_200_000, 3)).to.equal(3)
    expect(writtenIn(1_200_000, 1_800_000, 5000)).to.equal(20)
    expect(budget.tryConsume('otherEvent', '0', 1_799_999)).to.equal(true)
  })

  it('limits lines per second, those about jobs separately from the others, and counts suppressed lines', () => {
    const budget = new LineBudget()
    const written = Array.from({ length: 1000 }, () => budget.tryConsume('job.ended', 10)).filter(Boolean).length
    expect(written).to.be.within(1, 999)
    expect(budget.tryConsume('shard.owned', 20)).to.equal(true)
    expect(budget.resetSuppressedCount()).to.equal(1000 - written)
    expect(budget.tryConsume('job.ended', 1200)).to.equal(true)
  })

  it('writes one JSON object per line and reports the number of suppressed lines', () => {
    const lines: string[] = []
    let now = 0
    const log = new StructuredLog({ instance: 'i' }, () => now, { write: line => void lines.push(line) })
    for (let i = 0; i < 500; i++) log.write('info', 'job.ended', { job: `j${i}` })
    now = 1500
    log.write('info', 'shard.owned', { token: 5 })
    const parsed = lines.map(line => JSON.parse(line) as Record<string, unknown>)
    expect(parsed[0]).to.include({ event: 'job.ended', job: 'j0', instance: 'i' })
    const suppressed = parsed.find(line => line.event === 'log.suppressed')
    expect(Number(suppressed?.lines) + parsed.filter(line => line.event === 'job.ended').length).to.equal(500)
  })

  it('flushes the report of suppressed lines even if the line that triggered it was suppressed', () => {
    let now = 500
    let unflushedLines = 0
    const destination = { write: () => void unflushedLines++, flush: () => void (unflushedLines = 0) }
    const log = new StructuredLog({ instance: 'i' }, () => now, destination)
    for (let i = 0; i < 500; i++) log.write('info', 'job.ended', { job: `j${i}` })
    log.flush()
    now = 1200
    log.write('info', 'job.ended', { job: 'last' })
    expect(unflushedLines).to.equal(1)
    log.flush()
    expect(unflushedLines).to.equal(0)
  })
})
